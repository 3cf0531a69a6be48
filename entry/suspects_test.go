package entry

import (
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
	all := func(string) bool { return true }
	for end := time.Now().Add(10 * time.Second); len(suspects.Excluded(time.Since(processStart), all, 8)) == 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the third entry has not learned of the suspicion")
		}
	}
	since := time.Now()
	for range 40 {
		f.sendGet(f.entries[2].URL)
	}
	t.Logf("40 requests of the third entry in %v: %d failed", time.Since(since), f.other.Load())
	is.Equal(f.services[0].MaxArrivals(since, time.Second), 0)
	f.services[0].SetFaults(standin.Faults{})
	f.awaitArrivals(0, 5)
}
