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
		is.Equal(f.callsSeen(mate), [2]bool{false, false})
		(<-d.results)() // the relay has responded
		time.Sleep(20 * time.Millisecond)
		is.Equal(f.callsSeen(mate), [2]bool{true, true})
		is.Equal(f.callsSeen(slow), [2]bool{true, false}) // it was being called at the time of the poll
	})
}

// callsSeen reports whether a host has been reached and whether it has been asked for counts.
func (f *testFleet) callsSeen(addr string) [2]bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return [2]bool{!f.reached[addr].IsZero(), f.counted[addr]}
}
