package mapswitch

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

// Phase is what a coordinator is doing.
type Phase uint8

// The phases of a coordinator.
const (
	// PhaseIdle means that nothing is pending; decisions may still be sent.
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
	// PhaseDeposed is final: another coordinator has a higher token.
	PhaseDeposed
)

// String names what a coordinator waits for in the phase.
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
	// Commit asks for Entry to be committed in the replicated log. The record
	// that results is to be passed to Committed once it is synced by a quorum.
	Commit
)

// Effect is something that the driver of a Coordinator must do.
type Effect struct {
	// Kind says whether Message or Entry is set.
	Kind EffectKind
	// Message is set for Send.
	Message Message
	// Entry is set for Commit.
	Entry Entry
}

// member is what the coordinator knows of a rank.
type member struct {
	step     uint64 // position last reported
	prepared bool
	promised bool
	acked    uint64 // highest revision acknowledged
}

// Coordinator carries out switches of one group. It must not be started before
// the local replica has applied all entries of earlier terms, and its token
// must be unique to it and higher than those of all earlier coordinators: the
// term of the leader does.
type Coordinator struct {
	group   string
	token   uint64
	options Options
	record  Record
	phase   Phase
	members []member

	entry    Entry // being committed
	step     uint64
	raises   int
	since    time.Duration // start of the phase
	hurried  bool          // a rank holds while others still prepare
	lastSend time.Duration
	agreed   agreement
	// sole is set once this coordinator has begun the first switch of the group.
	sole    bool
	gaveUp  Phase // in which the last switch was given up
	missing []int // the ranks that had not answered then
}

// NewCoordinator returns the coordinator of a group with the given number of
// ranks. If the record has a pending switch the coordinator adopts it at the
// first Tick and carries it on.
func NewCoordinator(group string, ranks int, token uint64, record Record, options Options) *Coordinator {
	c := &Coordinator{group: group, token: token, options: options.withDefaults(), record: record, agreed: agreement{expected: firstAgreement}}
	c.members = make([]member, ranks)
	if token < record.Token {
		c.phase = PhaseDeposed
	}
	return c
}

// firstSwitch is the epoch of the first switch of a group, which begins with the map of
// epoch 1. Epochs are given out in order, so that who begins it, and has not adopted it, has
// had no predecessor that asked for a step.
const firstSwitch = 2

// Phase returns what the coordinator is doing.
func (c *Coordinator) Phase() Phase { return c.phase }

// Record returns the newest record that the coordinator knows.
func (c *Coordinator) Record() Record { return c.record }

// GaveUp returns the phase in which the last switch was given up, PhaseIdle if none
// was, and the ranks whose answers were missing then.
func (c *Coordinator) LastAbort() (Phase, []int) { return c.gaveUp, c.missing }

// TakeOverrun returns, once for each switch with a learned lead, how long the group may
// have waited at its step.
func (c *Coordinator) TakeOverrun() (overrun time.Duration, ok bool) {
	overrun, ok = c.agreed.overrun, c.agreed.fresh
	c.agreed.fresh = false
	return overrun, ok
}

// Unacknowledged returns the ranks that have not said that they know the newest
// decision. A switch that begins before they have could not end before they do.
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

// Cancel gives up a switch that is being prepared, for a reason that the driver
// knows. Once promises are asked for it ends by itself, and soon.
func (c *Coordinator) Cancel(now time.Duration) []Effect {
	if c.phase != PhasePreparing {
		return nil
	}
	return c.decide(now, EntryAbort, 0)
}

// Committed gives the coordinator the record after an entry of the group was
// committed, whoever proposed it.
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
		c.enter(now, PhaseIdle)
		return c.resend(now)
	}
	if record.Token == c.token {
		c.sole = c.sole || c.entry.Kind == EntryBegin && record.PendingEpoch == firstSwitch
		c.startPreparing(now)
		return c.resend(now)
	}
	c.enter(now, PhaseIdle) // an entry of a predecessor: Tick adopts it
	return nil
}

func (c *Coordinator) startPreparing(now time.Duration) {
	for i := range c.members {
		c.members[i].prepared = false
		c.members[i].promised = false
	}
	c.raises = 0
	c.enter(now, PhasePreparing)
}

// Step handles a message of a rank.
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
			c.agreed.end(now)
		}
	}
	return nil
}

// lead is the distance in steps between the furthest rank and the step chosen.
func (c *Coordinator) lead(now time.Duration, furthest uint64) uint64 {
	if c.options.MaxLead == 0 {
		return c.options.Lead()
	}
	return c.agreed.lead(now, furthest, c.options)
}

// Tick resends what was not answered and gives up what takes too long.
func (c *Coordinator) Tick(now time.Duration) []Effect {
	if c.phase == PhaseIdle && c.record.PendingEpoch != 0 {
		return c.commit(now, PhaseAdopting, Entry{Kind: EntryAdopt, Epoch: c.record.PendingEpoch})
	}
	if limit, limited := c.limit(); limited && now-c.since >= limit {
		return c.decide(now, EntryAbort, 0)
	}
	if now-c.lastSend < c.options.ResendInterval {
		return nil
	}
	return c.resend(now)
}

// limit is the longest time that the present phase may take.
func (c *Coordinator) limit() (time.Duration, bool) {
	if c.phase == PhasePromising && c.options.MaxLead > 0 {
		return c.agreed.limit(c.since), true
	}
	if c.phase == PhasePromising || c.phase == PhasePreparing && c.hurried {
		return c.options.PromiseWindow, true
	}
	return c.options.PrepareTimeout, c.phase == PhasePreparing
}

// onHolding shortens the preparation: a rank restarted, or promised a step to a
// predecessor and reached it, and the whole group waits for it. It shortens the time for
// promises, too, once the step that they are for has come.
func (c *Coordinator) onHolding(now time.Duration, m Message) []Effect {
	if m.Epoch != c.record.PendingEpoch || c.hurried {
		return nil
	}
	switch c.phase {
	case PhasePreparing:
		c.hurried = true
		c.since = now
	case PhasePromising:
		c.hurried = true
		c.agreed.reached(now)
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

// askPromises chooses the step and asks all ranks not to pass it.
func (c *Coordinator) askPromises(now time.Duration) []Effect {
	var furthest uint64
	for i := range c.members {
		furthest = max(furthest, c.members[i].step)
		c.members[i].promised = false
	}
	c.agreed.held = 0
	lead := c.lead(now, furthest)
	c.step = max(furthest+lead, c.step+1, c.record.FromStep+1)
	if c.raises == 0 {
		c.agreed.planned = time.Duration(lead) * c.agreed.stepTime(now, furthest, c.options.StepTime)
		c.agreed.begin(now, furthest)
	}
	c.enter(now, PhasePromising)
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
	if c.raises >= c.options.MaxStepRaises {
		return c.decide(now, EntryAbort, 0)
	}
	c.raises++
	return c.askPromises(now)
}

func (c *Coordinator) decide(now time.Duration, kind EntryKind, step uint64) []Effect {
	if kind == EntryAbort {
		c.gaveUp, c.missing = c.phase, c.unanswered()
		if c.phase == PhasePromising {
			c.agreed.failed()
		}
	}
	return c.commit(now, PhaseDeciding, Entry{Kind: kind, Epoch: c.record.PendingEpoch, Step: step})
}

// unanswered returns the ranks whose answers the present phase waits for.
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
	c.enter(now, phase)
	return c.resend(now)
}

func (c *Coordinator) enter(now time.Duration, phase Phase) {
	c.phase, c.since, c.hurried = phase, now, false
}

// resend returns everything that is outstanding in the present phase. Entries
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
