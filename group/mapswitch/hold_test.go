package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestASwitchAbortsSoonAfterARankHolds simulates a host that is killed while it is asked for
// its promise, in a group whose steps took 120 ms before and are faster now, so that it
// reaches the step sooner than predicted. Once another rank reports that it holds at the
// step, the switch must be aborted within maxHoldTime; otherwise the group would wait until
// the predicted time.
func TestASwitchAbortsSoonAfterARankHolds(t *testing.T) {
	is := is.New(t)
	options := Options{StepTime: 60 * time.Millisecond, MaxLead: 8, PromiseWindow: 400 * time.Millisecond, PrepareTimeout: 3 * time.Second}
	var record Record
	record, err := record.Apply(Entry{Kind: EntryCreate, Token: 1, Epoch: 1, Digest: 7})
	is.NoErr(err)
	c := NewCoordinator("g", 3, 1, record, options)
	c.estimator.expectedTime = 350 * time.Millisecond
	effects, err := c.Propose(0, group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 3, Slots: 2}))
	is.NoErr(err)
	record, err = record.Apply(effects[0].Entry)
	is.NoErr(err)
	c.Committed(0, record)
	for rank := range 3 {
		c.Step(0, Message{Kind: KindPrepared, Group: "g", Rank: rank, Token: 1, Epoch: 2, Step: 40})
	}
	is.Equal(c.Phase(), PhasePromising)
	for rank := range 2 {
		c.Step(0, Message{Kind: KindPromised, Group: "g", Rank: rank, Token: 1, Epoch: 2, Step: c.step})
	}
	predicted := c.estimator.plannedTime + maxHoldTime
	is.True(predicted > 400*time.Millisecond)
	held := 150 * time.Millisecond
	c.Tick(held)
	c.Step(held, Message{Kind: KindHolding, Group: "g", Rank: 0, Token: 1, Epoch: 2, Step: c.step - 1})
	c.Step(held+30*time.Millisecond, Message{Kind: KindHolding, Group: "g", Rank: 1, Token: 1, Epoch: 2, Step: c.step - 1})
	c.Tick(held + maxHoldTime - time.Millisecond)
	is.Equal(c.Phase(), PhasePromising)
	c.Tick(held + maxHoldTime)
	is.Equal(c.Phase(), PhaseDeciding)
	phase, ranks := c.LastAbort()
	is.Equal(phase, PhasePromising)
	is.Equal(ranks, []int{2})
}
