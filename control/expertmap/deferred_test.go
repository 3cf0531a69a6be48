package expertmap

import (
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// Guards against agents that are not polled, and therefore count as unresponsive after 400 ms, while
// their relay forwards one message after another to a rank that is slow to prepare. Each switch was
// aborted for this while a restarted host of the same branch was preparing.
func TestPollWaitsForBusyRelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLargeFleet(t)
		d := NewDriver(Config{State: f.state, Transport: f, Logger: slog.New(slog.DiscardHandler), BranchSize: 8})
		agents := d.rankAgents()
		slow, mate := agents[rankID{testGroup, 10}], agents[rankID{testGroup, 11}] // both behind the relay of rank 0
		time.Sleep(pollOverdue)
		message := newOutbox(agents)
		message.byAddr[slow] = &agentv1.GroupRequest{}
		d.send(t.Context(), message)
		poll := newOutbox(agents)
		for _, rank := range []int{0, 10, 11} {
			poll.pollDemand(rankID{testGroup, rank}, true)
		}
		d.send(t.Context(), poll)
		time.Sleep(20 * time.Millisecond)
		is.True(f.reached[mate].IsZero())
		(<-d.results)() // the relay has responded
		time.Sleep(20 * time.Millisecond)
		is.True(!f.reached[mate].IsZero())
		is.True(f.counted[mate])
		is.True(!f.counted[slow]) // it was called at the time of the poll
	})
}
