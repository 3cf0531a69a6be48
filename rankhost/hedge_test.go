package rankhost

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/link"
)

// readyBackups are second connections that are always established.
type readyBackups struct{}

func (readyBackups) Open(string)       {}
func (readyBackups) Ready(string) bool { return true }
func (readyBackups) Drop(string)       {}

// Guards against a host whose responses miss every round of a switch while a lost packet delays its
// connection, and against the loss of the delayed response.
func TestRelayRepeatsUnansweredCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		stalled := &fakeHosts{delays: map[string]time.Duration{"a": 400 * time.Millisecond, "b": 5 * time.Millisecond}}
		second := &fakeHosts{delays: map[string]time.Duration{"a": 5 * time.Millisecond}}
		r := &relay{call: stalled.call, backup: second.call, hedger: link.NewHedger(readyBackups{}), logger: slog.New(slog.DiscardHandler), inFlight: map[string]bool{}}
		response, elapsed := relayMessages(r, nil, "a", "b")
		is.Equal(elapsed, relayTimeout)
		is.Equal(response.GetAnswered(), []string{"b"}) // no call to a has been slow before
		time.Sleep(time.Second)
		response, _ = relayMessages(r, nil, "b")
		is.Equal(response.GetAnswered(), []string{"b", "a"})
		response, elapsed = relayMessages(r, nil, "a", "b")
		is.Equal(elapsed, 55*time.Millisecond)
		is.Equal(response.GetAnswered(), []string{"b", "a"})
		response, elapsed = relayMessages(r, nil, "a")
		is.Equal(elapsed, 5*time.Millisecond) // the stalled connection is avoided
		is.Equal(response.GetAnswered(), []string{"a"})
		time.Sleep(time.Second)
		is.Equal(second.calls.Load(), int32(2))
		response, _ = relayMessages(r, nil)
		is.Equal(response.GetAnswered(), []string{"a"}) // the delayed response
	})
}

// Guards against a host that gets no further request through its relay for a second because a lost
// packet delays its connection, which is longer than a promise may take.
func TestStalledCallDoesNotBlockNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var calls atomic.Int32
		r := &relay{hedger: link.NewHedger(noBackups{}), logger: slog.New(slog.DiscardHandler), inFlight: map[string]bool{}}
		r.call = func(ctx context.Context, _ string, _ *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
			calls.Add(1)
			<-ctx.Done()
			return nil, ctx.Err()
		}
		relayMessages(r, nil, "a")
		time.Sleep(forwardWait)
		relayMessages(r, nil, "a")
		is.Equal(calls.Load(), int32(2))
		time.Sleep(time.Minute)
	})
}

// noBackups are second connections that cannot be established.
type noBackups struct{ readyBackups }

func (noBackups) Ready(string) bool { return false }
