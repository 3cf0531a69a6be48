package contract

import (
	"crypto/sha256"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// digestBytes is the length of a request digest.
const digestBytes = sha256.Size

// claimKey names a call that is not idempotent.
type claimKey struct{ workspace, key string }

// claimEntry is one claim. It is kept smaller than its message, since a day's
// claims are the largest part of the state.
type claimEntry struct {
	claimKey
	digest                         [digestBytes]byte
	id, endpoint, agent, agentAddr string
	incarnation                    uint64
	state                          controlv1.ClaimState
	answer                         *controlv1.Answer
	expires                        int64
	// spent are hashes of earlier claim ids of this key that were not run.
	spent []uint64
	// answerSeq is the log index at which the answer was recorded; zero for none.
	answerSeq uint64
	// links are the places in the lists by age of grant and by age of answer.
	links [claimLists]claimLink
}

// message returns the claim as the protocol has it.
func (e *claimEntry) message() *controlv1.Claim {
	return &controlv1.Claim{
		Workspace: e.workspace, Key: e.key, Digest: e.digest[:],
		ClaimId: e.id, Endpoint: e.endpoint,
		Agent: e.agent, AgentAddr: e.agentAddr, Incarnation: e.incarnation,
		State: e.state, Answer: e.answer, ExpiresNs: e.expires,
	}
}

// The lists that a claim is in.
const (
	byGrant = iota
	byAnswer
	claimLists
)

// claimLink is the place of a claim in one list.
type claimLink struct{ prev, next *claimEntry }

// claimList is a doubly linked list of claims, oldest first.
type claimList struct {
	which      int
	head, tail *claimEntry
}

func (l *claimList) push(e *claimEntry) {
	e.links[l.which] = claimLink{prev: l.tail}
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.links[l.which].next = e
	}
	l.tail = e
}

func (l *claimList) remove(e *claimEntry) {
	link := e.links[l.which]
	if link.prev == nil {
		l.head = link.next
	} else {
		link.prev.links[l.which].next = link.next
	}
	if link.next == nil {
		l.tail = link.prev
	} else {
		link.next.links[l.which].prev = link.prev
	}
	e.links[l.which] = claimLink{}
}

// claimTable holds the claims by key and in the order of their grants, which is
// also the order in which they expire. The answered ones beyond a bound are
// retired, oldest answer first. A key has a live record in one of the two only.
type claimTable struct {
	byKey   map[claimKey]*claimEntry
	grants  claimList
	answers claimList
	retired retiredTable
	// answerCount and answerBytes are of the answers that are kept.
	answerCount, answerBytes int64
	byState                  [controlv1.ClaimState_CLAIM_STATE_UNKNOWN + 1]int
	claimBounds
}

// claimBounds are constants but in tests.
type claimBounds struct{ limit, wholeLimit, answerLimit, bodyLimit int64 }

var defaultBounds = claimBounds{limit: MaxClaims, wholeLimit: MaxUnretiredClaims, answerLimit: MaxAnswers, bodyLimit: MaxTotalAnswerBytes}

func newClaimTable(bounds claimBounds) claimTable {
	return claimTable{
		byKey:   make(map[claimKey]*claimEntry),
		grants:  claimList{which: byGrant},
		answers: claimList{which: byAnswer},
		retired: newRetiredTable(),

		claimBounds: bounds,
	}
}

func (t *claimTable) find(workspace, key string) *claimEntry {
	return t.byKey[claimKey{workspace, key}]
}

func (t *claimTable) full() bool {
	whole := int64(len(t.byKey))
	return whole >= t.wholeLimit || whole+int64(t.retired.len()) >= t.limit
}

func (t *claimTable) add(e *claimEntry) {
	t.byKey[e.claimKey] = e
	t.grants.push(e)
	t.byState[e.state]++
}

func (t *claimTable) remove(e *claimEntry) {
	t.dropAnswer(e)
	t.grants.remove(e)
	t.byState[e.state]--
	delete(t.byKey, e.claimKey)
}

// expire forgets claims whose TTL has passed, a bounded number at a time.
func (t *claimTable) expire(logTime int64) {
	t.retired.expire(logTime, expirePerApply)
	for range expirePerApply {
		oldest := t.grants.head
		if oldest == nil || oldest.expires > logTime {
			return
		}
		t.remove(oldest)
	}
}

// settle records an outcome and, within the bounds, its answer. index is that of
// the command.
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

// retire gives up the oldest answers that no longer fit, and keeps of their claims
// what a repeat must be told.
func (t *claimTable) retire() {
	for t.answerCount > t.answerLimit || t.answerBytes > t.bodyLimit {
		oldest := t.answers.head
		t.remove(oldest)
		t.retired.push(oldest.retired())
	}
}

func (t *claimTable) pushAnswer(e *claimEntry) {
	t.answers.push(e)
	t.answerCount++
	t.answerBytes += answerSize(e.answer)
}

func (t *claimTable) dropAnswer(e *claimEntry) {
	if e.answerSeq == 0 {
		return
	}
	t.answers.remove(e)
	t.answerCount--
	t.answerBytes -= answerSize(e.answer)
}

// answerSize is the bytes of an answer's headers and body.
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

// boundedAnswer returns what is recorded of an answer.
func boundedAnswer(answer *controlv1.Answer) *controlv1.Answer {
	kept := &controlv1.Answer{
		Status: answer.GetStatus(), Headers: answer.GetHeaders(),
		Body: answer.GetBody(), Truncated: answer.GetTruncated(),
	}
	if len(kept.Body) > MaxAnswerBytes {
		kept.Body, kept.Truncated = nil, true
	}
	if headerBytes(kept) > MaxAnswerHeaderBytes {
		kept.Headers, kept.Truncated = nil, true
	}
	return kept
}

// ClaimCounts says how many claims are kept and how they stand.
type ClaimCounts struct {
	// Total is the sum of the counts by state that follow.
	Total, Granted, Answered, NotRun, Unknown int
	// Retired is the number of answered claims whose answer is not kept any more.
	Retired int
	// BodyBytes is the size of the recorded headers and bodies.
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
