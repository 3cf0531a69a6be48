package entry

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/overload"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/workspace"
)

// Guards against late requests that get room without regard to their levels, and against less urgent
// ones that fill the queue so that urgent ones are refused.
func TestUrgentLateRequestsGetRoomFirst(t *testing.T) {
	is := is.New(t)
	var l lateQueues
	waiting := 0
	for l.enqueue("p", 5, 0, time.Second, saturatedPool) {
		waiting++
	}
	for range waiting {
		is.True(l.enqueue("p", 1, 0, time.Second, saturatedPool))
	}
	is.True(!l.enqueue("p", 1, 0, time.Second, saturatedPool))
	l.setCapacity("p", 0, routed.PoolCapacity{LateSlots: waiting + 1})
	is.True(l.acquireLate("p", 5, 0)) // there is one more than the urgent ones need
	is.True(!l.acquireLate("p", 5, 0))
	l.dequeue("p", 1, 0, false) // an urgent one has left
	is.True(l.acquireLate("p", 5, 0))
	free := occupancy{Load: workspace.Load{Slots: waiting}, holdTime: time.Second}
	is.True(l.acquireShared("p", 5, 0, free))
	is.True(!l.acquireShared("p", 5, 0, free))
	is.True(l.acquireShared("p", 1, 0, free))
}

// Guards against a late request that waits behind on-time requests of lower-priority levels while
// these are shed, and against one that overtakes on-time requests of its own level, or any others
// while nothing is shed.
func TestLateRequestGoesBeforeLowerLevels(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, c := range []struct {
			level            int
			shedding, wanted bool
		}{{1, true, true}, {5, true, false}, {1, false, false}} {
			is := is.New(t)
			a := NewAdmissionController(Config{Routed: true, MaxWait: time.Hour, MaxRetryAfter: time.Second})
			a.SetLevels(map[string]bool{"p": true})
			a.SetPoolCapacity("p", routed.PoolCapacity{OnTime: 2})
			if c.shedding {
				a.shedding.update("p", func(p *poolShedding, now time.Duration) {
					p.controller.Update(now, &overload.Demand{Capacity: 1, Levels: []overload.LevelDemand{{Level: 5, Arrivals: 9}}})
				})
			}
			ctx, cancel := context.WithCancel(t.Context())
			release := func() {}
			for i := range 6 { // four of them queue
				go func() {
					released, err := a.AdmitOnTime(ctx, "p", workspace.Request{Workspace: "low", Level: 5})
					if err == nil && i < 6 {
						release = released
					}
				}()
				synctest.Wait()
			}
			result := make(chan error, 1)
			go func() {
				_, err := a.AdmitLate(ctx, "p", workspace.Request{Workspace: "high", Level: c.level}, time.Second)
				result <- err
			}()
			time.Sleep(100 * time.Millisecond)
			release()
			err := <-result
			is.Equal(err == nil, c.wanted)
			is.True(c.wanted || fault.Is(err, fault.Overloaded))
			cancel()
			synctest.Wait()
		}
	})
}
