package e2e

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/standin/caller"
)

// ledger is what the callers and the operator of a soak have seen, and when which daemon was
// harmed. It is checked against what the endpoints have run.
type ledger struct {
	mu      sync.Mutex
	calls   []seenCall
	chats   []seenChat
	harms   []harm
	intents []string
}

// seenCall is one call that must run at most once, with all of its tries.
type seenCall struct {
	body string
	// answered is true once a try got the endpoint's answer; refused if each try was told
	// that nothing had run.
	answered, refused bool
}

// seenChat is one streamed request.
type seenChat struct {
	prompt     string
	result     caller.Result
	err        error
	begun, end time.Time
}

// harm is one fault of the plan as it was carried out.
type harm struct {
	fault      plannedFault
	begun, end time.Time
}

// note adds to one of the lists.
func note[T any](l *ledger, list *[]T, seen T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	*list = append(*list, seen)
}

// wrongs returns everything that breaks a promise. runs says how often each body has run.
func (l *ledger) wrongs(runs map[string]int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var wrong []string
	for _, c := range l.calls {
		if text := c.wrong(runs[c.body]); text != "" {
			wrong = append(wrong, text)
		}
	}
	for _, c := range l.chats {
		if text := c.wrong(); text != "" {
			wrong = append(wrong, text)
		}
		if c.cut() && l.onlyPlanned(c.begun, c.end) {
			wrong = append(wrong, fmt.Sprintf("%q was cut while only planned stops were under way", c.prompt))
		}
	}
	return wrong
}

// wrong says what is wrong with a call that has run so often.
func (c *seenCall) wrong(ran int) string {
	switch {
	case ran > 1:
		return fmt.Sprintf("%q ran %d times", c.body, ran)
	case c.refused && ran > 0:
		return fmt.Sprintf("%q was refused as not run and ran", c.body)
	case c.answered && ran == 0:
		return fmt.Sprintf("%q was answered and never ran", c.body)
	}
	return ""
}

// wrong says what is wrong with the answer to a chat.
func (c *seenChat) wrong() string {
	if c.result.Complete && !strings.Contains(string(c.result.Body), c.prompt) {
		return fmt.Sprintf("%q got the answer of another: %.300s", c.prompt, c.result.Body)
	}
	return ""
}

// cut reports whether an answer had begun and did not come to its end.
func (c *seenChat) cut() bool { return c.result.Status == 200 && !c.result.Complete }

// settling is how long after a fault its consequences are not laid at a planned stop's door:
// a quorum, leases and connections need that long.
const settling = 8 * time.Second

// onlyPlanned reports whether nothing but planned stops was under way in a span.
func (l *ledger) onlyPlanned(begun, end time.Time) bool {
	return !slices.ContainsFunc(l.harms, func(h harm) bool {
		return h.fault.kind != stopped && h.begun.Before(end) && (h.end.IsZero() || h.end.Add(settling).After(begun))
	})
}

// missing returns the accepted intents that a configuration lacks.
func (l *ledger) missing(workspaces map[string]bool) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(l.intents), func(name string) bool { return workspaces[name] })
}
