package contract

import (
	"crypto/sha256"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// digestBytes is the length of a request digest in bytes.
const digestBytes = sha256.Size

// claimKey identifies a call that is not idempotent.
type claimKey struct{ workspace, key string }

// claimEntry is one claim. It is smaller than its protobuf message because the claims
// of one day are the largest part of the state.
type claimEntry struct {
	claimKey
	digest                         [digestBytes]byte
	id, endpoint, agent, agentAddr string
	incarnation                    uint64
	state                          controlv1.ClaimState
	answer                         *controlv1.Answer
	expires                        int64
	// usedClaimIDs are hashes of earlier claim ids of this key that were not run.
	usedClaimIDs []uint64
	// answerSeq is the log index at which the answer was recorded, or zero.
	answerSeq uint64
	// links are the list links, one for each list order.
	links [numClaimOrders]claimLink
}

// message returns the claim as a protobuf message.
func (e *claimEntry) message() *controlv1.Claim {
	return &controlv1.Claim{
		Workspace: e.workspace, Key: e.key, Digest: e.digest[:],
		ClaimId: e.id, Endpoint: e.endpoint,
		Agent: e.agent, AgentAddr: e.agentAddr, Incarnation: e.incarnation,
		State: e.state, Answer: e.answer, ExpiresNs: e.expires,
	}
}

// The orders of the lists that a claim is in: by age of its grant and of its answer.
const (
	grantOrder = iota
	answerOrder
	numClaimOrders
)

// claimLink links a claim to its neighbors in one list.
type claimLink struct{ prev, next *claimEntry }

// claimList is a doubly linked list of claims, oldest first.
type claimList struct {
	order      int
	head, tail *claimEntry
}

func (l *claimList) push(e *claimEntry) {
	e.links[l.order] = claimLink{prev: l.tail}
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.links[l.order].next = e
	}
	l.tail = e
}

func (l *claimList) remove(e *claimEntry) {
	link := e.links[l.order]
	if link.prev == nil {
		l.head = link.next
	} else {
		link.prev.links[l.order].next = link.next
	}
	if link.next == nil {
		l.tail = link.prev
	} else {
		link.next.links[l.order].prev = link.prev
	}
	e.links[l.order] = claimLink{}
}

// claimTable holds the claims by key and in grant order, which is also the order in
// which they expire. Answered claims beyond the limits are moved to the retired table,
// oldest answer first. A key has an unexpired record in at most one of the two tables.
type claimTable struct {
	byKey   map[claimKey]*claimEntry
	grants  claimList
	answers claimList
	retired retiredTable
	// answerCount and answerBytes are the number and total size of recorded answers.
	answerCount, answerBytes int64
	byState                  [controlv1.ClaimState_CLAIM_STATE_UNKNOWN + 1]int
	claimBounds
}

// claimBounds are the limits of a claim table. Only tests change the defaults.
type claimBounds struct{ limit, unretiredLimit, answerLimit, answerByteLimit int64 }

var defaultClaimBounds = claimBounds{limit: MaxClaims, unretiredLimit: MaxUnretiredClaims, answerLimit: MaxAnswers, answerByteLimit: MaxTotalAnswerBytes}

func newClaimTable(bounds claimBounds) claimTable {
	return claimTable{
		byKey:   make(map[claimKey]*claimEntry),
		grants:  claimList{order: grantOrder},
		answers: claimList{order: answerOrder},
		retired: newRetiredTable(),

		claimBounds: bounds,
	}
}

func (t *claimTable) find(workspace, key string) *claimEntry {
	return t.byKey[claimKey{workspace, key}]
}

func (t *claimTable) full() bool {
	unretired := int64(len(t.byKey))
	return unretired >= t.unretiredLimit || unretired+int64(t.retired.len()) >= t.limit
}

func (t *claimTable) add(e *claimEntry) {
	t.byKey[e.claimKey] = e
	t.grants.push(e)
	t.byState[e.state]++
}

func (t *claimTable) remove(e *claimEntry) {
	t.removeAnswer(e)
	t.grants.remove(e)
	t.byState[e.state]--
	delete(t.byKey, e.claimKey)
}

// expire removes claims whose TTL has passed, a bounded number in each call.
func (t *claimTable) expire(logTime int64) {
	t.retired.expire(logTime, maxExpirePerApply)
	for range maxExpirePerApply {
		oldest := t.grants.head
		if oldest == nil || oldest.expires > logTime {
			return
		}
		t.remove(oldest)
	}
}

// settle records an outcome and, within the limits, its answer. index is the log index
// of the command.
func (t *claimTable) settle(e *claimEntry, state controlv1.ClaimState, answer *controlv1.Answer, index uint64) {
	t.byState[e.state]--
	e.state = state
	t.byState[e.state]++
	if state != controlv1.ClaimState_CLAIM_STATE_ANSWERED {
		return
	}
	if answer != nil {
		e.answer = boundedAnswer(answer)
	}
	e.answerSeq = index
	t.pushAnswer(e)
	t.retire()
}

// retire moves the claims with the oldest answers to the retired table until the other
// answers fit the limits. A retired claim keeps what is needed to answer a retry of its
// request.
func (t *claimTable) retire() {
	for t.answerCount > t.answerLimit || t.answerBytes > t.answerByteLimit {
		oldest := t.answers.head
		t.remove(oldest)
		t.retired.push(oldest.toRetired())
	}
}

func (t *claimTable) pushAnswer(e *claimEntry) {
	t.answers.push(e)
	t.answerCount++
	t.answerBytes += answerSize(e.answer)
}

func (t *claimTable) removeAnswer(e *claimEntry) {
	if e.answerSeq == 0 {
		return
	}
	t.answers.remove(e)
	t.answerCount--
	t.answerBytes -= answerSize(e.answer)
}

// answerSize returns the size of an answer's headers and body in bytes.
func answerSize(answer *controlv1.Answer) int64 {
	return int64(headerBytes(answer) + len(answer.GetBody()))
}

func headerBytes(answer *controlv1.Answer) int {
	total := 0
	for _, header := range answer.GetHeaders() {
		total += len(header.GetName()) + len(header.GetValue())
	}
	return total
}

// boundedAnswer returns the answer to record: without its body or headers if they are
// too large.
func boundedAnswer(answer *controlv1.Answer) *controlv1.Answer {
	recorded := &controlv1.Answer{
		Status: answer.GetStatus(), Headers: answer.GetHeaders(),
		Body: answer.GetBody(), Truncated: answer.GetTruncated(),
	}
	if len(recorded.Body) > MaxAnswerBytes {
		recorded.Body, recorded.Truncated = nil, true
	}
	if headerBytes(recorded) > MaxAnswerHeaderBytes {
		recorded.Headers, recorded.Truncated = nil, true
	}
	return recorded
}

// ClaimCounts holds the number of claims by state.
type ClaimCounts struct {
	// Total is the sum of the four counts by state.
	Total, Granted, Answered, NotRun, Unknown int
	// Retired is the number of answered claims whose answer is no longer recorded. They
	// are included in Answered.
	Retired int
	// AnswerBytes is the total size of the recorded headers and bodies.
	AnswerBytes int64
}

func (t *claimTable) counts() ClaimCounts {
	return ClaimCounts{
		Total:       len(t.byKey) + t.retired.len(),
		Granted:     t.byState[controlv1.ClaimState_CLAIM_STATE_GRANTED],
		Answered:    t.byState[controlv1.ClaimState_CLAIM_STATE_ANSWERED] + t.retired.len(),
		NotRun:      t.byState[controlv1.ClaimState_CLAIM_STATE_NOT_RUN],
		Unknown:     t.byState[controlv1.ClaimState_CLAIM_STATE_UNKNOWN],
		Retired:     t.retired.len(),
		AnswerBytes: t.answerBytes,
	}
}
