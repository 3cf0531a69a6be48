package link

import (
	"context"
	"net"
	"time"
)

// firstAnswer is how long the first attempt to connect waits for the peer. It is
// above the round trip between any two regions. A peer that was down when the
// attempt began, or a lost packet, costs this much; without it the attempt would
// wait for the kernel, which sends its packet again only after a second. Each
// further attempt waits twice as long.
const firstAnswer = 300 * time.Millisecond

// dialFunc connects to an address.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// dialAgain connects, and begins anew when an attempt gets no answer, until ctx
// ends. Only an attempt that has waited for its whole time is begun anew: any other
// failure, begun anew at once, could fail at once again and again.
func dialAgain(ctx context.Context, address string, dial dialFunc) (net.Conn, error) {
	for limit := firstAnswer; ; limit *= 2 {
		began := time.Now()
		attempt, cancel := context.WithTimeout(ctx, limit)
		conn, err := dial(attempt, "tcp", address)
		cancel()
		unanswered := err != nil && time.Since(began) >= limit
		if !unanswered || ctx.Err() != nil {
			return conn, err
		}
	}
}
