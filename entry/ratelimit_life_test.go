package entry

import (
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/standin"
)

// awaitArrivals waits until a service has got more than so many requests within a second.
func (f *limitedFleet) awaitArrivals(service, more int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.services[service].MostArrivals(time.Now().Add(-time.Second), time.Second) > more {
			return
		}
	}
	f.t.Fatalf("service %d never got more than %d requests a second", service, more)
}

// Guards against a limit that is kept after the endpoint has raised or withdrawn it, and
// against an entry that has just started, or lost hosts, going beyond it.
func TestANamedLimitIsFollowedThroughItsLife(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 4 * time.Second
	f := newLimitedFleet(t, 3, 4)
	limited := f.services[0]
	limited.SetFaults(standin.Faults{RateLimit: "1"})
	for range 3 {
		f.startEntry(20)
	}
	time.Sleep(time.Second)
	known := time.Now()
	f.endHosts(2)
	f.startEntry(20) // it hears of the limit from the hosts that are left
	time.Sleep(window)
	got := limited.MostArrivals(known, window)
	t.Logf("%d in %v under a limit of 1 a second, two of four hosts ended and one entry started meanwhile", got, window)
	is.True(got <= allowed(1, window))
	f.restartHosts(2)
	limited.SetFaults(standin.Faults{RateLimit: "10"})
	f.awaitArrivals(0, 5)
	limited.SetFaults(standin.Faults{})
	f.awaitArrivals(0, 14) // withdrawn: it gets its part again
	is.Equal(f.other.Load(), int64(0))
}

// Guards against requests that wait, or are sent all the same, where every endpoint that is
// left names a limit.
func TestWhatNoLimitAllowsIsRefusedAtOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 1, 3)
	f.services[0].SetFaults(standin.Faults{RateLimit: "2"})
	f.startEntry(0.01)
	since := time.Now()
	served, refused := 0, 0
	for time.Since(since) < 3*time.Second {
		r, err := http.NewRequest(http.MethodGet, f.fronts[0].URL+"/read/x", nil)
		is.NoErr(err)
		r.Host = "crew.example"
		response, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		switch response.StatusCode {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable:
			refused++
			is.True(response.Header.Get("Retry-After") != "")
			is.Equal(response.Header.Get("Lilackeel-Outcome"), "not-run")
		default:
			t.Fatalf("status %d", response.StatusCode)
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("%d served and %d refused in 3 s under a limit of 2 a second", served, refused)
	is.True(served >= 3) // the limit is used
	is.True(served <= allowed(2, 3*time.Second))
	is.True(refused > 20)
}
