package mapswitch

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

// Phase is the phase of the switch that a coordinator is in.
type Phase uint8

// The phases of a coordinator.
const (
	// PhaseIdle means that no switch is pending; the last decision may still be
	// resent.
	PhaseIdle Phase = iota
	// PhaseBeginning waits for Begin to be committed.
	PhaseBeginning
	// PhaseAdopting waits for Adopt to be committed.
	PhaseAdopting
	// PhasePreparing waits for all ranks to load the map.
	PhasePreparing
	// PhasePromising waits for all ranks to promise.
	PhasePromising
	// PhaseDeciding waits for the decision to be committed.
	PhaseDeciding
	// PhaseDeposed is terminal: another coordinator has a higher token.
	PhaseDeposed
)

// String returns the name of what a coordinator waits for in the phase.
func (p Phase) String() string {
	names := [...]string{"nothing", "begin", "adoption", "prepared", "promised", "decision", "deposed"}
	if int(p) >= len(names) {
		return "invalid"
	}
	return names[p]
}

// EffectKind is the kind of an Effect.
type EffectKind uint8

// The kinds of effects.
const (
	// Send asks for Message to be sent; it may be lost.
	Send EffectKind = iota + 1
	// Commit asks for Entry to be committed in the replicated log. The driver must
	// pass the resulting record to Committed once a quorum has synced it.
	Commit
)

// Effect is an action that the driver of a Coordinator must carry out.
type Effect struct {
	// Kind says whether Message or Entry is set.
	Kind EffectKind
	// Message is set for Send.
	Message Message
	// Entry is set for Commit.
	Entry Entry
}

// member is what the coordinator knows about a rank.
type member struct {
	step     uint64 // highest step reported
	prepared bool
	promised bool
	acked    uint64 // highest revision acknowledged
}

// Coordinator carries out the map switches of one group. It must not be started
// before the local replica has applied all entries of earlier terms. Its token
// must be unique and higher than those of all earlier coordinators; the term of
// the leader satisfies this.
type Coordinator struct {
	group   string
	token   uint64
	options Options
	record  Record
	phase   Phase
	members []member

	entry      Entry // being committed
	step       uint64
	stepRaises int
	since      time.Duration // start of the phase
	shortened  bool          // a rank holds, so the time limit of the phase is shortened
	lastSend   time.Duration
	estimator  leadEstimator
	// sole is set once this coordinator has begun the first switch of the group, so that
	// no other coordinator has asked the ranks for a promise.
	sole         bool
	abortPhase   Phase // the phase in which the last switch was aborted
	abortMissing []int // the ranks that had not answered then
}

// NewCoordinator returns the coordinator of a group with the given number of
// ranks. If the record has a pending switch, the coordinator adopts it at the
// first Tick and continues it.
func NewCoordinator(group string, ranks int, token uint64, record Record, options Options) *Coordinator {
	c := &Coordinator{group: group, token: token, options: options.withDefaults(), record: record, estimator: leadEstimator{expectedTime: initialAgreementTime}}
	c.members = make([]member, ranks)
	if token < record.Token {
		c.phase = PhaseDeposed
	}
	return c
}

// firstSwitchEpoch is the epoch of the first switch of a group, which starts with the map
// of epoch 1. Epochs are assigned in order, so a coordinator that begins this epoch,
// rather than adopting it, has no predecessor that asked for a promise.
const firstSwitchEpoch = 2

// Phase returns the current phase.
func (c *Coordinator) Phase() Phase { return c.phase }

// Record returns the newest record that the coordinator knows.
func (c *Coordinator) Record() Record { return c.record }

// LastAbort returns the phase in which a switch was last aborted, PhaseIdle if none
// was, and the ranks whose answers were missing then.
func (c *Coordinator) LastAbort() (Phase, []int) { return c.abortPhase, c.abortMissing }

// TakeOverrun returns, once for each switch with a learned lead, how long the group may
// have waited at the step of the switch.
func (c *Coordinator) TakeOverrun() (overrun time.Duration, ok bool) {
	overrun, ok = c.estimator.overrun, c.estimator.overrunReady
	c.estimator.overrunReady = false
	return overrun, ok
}

// Unacknowledged returns the ranks that have not acknowledged the newest decision. A
// switch begun before they have acknowledged it could not end before they do.
func (c *Coordinator) Unacknowledged() []int {
	var ranks []int
	for rank, member := range c.members {
		if member.acked < c.record.Revision {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// Propose begins a switch to the given map. The driver must store the map under
// the epoch of the returned entry together with the entry.
func (c *Coordinator) Propose(now time.Duration, m group.Map) ([]Effect, error) {
	if c.phase == PhaseDeposed {
		return nil, fault.New(fault.Fenced, "another coordinator has taken over group "+c.group, "propose to the current leader")
	}
	if c.phase != PhaseIdle || c.record.PendingEpoch != 0 {
		return nil, fault.New(fault.Conflict, "group "+c.group+" has a switch in progress", "propose again once it is decided")
	}
	entry := Entry{Kind: EntryBegin, Epoch: c.record.LastEpoch + 1, Digest: m.Digest()}
	return c.commit(now, PhaseBeginning, entry), nil
}

// Cancel aborts a switch that is being prepared, for a reason known to the driver.
// It does nothing in later phases, which end by themselves within a short time limit.
func (c *Coordinator) Cancel(now time.Duration) []Effect {
	if c.phase != PhasePreparing {
		return nil
	}
	return c.decide(now, EntryAbort, 0)
}

// Committed passes the coordinator the record that results from a committed entry of
// the group, whoever proposed the entry.
func (c *Coordinator) Committed(now time.Duration, record Record) []Effect {
	if record.Revision <= c.record.Revision || c.phase == PhaseDeposed {
		return nil
	}
	c.record = record
	if record.Token > c.token {
		c.phase = PhaseDeposed
		return nil
	}
	if record.PendingEpoch == 0 {
		c.enterPhase(now, PhaseIdle)
		return c.resend(now)
	}
	if record.Token == c.token {
		c.sole = c.sole || c.entry.Kind == EntryBegin && record.PendingEpoch == firstSwitchEpoch
		c.startPreparing(now)
		return c.resend(now)
	}
	c.enterPhase(now, PhaseIdle) // the entry is a predecessor's: Tick adopts the switch
	return nil
}

func (c *Coordinator) startPreparing(now time.Duration) {
	for i := range c.members {
		c.members[i].prepared = false
		c.members[i].promised = false
	}
	c.stepRaises = 0
	c.enterPhase(now, PhasePreparing)
}

// Step handles a message from a rank.
func (c *Coordinator) Step(now time.Duration, m Message) []Effect {
	if c.phase == PhaseDeposed || m.Group != c.group || m.Rank < 0 || m.Rank >= len(c.members) {
		return nil
	}
	member := &c.members[m.Rank]
	switch m.Kind {
	case KindPrepared:
		return c.onPrepared(now, member, m)
	case KindPromised:
		return c.onPromised(now, member, m)
	case KindRefused:
		return c.onRefused(now, member, m)
	case KindHolding:
		return c.onHolding(now, m)
	case KindAcknowledged:
		member.acked = max(member.acked, m.Record.Revision)
		if c.phase == PhaseIdle && len(c.Unacknowledged()) == 0 {
			c.estimator.finish(now)
		}
	}
	return nil
}

// chooseLead returns the distance in steps between the furthest rank and the step of the
// switch.
func (c *Coordinator) chooseLead(now time.Duration, furthest uint64) uint64 {
	if c.options.MaxLead == 0 {
		return c.options.Lead()
	}
	return c.estimator.lead(now, furthest, c.options)
}

// Tick adopts a predecessor's pending switch, resends unanswered messages and aborts a
// switch that takes too long.
func (c *Coordinator) Tick(now time.Duration) []Effect {
	if c.phase == PhaseIdle && c.record.PendingEpoch != 0 {
		return c.commit(now, PhaseAdopting, Entry{Kind: EntryAdopt, Epoch: c.record.PendingEpoch})
	}
	if limit, limited := c.phaseLimit(); limited && now-c.since >= limit {
		return c.decide(now, EntryAbort, 0)
	}
	if now-c.lastSend < c.options.ResendInterval {
		return nil
	}
	return c.resend(now)
}

// phaseLimit returns the time limit of the current phase, and whether it has one.
func (c *Coordinator) phaseLimit() (time.Duration, bool) {
	if c.phase == PhasePromising && c.options.MaxLead > 0 {
		return c.estimator.promiseLimit(c.since), true
	}
	if c.phase == PhasePromising || c.phase == PhasePreparing && c.shortened {
		return c.options.PromiseWindow, true
	}
	return c.options.PrepareTimeout, c.phase == PhasePreparing
}

// onHolding shortens the time limit of the preparation: a rank has restarted, or has
// reached a step that it promised to a predecessor, and the whole group waits for it. It
// also shortens the time limit for promises once a rank has reached the step that they
// are for.
func (c *Coordinator) onHolding(now time.Duration, m Message) []Effect {
	if m.Epoch != c.record.PendingEpoch || c.shortened {
		return nil
	}
	switch c.phase {
	case PhasePreparing:
		c.shortened = true
		c.since = now
	case PhasePromising:
		c.shortened = true
		c.estimator.recordHold(now)
	}
	return nil
}

func (c *Coordinator) onPrepared(now time.Duration, from *member, m Message) []Effect {
	if c.phase != PhasePreparing || m.Epoch != c.record.PendingEpoch || m.Token != c.token {
		return nil
	}
	from.prepared = true
	from.step = max(from.step, m.Step)
	for _, member := range c.members {
		if !member.prepared {
			return nil
		}
	}
	return c.askPromises(now)
}

// askPromises chooses the step of the switch and asks all ranks for promises not to run it.
func (c *Coordinator) askPromises(now time.Duration) []Effect {
	var furthest uint64
	for i := range c.members {
		furthest = max(furthest, c.members[i].step)
		c.members[i].promised = false
	}
	c.estimator.heldAt = 0
	lead := c.chooseLead(now, furthest)
	c.step = max(furthest+lead, c.step+1, c.record.FromStep+1)
	if c.stepRaises == 0 {
		c.estimator.plannedTime = time.Duration(lead) * c.estimator.stepTime(now, furthest, c.options.StepTime)
		c.estimator.start(now, furthest)
	}
	c.enterPhase(now, PhasePromising)
	return c.resend(now)
}

func (c *Coordinator) onPromised(now time.Duration, from *member, m Message) []Effect {
	if c.phase != PhasePromising || m.Epoch != c.record.PendingEpoch || m.Step != c.step || m.Token != c.token {
		return nil
	}
	from.promised = true
	for _, member := range c.members {
		if !member.promised {
			return nil
		}
	}
	return c.decide(now, EntryCommit, c.step)
}

func (c *Coordinator) onRefused(now time.Duration, from *member, m Message) []Effect {
	if m.Reason == ReasonFenced || m.Epoch != c.record.PendingEpoch {
		return nil
	}
	from.step = max(from.step, m.Step)
	if m.Reason != ReasonPassed || c.phase != PhasePromising || m.Step < c.step {
		return nil
	}
	if c.stepRaises >= c.options.MaxStepRaises {
		return c.decide(now, EntryAbort, 0)
	}
	c.stepRaises++
	return c.askPromises(now)
}

func (c *Coordinator) decide(now time.Duration, kind EntryKind, step uint64) []Effect {
	if kind == EntryAbort {
		c.abortPhase, c.abortMissing = c.phase, c.unanswered()
		if c.phase == PhasePromising {
			c.estimator.fail()
		}
	}
	return c.commit(now, PhaseDeciding, Entry{Kind: kind, Epoch: c.record.PendingEpoch, Step: step})
}

// unanswered returns the ranks whose answers the current phase waits for.
func (c *Coordinator) unanswered() []int {
	var ranks []int
	for rank, member := range c.members {
		if c.phase == PhasePromising && !member.promised || c.phase == PhasePreparing && !member.prepared {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

func (c *Coordinator) commit(now time.Duration, phase Phase, entry Entry) []Effect {
	entry.Group, entry.Token = c.group, c.token
	c.entry = entry
	c.enterPhase(now, phase)
	return c.resend(now)
}

func (c *Coordinator) enterPhase(now time.Duration, phase Phase) {
	c.phase, c.since, c.shortened = phase, now, false
}

// resend returns everything that is outstanding in the current phase. Entries
// may be committed twice: Record.Apply refuses the second.
func (c *Coordinator) resend(now time.Duration) []Effect {
	c.lastSend = now
	var out []Effect
	switch c.phase {
	case PhaseBeginning, PhaseAdopting, PhaseDeciding:
		return []Effect{{Kind: Commit, Entry: c.entry}}
	case PhasePreparing:
		out = c.sendWhere(out, KindPrepare, func(m member) bool { return !m.prepared })
	case PhasePromising:
		out = c.sendWhere(out, KindPromise, func(m member) bool { return !m.promised })
	case PhaseIdle:
		out = c.sendWhere(out, KindDecided, func(m member) bool { return m.acked < c.record.Revision })
	}
	return out
}

func (c *Coordinator) sendWhere(out []Effect, kind Kind, due func(member) bool) []Effect {
	for rank, member := range c.members {
		if !due(member) {
			continue
		}
		m := Message{Kind: kind, Group: c.group, Rank: rank, Token: c.token, Record: c.record, Sole: c.sole && kind != KindDecided}
		if kind != KindDecided {
			m.Epoch, m.Digest = c.record.PendingEpoch, c.record.PendingDigest
		}
		if kind == KindPromise {
			m.Step = c.step
		}
		out = append(out, Effect{Kind: Send, Message: m})
	}
	return out
}
