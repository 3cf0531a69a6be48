package routed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/fault"
)

// Guards against admitting requests for endpoints that have asked for a pause, which would
// then find no endpoint.
func TestCallLimitExcludesPausedEndpoints(t *testing.T) {
	is := is.New(t)
	const limit, entries = 40, 1
	load := func(paused, probes int) groupLoad {
		var l groupLoad
		for i := range 4 {
			opens := 5 * time.Second
			if i >= paused {
				opens = 0
			}
			l.addEndpoint(10, 2, i < paused+probes, opens)
		}
		l.ownCalls = 8
		return l
	}
	is.Equal(load(0, 0).callLimit(limit, entries), 40)
	is.Equal(load(2, 0).callLimit(limit, entries), 8+20-4) // the slots of the two others
	is.Equal(load(2, 2).callLimit(limit, entries), 8+2)    // one probe for each of the two that may be probed
	name := poolGroup{"pool", "g"}
	is.Equal(len(reopenTimes(map[poolGroup]groupLoad{name: load(3, 0)})), 0)
	is.Equal(len(reopenTimes(map[poolGroup]groupLoad{name: load(3, 1)})), 0)
	all := map[poolGroup]groupLoad{name: load(4, 0)}
	is.Equal(reopenTimes(all)["pool"], 5*time.Second)
	all[poolGroup{"pool", "h"}] = load(0, 0)
	is.Equal(len(reopenTimes(all)), 0)
	closed := groupCapacity{state: lockstep.Closed, limit: load(4, 0).callLimit(limit, entries)}
	is.Equal(poolCapacity([]groupCapacity{closed}), PoolCapacity{AfterReopen: 40}) // that many may wait for the pause to end
}

// pausedBeforeSend admits every request and then reports that an endpoint is paused.
type pausedBeforeSend struct {
	unlimited
	id string
}

func (p pausedBeforeSend) InPause(id string) bool { return id == p.id }

// Guards against a request that is sent although its endpoint asked for a pause while the
// connection was being established. It is retried elsewhere, even if it may run at most once.
func TestAPauseMeanwhileSendsTheRequestElsewhere(t *testing.T) {
	for _, target := range []string{"/read/x", "/once/x"} {
		is := is.New(t)
		received := 0
		b := newTestEntry(t, func(http.ResponseWriter, *http.Request) { received++ }, answerOK)
		b.server.RateLimits = pausedBeforeSend{id: "e1"}
		for range 20 {
			code, _, text := post(t, b, target, nil)
			is.Equal(code, http.StatusOK)
			is.Equal(text, "done")
		}
		is.Equal(received, 0)
	}
}

// closedPool refuses every request of a pool.
type closedPool struct{ unlimited }

func (closedPool) Refusal(string) *fault.Error {
	return fault.New(fault.RateLimited, "closed", "wait").RetryIn(9 * time.Second)
}

// Guards against queueing requests for a pool whose pause lasts longer than they can wait: in
// the queue they would be refused only after their maximum wait. The route allows 2 s, half of
// it for waiting.
func TestRequestThatCannotOutwaitPauseIsNotQueued(t *testing.T) {
	for left, queued := range map[time.Duration]int{500 * time.Millisecond: 1, 5 * time.Second: 0} {
		is := is.New(t)
		b := newTestEntry(t, answerOK)
		admitter := &countingAdmitter{}
		b.server.Admitter, b.server.RateLimits = admitter, closedPool{}
		b.server.placement.Store(&placement{reopensAt: map[string]time.Duration{"pool": b.server.clock() + left}})
		code, response, _ := post(t, b, "/read/x", nil)
		is.Equal(int(admitter.calls.Load()), queued)
		is.Equal(code == http.StatusOK, queued == 1)
		if queued == 0 {
			is.Equal(response.Header.Get("Retry-After"), "9")
		}
	}
}
