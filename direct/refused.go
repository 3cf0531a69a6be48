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

// ConnectionRefused reports whether the endpoint's host refuses connections to the address,
// which means that the endpoint's process has ended. A host that does not answer is not
// evidence of that. Concurrent calls share one check; a connection that it establishes is kept
// for reuse.
func (c *Client) ConnectionRefused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), listenCheckTimeout)
	defer cancel()
	refused, _, _ := c.listenChecks.Do(addr, func() (any, error) {
		established, err := c.dial(ctx, addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		c.put(established, c.config.IdleTimeout)
		return false, nil
	})
	return refused.(bool)
}
