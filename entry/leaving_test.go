package entry

import (
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
	time.Sleep(500 * time.Millisecond) // all entries have received such an answer
	announcedAt := time.Now()
	time.Sleep(2 * time.Second)
	return f.services[service].MaxArrivals(announcedAt, time.Minute)
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
