package entry

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/standin"
)

// Guards against every entry having to detect on its own that an endpoint hangs. Timeouts at two
// entries suffice for a third that has not called the endpoint. Once the endpoint answers one of
// them, all use it again.
func TestHangingEndpointIsAvoidedByAllEntries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 8, 3)
	for range 2 {
		f.startEntry(40)
	}
	time.Sleep(500 * time.Millisecond) // the entries have subscribed to the hosts' reports
	f.services[0].SetFaults(standin.Faults{Refuse: true})
	third := f.startEntry(0.01)
	suspects := third.configurer.reports.suspects
	excluded := func() bool {
		return len(suspects.Excluded(time.Since(processStart), func(string) bool { return true }, 8)) > 0
	}
	for end := time.Now().Add(10 * time.Second); !excluded(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the third entry has not learned of the suspicion")
		}
	}
	// The requests of the other entries do not count: these may learn of it later, and probe the endpoint.
	const path = "/read/third"
	since, sent := time.Now(), 0
	for ; sent < 40; sent++ {
		f.sendTo(f.entries[2].URL, http.MethodGet, path)
		if !excluded() { // from now on it may probe the endpoint
			break
		}
		is.Equal(f.arrivals(0, path), 0)
	}
	t.Logf("%d requests of the third entry in %v: %d failed; %d of the other entries reached the endpoint meanwhile",
		sent, time.Since(since), f.other.Load(), f.services[0].MaxArrivals(since, time.Second))
	is.True(sent > 0)
	f.services[0].SetFaults(standin.Faults{})
	f.awaitArrivals(0, 5)
	for end := time.Now().Add(20 * time.Second); f.arrivals(0, path) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the third entry has not used the endpoint again")
		}
		f.sendTo(f.entries[2].URL, http.MethodGet, path)
	}
}
