package workspace

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// newGate returns a gate that uses the clock of a synctest bubble.
func newGate(config Config, slots int) *Gate {
	start := time.Now()
	gate := NewGate(NewAdmission(config), func() time.Duration { return time.Since(start) })
	gate.SetCapacity(slots)
	return gate
}

func TestGateBoundsConcurrencyAndAnswersEveryCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := newGate(Config{MaxWait: 2 * time.Second}, 10)
		var running, most, refused, served atomic.Int64
		var callers sync.WaitGroup
		for i := range 200 {
			callers.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i%7+1)*300*time.Millisecond)
				defer cancel()
				if i%5 == 0 { // some callers cancel
					time.AfterFunc(100*time.Millisecond, cancel)
				}
				release, err := gate.Acquire(ctx, Request{Workspace: fmt.Sprint("w", i%3)})
				if err != nil {
					refused.Add(1)
					return
				}
				most.Store(max(most.Load(), running.Add(1)))
				time.Sleep(90 * time.Millisecond)
				running.Add(-1)
				served.Add(1)
				release(Usage{})
				release(Usage{}) // a second release has no effect
			})
		}
		callers.Wait()
		is.Equal(most.Load(), int64(10))
		is.Equal(served.Load()+refused.Load(), int64(200))
		is.True(refused.Load() > 0)
		load := gate.Load()
		is.Equal(load.InFlight+load.Queued+len(gate.waiting), 0)
		time.Sleep(time.Minute)
		is.Equal(gate.Load().ActiveWorkspaces, 0)
	})
}

func TestCancelledCallerLeavesQueueWithoutSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		gate := newGate(Config{}, 1)
		release, err := gate.Acquire(t.Context(), Request{Workspace: "w"})
		is.NoErr(err)
		ctx, cancel := context.WithCancel(t.Context())
		left := make(chan error, 1)
		go func() {
			_, err := gate.Acquire(ctx, Request{Workspace: "w"})
			left <- err
		}()
		synctest.Wait()
		is.Equal(gate.Load().Queued, 1)
		cancel()
		err = <-left
		is.Equal(fault.KindOf(err), fault.Unavailable)
		is.True(errors.Is(err, context.Canceled))
		release(Usage{})
		first, err := gate.Acquire(t.Context(), Request{ID: "again", Workspace: "w"}) // the slot is free for the next request
		is.NoErr(err)
		first(Usage{})
		release, err = gate.Acquire(t.Context(), Request{ID: "again", Workspace: "w"})
		is.NoErr(err)
		first(Usage{}) // a second release does not end the later request with the same id
		is.Equal(gate.Load().InFlight, 1)
		release(Usage{})
		time.Sleep(time.Minute) // let the timer of the gate fire
	})
}
