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

// callsPoll is the time between two looks at the calls in flight.
const callsPoll = 10 * time.Millisecond

// calls counts the unary calls in flight, so that a planned stop can let them
// finish before it closes the log.
type calls struct{ inFlight atomic.Int64 }

// count is an interceptor that counts a call and opens its span.
func (c *calls) count(ctx context.Context, request any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (response any, err error) {
	c.inFlight.Add(1)
	defer c.inFlight.Add(-1)
	ctx, span := telemetry.Span(ctx, "control "+path.Base(info.FullMethod))
	defer func() { telemetry.End(span, err) }()
	return handler(ctx, request)
}

// wait returns when no call is in flight or ctx ends.
func (c *calls) wait(ctx context.Context) {
	for c.inFlight.Load() > 0 && ctx.Err() == nil {
		wait.For(ctx, callsPoll)
	}
}
