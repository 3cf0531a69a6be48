package replica

import (
	"maps"
	"slices"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// ReadState is the result of a ReadIndex request.
type ReadState struct {
	// ID is the one that ReadIndex returned.
	ID uint64
	// Index is the index that must be applied before the state machine is read.
	Index uint64
	// Err is set if the read was aborted. The caller must not read then.
	Err error
}

// pendingRead is a read that waits for a quorum to confirm the leader.
type pendingRead struct {
	id    uint64
	from  uint64
	index uint64
	// round is the first round of heartbeats that can confirm the leader.
	round uint64
}

// readQueue holds the reads that wait at a leader and those forwarded to one.
type readQueue struct {
	next        uint64
	round       uint64
	deferred    []pendingRead // requested before the leader committed an entry of its term
	waiting     []pendingRead
	roundNeeded bool // waiting has reads for which no round was started
	forwarded   map[uint64]bool
	results     []ReadState
}

// ReadIndex requests the index up to which the state machine must be applied so
// that a read sees everything committed before the call. The result arrives in
// Ready.Reads. A follower forwards the request to its leader. That response may be
// lost, so the caller should abort the read after a timeout with CancelRead.
func (n *Node) ReadIndex() (id uint64, err error) {
	if n.fenced != nil {
		return 0, n.fenced
	}
	if n.leader == 0 {
		return 0, n.notLeader()
	}
	n.reads.next++
	id = n.reads.next
	if n.role == Leader {
		n.queueRead(pendingRead{id: id, from: n.cfg.ID})
		return id, nil
	}
	n.reads.forwarded[id] = true
	n.sendEarly(&pb.Message{Kind: pb.MessageKind_MESSAGE_KIND_READ_INDEX, To: n.leader, Echo: id})
	return id, nil
}

// CancelRead aborts a read that was forwarded and not answered.
func (n *Node) CancelRead(id uint64) { delete(n.reads.forwarded, id) }

// queueRead queues a read at the leader. Until the leader has committed an entry of
// its own term, it does not know the commit index of its predecessors.
func (n *Node) queueRead(read pendingRead) {
	if !n.committedInTerm() {
		n.reads.deferred = append(n.reads.deferred, read)
		return
	}
	read.index = n.log.committed
	read.round = n.reads.round + 1
	n.reads.waiting = append(n.reads.waiting, read)
	n.reads.roundNeeded = true
}

func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.committed)
	return ok && term == n.term
}

func (n *Node) releaseDeferredReads() {
	if len(n.reads.deferred) == 0 || !n.committedInTerm() {
		return
	}
	deferred := n.reads.deferred
	n.reads.deferred = nil
	for _, read := range deferred {
		n.queueRead(read)
	}
}

// startReadRound starts one round of heartbeats for all reads that were queued
// since the last round.
func (n *Node) startReadRound() {
	if !n.reads.roundNeeded {
		return
	}
	n.reads.roundNeeded = false
	n.reads.round++
	n.sendHeartbeats()
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	n.answerConfirmedReads()
}

// answerConfirmedReads answers the reads whose round a quorum has answered.
func (n *Node) answerConfirmedReads() {
	confirmed := n.confirmedRound()
	for len(n.reads.waiting) > 0 && n.reads.waiting[0].round <= confirmed {
		read := n.reads.waiting[0]
		n.reads.waiting = n.reads.waiting[1:]
		n.answerRead(read)
	}
}

// confirmedRound returns the highest round that a quorum of voters has answered.
func (n *Node) confirmedRound() uint64 {
	all := voters(n.members.current())
	best := uint64(0)
	for _, candidate := range all {
		round := n.answeredRound(candidate)
		count := 0
		for _, member := range all {
			if n.answeredRound(member) >= round {
				count++
			}
		}
		if count >= quorum(n.members.current()) {
			best = max(best, round)
		}
	}
	return best
}

func (n *Node) answeredRound(member *pb.Member) uint64 {
	if member.GetId() == n.cfg.ID {
		return n.reads.round
	}
	if pr := n.progress[member.GetId()]; pr != nil {
		return pr.readRound
	}
	return 0
}

func (n *Node) answerRead(read pendingRead) {
	if read.from == n.cfg.ID {
		n.reads.results = append(n.reads.results, ReadState{ID: read.id, Index: read.index})
		return
	}
	n.sendEarly(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE, To: read.from, Echo: read.id, LogIndex: read.index,
	})
}

func (n *Node) refuseRead(read pendingRead) {
	if read.from == n.cfg.ID {
		n.reads.results = append(n.reads.results, ReadState{ID: read.id, Err: n.notLeader()})
		return
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE, To: read.from, Echo: read.id, Reject: true,
	})
}

// failReads aborts the reads of a leader that has stepped down.
func (n *Node) failReads() {
	for _, read := range append(n.reads.deferred, n.reads.waiting...) {
		n.refuseRead(read)
	}
	n.reads.deferred, n.reads.waiting, n.reads.roundNeeded = nil, nil, false
	n.reads.round = 0
}

// failForwardedReads aborts the reads that were forwarded to a former leader.
func (n *Node) failForwardedReads() {
	for _, id := range slices.Sorted(maps.Keys(n.reads.forwarded)) {
		n.reads.results = append(n.reads.results, ReadState{ID: id, Err: n.notLeader()})
	}
	clear(n.reads.forwarded)
}

func (n *Node) handleReadIndex(m *pb.Message) {
	read := pendingRead{id: m.GetEcho(), from: m.GetFrom()}
	if n.role != Leader {
		n.refuseRead(read)
		return
	}
	n.queueRead(read)
}

func (n *Node) handleReadIndexResponse(m *pb.Message) {
	id := m.GetEcho()
	if !n.reads.forwarded[id] {
		return
	}
	delete(n.reads.forwarded, id)
	state := ReadState{ID: id, Index: m.GetLogIndex()}
	if m.GetReject() {
		state.Err = n.notLeader()
	}
	n.reads.results = append(n.reads.results, state)
}
