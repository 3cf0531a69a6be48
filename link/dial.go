package link

import (
	"context"
	"net"
	"time"
)

// firstAttemptTimeout bounds the first attempt to connect; each further attempt may
// take twice as long. It is longer than the round trip between any two regions. It
// is the delay caused by a lost packet or a peer that was down when the attempt
// started; without it the delay would be that of the kernel, which retransmits the
// SYN only after one second.
const firstAttemptTimeout = 300 * time.Millisecond

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialWithRetry connects to the address and retries attempts that time out until
// ctx ends. Other failures are not retried: without a delay between attempts they
// could fail in a busy loop.
func dialWithRetry(ctx context.Context, address string, dial dialFunc) (net.Conn, error) {
	for timeout := firstAttemptTimeout; ; timeout *= 2 {
		started := time.Now()
		attempt, cancel := context.WithTimeout(ctx, timeout)
		conn, err := dial(attempt, "tcp", address)
		cancel()
		timedOut := err != nil && time.Since(started) >= timeout
		if !timedOut || ctx.Err() != nil {
			return conn, err
		}
	}
}
