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

// quorum records the actual history: accepted[r] is when revision r+1 was accepted.
type quorum struct {
	accepted []time.Time
}

func (q *quorum) latest() uint64 { return uint64(len(q.accepted)) }

// replicaModel is a source: the revision it holds, and when a quorum last confirmed
// it. While partitioned, it keeps both and continues to answer.
type replicaModel struct {
	held        uint64
	confirmed   time.Time
	partitioned bool
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

// delivery is a message in transit.
type delivery struct {
	due     time.Time
	message *controlv1.WatchResponse
}

// network delays, duplicates and reorders messages, also across watches.
type network struct {
	rng        *rand.Rand
	deliveries []delivery
}

func (n *network) send(now time.Time, message *controlv1.WatchResponse) {
	copies := 1 + n.rng.IntN(2)
	for range copies {
		delay := time.Duration(n.rng.IntN(40)) * time.Millisecond
		if n.rng.IntN(5) == 0 {
			delay = time.Duration(n.rng.IntN(4000)) * time.Millisecond
		}
		n.deliveries = append(n.deliveries, delivery{due: now.Add(delay), message: message})
	}
}

func (n *network) deliver(now time.Time) []*controlv1.WatchResponse {
	var arrived []*controlv1.WatchResponse
	var rest []delivery
	for _, d := range n.deliveries {
		if d.due.After(now) {
			rest = append(rest, d)
		} else {
			arrived = append(arrived, d.message)
		}
	}
	n.deliveries = rest
	n.rng.Shuffle(len(arrived), func(i, j int) { arrived[i], arrived[j] = arrived[j], arrived[i] })
	return arrived
}

// With delayed, duplicated and reordered messages, sources that lag or are
// partitioned, and restarts, a daemon never goes back to a lower revision and never
// overstates its freshness.
func TestFollowerNeverRegressesOrOverstatesFreshness(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.OneWayPartition, proof.FullPartition, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages}, Step: "the configuration that a daemon applies", Combined: true,
		Guard: "each alone: older snapshots and deltas are rejected, nothing is applied before it is confirmed after the start"}.Log(t)
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Restart, proof.OneWayPartition, proof.FullPartition, proof.DelayedMessages, proof.DuplicatedMessages, proof.ReorderedMessages, proof.LostMessages}, Step: "the freshness that a daemon states for its configuration", Combined: true,
		Guard: "each alone: freshness is measured from the ping, unmatched pongs are rejected, a confirmation of a revision that is not applied does not count"}.Log(t)
	for seed := uint64(1); seed <= 200; seed++ {
		if !simulateFollower(t, seed) {
			t.Fatalf("seed %d", seed)
		}
	}
}

func simulateFollower(t *testing.T, seed uint64) bool {
	is := is.NewRelaxed(t)
	rng := rand.New(rand.NewPCG(seed, 1))
	start := time.Now()
	now := start
	truth := &quorum{accepted: []time.Time{start}}
	sources := []*replicaModel{{held: 1, confirmed: now}, {held: 1, confirmed: now}, {held: 1, confirmed: now}}
	source := sources[0]
	net := &network{rng: rng}
	limits := Limits{PongTimeout: time.Second, FirstPongTimeout: time.Second, MaxStaleness: time.Second}
	follower := NewFollower(limits, now, rng.Uint64()>>1)
	follower.StartWatch(now)
	appliedRevision := uint64(0)
	mutedUntil := now // until then pings are lost but changes arrive
	for range 1500 {
		now = now.Add(time.Duration(500+rng.IntN(20000)) * time.Microsecond)
		if rng.IntN(10) == 0 {
			truth.accepted = append(truth.accepted, now)
		}
		for _, replica := range sources {
			if rng.IntN(100) == 0 {
				replica.partitioned = !replica.partitioned
			}
			if !replica.partitioned && rng.IntN(4) == 0 {
				replica.held, replica.confirmed = truth.latest(), now
			}
		}
		if rng.IntN(150) == 0 {
			// The daemon restarts; it must still not go back to a lower revision.
			follower = NewFollower(limits, now, rng.Uint64()>>1)
			follower.StartWatch(now)
		}
		if rng.IntN(60) == 0 || follower.CheckSource(now) != nil {
			source = sources[rng.IntN(len(sources))]
			follower.StartWatch(now)
		}
		ping := follower.Ping(now)
		if held := follower.HeldRevision(); source.held > held {
			net.send(now, source.update(held))
		}
		if rng.IntN(100) == 0 {
			mutedUntil = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
		}
		if rng.IntN(4) > 0 && !now.Before(mutedUntil) {
			net.send(now, source.pong(now, ping.GetSeq()))
		}
		for _, message := range net.deliver(now) {
			transition, err := follower.Receive(now, message)
			if err != nil {
				follower.StartWatch(now)
			}
			if transition == nil {
				continue
			}
			is.True(transition.New.Revision > appliedRevision || transition.Old == nil)
			is.True(transition.New.Revision >= appliedRevision) // never lower, also across restarts
			appliedRevision = transition.New.Revision
			follower.Acknowledge(appliedRevision)
		}
		revision, at, ok := follower.Freshness()
		if !ok {
			continue
		}
		is.True(revision <= appliedRevision)
		if next := int(revision); next < len(truth.accepted) {
			is.True(!truth.accepted[next].Before(at)) // a newer revision must not have been accepted before at
		}
	}
	is.True(appliedRevision > 1)
	return !t.Failed()
}

// A source that is frozen or has lost the quorum is left, a healthy one is kept,
// and one whose first pong follows a large snapshot is given more time.
func TestFollowerLeavesUnresponsiveAndStaleSources(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze, proof.FullPartition}, Step: "source that is frozen, or cut off from the quorum",
		Guard: "the pong timeout and the limit of staleness, each alone"}.Log(t)
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
	var leaveErr error
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		_, _ = follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
		if leaveErr = follower.CheckSource(now); leaveErr != nil {
			break
		}
	}
	is.True(leaveErr != nil) // it answers, but no quorum confirms it any longer
	is.True(!follower.SourceDeadline().After(now))
}

// A daemon without any configuration leaves a source that has no quorum confirmation well
// before a daemon that has a configuration does: it refuses all requests meanwhile.
func TestUnconfiguredFollowerLeavesUnconfirmedSourceSooner(t *testing.T) {
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
	follower.StartWatch(start.Add(time.Second)) // another source, which is healthy
	source := &replicaModel{held: 1, confirmed: start.Add(time.Second)}
	now := start.Add(1010 * time.Millisecond)
	_, err := follower.Receive(now, source.pong(now, follower.Ping(now).GetSeq()))
	is.NoErr(err)
	is.NoErr(follower.CheckSource(now.Add(900 * time.Millisecond)))
}

// A source that loses the quorum is left as soon as its last confirmation is older
// than the limit, whatever it answers in the meantime: a daemon that stays longer
// uses a configuration that the others may have replaced.
func TestFollowerMeasuresStalenessFromLastConfirmation(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition}, Step: "how long a daemon stays with a source cut off from the quorum",
		Guard: "the limit is measured from the confirmation"}.Log(t)
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

// A source whose first pong follows a large snapshot is kept although the pong took
// longer than MaxStaleness.
func TestFollowerToleratesSlowFirstPong(t *testing.T) {
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
