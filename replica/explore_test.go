package replica

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/proof"
)

var (
	exploreAll  = flag.Bool("explore-all", false, "TestMembershipAfterTwoFaults runs all pairs instead of a sample")
	exploreOnly = flag.String("explore-only", "", "TestMembershipAfterTwoFaults runs only the pair with this name")
)

// exploredFault is one disturbance of a cluster that maintains its voters.
type exploredFault struct {
	name string
	// losesDisk is set if a disk is lost or a host is gone: no other host may then be
	// disturbed until the cluster has had time to replace it.
	losesDisk bool
	// begin disturbs a host and returns the end of the disturbance, which comes after pause.
	begin func(x *exploration, h *host) (end func())
	pause time.Duration
}

// exploredFaults are all disturbances, in the order of their names in test logs.
func exploredFaults() []exploredFault {
	const long, short = 40 * simElection, 6 * simElection
	var faults []exploredFault
	add := func(name string, losesDisk bool, pause time.Duration, begin func(*exploration, *host) func()) {
		faults = append(faults, exploredFault{fmt.Sprint(name, " ", pause), losesDisk, begin, pause})
	}
	for _, pause := range []time.Duration{short, long} {
		add("freeze", false, pause, func(_ *exploration, h *host) func() { h.frozen = true; return h.resume })
		add("cut", false, pause, func(x *exploration, h *host) func() { x.isolate(h.id); return x.heal })
		add("kill", false, pause, func(_ *exploration, h *host) func() { h.kill(); return h.start })
		add("kill all", false, pause, func(x *exploration, _ *host) func() { return x.killAll() })
	}
	add("not heard", false, long, func(x *exploration, h *host) func() {
		for _, other := range x.others(h) {
			x.cuts[[2]uint64{h.id, other.id}] = true
		}
		return x.heal
	})
	for _, pause := range []time.Duration{simElection, short, long} {
		add("wipe", true, pause, func(x *exploration, h *host) func() { h.kill(); return func() { x.startBlank(h) } })
	}
	add("replace", true, 0, func(x *exploration, h *host) func() { x.remove(h); return func() { x.addHost() } })
	add("replace", true, short, func(x *exploration, h *host) func() { x.remove(h); return func() { x.addHost() } })
	add("add, then remove", true, short, func(x *exploration, h *host) func() { x.addHost(); return func() { x.remove(h) } })
	add("remove", true, long, func(x *exploration, h *host) func() { x.remove(h); return func() {} })
	return faults
}

// exploration is a cluster with hosts that are gone for good.
type exploration struct {
	*sim
	size int
	gone map[uint64]bool
}

// addHost starts a replica at a new address whose settings name the members at that time.
func (x *exploration) addHost() {
	h := &host{sim: x.sim, id: uint64(len(x.hosts) + 1), join: true, disk: x.blankDisk(), peers: x.seeds()}
	x.hosts[h.id] = h
	h.start()
	x.scheduleTick(h)
}

// startBlank starts a host on a blank disk, with settings that are written anew.
func (x *exploration) startBlank(h *host) {
	h.join, h.peers = true, x.seeds()
	h.replace(x.blankDisk())
}

// seeds returns three hosts that are not gone, running or not.
func (x *exploration) seeds() map[uint64]string {
	seeds := map[uint64]string{}
	for id := uint64(1); id <= uint64(len(x.hosts)) && len(seeds) < 3; id++ {
		if !x.gone[id] {
			seeds[id] = fmt.Sprint("host-", id)
		}
	}
	return seeds
}

func (x *exploration) remove(h *host) {
	x.gone[h.id] = true
	h.kill()
}

func (x *exploration) killAll() (start func()) {
	var killed []*host
	for id := range uint64(len(x.hosts)) {
		if h := x.hosts[id+1]; h.node != nil {
			h.kill()
			killed = append(killed, h)
		}
	}
	return func() {
		for _, h := range killed {
			if h.node == nil && !x.gone[h.id] {
				h.start()
			}
		}
	}
}

// targets returns the hosts to disturb: the leader, another voter, and the last host that
// runs, a standby if there is one.
func (x *exploration) target(n int) *host {
	leader := x.leader()
	var voter, last *host
	for id := uint64(1); id <= uint64(len(x.hosts)); id++ {
		h := x.hosts[id]
		if h.node == nil || h.frozen || h == leader {
			continue
		}
		if voter == nil && x.role(id) == pb.Role_ROLE_VOTER {
			voter = h
		}
		last = h
	}
	return []*host{leader, voter, last}[n]
}

// settled reports whether each running replica is a member, unless the cluster has all the
// voters and standbys that it takes, and whether it has all voters that can run.
func (x *exploration) settled() bool {
	x.rejoin()
	leader := x.leader()
	if leader == nil || !leader.node.Status().MembershipCommitted {
		return false
	}
	members, running := leader.node.Membership().GetMembers(), 0
	for id := range uint64(len(x.hosts)) {
		h := x.hosts[id+1]
		if h.node == nil {
			continue
		}
		running++
		if !x.isMember(h) && len(members) < 2*x.size {
			return false
		}
	}
	active := 0
	for _, voter := range voters(leader.node.Membership()) {
		if h := x.hosts[voter.GetId()]; h.node != nil && x.isMember(h) {
			active++
		}
	}
	return active == min(x.size, running)
}

// explore runs two faults, the second one gap after the beginning of the first, and checks
// that the cluster is whole within removalBound after both.
func explore(t testing.TB, seed uint64, size int, faults [2]exploredFault, targets [2]int, gap time.Duration) {
	x := &exploration{sim: startManaged(t, seed, size, 1), size: size, gone: map[uint64]bool{}}
	var ended time.Duration
	for i, fault := range faults {
		h := x.target(targets[i])
		if h == nil {
			break // no such host is left
		}
		end := fault.begin(x, h)
		ended = max(ended, x.now+fault.pause)
		x.schedule(fault.pause, end)
		if i == 0 {
			x.run(gap)
		}
	}
	x.run(ended - x.now + 1)
	x.heal()
	x.until(removalBound, "all replicas are members", x.settled)
	x.commitSomewhere()
	for id := range uint64(len(x.hosts)) {
		h := x.hosts[id+1]
		if h.node == nil || !x.isMember(h) {
			continue
		}
		var read *operation
		x.until(removalBound, fmt.Sprint("a read at host ", h.id), func() bool {
			x.rejoin()                                          // a standby may have taken the place of a voter just before that returned
			if read == nil || x.now-read.call > 2*simElection { // refused by a deposed leader
				read = x.read(h)
			}
			return read != nil && read.done
		})
	}
	x.checkHistory()
}

// Any two faults, at once or one after the other, that the cluster must survive leave it
// whole: each replica that runs is a member, writes are committed and reads answered
// everywhere. None waits for another without end.
func TestMembershipAfterTwoFaults(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze, proof.FullPartition, proof.OneWayPartition, proof.Kill, proof.Restart, proof.LostDisk, proof.SecondLoss}, Step: "membership, two faults at once or in turn", Combined: true,
		Guard: "the question of a replica without a leader; a refusal compared with the log, not with its length"}.Log(t)
	const sampled = 400
	faults := exploredFaults()
	var explored atomic.Int64
	for _, size := range []int{3, 5} {
		t.Run(fmt.Sprint(size, " voters"), func(t *testing.T) {
			t.Parallel()
			pairs := pairsOfFaults(faults)
			if !*exploreAll && *exploreOnly == "" {
				r := rand.New(rand.NewPCG(*firstSeed, uint64(size)))
				r.Shuffle(len(pairs), func(i, j int) { pairs[i], pairs[j] = pairs[j], pairs[i] })
				pairs = pairs[:sampled/size]
			}
			for _, p := range pairs {
				if *exploreOnly != "" && *exploreOnly != p.name {
					continue
				}
				t.Run(p.name, func(t *testing.T) {
					explore(t, 7, size, p.faults, p.targets, p.gap)
					explored.Add(1)
				})
			}
		})
	}
	t.Cleanup(func() { t.Logf("%d pairs explored", explored.Load()) })
}

// pairOfFaults is one case of TestMembershipAfterTwoFaults.
type pairOfFaults struct {
	name    string
	faults  [2]exploredFault
	targets [2]int
	gap     time.Duration
}

// pairsOfFaults returns all pairs of faults, targets and gaps that a cluster must survive.
func pairsOfFaults(faults []exploredFault) []pairOfFaults {
	// A lost host may be replaced by a standby only after standbyTakeoverFactor times
	// RepairAfter, and the standby must be promoted then.
	const catchUp = 2 * standbyTakeoverFactor * simRepairAfter
	roles := []string{"leader", "voter", "last"}
	var pairs []pairOfFaults
	for _, first := range faults {
		for _, second := range faults {
			for n := range len(roles) * len(roles) {
				for _, gap := range []time.Duration{0, 3 * simElection, first.pause + catchUp, first.pause + 60*simElection} {
					overlap := gap < first.pause+catchUp
					if overlap && (first.losesDisk || second.losesDisk) {
						continue
					}
					targets := [2]int{n / len(roles), n % len(roles)}
					pairs = append(pairs, pairOfFaults{
						name:   strings.ReplaceAll(fmt.Sprint(first.name, " ", roles[targets[0]], ", ", gap, ", ", second.name, " ", roles[targets[1]]), " ", "_"),
						faults: [2]exploredFault{first, second}, targets: targets, gap: gap,
					})
				}
			}
		}
	}
	return pairs
}
