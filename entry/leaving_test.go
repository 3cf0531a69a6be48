package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/standin"
)

// announceLeaving makes a service announce its shutdown in its answers, and returns how many
// requests it gets after that is known to all entries.
func (f *routedFleet) announceLeaving(service int) (got int) {
	f.t.Helper()
	f.awaitArrivals(service, len(f.entries)*2)
	f.services[service].SetFaults(standin.Faults{Leaving: true, Status: f.services[service].Faults().Status})
	f.awaitLeavingKnown(service)
	time.Sleep(100 * time.Millisecond) // requests in flight have arrived
	announcedAt := time.Now()
	time.Sleep(2 * time.Second)
	return f.services[service].MaxArrivals(announcedAt, time.Minute)
}

// awaitLeavingKnown waits until each entry has received an answer in which a service announces its
// shutdown. Callers choose at random, so that no fixed time suffices.
func (f *routedFleet) awaitLeavingKnown(service int) {
	f.t.Helper()
	id := fmt.Sprint("e", service)
	for i, c := range f.configurers {
		for end := time.Now().Add(10 * time.Second); !c.reports.limits.Restrictions()[id].Leaving; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				f.t.Fatalf("entry %d has not taken note of an announced shutdown", i)
			}
		}
	}
}

// Guards against first attempts at an endpoint that has announced its shutdown in its answers, when
// no control replica knows of it yet.
func TestLeavingEndpointGetsNoFirstAttempts(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 3, 0)
	for range 2 {
		f.startEntry(30)
	}
	got := f.announceLeaving(0)
	t.Logf("%d requests; %d answered, %d refused, %d others", got, f.served.Load(), f.refused.Load(), f.other.Load())
	is.Equal(got, 0)
	is.Equal(f.refused.Load()+f.other.Load(), int64(0))
}

// Guards against retries at an endpoint that has announced its shutdown in its answers.
func TestRetriesSkipLeavingEndpoint(t *testing.T) {
	t.Parallel()
	f := newRoutedFleet(t, 2, 0)
	f.services[1].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
	f.startEntry(0.01)
	f.startCallers(f.entries[0].URL, http.MethodPost, 30)
	is.New(t).Equal(f.announceLeaving(0), 0)
}

// Guards against a request being sent or kept waiting when all endpoints are leaving, and against a
// restarted process being mistaken for the one that left.
func TestRestartedEndpointIsNotLeaving(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newRoutedFleet(t, 1, 0)
	f.startEntry(0.01)
	f.services[0].SetFaults(standin.Faults{Leaving: true})
	status, _, _ := f.request(0)
	is.Equal(status, http.StatusOK)
	status, _, _ = f.request(0)
	is.Equal(status, http.StatusServiceUnavailable)
	f.services[0].SetFaults(standin.Faults{})
	restarted := f.delta.GetEndpoints()[0]
	restarted.Incarnation, restarted.Revision = 2, 2
	delta := &fleetv1.Delta{FromRevision: 1, ToRevision: 2, Endpoints: []*fleetv1.Endpoint{restarted}}
	f.configurers[0].apply(t.Context(), (&feed.View{}).Apply(f.delta).Apply(delta), delta)
	status, _, _ = f.request(0)
	is.Equal(status, http.StatusOK)
}
