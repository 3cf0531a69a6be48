package control

import (
	"context"
	"path"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/telemetry"
	"github.com/lilackeel/lilackeel/wait"
)

// drainPollInterval is the interval at which the calls in flight are checked during shutdown.
const drainPollInterval = 10 * time.Millisecond

// callTracker counts the unary calls in flight, so that a graceful shutdown can let them finish
// before it closes the log.
type callTracker struct{ inFlight atomic.Int64 }

// count is an interceptor that counts a call and starts its span.
func (c *callTracker) count(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	ctx, span := telemetry.StartSpan(ctx, "control "+path.Base(info.FullMethod))
	defer func() { telemetry.EndSpan(span, err) }()
	return handler(ctx, request)
}

// wait blocks until no call is in flight or ctx ends.
func (c *callTracker) wait(ctx context.Context) {
	for c.inFlight.Load() > 0 && ctx.Err() == nil {
		wait.For(ctx, drainPollInterval)
	}
}
