package e2e

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/standin/caller"
)

// observations records what the callers and the operator of a soak test observed and which
// faults were injected. It is checked against what the endpoints have run.
type observations struct {
	mu      sync.Mutex
	calls   []observedCall
	chats   []observedChat
	faults  []injectedFault
	intents []string
}

// observedCall is a call that must run at most once, with all of its attempts.
type observedCall struct {
	body string
	// answered is true if an attempt got the endpoint's response; refused if every attempt was
	// told that nothing had run.
	answered, refused bool
}

// observedChat is one streamed request.
type observedChat struct {
	prompt     string
	result     caller.Result
	err        error
	start, end time.Time
}

// injectedFault is a fault of the plan as it was carried out.
type injectedFault struct {
	planned    plannedFault
	start, end time.Time
}

// record appends an item to one of the lists.
func record[T any](o *observations, list *[]T, item T) {
	o.mu.Lock()
	defer o.mu.Unlock()
	*list = append(*list, item)
}

// violations returns all violations of the guarantees. runs is the number of times each body
// has run.
func (o *observations) violations(runs map[string]int) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var violations []string
	for _, c := range o.calls {
		if text := c.violation(runs[c.body]); text != "" {
			violations = append(violations, text)
		}
	}
	for _, c := range o.chats {
		if text := c.violation(); text != "" {
			violations = append(violations, text)
		}
		if c.interrupted() && o.onlyGracefulStops(c.start, c.end) {
			violations = append(violations, fmt.Sprintf("%q was interrupted while only graceful stops were in progress", c.prompt))
		}
	}
	return violations
}

// violation returns the violation by a call that ran the given number of times, or an empty
// string.
func (c *observedCall) violation(runs int) string {
	switch {
	case runs > 1:
		return fmt.Sprintf("%q ran %d times", c.body, runs)
	case c.refused && runs > 0:
		return fmt.Sprintf("%q was refused as not run, but ran", c.body)
	case c.answered && runs == 0:
		return fmt.Sprintf("%q was answered, but never ran", c.body)
	}
	return ""
}

// violation returns the violation by the response to a chat, or an empty string.
func (c *observedChat) violation() string {
	if c.result.Complete && !strings.Contains(string(c.result.Body), c.prompt) {
		return fmt.Sprintf("%q got the response of another request: %.300s", c.prompt, c.result.Body)
	}
	return ""
}

// interrupted reports whether a response began and did not reach its end.
func (c *observedChat) interrupted() bool { return c.result.Status == 200 && !c.result.Complete }

// faultRecoveryTime is the time after a fault during which interruptions are not attributed to
// a graceful stop: a quorum, leases and connections need that long to recover.
const faultRecoveryTime = 8 * time.Second

// onlyGracefulStops reports whether no fault other than graceful stops was in progress in an
// interval.
func (o *observations) onlyGracefulStops(start, end time.Time) bool {
	return !slices.ContainsFunc(o.faults, func(injected injectedFault) bool {
		return injected.planned.kind != stopped && injected.start.Before(end) && (injected.end.IsZero() || injected.end.Add(faultRecoveryTime).After(start))
	})
}

// missingIntents returns the accepted intents that a configuration lacks.
func (o *observations) missingIntents(workspaces map[string]bool) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(o.intents), func(name string) bool { return workspaces[name] })
}
