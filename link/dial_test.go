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

// TestAPeerThatComesUpIsReachedSoon dials a peer that hears nothing at first, as a
// host does that is still down: what is sent to it then is lost.
func TestAPeerThatComesUpIsReachedSoon(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Kill, proof.Lost}, Step: "connecting to a host that is still down",
		Guard: "dialAgain: an attempt without an answer is begun anew"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		began := time.Now()
		peer := func(ctx context.Context, _, _ string) (net.Conn, error) {
			if time.Since(began) >= 50*time.Millisecond {
				end, _ := net.Pipe()
				return end, nil
			}
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := dialAgain(t.Context(), "10.0.0.1:1", peer)
		is.NoErr(err)
		is.True(conn != nil)
		is.True(time.Since(began) <= firstAnswer)
	})
}

func TestDialingEndsWithItsContextAndWithARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		attempts := 0
		ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
		defer cancel()
		began := time.Now()
		_, err := dialAgain(ctx, "10.0.0.1:1", func(ctx context.Context, _, _ string) (net.Conn, error) {
			attempts++
			<-ctx.Done()
			return nil, ctx.Err()
		})
		is.True(errors.Is(err, context.DeadlineExceeded))
		is.Equal(time.Since(began), 2*time.Second)
		is.Equal(attempts, 3) // 0.3, 0.6 and what was left

		refused := errors.New("connection refused")
		attempts = 0
		_, err = dialAgain(t.Context(), "10.0.0.1:1", func(context.Context, string, string) (net.Conn, error) {
			attempts++
			return nil, refused
		})
		is.Equal(err, refused)
		is.Equal(attempts, 1)

		attempts = 0
		_, err = dialAgain(t.Context(), "10.0.0.1:1", func(context.Context, string, string) (net.Conn, error) {
			attempts++
			return nil, os.ErrDeadlineExceeded // at once, as when the deadline of ctx has just passed
		})
		is.Equal(err, os.ErrDeadlineExceeded)
		is.Equal(attempts, 1)
	})
}
