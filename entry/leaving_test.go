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

// leave makes a service say in its answers that it leaves, and returns how many requests it gets
// once that is known.
func (f *limitedFleet) leave(service int) (got int) {
	f.t.Helper()
	f.awaitArrivals(service, len(f.fronts)*2)
	f.services[service].SetFaults(standin.Faults{Leaving: true, Status: f.services[service].Faults().Status})
	time.Sleep(500 * time.Millisecond) // all entries have had such an answer
	known := time.Now()
	time.Sleep(2 * time.Second)
	return f.services[service].MostArrivals(known, time.Minute)
}

// Guards against new work for an endpoint whose answers say that it leaves, before any control
// replica has heard of it: first attempts.
func TestAnEndpointThatSaysItLeavesGetsNothingMore(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 3, 0)
	for range 2 {
		f.startEntry(30)
	}
	got := f.leave(0)
	t.Logf("%d requests; %d answered, %d refused, %d others", got, f.served.Load(), f.refused.Load(), f.other.Load())
	is.Equal(got, 0)
	is.Equal(f.refused.Load()+f.other.Load(), int64(0))
}

// Guards against further attempts at an endpoint whose answers say that it leaves.
func TestFurtherAttemptsLeaveOutWhatLeaves(t *testing.T) {
	t.Parallel()
	f := newLimitedFleet(t, 2, 0)
	f.services[1].SetFaults(standin.Faults{Status: http.StatusInternalServerError})
	f.startEntry(0.01)
	f.startCallers(f.fronts[0].URL, http.MethodPost, 30)
	is.New(t).Equal(f.leave(0), 0)
}

// Guards against a request that is sent where all endpoints leave, or held, and against the next
// process at the address being taken for the one that left.
func TestTheNextProcessIsNotLeaving(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newLimitedFleet(t, 1, 0)
	f.startEntry(0.01)
	f.services[0].SetFaults(standin.Faults{Leaving: true})
	status, _, _ := f.answerOf(0)
	is.Equal(status, http.StatusOK)
	status, _, _ = f.answerOf(0)
	is.Equal(status, http.StatusServiceUnavailable)
	f.services[0].SetFaults(standin.Faults{})
	reborn := f.delta.GetEndpoints()[0]
	reborn.Incarnation, reborn.Revision = 2, 2
	delta := &fleetv1.Delta{FromRevision: 1, ToRevision: 2, Endpoints: []*fleetv1.Endpoint{reborn}}
	f.configurers[0].apply(t.Context(), (&feed.View{}).Apply(f.delta).Apply(delta), delta)
	status, _, _ = f.answerOf(0)
	is.Equal(status, http.StatusOK)
}
