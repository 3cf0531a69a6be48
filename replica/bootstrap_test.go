package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// A replica that restarts during the first start of a cluster, with or without its disk,
// only joins from then on. The others must not wait for it to form the cluster, nor it
// for them.
func TestFirstStartSurvivesRestarts(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.LostDisk, proof.Restart, proof.LostMessages, proof.DelayedMessages}, Step: "first start of a cluster", Combined: true,
		Guard: "a majority of the initial voters may form the cluster; a blank disk may after a restart"}.Log(t)
	for _, size := range []int{3, 5} {
		for seed := range *seeds / 2 {
			r := rand.New(rand.NewPCG(seed+*firstSeed, 4))
			s := newSim(t, seed+*firstSeed, size)
			s.voters = size
			for id := range uint64(size) { // they start within two heartbeats of each other
				h := s.hosts[id+1]
				h.kill()
				s.schedule(time.Duration(r.Int64N(int64(2*simHeartbeat))), h.start)
			}
			s.drop, s.delay = r.Float64()*0.3, time.Duration(1+r.Int64N(int64(2*simHeartbeat)))
			lostDisks := r.IntN(size/2 + 1)
			for n, id := range r.Perm(size) {
				h := s.hosts[uint64(id)+1]
				wiped := n < lostDisks
				if !wiped && r.IntN(2) == 0 {
					continue
				}
				s.schedule(time.Duration(r.Int64N(int64(8*simHeartbeat))), func() { h.restartToJoin(wiped, r) })
			}
			s.run(10 * simElection)
			s.drop, s.delay = 0, 2*time.Millisecond
			s.until(removalBound, fmt.Sprint("all of ", size, " voters healthy, ", lostDisks, " lost disks"), func() bool {
				s.rejoin()
				return s.allVotersHealthy()
			})
			s.commit(s.leader)
			s.checkHistory()
		}
	}
}

// restartToJoin kills a host and starts it again soon, with or without its disk, with
// settings that only let it join.
func (h *host) restartToJoin(wiped bool, r *rand.Rand) {
	h.kill()
	h.sim.schedule(time.Duration(r.Int64N(int64(4*simHeartbeat))), func() {
		h.join = true
		if wiped {
			h.disk = h.sim.blankDisk()
		}
		h.start()
	})
}

// A majority of the disks of a new cluster is lost, more than it must survive. A voter
// that never received the first entry must not form another cluster with them, in
// which the accepted configuration would be missing.
func TestMinorityFormsNoSecondCluster(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 7, 3)
	s.intercept = func(m *pb.Message) bool { return m.To == 3 && m.Kind != pb.MessageKind_MESSAGE_KIND_JOIN }
	s.until(10*simElection, "a leader", func() bool { return s.leader() != nil })
	s.commit(s.leader)
	for id := range uint64(2) {
		s.hosts[id+1].join = true
		s.hosts[id+1].replace(s.blankDisk())
	}
	s.intercept = nil
	s.run(30 * simElection)
	is.True(s.leader() == nil)
	is.True(s.hosts[3].node.Membership() == nil)
}

// A first entry that was sent by a disk which has been lost since must not be taken: its
// cluster exists nowhere else, and the others form another one.
func TestFirstEntryOfLostDiskIsIgnored(t *testing.T) {
	is := is.New(t)
	s := newSim(t, 7, 3)
	blank := s.hosts[2].node
	member := func(id uint64) *pb.Member {
		h := s.hosts[id]
		return &pb.Member{Id: id, Disk: h.disk.label.Identity, Incarnation: 1, Boot: h.node.cfg.Boot, Role: pb.Role_ROLE_VOTER}
	}
	genesis := &pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_GENESIS, From: 1, To: 2, Disk: s.hosts[1].disk.label.Identity, Term: genesisTerm,
		Entries: []*pb.Entry{{
			Index: genesisIndex, Term: genesisTerm, Kind: pb.EntryKind_ENTRY_KIND_MEMBERSHIP,
			Membership: &pb.Membership{Cluster: 9, Members: []*pb.Member{member(1), member(2), member(3)}},
		}},
	}
	s.hosts[1].join = true
	s.hosts[1].replace(s.blankDisk())
	blank.Step(s.now, &pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_JOIN, From: 1, To: 2, Disk: s.hosts[1].disk.label.Identity, Incarnation: 1})
	blank.Step(s.now, genesis)
	is.True(blank.Membership() == nil)
	genesis.Disk = s.hosts[1].disk.label.Identity
	blank.Step(s.now, genesis)
	is.True(blank.Membership() != nil)
}
