package workspace

import (
	"fmt"
	"time"
)

// bench drives an Admission in virtual time. Each granted request runs for the
// time that holdFor gives.
type bench struct {
	*Admission
	now      time.Duration
	holdFor  func(workspace string) time.Duration
	ends     map[string]time.Duration
	held     map[string]time.Duration
	starts   map[string]time.Duration
	refusals []Refusal
	owner    map[string]string
	serial   int
}

func newBench(config Config, slots int, limits map[string]Limits) *bench {
	b := &bench{
		Admission: NewAdmission(config),
		holdFor:   func(string) time.Duration { return time.Second },
		ends:      make(map[string]time.Duration),
		held:      make(map[string]time.Duration),
		starts:    make(map[string]time.Duration),
		owner:     make(map[string]string),
	}
	b.Configure(0, limits)
	b.SetCapacity(0, slots)
	return b
}

// arrive sends a request and returns its id.
func (b *bench) arrive(r Request) (string, Decision, error) {
	b.serial++
	r.ID = fmt.Sprint(b.serial)
	b.owner[r.ID] = r.Workspace
	verdict, err := b.Arrive(b.now, r)
	if verdict == Admitted {
		b.begin(r.ID)
	}
	return r.ID, verdict, err
}

func (b *bench) begin(id string) {
	b.starts[id] = b.now
	b.ends[id] = b.now + b.holdFor(b.owner[id])
}

func (b *bench) begun(grants []Grant) {
	for _, grant := range grants {
		b.begin(grant.ID)
	}
}

// run handles everything that is due up to the given time.
func (b *bench) run(until time.Duration) {
	for {
		next, ending := until, ""
		for id, end := range b.ends {
			if end < next || (end == next && (ending == "" || id < ending)) {
				next, ending = end, id
			}
		}
		if wake, ok := b.NextWake(b.now); ok && wake < next {
			next, ending = wake, ""
		}
		b.now = next
		if ending != "" {
			delete(b.ends, ending)
			b.held[b.owner[ending]] += b.now - b.starts[ending]
			b.begun(b.Done(b.now, ending))
		}
		grants, refusals := b.Tick(b.now)
		b.begun(grants)
		b.refusals = append(b.refusals, refusals...)
		if wake, ok := b.NextWake(b.now); b.now >= until && (!ok || wake > b.now) && !b.due() {
			return
		}
	}
}

func (b *bench) due() bool {
	for _, end := range b.ends {
		if end <= b.now {
			return true
		}
	}
	return false
}

// inFlightOf counts the requests of a workspace that hold a slot.
func (b *bench) inFlightOf(workspace string) int {
	count := 0
	for id := range b.ends {
		if b.owner[id] == workspace {
			count++
		}
	}
	return count
}

// queueOf returns the number of requests of a workspace that wait.
func (b *bench) queueOf(name string) int {
	if s, ok := b.active[name]; ok {
		return s.queue.len()
	}
	return 0
}
