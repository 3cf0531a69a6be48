package replica

import (
	"maps"
	"slices"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// Ready holds the work that a node asks its caller to do. The package documentation
// describes the order.
type Ready struct {
	// Early may be sent before anything is persisted.
	Early []*pb.Message
	// HardState is to be persisted. It is nil if it has not changed.
	HardState *pb.HardState
	// Snapshot is to be persisted and then replaces the state of the state machine.
	Snapshot *pb.Snapshot
	// Entries are to be persisted. They overwrite stored entries with the same
	// index and all after them.
	Entries []*pb.Entry
	// Sync reports whether HardState and Entries must be synced to disk.
	Sync bool
	// Messages may be sent once all of the above is persisted.
	Messages []*pb.Message
	// Committed entries are to be applied, in order.
	Committed []*pb.Entry
	// Reads are answers to ReadIndex.
	Reads []ReadState
}

// HasReady reports whether Ready would return any work.
func (n *Node) HasReady() bool {
	n.flush()
	return len(n.early) > 0 || len(n.messages) > 0 || len(n.reads.results) > 0 ||
		n.hardStateDirty || n.receivedSnapshot != nil ||
		n.log.persisted < n.log.last().index || n.log.delivered < n.log.committed
}

// Ready returns the pending work. Call Advance when it is done.
func (n *Node) Ready() Ready {
	n.flush()
	ready := Ready{
		Early:     n.early,
		Messages:  n.messages,
		Snapshot:  n.receivedSnapshot,
		Entries:   n.log.slice(n.log.persisted+1, n.log.last().index),
		Committed: n.log.slice(n.log.delivered+1, n.log.committed),
		Reads:     n.reads.results,
	}
	ready.Sync = n.hardStateDirty || len(ready.Entries) > 0 || ready.Snapshot != nil
	if ready.Sync {
		ready.HardState = n.hardState()
	}
	if n.hardStateDirty {
		// A term must be persisted here before other replicas see it.
		ready.Early, ready.Messages = nil, append(n.early, n.messages...)
	}
	n.early, n.messages, n.reads.results = nil, nil, nil
	n.log.delivered = n.log.committed
	return ready
}

// Advance tells the node that the last Ready has been persisted.
func (n *Node) Advance() {
	n.log.persisted = n.log.last().index
	n.hardStateDirty = false
	n.receivedSnapshot = nil
	if n.role == Leader {
		n.advanceCommit()
	}
}

// flush generates the leader's messages for the reads and entries added since the
// last Ready.
func (n *Node) flush() {
	if n.role == Leader {
		n.startReadRound()
		n.flushAppends()
	}
}

// hardState returns a copy of the state that must survive a restart.
func (n *Node) hardState() *pb.HardState {
	state := &pb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.committed}
	for _, disk := range slices.Sorted(maps.Keys(n.witnesses)) {
		state.Witnesses = append(state.Witnesses, copyWitness(n.witnesses[disk]))
	}
	return state
}

func copyWitness(w *pb.Witness) *pb.Witness {
	return &pb.Witness{
		Id: w.GetId(), Disk: w.GetDisk(), Incarnation: w.GetIncarnation(),
		Boot: w.GetBoot(), Term: w.GetTerm(), Match: w.GetMatch(), MatchTerm: w.GetMatchTerm(),
	}
}
