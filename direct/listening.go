package direct

import (
	"context"
	"errors"
	"syscall"
	"time"
)

// lookTimeout is how long a host may take to say that nothing listens: a few ways within a
// region. What waits for the answer is to be tried elsewhere.
const lookTimeout = 150 * time.Millisecond

// Refuses reports whether an endpoint's host answers that nothing listens at the address:
// the endpoint's process has ended. A host that does not answer says nothing. Those who ask
// at the same time share one look, whose connection, if one comes about, is kept.
func (c *Client) ConnectionRefused(ctx context.Context, addr string) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), lookTimeout)
	defer cancel()
	refused, _, _ := c.looks.Do(addr, func() (any, error) {
		found, err := c.dial(ctx, addr)
		if err != nil {
			return errors.Is(err, syscall.ECONNREFUSED), nil
		}
		c.put(found, c.config.IdleTimeout)
		return false, nil
	})
	return refused.(bool)
}
