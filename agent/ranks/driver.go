package ranks

import (
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/tally"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// machine is the decision maker beside one rank.
type rankDriver struct {
	member Member
	// run is the run of the engine that rank stands beside.
	run  string
	rank *mapswitch.Rank
	// granted is the highest step ever granted, to any run.
	granted uint64
	// inPlace lists what the run of the engine said last that it has loaded.
	loadedMaps []engineapi.LoadedMap
	// loading names the epochs whose order is under way.
	loading map[uint64]bool
	// experts is what was counted and not yet reported.
	experts tally.Tally
	// changed closes when the machine has taken in a message.
	changed chan struct{}
}

func newRankDriver(member Member) *rankDriver {
	d := &rankDriver{member: member, changed: make(chan struct{})}
	d.startRun("")
	return d
}

// begin puts a new Rank beside a run of the engine. What the former run had
// loaded is gone; what was granted still counts.
func (d *rankDriver) startRun(run string) {
	d.run = run
	d.loadedMaps = nil
	d.rank = mapswitch.NewRank(d.member.Rank, d.member.Group, rand.Uint64())
	d.loading = make(map[uint64]bool)
}

// step hands a message to the rank and wakes the requests that wait.
func (d *rankDriver) step(now time.Duration, message mapswitch.Message) []mapswitch.Message {
	out := d.rank.Step(now, message)
	close(d.changed)
	d.changed = make(chan struct{})
	return out
}

// ask answers a request of the engine with a grant of at most ahead steps from
// its position on.
func (d *rankDriver) handleRequest(now time.Duration, r engineapi.StepRequest, ahead uint64) (engineapi.StepGrant, []mapswitch.Message) {
	if r.Run != d.run {
		d.startRun(r.Run)
	}
	d.loadedMaps = r.Loaded
	var out []mapswitch.Message
	for _, loaded := range r.Loaded {
		message := d.loadedMessage(loaded.Epoch, loaded.Digest)
		out = append(out, d.rank.Step(now, message)...)
	}
	if r.Step == 0 {
		return engineapi.StepGrant{First: d.firstStep()}, out
	}
	d.observeGranted(r.Granted)
	grant := d.grant(r.Step, max(r.Step, r.Granted+1), ahead)
	return grant, append(out, d.rank.Tick(now)...)
}

// observe notes a step that was granted to the engine, perhaps by a former
// process of the agent. What was granted to other runs of the engine still
// counts: this request may be a late one of a former run.
func (d *rankDriver) observeGranted(granted uint64) {
	d.granted = max(d.granted, granted)
	if d.granted > 0 {
		d.rank.Observe(d.granted)
	}
}

// first returns the first step that was not granted and belongs to the map in
// force; zero if there is none yet.
func (d *rankDriver) firstStep() uint64 {
	record := d.rank.Record()
	if record.Epoch == 0 {
		return 0
	}
	return max(d.granted+1, record.FromStep)
}

// grant allows steps from first on, as far as promises and one map reach. A
// promised step that the engine has not reached yet is not asked for: the rank would
// take it for waiting.
func (d *rankDriver) grant(position, first, ahead uint64) engineapi.StepGrant {
	if first > position && (d.promised(first) || first >= position+ahead) {
		return engineapi.StepGrant{}
	}
	epoch, ok := d.rank.MayRun(first)
	if !ok {
		return engineapi.StepGrant{}
	}
	until := first + 1
	for until < position+ahead && !d.promised(until) && d.rank.Record().EpochAt(until) == epoch {
		if _, ok := d.rank.MayRun(until); !ok {
			break
		}
		until++
	}
	d.granted = max(d.granted, until-1)
	return engineapi.StepGrant{Epoch: epoch, From: first, Until: until}
}

// promised reports whether the step is at or beyond the promise in force.
func (d *rankDriver) promised(step uint64) bool {
	epoch, promise := d.rank.Promise()
	return epoch != 0 && step >= promise
}

// loaded returns the engine's answer that an epoch is in place.
func (d *rankDriver) loadedMessage(epoch, digest uint64) mapswitch.Message {
	return mapswitch.Message{
		Kind:   mapswitch.KindLoaded,
		Group:  d.member.Group,
		Rank:   d.member.Rank,
		Epoch:  epoch,
		Digest: digest,
	}
}
