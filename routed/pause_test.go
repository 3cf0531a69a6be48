package routed

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/fault"
)

// Guards against requests that are let in for endpoints that have asked for a pause: they would
// find none.
func TestPlacesLeaveOutEndpointsInAPause(t *testing.T) {
	is := is.New(t)
	const limit, entries = 40, 1
	load := func(paused, trials int) poolLoad {
		var l poolLoad
		for i := range 4 {
			opens := 5 * time.Second
			if i >= paused {
				opens = 0
			}
			l.note(10, 2, i < paused+trials, opens)
		}
		l.own = 8
		return l
	}
	is.Equal(load(0, 0).places(limit, entries), 40)
	is.Equal(load(2, 0).places(limit, entries), 8+20-4) // what the two others hold
	is.Equal(load(2, 2).places(limit, entries), 8+2)    // one each to try the two that are back
	name := poolGroup{"pool", "g"}
	is.Equal(len(reopenings(map[poolGroup]poolLoad{name: load(3, 0)})), 0)
	is.Equal(len(reopenings(map[poolGroup]poolLoad{name: load(3, 1)})), 0)
	all := map[poolGroup]poolLoad{name: load(4, 0)}
	is.Equal(reopenings(all)["pool"], 5*time.Second)
	all[poolGroup{"pool", "h"}] = load(0, 0)
	is.Equal(len(reopenings(all)), 0)
	closed := room{state: lockstep.Closed, places: load(4, 0).places(limit, entries)}
	is.Equal(total([]room{closed}), PoolCapacity{AfterReopen: 40}) // so many may wait for its end
}

// pausedMeanwhile admits every request and knows then that an endpoint is in a pause.
type pausedMeanwhile struct {
	unlimited
	id string
}

func (p pausedMeanwhile) InPause(id string) bool { return id == p.id }

// Guards against a request that is written although its endpoint has asked for a pause while the
// connection was set up: it goes elsewhere, also where it may run at most once.
func TestAPauseMeanwhileSendsTheRequestElsewhere(t *testing.T) {
	for _, target := range []string{"/read/x", "/once/x"} {
		is := is.New(t)
		asked := 0
		b := newBed(t, func(http.ResponseWriter, *http.Request) { asked++ }, answerOK)
		b.server.RateLimits = pausedMeanwhile{id: "e1"}
		for range 20 {
			code, _, text := status(t, b, target, nil)
			is.Equal(code, http.StatusOK)
			is.Equal(text, "done")
		}
		is.Equal(asked, 0)
	}
}

// closedPool refuses every request of a pool.
type closedPool struct{ unlimited }

func (closedPool) Refusal(string) *fault.Error {
	return fault.New(fault.RateLimited, "closed", "wait").RetryIn(9 * time.Second)
}

// Guards against requests that queue for a pool whose pause they cannot wait out: with those that
// can, they would be refused only after their patience. The route allows 2 s, half of it for waiting.
func TestWhoCannotWaitForAPauseDoesNotQueue(t *testing.T) {
	for left, queued := range map[time.Duration]int{500 * time.Millisecond: 1, 5 * time.Second: 0} {
		is := is.New(t)
		b := newBed(t, answerOK)
		admitter := &countingAdmitter{}
		b.server.Admitter, b.server.RateLimits = admitter, closedPool{}
		b.server.placement.Store(&placement{reopens: map[string]time.Duration{"pool": b.server.clock() + left}})
		code, response, _ := status(t, b, "/read/x", nil)
		is.Equal(int(admitter.asked.Load()), queued)
		is.Equal(code == http.StatusOK, queued == 1)
		if queued == 0 {
			is.Equal(response.Header.Get("Retry-After"), "9")
		}
	}
}
