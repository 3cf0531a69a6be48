package expertmap

import (
	"context"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/link"
)

// delayedTransport responds after a delay.
type delayedTransport time.Duration

func (t delayedTransport) Group(ctx context.Context, _ string, _ *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	select {
	case <-time.After(time.Duration(t)):
		return &agentv1.GroupResponse{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// readyBackups are second connections that are always established.
type readyBackups struct{}

func (readyBackups) Open(string)       {}
func (readyBackups) Ready(string) bool { return true }
func (readyBackups) Drop(string)       {}

// Guards against an agent that gets no other message, and counts as unresponsive, while a lost
// packet delays the response to one call: after 400 ms its switch is aborted.
func TestDelayedResponseDoesNotBlockAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d := NewDriver(Config{
			State: contract.NewState(), Logger: slog.New(slog.DiscardHandler), Hedger: link.NewHedger(readyBackups{}),
			Transport: delayedTransport(300 * time.Millisecond), Backup: delayedTransport(5 * time.Millisecond),
		})
		direct := fanout.Branch{Relay: "a"}
		d.setCalling(direct, true)
		d.call(t.Context(), direct, &agentv1.GroupRequest{})
		is.Equal(d.now(), relayTimeout) // no call has been slow before
		(<-d.results)()
		is.True(!d.calling["a"])
		is.True(d.failing["a"])
		(<-d.results)() // the late response
		is.Equal(d.now(), 300*time.Millisecond)
		is.Equal(d.lastAnswer["a"], d.now())
		is.True(!d.failing["a"])
		d.call(t.Context(), direct, &agentv1.GroupRequest{})
		is.Equal(d.now(), 300*time.Millisecond+directDelay+5*time.Millisecond)
		(<-d.results)()
		(<-d.results)()
		is.Equal(d.lastAnswer["a"], 600*time.Millisecond)
		time.Sleep(time.Minute)
	})
}
