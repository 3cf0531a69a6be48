package replica

import (
	"maps"
	"slices"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// ReadState is the answer to one ReadIndex.
type ReadState struct {
	// ID is the one that ReadIndex returned.
	ID uint64
	// Index must be applied before the state machine is read.
	Index uint64
	// Err is set when the read was given up; nothing was read.
	Err error
}

// pendingRead is a read that waits for proof that its leader still leads.
type pendingRead struct {
	id    uint64
	from  uint64
	index uint64
	// round is the first round of heartbeats that proves it.
	round uint64
}

// readQueue holds the reads of a leader and those forwarded to one.
type readQueue struct {
	next      uint64
	round     uint64
	held      []pendingRead // asked before the leader committed in its term
	waiting   []pendingRead
	unproved  bool // waiting has reads for which no round was started
	forwarded map[uint64]bool
	done      []ReadState
}

// ReadIndex asks for the index up to which the state machine must be applied so
// that a read sees everything committed before now. The answer comes in
// Ready.Reads. A follower asks its leader; that answer may be lost, so the
// caller should give it up after a while with ForgetRead.
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

// ForgetRead gives up a read for which no answer came.
func (n *Node) CancelRead(id uint64) { delete(n.reads.forwarded, id) }

// queueRead takes in a read at a leader. Until the leader has committed an entry
// of its term it does not know what its predecessors committed.
func (n *Node) queueRead(read pendingRead) {
	if !n.committedInTerm() {
		n.reads.held = append(n.reads.held, read)
		return
	}
	read.index = n.log.committed
	read.round = n.reads.round + 1
	n.reads.waiting = append(n.reads.waiting, read)
	n.reads.unproved = true
}

func (n *Node) committedInTerm() bool {
	term, ok := n.log.term(n.log.committed)
	return ok && term == n.term
}

func (n *Node) releaseHeldReads() {
	if len(n.reads.held) == 0 || !n.committedInTerm() {
		return
	}
	held := n.reads.held
	n.reads.held = nil
	for _, read := range held {
		n.queueRead(read)
	}
}

// flushReads starts one round of heartbeats for all reads that came in since the
// last one.
func (n *Node) flushReads() {
	if !n.reads.unproved {
		return
	}
	n.reads.unproved = false
	n.reads.round++
	n.sendHeartbeats()
	n.nextHeartbeat = n.now + n.cfg.HeartbeatInterval
	n.releaseReads()
}

// releaseReads answers the reads whose round a quorum has answered.
func (n *Node) releaseReads() {
	proved := n.provedRound()
	for len(n.reads.waiting) > 0 && n.reads.waiting[0].round <= proved {
		read := n.reads.waiting[0]
		n.reads.waiting = n.reads.waiting[1:]
		n.answerRead(read)
	}
}

// provedRound returns the highest round that a quorum of voters has answered.
func (n *Node) provedRound() uint64 {
	all := voters(n.members.current())
	best := uint64(0)
	for _, candidate := range all {
		round := n.roundOf(candidate)
		count := 0
		for _, member := range all {
			if n.roundOf(member) >= round {
				count++
			}
		}
		if count >= quorum(n.members.current()) {
			best = max(best, round)
		}
	}
	return best
}

func (n *Node) roundOf(member *pb.Member) uint64 {
	if member.GetId() == n.cfg.ID {
		return n.reads.round
	}
	if pr := n.progress[member.GetId()]; pr != nil {
		return pr.round
	}
	return 0
}

func (n *Node) answerRead(read pendingRead) {
	if read.from == n.cfg.ID {
		n.reads.done = append(n.reads.done, ReadState{ID: read.id, Index: read.index})
		return
	}
	n.sendEarly(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE, To: read.from, Echo: read.id, LogIndex: read.index,
	})
}

func (n *Node) refuseRead(read pendingRead) {
	if read.from == n.cfg.ID {
		n.reads.done = append(n.reads.done, ReadState{ID: read.id, Err: n.notLeader()})
		return
	}
	n.send(&pb.Message{
		Kind: pb.MessageKind_MESSAGE_KIND_READ_INDEX_RESPONSE, To: read.from, Echo: read.id, Reject: true,
	})
}

// failReads gives up the reads of a leader that has stepped down.
func (n *Node) failReads() {
	for _, read := range append(n.reads.held, n.reads.waiting...) {
		n.refuseRead(read)
	}
	n.reads.held, n.reads.waiting, n.reads.unproved = nil, nil, false
	n.reads.round = 0
}

// failForwardedReads gives up the reads sent to a former leader.
func (n *Node) failForwardedReads() {
	for _, id := range slices.Sorted(maps.Keys(n.reads.forwarded)) {
		n.reads.done = append(n.reads.done, ReadState{ID: id, Err: n.notLeader()})
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
	n.reads.done = append(n.reads.done, state)
}
