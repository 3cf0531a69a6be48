package ranks

import (
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/tally"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// machine is the decision maker beside one rank.
type machine struct {
	member Member
	// run is the run of the engine that rank stands beside.
	run  string
	rank *mapswitch.Rank
	// granted is the highest step ever granted, to any run.
	granted uint64
	// inPlace lists what the run of the engine said last that it has loaded.
	inPlace []engineapi.LoadedMap
	// loading names the epochs whose order is under way.
	loading map[uint64]bool
	// experts is what was counted and not yet reported.
	experts tally.Tally
	// changed closes when the machine has taken in a message.
	changed chan struct{}
}

func newMachine(member Member) *machine {
	m := &machine{member: member, changed: make(chan struct{})}
	m.begin("")
	return m
}

// begin puts a new Rank beside a run of the engine. What the former run had
// loaded is gone; what was granted still counts.
func (m *machine) begin(run string) {
	m.run = run
	m.inPlace = nil
	m.rank = mapswitch.NewRank(m.member.Rank, m.member.Group, rand.Uint64())
	m.loading = make(map[uint64]bool)
}

// step hands a message to the rank and wakes the requests that wait.
func (m *machine) step(now time.Duration, message mapswitch.Message) []mapswitch.Message {
	out := m.rank.Step(now, message)
	close(m.changed)
	m.changed = make(chan struct{})
	return out
}

// ask answers a request of the engine with a grant of at most ahead steps from
// its position on.
func (m *machine) ask(now time.Duration, r engineapi.StepRequest, ahead uint64) (engineapi.StepGrant, []mapswitch.Message) {
	if r.Run != m.run {
		m.begin(r.Run)
	}
	m.inPlace = r.Loaded
	var out []mapswitch.Message
	for _, loaded := range r.Loaded {
		message := m.loaded(loaded.Epoch, loaded.Digest)
		out = append(out, m.rank.Step(now, message)...)
	}
	if r.Step == 0 {
		return engineapi.StepGrant{First: m.first()}, out
	}
	m.observe(r.Granted)
	grant := m.grant(r.Step, max(r.Step, r.Granted+1), ahead)
	return grant, append(out, m.rank.Tick(now)...)
}

// observe notes a step that was granted to the engine, perhaps by a former
// process of the agent. What was granted to other runs of the engine still
// counts: this request may be a late one of a former run.
func (m *machine) observe(granted uint64) {
	m.granted = max(m.granted, granted)
	if m.granted > 0 {
		m.rank.ObserveStep(m.granted)
	}
}

// first returns the first step that was not granted and belongs to the map in
// force; zero if there is none yet.
func (m *machine) first() uint64 {
	record := m.rank.Record()
	if record.Epoch == 0 {
		return 0
	}
	return max(m.granted+1, record.FromStep)
}

// grant allows steps from first on, as far as promises and one map reach. A
// promised step that the engine has not reached yet is not asked for: the rank would
// take it for waiting.
func (m *machine) grant(position, first, ahead uint64) engineapi.StepGrant {
	if first > position && (m.promised(first) || first >= position+ahead) {
		return engineapi.StepGrant{}
	}
	epoch, ok := m.rank.MayRun(first)
	if !ok {
		return engineapi.StepGrant{}
	}
	until := first + 1
	for until < position+ahead && !m.promised(until) && m.rank.Record().EpochAt(until) == epoch {
		if _, ok := m.rank.MayRun(until); !ok {
			break
		}
		until++
	}
	m.granted = max(m.granted, until-1)
	return engineapi.StepGrant{Epoch: epoch, From: first, Until: until}
}

// promised reports whether the step is at or beyond the promise in force.
func (m *machine) promised(step uint64) bool {
	epoch, promise := m.rank.Promise()
	return epoch != 0 && step >= promise
}

// loaded returns the engine's answer that an epoch is in place.
func (m *machine) loaded(epoch, digest uint64) mapswitch.Message {
	return mapswitch.Message{
		Kind:   mapswitch.KindLoaded,
		Group:  m.member.Group,
		Rank:   m.member.Rank,
		Epoch:  epoch,
		Digest: digest,
	}
}
