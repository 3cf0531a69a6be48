package ranks

import (
	"math/rand/v2"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/agent/tally"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// rankDriver holds the state machine of one rank and the state of its engine.
type rankDriver struct {
	member Member
	// run is the current run of the engine, rank the state machine for that run.
	run  string
	rank *mapswitch.Rank
	// granted is the highest step granted to any run of the engine.
	granted uint64
	// loadedMaps lists the maps that the engine has loaded according to its last request.
	loadedMaps []engineapi.LoadedMap
	// loading is the set of epochs whose order to load is in progress.
	loading map[uint64]bool
	// experts holds the expert counts to report.
	experts tally.Tally
	// changed is closed and replaced when the rank has handled a message.
	changed chan struct{}
}

func newRankDriver(member Member) *rankDriver {
	d := &rankDriver{member: member, changed: make(chan struct{})}
	d.startRun("")
	return d
}

// startRun creates a new state machine for a run of the engine. The maps that the previous run had
// loaded are lost; the steps granted to it still count.
func (d *rankDriver) startRun(run string) {
	d.run = run
	d.loadedMaps = nil
	d.rank = mapswitch.NewRank(d.member.Rank, d.member.Group, rand.Uint64())
	d.loading = make(map[uint64]bool)
}

// step passes a message to the rank and wakes up the requests that wait for a grant.
func (d *rankDriver) step(now time.Duration, message mapswitch.Message) []mapswitch.Message {
	out := d.rank.Step(now, message)
	close(d.changed)
	d.changed = make(chan struct{})
	return out
}

// handleRequest answers a request of the engine with a grant of at most ahead steps from its position
// on, and returns the messages of the rank.
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

// observeGranted records the highest step that was granted to the engine, perhaps by a previous process
// of the agent. Steps granted to other runs of the engine still count, because this request may be a
// late one of a previous run.
func (d *rankDriver) observeGranted(granted uint64) {
	d.granted = max(d.granted, granted)
	if d.granted > 0 {
		d.rank.ObserveStep(d.granted)
	}
}

// firstStep returns the first step that was not granted and for which the map in force applies; zero if
// no map is in force yet.
func (d *rankDriver) firstStep() uint64 {
	record := d.rank.Record()
	if record.Epoch == 0 {
		return 0
	}
	return max(d.granted+1, record.FromStep)
}

// grant returns a grant of the steps from first on, up to a promised step, a change of map or ahead steps
// from the position. It does not call MayRun for a promised step that the engine has not reached yet,
// because a refusal makes the rank assume that the engine is waiting for that step.
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

// promised reports whether the step is at or after the step of the promise in force.
func (d *rankDriver) promised(step uint64) bool {
	epoch, promise := d.rank.Promise()
	return epoch != 0 && step >= promise
}

// loadedMessage returns the message that the engine has loaded the map of an epoch.
func (d *rankDriver) loadedMessage(epoch, digest uint64) mapswitch.Message {
	return mapswitch.Message{
		Kind:   mapswitch.KindLoaded,
		Group:  d.member.Group,
		Rank:   d.member.Rank,
		Epoch:  epoch,
		Digest: digest,
	}
}
