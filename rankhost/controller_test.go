package rankhost

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
)

// Runs switches one after another while messages are lost and late, orders are carried out without
// a reply or seconds later, hosts are frozen, partitioned and restarted, and coordinators are
// replaced. No step may begin with two maps. Afterwards the group must continue and switch again.
func TestAllRanksUseOneMapPerStep(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.Freeze, proof.FullPartition, proof.DelayedMessages, proof.LostMessages}, Step: "orders that engines carry out late or without a reply", Combined: true,
		Guard: "a promise is given only once its step is held"}.Log(t)
	for _, ranks := range []int{2, 3, 5} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("ranks=%d/seed=%d", ranks, seed), func(t *testing.T) {
				is := is.New(t)
				sim := newSimulation(t, seed, ranks)
				sim.lossRate, sim.lateRate = 0.05, 0.05
				sim.run(20*time.Second, true)
				sim.lossRate, sim.lateRate = 0, 0
				clear(sim.partitionedUntil)
				sim.run(26*time.Second, false)
				step, epoch := sim.step, sim.record.Epoch
				sim.run(32*time.Second, false)
				if sim.step == step || sim.record.Epoch == epoch {
					sim.dump()
				}
				is.True(sim.step > step)          // no step is held forever
				is.True(sim.record.Epoch > epoch) // maps are switched again
			})
		}
	}
}

// Guards against a late release that lifts the hold of a later promise for the same step. The group
// has little work, so its steps stand still while coordinators replace each other, and orders are
// carried out long after newer ones.
func TestLateReleaseDoesNotLiftLaterHold(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.Freeze, proof.FullPartition, proof.DelayedMessages, proof.LostMessages}, Step: "a late release during a later promise of the same step", Combined: true,
		Guard: "reservation.reserve: a step is requested of an engine for one switch only"}.Log(t)
	seeds := []uint64{487, 1288, 1517, 1699} // seeds that once began a step with two maps
	for seed := range uint64(300) {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, seed, 2)
			sim.lossRate, sim.lateRate, sim.idleRate, sim.maxOrderDelay = 0.02, 0.3, 0.5, 12*time.Second
			sim.run(90*time.Second, true)
		})
	}
}

// Sends rescue orders that are late and based on outdated status while the hosts work, freeze and
// restart. This test does not fail without the guard in RescueOrder, which
// TestRescueOrdersOnlyDecidedSwitch checks: a host holds a step that was released too early again
// within milliseconds.
func TestConcurrentRescueIsSafe(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.Freeze, proof.FullPartition, proof.DelayedMessages, proof.LostMessages}, Step: "rescue orders on behalf of an unreachable host", Combined: true}.Log(t)
	rescues := 0
	for seed := range uint64(480) {
		sim := newSimulation(t, seed, 2+int(seed%2))
		sim.lossRate, sim.lateRate, sim.idleRate, sim.maxOrderDelay, sim.rescueEnabled = 0.02, 0.3, 0.5, 12*time.Second, true
		sim.run(60*time.Second, true)
		rescues += sim.rescues
	}
	is.New(t).True(rescues > 500)
}

// The host of one rank is lost permanently while its engine holds a step.
func TestGroupContinuesAfterHostLossDuringHold(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Kill}, Step: "host permanently lost while its engine holds a step",
		Guard: "RescueOrder"}.Log(t)
	is := is.New(t)
	for seed := range uint64(20) {
		sim := newSimulation(t, seed, 3)
		sim.maxOrderDelay = time.Second
		orphan := sim.engines[1]
		for !orphan.hasHeld {
			sim.run(sim.now+time.Millisecond, false)
		}
		orphan.frozenUntil = time.Hour
		sim.run(sim.now+time.Second, false)
		step := sim.step
		sim.run(sim.now+time.Second, false)
		is.Equal(sim.step, step) // without a rescue the group does not advance
		sim.rescueEnabled = true
		sim.run(sim.now+5*time.Second, false)
		is.True(sim.step > step+20)
	}
}

// Counts the steps that a group without faults loses to its switches.
func TestSwitchesWithoutFaultsDoNotStallGroup(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(t, 1, 4)
	sim.run(10*time.Second, false)
	is.True(sim.record.Epoch > 5)
	is.True(sim.step >= 230) // of 250 steps of 40 ms, with more than 30 switches
}
