package feed

import (
	"time"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Limits say when a follower gives a source up.
type Limits struct {
	// Silence is how long a source may leave pings unanswered.
	PongTimeout time.Duration
	// FirstAnswer is the same for the first answer of a watch, which may have to
	// carry a whole configuration.
	FirstPongTimeout time.Duration
	// Stale is how old the knowledge of an answering source may be. It bounds
	// how long a daemon acts on the configuration of a control replica that is
	// cut off from its quorum while the others accept a newer one.
	MaxStaleness time.Duration
	// Blank is the same for a daemon that has no configuration at all, and whose
	// source knows of no quorum: other sources may, and there is nothing to lose.
	InitialConfirmTimeout time.Duration
}

// Defaults of Limits. A configuration has to be in force within two seconds of
// its acceptance: a daemon that leaves its source a second after the quorum
// last confirmed it has the other second to open the next one. A source that
// works is confirmed every 150 ms and asked every 250 ms, so a second is more
// than twice what it needs.
const (
	DefaultPongTimeout      = time.Second
	DefaultFirstPongTimeout = 3 * time.Second
	DefaultMaxStaleness     = time.Second
	// DefaultBlank is some confirmation intervals of a source. After a restart of all
	// machines a second more with a replica that is outside the quorum is a second in
	// which an entry refuses everything.
	DefaultInitialConfirmTimeout = 300 * time.Millisecond
)

// Step is the change from one configuration to the next that a daemon has to
// act on. Old is nil at the first step.
type Transition struct {
	Old, New *View
	// Delta turns Old into New.
	Delta *fleetv1.Delta
	// Compared is set when the delta was made by comparing the two views: it
	// then turns Old into New, but says nothing of the revisions in between.
	FromDiff bool
}

// confirmation says that every revision accepted before at, in the follower's
// clock, is at most revision.
type confirmation struct {
	revision uint64
	at       time.Time
	ok       bool
}

// Follower decides what a daemon may believe of the configuration that it is
// sent. It keeps its state over changes of the source. The caller passes in the
// time, which must carry a monotonic reading, and must call the methods one at
// a time.
type Follower struct {
	limits  Limits
	started time.Time

	// held is the newest configuration received; acked the revision that the
	// daemon acts on, zero before the first.
	held  *View
	acked uint64

	// fresh counts for the daemon; waiting is about a revision that the daemon
	// does not act on yet.
	fresh, waiting confirmation

	// pings holds when each unanswered ping of the present watch was sent.
	pings   map[uint64]time.Time
	lastSeq uint64

	// opened is when the present watch began, answered when its first answer to
	// a ping came, and heard the sending time of the latest ping that it
	// answered.
	opened, answered, heard time.Time

	// good is when a quorum confirmed the knowledge of the present source, by
	// the latest answer that was not stale.
	good time.Time

	counts FollowerCounts
}

// FollowerCounts counts what a follower refused to believe.
type FollowerCounts struct {
	// OldRevisions counts snapshots and deltas below what the daemon was shown.
	OldRevisions uint64
	// StrayPongs counts answers to pings that are not outstanding: doubled ones
	// and those of an earlier watch.
	UnmatchedPongs uint64
	// Gaps counts deltas that start after the revision held.
	Gaps uint64
}

// NewFollower returns a follower that holds nothing. The daemon is shown
// nothing that was not confirmed as latest at started or later. Pings are
// numbered from firstSeq, which should be random, so that no answer meant for an
// earlier run of the daemon fits.
func NewFollower(limits Limits, started time.Time, firstSeq uint64) *Follower {
	return &Follower{limits: limits, started: started, lastSeq: firstSeq, pings: map[uint64]time.Time{}}
}

// Open begins a watch on another source. Answers to pings of the watch before
// no longer count.
func (f *Follower) StartWatch(now time.Time) {
	f.pings = map[uint64]time.Time{}
	f.opened = now
	f.answered = time.Time{}
	f.heard = time.Time{}
	f.good = time.Time{}
}

// Held returns the newest revision received, from which a watch goes on.
func (f *Follower) HeldRevision() uint64 {
	if f.held == nil {
		return 0
	}
	return f.held.Revision
}

// Good reports whether the watch opened at the given time has given an answer
// that was not stale.
func (f *Follower) HadFreshPong(opened time.Time) bool {
	return f.opened.Equal(opened) && !f.good.IsZero()
}

// Ping returns the next ping to send, at now.
func (f *Follower) Ping(now time.Time) *controlv1.Ping {
	f.lastSeq++
	f.pings[f.lastSeq] = now
	return &controlv1.Ping{Seq: f.lastSeq, Revision: f.acked}
}

// Receive takes a message of the present watch. It returns the step that the
// daemon has to take, or nil. After taking it the caller calls Acknowledge. An
// error means that the source has to be left.
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
	if f.held != nil && configuration.GetRevision() <= f.held.Revision {
		f.counts.OldRevisions++
		return nil
	}
	old := f.held
	f.held = NewView(configuration)
	if f.acked == 0 {
		return f.firstStep()
	}
	return &Transition{Old: old, New: f.held, Delta: Diff(old, f.held), FromDiff: true}
}

func (f *Follower) receiveDelta(delta *fleetv1.Delta) (*Transition, error) {
	if f.held == nil || delta.GetFromRevision() > f.held.Revision {
		f.counts.Gaps++
		return nil, fault.New(fault.Conflict, "the feed left revisions out", "the client watches again from the revision it holds")
	}
	if delta.GetToRevision() <= f.held.Revision {
		f.counts.OldRevisions++
		return nil, nil
	}
	old := f.held
	f.held = old.Apply(delta)
	if f.acked == 0 {
		return f.firstStep(), nil
	}
	return &Transition{Old: old, New: f.held, Delta: delta}, nil
}

func (f *Follower) receivePong(now time.Time, pong *controlv1.Pong) *Transition {
	sent, ok := f.pings[pong.GetSeq()]
	if !ok {
		f.counts.UnmatchedPongs++
		return nil
	}
	f.forgetPings(pong.GetSeq())
	if f.answered.IsZero() {
		f.answered = now
	}
	if sent.After(f.heard) {
		f.heard = sent
	}
	age := time.Duration(pong.GetAgeMs()) * time.Millisecond
	if !pong.GetKnown() || age < 0 {
		return nil
	}
	at := sent.Add(-age)
	if now.Sub(at) <= f.limits.MaxStaleness && at.After(f.good) {
		f.good = at
	}
	f.believe(confirmation{revision: pong.GetRevision(), at: at, ok: true})
	if f.acked == 0 {
		return f.firstStep()
	}
	return nil
}

// forgetPings drops the answered ping and all before it, which a stream that
// keeps order will not answer any more.
func (f *Follower) forgetPings(answered uint64) {
	for seq := range f.pings {
		if seq <= answered {
			delete(f.pings, seq)
		}
	}
}

// believe takes in a true statement. One about a revision that the daemon does
// not act on yet must not count as freshness of what it acts on.
func (f *Follower) believe(c confirmation) {
	if c.revision > f.acked {
		if !f.waiting.ok || c.at.After(f.waiting.at) {
			f.waiting = c
		}
		return
	}
	if !f.fresh.ok || c.at.After(f.fresh.at) {
		f.fresh = c
	}
}

// firstStep shows the first configuration once it is known to be at least as
// new as anything that an earlier run of this daemon can have been shown.
func (f *Follower) firstStep() *Transition {
	confirmed := f.waiting.ok && !f.waiting.at.Before(f.started)
	if f.held == nil || !confirmed || f.waiting.revision > f.held.Revision {
		return nil
	}
	return &Transition{New: f.held, Delta: Diff(nil, f.held), FromDiff: true}
}

// Acknowledge records that the daemon acts on the revision from now on.
func (f *Follower) Acknowledge(revision uint64) {
	if revision <= f.acked {
		return
	}
	f.acked = revision
	if f.waiting.ok && f.waiting.revision <= f.acked {
		promoted := f.waiting
		f.waiting = confirmation{}
		f.believe(promoted)
	}
}

// Freshness returns a revision and a time such that every revision accepted
// before that time is at most the one returned, on which the daemon acts or
// which it has passed. It is not ok before the first confirmation.
func (f *Follower) Freshness() (revision uint64, at time.Time, ok bool) {
	return f.fresh.revision, f.fresh.at, f.fresh.ok
}

// Counts returns what the follower has refused to believe so far.
func (f *Follower) Counts() FollowerCounts { return f.counts }

// Keep returns an error when the present source must be left for another:
// frozen, unreachable, or itself cut off from the quorum.
func (f *Follower) CheckSource(now time.Time) error {
	if now.Sub(f.heardUntil()) > f.silenceLimit() {
		return fault.New(fault.Unavailable, "the feed has gone silent", "the client watches the next source")
	}
	if now.After(f.staleAt()) {
		return fault.New(fault.Stale, "the feed has lost the quorum", "the client watches the next source")
	}
	return nil
}

// GiveUp returns when Keep will refuse the present source unless it answers.
func (f *Follower) SourceDeadline() time.Time {
	silent := f.heardUntil().Add(f.silenceLimit())
	stale := f.staleAt()
	if stale.Before(silent) {
		return stale
	}
	return silent
}

// staleAt returns when the present source counts as cut off from its quorum.
// It counts from the confirmation and not from the answer that told of it: an
// answer may be as old as the limit already. A source that has just begun to
// answer has the whole limit to show a confirmation, and one that has not
// answered yet, with a whole configuration under way, is only silent.
func (f *Follower) staleAt() time.Time {
	if f.answered.IsZero() {
		return f.opened.Add(f.limits.FirstPongTimeout + f.limits.MaxStaleness)
	}
	if f.acked == 0 && f.good.IsZero() {
		return f.answered.Add(f.limits.InitialConfirmTimeout)
	}
	return later(f.answered, f.good).Add(f.limits.MaxStaleness)
}

func (f *Follower) heardUntil() time.Time { return later(f.opened, f.heard) }

func (f *Follower) silenceLimit() time.Duration {
	if f.heard.IsZero() {
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
