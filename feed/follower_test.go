package feed

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// quorum is the true history: accepted[r] is when revision r+1 was accepted.
type quorum struct {
	accepted []time.Time
}

func (q *quorum) latest() uint64 { return uint64(len(q.accepted)) }

// replicaModel is a source: what it holds, and when a quorum last confirmed it.
// A cut-off one keeps both and goes on answering.
type replicaModel struct {
	held      uint64
	confirmed time.Time
	cut       bool
}

func (r *replicaModel) pong(now time.Time, seq uint64) *controlv1.WatchResponse {
	return &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Pong{Pong: &controlv1.Pong{
		Seq: seq, Revision: r.held, AgeMs: ageMillis(now.Sub(r.confirmed)), Known: true,
	}}}
}

func (r *replicaModel) update(from uint64) *controlv1.WatchResponse {
	if from == 0 {
		return &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Snapshot{
			Snapshot: &fleetv1.Configuration{Revision: r.held}}}
	}
	return &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Delta{
		Delta: &fleetv1.Delta{FromRevision: from, ToRevision: r.held}}}
}

// flight is a message under way.
type flight struct {
	due     time.Time
	message *controlv1.WatchResponse
}

// network delivers messages late, twice, out of order and across watches.
type network struct {
	rng     *rand.Rand
	flights []flight
}

func (n *network) send(now time.Time, message *controlv1.WatchResponse) {
	copies := 1 + n.rng.IntN(2)
	for range copies {
		delay := time.Duration(n.rng.IntN(40)) * time.Millisecond
		if n.rng.IntN(5) == 0 {
			delay = time.Duration(n.rng.IntN(4000)) * time.Millisecond
		}
		n.flights = append(n.flights, flight{due: now.Add(delay), message: message})
	}
}

func (n *network) due(now time.Time) []*controlv1.WatchResponse {
	var arrived []*controlv1.WatchResponse
	var rest []flight
	for _, f := range n.flights {
		if f.due.After(now) {
			rest = append(rest, f)
		} else {
			arrived = append(arrived, f.message)
		}
	}
	n.flights = rest
	n.rng.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
	return arrived
}

// Under late, doubled and crossed messages, sources that are behind or cut off,
// and restarts, a daemon never goes back and never overstates its freshness.
func TestFollowerNeverGoesBackNorOverstates(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Restart, proof.CutOneWay, proof.CutBothWays, proof.Late, proof.Doubled, proof.Crossed, proof.Lost}, Step: "what a daemon is shown", Together: true,
		Guard: "each alone: older snapshots and deltas refused, nothing shown before it is confirmed after the start"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart, proof.CutOneWay, proof.CutBothWays, proof.Late, proof.Doubled, proof.Crossed, proof.Lost}, Step: "how fresh a daemon calls its knowledge", Together: true,
		Guard: "each alone: freshness counts from the ping, stray pongs, confirmation of what is not in force"}.Log(t)
	for seed := uint64(1); seed <= 200; seed++ {
		if !runFollowerTrial(t, seed) {
			t.Fatalf("seed %d", seed)
		}
	}
}

func runFollowerTrial(t *testing.T, seed uint64) bool {
	is := is.NewRelaxed(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	now := start
	truth := &quorum{accepted: []time.Time{start}}
	sources := []*replicaModel{{held: 1, confirmed: now}, {held: 1, confirmed: now}, {held: 1, confirmed: now}}
	source := sources[0]
	links := &network{rng: rng}
	limits := Limits{PongTimeout: time.Second, FirstPongTimeout: time.Second, MaxStaleness: time.Second}
	follower := NewFollower(limits, now, rng.Uint64()>>1)
	follower.StartWatch(now)
	shown := uint64(0)
	muted := now // until when pings are lost and changes still come
	for range 1500 {
		now = now.Add(time.Duration(500+rng.IntN(20000)) * time.Microsecond)
		if rng.IntN(10) == 0 {
			truth.accepted = append(truth.accepted, now)
		}
		for _, each := range sources {
			if rng.IntN(100) == 0 {
				each.cut = !each.cut
			}
			if !each.cut && rng.IntN(4) == 0 {
				each.held, each.confirmed = truth.latest(), now
			}
		}
		if rng.IntN(150) == 0 {
			// The daemon restarts; what it showed before still binds it.
			follower = NewFollower(limits, now, rng.Uint64()>>1)
			follower.StartWatch(now)
		}
		if rng.IntN(60) == 0 || follower.CheckSource(now) != nil {
			source = sources[rng.IntN(len(sources))]
			follower.StartWatch(now)
		}
		ping := follower.Ping(now)
		if held := follower.HeldRevision(); source.held > held {
			links.send(now, source.update(held))
		}
		if rng.IntN(100) == 0 {
			muted = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
		}
		if rng.IntN(4) > 0 && !now.Before(muted) {
			links.send(now, source.pong(now, ping.GetSeq()))
		}
		for _, message := range links.due(now) {
			step, err := follower.Receive(now, message)
			if err != nil {
				follower.StartWatch(now)
			}
			if step == nil {
				continue
			}
			is.True(step.New.Revision > shown || step.Old == nil)
			is.True(step.New.Revision >= shown) // never back, also across restarts
			shown = step.New.Revision
			follower.Acknowledge(shown)
		}
		revision, at, ok := follower.Freshness()
		if !ok {
			continue
		}
		is.True(revision <= shown)
		if next := int(revision); next < len(truth.accepted) {
			is.True(!truth.accepted[next].Before(at)) // accepted before at, and not known
		}
	}
	is.True(shown > 1)
	return !t.Failed()
}

// A source that is frozen or has lost the quorum is left, one that works is
// kept, and one whose first answer is a large snapshot gets more time.
func TestFollowerLeavesFrozenAndStaleSources(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Freeze, proof.CutBothWays}, Step: "source that is frozen, or cut off from the quorum",
		Guard: "the limit of silence, and of staleness, each alone"}.Log(t)
	is := is.New(t)
	start := time.Now()
	limits := Limits{PongTimeout: time.Second, FirstPongTimeout: 3 * time.Second, MaxStaleness: 2 * time.Second}
	follower := NewFollower(limits, start, 0)
	source := &replicaModel{held: 1, confirmed: start}
	follower.StartWatch(start)
	is.NoErr(follower.CheckSource(start.Add(2 * time.Second)))
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		source.confirmed = now
		_, err := follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
		is.NoErr(err)
		is.NoErr(follower.CheckSource(now))
	}
	is.True(follower.CheckSource(now.Add(1100*time.Millisecond)) != nil) // frozen
	var left error
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		_, _ = follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
		if left = follower.CheckSource(now); left != nil {
			break
		}
	}
	is.True(left != nil) // answers, but no quorum confirms it any more
	is.True(!follower.SourceDeadline().After(now))
}

// A daemon without any configuration leaves a source that knows of no quorum well before
// one that has a configuration to act on: it refuses everything meanwhile.
func TestABlankFollowerMovesOnSooner(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	limits := Limits{PongTimeout: time.Second, FirstPongTimeout: 3 * time.Second, MaxStaleness: time.Second, InitialConfirmTimeout: 300 * time.Millisecond}
	follower := NewFollower(limits, start, 0)
	follower.StartWatch(start)
	unknown := func(now time.Time) {
		_, err := follower.Receive(now, &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Pong{
			Pong: &controlv1.Pong{Seq: follower.Ping(now).GetSeq()},
		}})
		is.NoErr(err)
	}
	unknown(start.Add(10 * time.Millisecond))
	unknown(start.Add(300 * time.Millisecond))
	is.NoErr(follower.CheckSource(start.Add(300 * time.Millisecond)))
	is.True(follower.CheckSource(start.Add(320*time.Millisecond)) != nil)
	follower.StartWatch(start.Add(time.Second)) // another source, which works
	source := &replicaModel{held: 1, confirmed: start.Add(time.Second)}
	now := start.Add(1010 * time.Millisecond)
	_, err := follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
	is.NoErr(err)
	is.NoErr(follower.CheckSource(now.Add(900 * time.Millisecond)))
}

// A source that loses the quorum is left as soon as what it knows is older than
// the limit, whatever it answers in the meantime: a daemon that stays longer
// acts on a configuration that the others have long replaced.
func TestFollowerLeavesASourceOneLimitAfterItsLastConfirmation(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.CutBothWays}, Step: "how long a daemon stays with a source cut off from the quorum",
		Guard: "the limit counts from the confirmation"}.Log(t)
	const tick = 50 * time.Millisecond
	for seed := uint64(1); seed <= 100; seed++ {
		is := is.New(t)
		rng := rand.New(rand.NewPCG(seed, 2))
		now := time.Now()
		limits := Limits{PongTimeout: DefaultPongTimeout, FirstPongTimeout: DefaultFirstPongTimeout, MaxStaleness: DefaultMaxStaleness}
		follower := NewFollower(limits, now, 0)
		follower.StartWatch(now)
		source := &replicaModel{held: 1, confirmed: now}
		for range 40 {
			now = now.Add(tick)
			source.confirmed = now.Add(-time.Duration(rng.IntN(300)) * time.Millisecond)
			_, err := follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
			is.NoErr(err)
			is.NoErr(follower.CheckSource(now))
		}
		lastConfirmed := source.confirmed
		for follower.CheckSource(now) == nil {
			now = now.Add(tick)
			ping := follower.Ping(now)
			if rng.IntN(3) > 0 {
				_, err := follower.Receive(now, source.pong(now, ping.GetSeq()))
				is.NoErr(err)
			}
			is.True(now.Sub(lastConfirmed) <= DefaultMaxStaleness+2*tick+300*time.Millisecond)
		}
	}
}

// A source whose first answer follows a large snapshot is kept although the
// answer took longer than the limit of staleness.
func TestFollowerKeepsASlowFirstAnswer(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	limits := Limits{PongTimeout: DefaultPongTimeout, FirstPongTimeout: DefaultFirstPongTimeout, MaxStaleness: DefaultMaxStaleness}
	follower := NewFollower(limits, start, 0)
	follower.StartWatch(start)
	first := follower.Ping(start)
	now := start.Add(2800 * time.Millisecond)
	source := &replicaModel{held: 1, confirmed: start}
	second := follower.Ping(now.Add(-100 * time.Millisecond))
	is.NoErr(follower.CheckSource(now))
	_, err := follower.Receive(now, source.pong(start, first.GetSeq()))
	is.NoErr(err)
	source.confirmed = now
	_, err = follower.Receive(now, source.pong(now, second.GetSeq()))
	is.NoErr(err)
	is.NoErr(follower.CheckSource(now.Add(200 * time.Millisecond)))
}
