package link

import (
	"context"
	"errors"
	"net"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
)

// TestDialRetriesWhenPeerComesUp dials a peer that does not receive the first packets,
// like a host that is still down.
func TestDialRetriesWhenPeerComesUp(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.LostMessages}, Step: "connecting to a host that is still down",
		Guard: "dialWithRetry: an attempt that times out is retried"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		started := time.Now()
		peer := func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Since(started) >= 50*time.Millisecond {
				end, _ := net.Pipe()
				return end, nil
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dialWithRetry(t.Context(), "10.0.0.1:1", peer)
		is.NoErr(err)
		is.True(conn != nil)
		is.True(time.Since(started) <= firstAttemptTimeout)
	})
}

func TestDialStopsOnContextEndAndRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		attempts := 0
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		started := time.Now()
		_, err := dialWithRetry(ctx, "10.0.0.1:1", func(ctx context.Context, _, _ string) (net.Conn, error) {
			attempts++
			<-ctx.Done()
			return nil, ctx.Err()
		})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(started), 2*time.Second)
		is.Equal(attempts, 3) // 0.3 s, 0.6 s and the remaining time

		refused := errors.New("connection refused")
		attempts = 0
		_, err = dialWithRetry(t.Context(), "10.0.0.1:1", func(context.Context, string, string) (net.Conn, error) {
			attempts++
			return nil, refused
		})
		is.Equal(err, refused)
		is.Equal(attempts, 1)

		attempts = 0
		_, err = dialWithRetry(t.Context(), "10.0.0.1:1", func(context.Context, string, string) (net.Conn, error) {
			attempts++
			return nil, os.ErrDeadlineExceeded // immediately, as if the deadline of ctx had just passed
		})
		is.Equal(err, os.ErrDeadlineExceeded)
		is.Equal(attempts, 1)
	})
}
