package replica

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/proof"
)

const crashChance = 0.0005

// nemesis injects random faults.
type nemesis struct {
	*sim
	copies map[uint64]*diskCopy
	counts map[string]int
}

// diskCopy is a copy of a disk, with the state of the hosts when it was made.
type diskCopy struct {
	disk *disk
	// boots counts the starts of each host when the copy was made.
	boots map[uint64]int
}

// allVotersHealthy reports whether all voters run on the disks that the membership
// names and know each other's incarnation, so that the next fault is the only one.
func (s *sim) allVotersHealthy() bool {
	leader := s.leader()
	if leader == nil || !leader.node.committedInTerm() {
		return false
	}
	status := leader.node.Status()
	for _, member := range voters(status.Membership) {
		h := s.hosts[member.Id]
		if h == nil || h.node == nil || h.frozen || h.disk.label.Identity != member.Disk || !h.node.admission.admitted {
			return false
		}
		if h != leader && status.Progress[member.Id].Match < status.Commit {
			return false
		}
		if !h.node.namedInMembership() && len(h.node.admission.agreed) < len(status.Membership.Members)-1 {
			return false
		}
	}
	return status.MembershipCommitted && len(voters(status.Membership)) >= len(s.peers)
}

func (n *nemesis) pick() *host { return n.hosts[uint64(n.rand.IntN(len(n.hosts))+1)] }

// injectFault injects one random fault.
func (n *nemesis) injectFault() {
	h := n.pick()
	kinds := []string{"cut", "isolate", "heal", "kill", "start", "freeze", "weather", "transfer", "wipe", "copy", "old disk", "repair", "clock step"}
	kind := kinds[n.rand.IntN(len(kinds))]
	switch kind {
	case "cut":
		n.cuts[[2]uint64{h.id, n.pick().id}] = true
	case "isolate":
		n.isolate(h.id)
	case "heal":
		n.heal()
	case "kill":
		h.kill()
	case "start":
		n.startDead()
	case "freeze":
		n.freeze(h)
	case "weather":
		n.drop, n.duplicate = n.rand.Float64()*0.2, n.rand.Float64()*0.2
		n.delay = time.Duration(1 + n.rand.Int64N(int64(40*time.Millisecond)))
	case "transfer":
		if leader := n.leader(); leader != nil {
			_ = leader.node.TransferLeader(h.id)
			leader.processReady()
		}
	case "wipe":
		if !n.allVotersHealthy() {
			return
		}
		h.replace(n.blankDisk())
	case "copy":
		n.copies[h.id] = &diskCopy{h.disk.copy(), n.boots()}
	case "old disk":
		if !n.restoreOldDisk(h) {
			return
		}
	case "repair":
		n.lossAfterRepair(h)
	case "clock step":
		h.clock += time.Duration(n.rand.Int64N(int64(8*simElection))) - 4*simElection
	}
	n.counts[kind]++
}

// lossAfterRepair repairs everything, replaces one disk and, as soon as that is
// repaired, a second one.
func (n *nemesis) lossAfterRepair(h *host) {
	n.stopFaults()
	n.untilRepaired()
	if n.rand.IntN(2) == 0 || !n.restoreOldDisk(h) {
		h.replace(n.blankDisk())
	}
	n.untilRepaired()
	n.pick().replace(n.blankDisk())
	n.crash = crashChance
}

func (n *nemesis) untilRepaired() {
	n.until(100*simElection, "all voters healthy", func() bool {
		n.repairFenced()
		return n.allVotersHealthy()
	})
}

func (n *nemesis) boots() map[uint64]int {
	boots := map[uint64]int{}
	for id, h := range n.hosts {
		boots[id] = h.boots
	}
	return boots
}

// restoreOldDisk starts a host on an old copy of its disk, if that is the only
// fault and witnesses can detect it: either the host was restarted after the copy
// was made, which the others have stored, or none of the others was restarted, so
// that they still know what it acknowledged.
func (n *nemesis) restoreOldDisk(h *host) bool {
	old := n.copies[h.id]
	if old == nil || !n.allVotersHealthy() || old.disk.label.Identity != h.disk.label.Identity {
		return false
	}
	if h.disk.label.Incarnation == old.disk.label.Incarnation {
		for id, boots := range n.boots() {
			if boots != old.boots[id] {
				return false
			}
		}
	}
	n.heal()
	n.drop = 0
	h.replace(old.disk.copy())
	n.run(3 * simElection)
	return true
}

func (n *nemesis) startDead() {
	for id := uint64(1); id <= uint64(len(n.hosts)); id++ {
		if n.hosts[id].node == nil {
			n.hosts[id].start()
		}
	}
}

func (n *nemesis) freeze(h *host) {
	if h.node == nil || h.frozen {
		return
	}
	h.frozen = true
	n.schedule(time.Duration(n.rand.Int64N(int64(6*simElection))), func() {
		if h.frozen {
			h.resume()
		}
	})
}

// repairFenced replaces the disks of fenced replicas, as the remedy of their error says.
func (n *nemesis) repairFenced() {
	for id := uint64(1); id <= uint64(len(n.hosts)); id++ {
		h := n.hosts[id]
		if h.node != nil && h.node.Err() != nil {
			n.counts["fenced"]++
			h.replace(n.blankDisk())
		}
	}
}

// runRandomFaults runs clients under random faults, then ends the faults and checks
// the invariants.
func runRandomFaults(t testing.TB, seed uint64, counts map[string]int) {
	n := &nemesis{newSim(t, seed, 3+2*int(seed%2)), map[uint64]*diskCopy{}, counts}
	n.until(10*simElection, "a first leader", func() bool { return n.leader() != nil })
	n.crash = crashChance
	for range 60 {
		n.run(time.Duration(n.rand.Int64N(int64(3 * simElection / 2))))
		n.repairFenced()
		n.injectFault()
		n.write(n.leader())
		n.write(n.pick())
		n.read(n.pick())
		if n.rand.IntN(4) == 0 {
			n.startDead()
		}
	}
	n.stopFaults()
	n.untilRepaired()
	n.write(n.leader())
	n.until(10*simElection, "all replicas converged", n.converged)
	n.read(n.leader())
	n.run(simElection)
	reads, writes := n.checkHistory()
	counts["reads"] += reads
	counts["writes"] += writes
}

func (n *nemesis) stopFaults() {
	n.crash, n.drop, n.duplicate, n.delay = 0, 0, 0, 2*time.Millisecond
	n.heal()
	n.startDead()
}

// converged reports whether all hosts have applied every entry that any host has
// applied.
func (n *nemesis) converged() bool {
	last := uint64(len(n.digests))
	for _, h := range n.hosts {
		if h.node == nil || h.applied < last || h.digest != n.digests[h.applied] {
			return false
		}
	}
	return true
}

var (
	seeds     = flag.Uint64("seeds", 400, "number of seeds of TestRandomFaults")
	firstSeed = flag.Uint64("first-seed", 0, "first seed of TestRandomFaults")
)

// TestRandomFaults checks, under all faults, that a term has one leader, that all
// replicas apply the same entries, that no committed entry is lost or changed, that
// the register is linearizable, and that the cluster recovers when the faults end.
func TestRandomFaults(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill, proof.Restart, proof.LostDisk, proof.StaleDisk, proof.OneWayPartition, proof.FullPartition, proof.Freeze, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages, proof.ClockStep, proof.SecondLoss}, Step: "every step of elections, commits, reads, snapshots and repairs", Combined: true,
		Guard: "each alone: the candidate's log compared at a vote, a term stored before it is sent, messages of an old term dropped, admission after a restart, the check of old disks by witnesses, reads confirmed by a quorum; the three checks of a disk's identity together"}.Log(t)
	const groups = 8
	for group := range uint64(groups) {
		from, to := *firstSeed+group**seeds/groups, *firstSeed+(group+1)**seeds/groups
		t.Run(fmt.Sprintf("seeds %d to %d", from, to-1), func(t *testing.T) {
			t.Parallel()
			counts := map[string]int{}
			for seed := from; seed < to; seed++ {
				runRandomFaults(t, seed, counts)
			}
			t.Log(counts)
		})
	}
}
