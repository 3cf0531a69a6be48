package gate

import (
	"container/list"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// AnswerLimit is the maximum size of a recorded answer, in bytes.
const AnswerLimit = 64 << 10

// recordedAnswer is the answer to a claimed call. Its headers and body are
// dropped when newer answers need the memory; the status is kept.
type recordedAnswer struct {
	answer  *controlv1.Answer
	size    int
	element *list.Element
}

// answerCache holds recorded answers within a number of bytes and truncates the
// oldest ones first.
type answerCache struct {
	limit int
	size  int
	byAge *list.List
}

// add records an answer, without its body and headers if it is too large.
func (a *answerCache) add(answer *controlv1.Answer) *recordedAnswer {
	added := &recordedAnswer{answer: answer, size: answerSize(answer)}
	if added.size > AnswerLimit || answer.GetTruncated() {
		added.truncate()
		return added
	}
	a.size += added.size
	added.element = a.byAge.PushBack(added)
	for a.size > a.limit {
		oldest := a.byAge.Front().Value.(*recordedAnswer)
		a.release(oldest)
		oldest.truncate()
	}
	return added
}

// release releases the memory of an answer; nil and truncated ones hold none.
func (a *answerCache) release(r *recordedAnswer) {
	if r == nil || r.element == nil {
		return
	}
	a.size -= r.size
	a.byAge.Remove(r.element)
	r.element = nil
}

func (r *recordedAnswer) truncate() {
	r.answer = &controlv1.Answer{Status: r.answer.GetStatus(), Truncated: true}
}

func (r *recordedAnswer) message() *controlv1.Answer { return r.answer }

func answerSize(answer *controlv1.Answer) int {
	size := len(answer.GetBody())
	for _, h := range answer.GetHeaders() {
		size += len(h.GetName()) + len(h.GetValue())
	}
	return size
}
