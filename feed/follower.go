package feed

import (
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Limits determine when a follower leaves a source.
type Limits struct {
	// PongTimeout is how long a source may leave pings unanswered.
	PongTimeout time.Duration
	// FirstPongTimeout is the same for the first pong of a watch, which may have
	// to wait for the transfer of a complete configuration.
	FirstPongTimeout time.Duration
	// MaxStaleness bounds the age of the last quorum confirmation at a responsive
	// source. It limits how long a daemon uses the configuration of a control
	// replica that is partitioned from its quorum while the others accept a newer
	// one.
	MaxStaleness time.Duration
	// InitialConfirmTimeout is how long a daemon without any configuration stays
	// with a responsive source that has no quorum confirmation: other sources may
	// have one, and there is no configuration to lose.
	InitialConfirmTimeout time.Duration
}

// Defaults of Limits. A configuration has to be applied within two seconds of its
// acceptance: a daemon that leaves its source one second after the last quorum
// confirmation has the other second to switch to the next one. A healthy source
// is confirmed every 150 ms and pinged every 250 ms, so one second is more than
// twice what it needs.
const (
	DefaultPongTimeout      = time.Second
	DefaultFirstPongTimeout = 3 * time.Second
	DefaultMaxStaleness     = time.Second
	// DefaultInitialConfirmTimeout is two confirmation intervals of a source. After
	// a restart of all machines, an entry refuses all requests for as long as it
	// stays with a replica outside the quorum.
	DefaultInitialConfirmTimeout = 300 * time.Millisecond
)

// Transition is the change from one configuration to the next that a daemon has
// to apply. Old is nil in the first transition.
type Transition struct {
	Old, New *View
	// Delta turns Old into New.
	Delta *fleetv1.Delta
	// FromDiff is set if the delta was computed by comparing the two views: it
	// then turns Old into New but does not cover the revisions in between.
	FromDiff bool
}

// confirmation states that every revision accepted before at, on the follower's
// clock, is at most revision.
type confirmation struct {
	revision uint64
	at       time.Time
	ok       bool
}

// Follower decides which of the received messages a daemon may accept. It keeps
// its state across changes of the source. The caller passes the time, which must
// have a monotonic clock reading, and must serialize calls of the methods.
type Follower struct {
	limits  Limits
	started time.Time

	// latest is the newest configuration received; ackedRevision is the revision
	// that the daemon has applied, zero before the first.
	latest        *View
	ackedRevision uint64

	// confirmed is the latest confirmation for what the daemon has applied;
	// pendingConfirmation is for a revision that it has not applied yet.
	confirmed, pendingConfirmation confirmation

	// pings holds the sending time of each unanswered ping of the current watch.
	pings   map[uint64]time.Time
	lastSeq uint64

	// watchStarted is when the current watch began, firstPong when its first pong
	// was received, and lastAnsweredPing the sending time of the latest ping that
	// was answered.
	watchStarted, firstPong, lastAnsweredPing time.Time

	// lastConfirmed is when a quorum confirmed the state of the current source,
	// according to the latest pong that was not stale.
	lastConfirmed time.Time

	counts FollowerCounts
}

// FollowerCounts counts the messages that a follower has rejected.
type FollowerCounts struct {
	// OldRevisions counts snapshots and deltas that are not newer than the
	// configuration held.
	OldRevisions uint64
	// UnmatchedPongs counts pongs without an outstanding ping: duplicates and
	// those of an earlier watch.
	UnmatchedPongs uint64
	// Gaps counts deltas that start after the revision held.
	Gaps uint64
}

// NewFollower returns a follower without a configuration. The first configuration
// that it delivers has been confirmed as the latest at started or later. Pings are
// numbered from firstSeq, which should be random, so that pongs for an earlier run
// of the daemon do not match.
func NewFollower(limits Limits, started time.Time, firstSeq uint64) *Follower {
	return &Follower{limits: limits, started: started, lastSeq: firstSeq, pings: map[uint64]time.Time{}}
}

// StartWatch starts a watch on another source. Pongs of the previous watch are no
// longer accepted.
func (f *Follower) StartWatch(now time.Time) {
	f.pings = map[uint64]time.Time{}
	f.watchStarted = now
	f.firstPong = time.Time{}
	f.lastAnsweredPing = time.Time{}
	f.lastConfirmed = time.Time{}
}

// HeldRevision returns the newest revision received, from which a new watch
// continues; zero for none.
func (f *Follower) HeldRevision() uint64 {
	if f.latest == nil {
		return 0
	}
	return f.latest.Revision
}

// HadFreshPong reports whether the watch started at the given time is the current
// one and has received a pong that was not stale.
func (f *Follower) HadFreshPong(watchStarted time.Time) bool {
	return f.watchStarted.Equal(watchStarted) && !f.lastConfirmed.IsZero()
}

// Ping returns the next ping to send, at now.
func (f *Follower) Ping(now time.Time) *controlv1.Ping {
	f.lastSeq++
	f.pings[f.lastSeq] = now
	return &controlv1.Ping{Seq: f.lastSeq, Revision: f.ackedRevision}
}

// Receive processes a message of the current watch. It returns the transition
// that the daemon has to apply, or nil. After applying it the caller must call
// Acknowledge. An error means that the source has to be left.
func (f *Follower) Receive(now time.Time, message *controlv1.WatchResponse) (*Transition, error) {
	switch kind := message.GetKind().(type) {
	case *controlv1.WatchResponse_Snapshot:
		return f.receiveSnapshot(kind.Snapshot), nil
	case *controlv1.WatchResponse_Delta:
		return f.receiveDelta(kind.Delta)
	case *controlv1.WatchResponse_Pong:
		return f.receivePong(now, kind.Pong), nil
	}
	return nil, nil
}

func (f *Follower) receiveSnapshot(configuration *fleetv1.Configuration) *Transition {
	if f.latest != nil && configuration.GetRevision() <= f.latest.Revision {
		f.counts.OldRevisions++
		return nil
	}
	old := f.latest
	f.latest = NewView(configuration)
	if f.ackedRevision == 0 {
		return f.initialTransition()
	}
	return &Transition{Old: old, New: f.latest, Delta: Diff(old, f.latest), FromDiff: true}
}

func (f *Follower) receiveDelta(delta *fleetv1.Delta) (*Transition, error) {
	if f.latest == nil || delta.GetFromRevision() > f.latest.Revision {
		f.counts.Gaps++
		return nil, fault.New(fault.Conflict, "the configuration feed skipped revisions", "the client restarts the watch from the revision it holds")
	}
	if delta.GetToRevision() <= f.latest.Revision {
		f.counts.OldRevisions++
		return nil, nil
	}
	old := f.latest
	f.latest = old.Apply(delta)
	if f.ackedRevision == 0 {
		return f.initialTransition(), nil
	}
	return &Transition{Old: old, New: f.latest, Delta: delta}, nil
}

func (f *Follower) receivePong(now time.Time, pong *controlv1.Pong) *Transition {
	sent, ok := f.pings[pong.GetSeq()]
	if !ok {
		f.counts.UnmatchedPongs++
		return nil
	}
	f.dropPings(pong.GetSeq())
	if f.firstPong.IsZero() {
		f.firstPong = now
	}
	if sent.After(f.lastAnsweredPing) {
		f.lastAnsweredPing = sent
	}
	age := time.Duration(pong.GetAgeMs()) * time.Millisecond
	if !pong.GetKnown() || age < 0 {
		return nil
	}
	at := sent.Add(-age)
	if now.Sub(at) <= f.limits.MaxStaleness && at.After(f.lastConfirmed) {
		f.lastConfirmed = at
	}
	f.recordConfirmation(confirmation{revision: pong.GetRevision(), at: at, ok: true})
	if f.ackedRevision == 0 {
		return f.initialTransition()
	}
	return nil
}

// dropPings removes the answered ping and all earlier ones, which an ordered
// stream will no longer answer.
func (f *Follower) dropPings(upTo uint64) {
	for seq := range f.pings {
		if seq <= upTo {
			delete(f.pings, seq)
		}
	}
}

// recordConfirmation records a confirmation. One for a revision that the daemon
// has not applied yet must not count as freshness of what it has applied.
func (f *Follower) recordConfirmation(c confirmation) {
	if c.revision > f.ackedRevision {
		if !f.pendingConfirmation.ok || c.at.After(f.pendingConfirmation.at) {
			f.pendingConfirmation = c
		}
		return
	}
	if !f.confirmed.ok || c.at.After(f.confirmed.at) {
		f.confirmed = c
	}
}

// initialTransition returns the transition to the first configuration once that
// is known to be at least as new as any that an earlier run of this daemon can
// have applied, and nil until then.
func (f *Follower) initialTransition() *Transition {
	isConfirmed := f.pendingConfirmation.ok && !f.pendingConfirmation.at.Before(f.started)
	if f.latest == nil || !isConfirmed || f.pendingConfirmation.revision > f.latest.Revision {
		return nil
	}
	return &Transition{New: f.latest, Delta: Diff(nil, f.latest), FromDiff: true}
}

// Acknowledge records that the daemon has applied the revision.
func (f *Follower) Acknowledge(revision uint64) {
	if revision <= f.ackedRevision {
		return
	}
	f.ackedRevision = revision
	if f.pendingConfirmation.ok && f.pendingConfirmation.revision <= f.ackedRevision {
		promoted := f.pendingConfirmation
		f.pendingConfirmation = confirmation{}
		f.recordConfirmation(promoted)
	}
}

// Freshness returns a revision and a time such that every revision accepted
// before that time is at most the one returned. The daemon has applied that
// revision or a later one. ok is false before the first confirmation.
func (f *Follower) Freshness() (revision uint64, at time.Time, ok bool) {
	return f.confirmed.revision, f.confirmed.at, f.confirmed.ok
}

// Counts returns how many messages the follower has rejected so far.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// CheckSource returns an error if the current source must be left for another: it
// is frozen, unreachable or partitioned from the quorum.
func (f *Follower) CheckSource(now time.Time) error {
	if now.Sub(f.lastContact()) > f.pongTimeout() {
		return fault.New(fault.Unavailable, "the configuration source does not answer pings", "the client watches the next source")
	}
	if now.After(f.staleDeadline()) {
		return fault.New(fault.Stale, "the configuration source has lost the quorum", "the client watches the next source")
	}
	return nil
}

// SourceDeadline returns the time after which CheckSource will fail unless the
// current source sends a pong.
func (f *Follower) SourceDeadline() time.Time {
	pongDeadline := f.lastContact().Add(f.pongTimeout())
	stalenessDeadline := f.staleDeadline()
	if stalenessDeadline.Before(pongDeadline) {
		return stalenessDeadline
	}
	return pongDeadline
}

// staleDeadline returns when the current source counts as partitioned from its
// quorum. It is measured from the confirmation and not from the pong that reported
// it: that confirmation may already be as old as the limit. A source that has just
// started to answer has the full limit to report a confirmation, and one that has
// not answered yet, possibly while it sends a complete configuration, is subject to
// FirstPongTimeout only.
func (f *Follower) staleDeadline() time.Time {
	if f.firstPong.IsZero() {
		return f.watchStarted.Add(f.limits.FirstPongTimeout + f.limits.MaxStaleness)
	}
	if f.ackedRevision == 0 && f.lastConfirmed.IsZero() {
		return f.firstPong.Add(f.limits.InitialConfirmTimeout)
	}
	return later(f.firstPong, f.lastConfirmed).Add(f.limits.MaxStaleness)
}

func (f *Follower) lastContact() time.Time { return later(f.watchStarted, f.lastAnsweredPing) }

func (f *Follower) pongTimeout() time.Duration {
	if f.lastAnsweredPing.IsZero() {
		return f.limits.FirstPongTimeout
	}
	return f.limits.PongTimeout
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
