package rankhost

import (
	"context"
	"log/slog"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// pausingEngine rejects every call and requests a pause.
type pausingEngine struct{ reads atomic.Int64 }

func (e *pausingEngine) reject() error {
	e.reads.Add(1)
	return fault.New(fault.Unavailable, "the engine rejects all calls", "wait").RetryIn(time.Minute)
}

func (e *pausingEngine) Status(context.Context) (Status, error) { return Status{}, e.reject() }
func (e *pausingEngine) Counts(context.Context) (Counts, error) { return Counts{}, e.reject() }
func (e *pausingEngine) SendOrder(context.Context, Order) error { return e.reject() }

// Guards against a host that polls an engine during a pause that the engine has requested, on its
// own or on request of the coordinator.
func TestHostRespectsEnginePause(t *testing.T) {
	t.Parallel()
	engine := &pausingEngine{}
	h := NewHost(Config{Engine: engine, PollInterval: 5 * time.Millisecond, CountInterval: 5 * time.Millisecond, Logger: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
	defer cancel()
	go h.Run(ctx)
	for ctx.Err() == nil {
		_, _ = h.Group(ctx, &agentv1.GroupRequest{})
		time.Sleep(5 * time.Millisecond)
	}
	t.Logf("%d reads", engine.reads.Load())
	is.New(t).True(engine.reads.Load() <= 2)
}
