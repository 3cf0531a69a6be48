package direct

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// listenCheckTimeout is how long a host may take to refuse a connection: a few times the
// network latency within a region. It is short because the caller waits for the result before
// it retries elsewhere.
const listenCheckTimeout = 150 * time.Millisecond

// ListenerState is whether a process listens at an address.
type ListenerState int

const (
	// ListenerUnknown means that the host did not answer, which is no evidence of either.
	ListenerUnknown ListenerState = iota
	// Listening means that a connection could be established.
	Listening
	// NotListening means that the host refuses connections, so that the process has ended.
	NotListening
)

// CheckListener finds out whether the endpoint's process has ended. Concurrent calls share one
// check; a connection that it establishes is kept for reuse.
func (c *Client) CheckListener(ctx context.Context, addr string) ListenerState {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listenCheckTimeout)
	defer cancel()
	state, _, _ := c.listenChecks.Do(addr, func() (any, error) {
		established, err := c.dial(ctx, addr)
		switch {
		case err == nil:
			c.put(established, c.config.IdleTimeout)
			return Listening, nil
		case errors.Is(err, syscall.ECONNREFUSED):
			return NotListening, nil
		}
		return ListenerUnknown, nil
	})
	return state.(ListenerState)
}
