package replica

import (
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// FuzzMessages sends two encoded messages to a leader and to a replica with a blank
// disk. They must not panic, and the leader must not lose committed entries.
func FuzzMessages(f *testing.F) {
	f.Add([]byte{}, []byte{})
	for kind := range pb.MessageKind_name {
		m := &pb.Message{
			Kind: pb.MessageKind(kind), From: 2, To: 1, Term: 3, LogIndex: 1, LogTerm: 1, Commit: 2,
			Entries:  []*pb.Entry{{Index: 2, Term: 2, Kind: pb.EntryKind_ENTRY_KIND_DATA, Data: make([]byte, 8)}},
			Snapshot: &pb.Snapshot{Index: 9, Term: 2, Data: make([]byte, 16), Membership: &pb.Membership{Cluster: 1, Members: []*pb.Member{{Id: 1, Role: pb.Role_ROLE_VOTER}}}},
		}
		addSeed(f, m)
		m.Snapshot, m.Entries[0].Index = nil, 7
		addSeed(f, m)
		m.Entries[0].Index, m.Entries[0].Kind = 2, pb.EntryKind_ENTRY_KIND_MEMBERSHIP
		addSeed(f, m)
		m.LogIndex, m.Hint, m.Entries = 1<<63, 1<<63, nil
		addSeed(f, m)
	}
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := newSim(t, 1, 3)
		s.until(20*simElection, "a leader", func() bool { return s.leader() != nil })
		leader := s.leader()
		blank := s.add(4, true)
		committed := leader.node.log.committed
		for _, data := range [][]byte{first, second} {
			for _, h := range []*host{leader, blank} {
				m := &pb.Message{}
				if proto.Unmarshal(data, m) != nil {
					return
				}
				s.impersonatePeer(m, h)
				if h.node != nil {
					h.node.Step(s.now, m)
					h.processReady()
				}
			}
		}
		s.run(simElection)
		if leader.node.Err() == nil && leader.node.log.committed < committed {
			t.Fatalf("commit index decreased from %d to %d", committed, leader.node.log.committed)
		}
	})
}

// impersonatePeer sets the sender and term of a message so that h accepts it.
func (s *sim) impersonatePeer(m *pb.Message, h *host) {
	from := s.others(h)[int(m.From%3)]
	m.From, m.To, m.ToDisk = from.id, h.id, 0
	m.Term = h.node.term + m.Term%3
	m.Cluster, m.Disk = h.node.cluster(), from.disk.label.Identity
	m.Incarnation, m.Boot = from.node.cfg.Disk.Incarnation, from.node.cfg.Boot
}

func addSeed(f *testing.F, m *pb.Message) {
	data, err := proto.Marshal(m)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data, data)
}
