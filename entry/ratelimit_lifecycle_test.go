package entry

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/standin"
)

// awaitArrivals waits until a service has received more than the given number of requests within a
// second.
func (f *routedFleet) awaitArrivals(service, more int) {
	f.t.Helper()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if f.services[service].MaxArrivals(time.Now().Add(-time.Second), time.Second) > more {
			return
		}
	}
	f.t.Fatalf("service %d never got more than %d requests a second", service, more)
}

// Guards against a limit being enforced after the endpoint has raised or withdrawn it, and against
// an entry exceeding it that has just started or has lost hosts.
func TestRateLimitChangesAreFollowed(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const window = 4 * time.Second
	f := newRoutedFleet(t, 3, 4)
	limited := f.services[0]
	limited.SetFaults(standin.Faults{RateLimit: "1"})
	for range 3 {
		f.startEntry(20)
	}
	time.Sleep(time.Second)
	knownAt := time.Now()
	f.stopHosts(2)
	f.startEntry(20) // it learns the limit from the remaining hosts
	time.Sleep(window)
	got := limited.MaxArrivals(knownAt, window)
	t.Logf("%d requests in %v under a limit of 1 per second; two of four hosts were stopped and one entry was started meanwhile", got, window)
	is.True(got <= allowed(1, window))
	f.restartHosts(2)
	limited.SetFaults(standin.Faults{RateLimit: "10"})
	f.awaitArrivals(0, 5)
	limited.SetFaults(standin.Faults{})
	f.awaitArrivals(0, 14) // withdrawn: it gets its share again
	is.Equal(f.other.Load(), int64(0))
}

// countOutcomes sends requests to the first entry, one after the other, and returns how many are
// served and how many refused at once with a time to retry.
func (f *routedFleet) countOutcomes(duration time.Duration) (served, refused int) {
	f.t.Helper()
	is := is.New(f.t)
	for since := time.Now(); time.Since(since) < duration; time.Sleep(10 * time.Millisecond) {
		r, err := http.NewRequest(http.MethodGet, f.entries[0].URL+"/read/x", nil)
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
			f.t.Fatalf("status %d", response.StatusCode)
		}
	}
	return served, refused
}

// Guards against requests waiting, or being sent in excess of the limit, when all remaining
// endpoints advertise a limit.
func TestRequestsAboveRateLimitAreRefused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 1, 3)
	f.services[0].SetFaults(standin.Faults{RateLimit: "2"})
	f.startEntry(0.01)
	served, refused := f.countOutcomes(3 * time.Second)
	t.Logf("%d served and %d refused in 3 s under a limit of 2 per second", served, refused)
	is.True(served >= 3) // the limit is used
	is.True(served <= allowed(2, 3*time.Second))
	is.True(refused > 20)
}

// Guards against entries using different hosts for the permits of one endpoint, and against one host
// being used for most endpoints.
func TestEntriesChooseSamePermitHosts(t *testing.T) {
	is := is.New(t)
	const hosts, runs = 64, 6400
	var addrs []string
	for i := range hosts {
		addrs = append(addrs, fmt.Sprint("10.0.0.", i, ":7340"))
	}
	first, second := &PermitClient{hosts: func() []string { return addrs }}, &PermitClient{}
	firstChoices := map[string]int{}
	for i := range runs {
		run := fmt.Sprint("e", i, "/1")
		shuffled := slices.Clone(addrs)
		rand.Shuffle(hosts, func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		second.hosts = func() []string { return shuffled }
		choices := first.permitHosts(run)
		is.Equal(choices, second.permitHosts(run))
		is.Equal(len(slices.Compact(slices.Sorted(slices.Values(choices)))), len(choices))
		firstChoices[choices[0]]++
	}
	for _, count := range firstChoices {
		is.True(count > runs/hosts/2 && count < 2*runs/hosts)
	}
	singleHost := &PermitClient{hosts: func() []string { return addrs[:1] }}
	is.Equal(singleHost.permitHosts("e/1"), addrs[:1])
}
