package agent

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/link/replicas"
	"github.com/lilackeel/lilackeel/wait"
)

// retryPause is the mean pause before a retry after all replicas have failed.
const retryPause = 200 * time.Millisecond

// controls sends requests to the leader of the control replicas.
type controls struct {
	*replicas.Finder
	logger *slog.Logger
}

func newControls(s *Settings, pool *link.Pool, logger *slog.Logger) *controls {
	return &controls{Finder: replicas.New(pool, s.Control), logger: logger}
}

// learnFence reads the highest fencing token from a quorum. It retries until it succeeds or ctx
// ends.
func (c *controls) learnFence(ctx context.Context, g *lockedGate) {
	for ctx.Err() == nil {
		err := c.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
			response, err := client.ReadFence(ctx, &controlv1.ReadFenceRequest{})
			if err == nil {
				g.learnFence(response.GetFence())
			}
			return err
		})
		if err == nil {
			return
		}
		c.logger.DebugContext(ctx, "cannot read the fencing token yet", slog.Any("error", err))
		wait.For(ctx, jitter(retryPause))
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
