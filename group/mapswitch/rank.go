package mapswitch

import "time"

// readInterval is the time between two requests for the record by a rank that waits
// for it.
const readInterval = 20 * time.Millisecond

// maxLoaded is the number of epochs that a rank can have loaded: the previous one, the
// one in force and the pending one.
const maxLoaded = 3

// promise is the commitment of a rank not to run Step or any later step while Epoch
// is pending.
type promise struct {
	Epoch, Token, Step uint64
}

// Rank decides which map its engine may use in which step. It runs in the agent
// of the rank and keeps nothing on disk.
type Rank struct {
	id          int
	group       string
	incarnation uint64

	record       Record
	recordRead   bool   // the record was read from a quorum by this process
	highestToken uint64 // the highest fencing token seen

	// inheritedEpoch is the epoch that was pending when the record was read. A
	// previous process may have promised a step for it.
	inheritedEpoch uint64
	promise        promise

	position      uint64 // the last step that the engine asked for
	positionKnown bool
	holding       bool // the engine was refused a step
	loaded        [maxLoaded]uint64

	requested       bool
	lastRequest     time.Duration
	prepareDeferred bool // KindPrepared is to be sent once the engine has loaded
}

// NewRank returns the state machine of one rank. It allows no step until it has read
// the record from a quorum, which Tick requests. The incarnation must differ from
// those of all earlier processes that served the rank.
func NewRank(id int, group string, incarnation uint64) *Rank {
	return &Rank{id: id, group: group, incarnation: incarnation}
}

// Record returns the newest record that the rank knows.
func (r *Rank) Record() Record { return r.record }

// Promise returns the epoch and step of the promise in force, or zeros.
func (r *Rank) Promise() (epoch, step uint64) { return r.promise.Epoch, r.promise.Step }

// ObserveStep records the step that the engine is at. It is called when an engine
// connects to a process that does not know its step.
func (r *Rank) ObserveStep(step uint64) {
	r.position = max(r.position, step)
	r.positionKnown = true
}

// MayRun reports whether the engine may begin a step, and with the map of which
// epoch. The engine must ask before every step, including one that it repeats, and
// must ask again after a refusal. After a restart of the engine the step must
// not be lower than the first one that the group has not completed.
func (r *Rank) MayRun(step uint64) (epoch uint64, ok bool) {
	r.ObserveStep(step)
	r.holding = !r.allowed(step)
	if r.holding {
		return 0, false
	}
	return r.record.EpochAt(step), true
}

// Allowed reports what MayRun would, without recording that the engine asked: whether
// the engine may begin the step, as far as is known now, and with the map of which epoch.
func (r *Rank) Allowed(step uint64) (epoch uint64, ok bool) {
	if !r.allowed(step) {
		return 0, false
	}
	return r.record.EpochAt(step), true
}

func (r *Rank) allowed(step uint64) bool {
	if !r.recordRead {
		return false
	}
	if r.inheritedEpoch != 0 && r.promise.Epoch != r.inheritedEpoch {
		return false
	}
	if r.promise.Epoch != 0 && step >= r.promise.Step {
		return false
	}
	return r.hasLoaded(r.record.EpochAt(step))
}

// Step handles a message and returns those to send.
func (r *Rank) Step(now time.Duration, m Message) []Message {
	if m.Group != r.group || m.Rank != r.id {
		return nil
	}
	switch m.Kind {
	case KindRecord:
		return r.onRecord(now, m)
	case KindLoaded:
		return r.onLoaded(m)
	case KindFenced:
		return r.onFenced(now, m)
	case KindPrepare, KindPromise, KindDecided:
		return r.onOrder(now, m)
	}
	return nil
}

// Tick returns the messages that are due: load orders that the engine has not
// confirmed, a request for the record while the rank needs it, and a report to the
// coordinator while the engine waits for its decision.
func (r *Rank) Tick(now time.Duration) []Message {
	if !r.requestDue(now) {
		return nil
	}
	out := r.loadOrders()
	if !r.recordRead || r.holding {
		out = append(out, r.readRequest())
	}
	if r.holding && r.record.PendingEpoch != 0 {
		out = append(out, r.holdingMessage())
	}
	return out
}

// requestRecord returns a request for the record, unless one was sent within
// readInterval.
func (r *Rank) requestRecord(now time.Duration) []Message {
	if !r.requestDue(now) {
		return nil
	}
	return []Message{r.readRequest()}
}

// requestDue reports whether readInterval has elapsed since it last returned true, and
// if so restarts the interval.
func (r *Rank) requestDue(now time.Duration) bool {
	if r.requested && now-r.lastRequest < readInterval {
		return false
	}
	r.requested, r.lastRequest = true, now
	return true
}

func (r *Rank) readRequest() Message {
	m := r.message(KindRead)
	m.Quorum = !r.recordRead
	return m
}

func (r *Rank) onRecord(now time.Duration, m Message) []Message {
	if r.recordRead {
		return r.updateRecord(m.Record)
	}
	if !m.Quorum || m.Incarnation != r.incarnation {
		return r.requestRecord(now)
	}
	r.recordRead = true
	out := r.updateRecord(m.Record)
	r.inheritedEpoch = r.record.PendingEpoch
	return out
}

// updateRecord replaces the known record by a newer one; older ones are ignored.
func (r *Rank) updateRecord(record Record) []Message {
	if record.Revision <= r.record.Revision {
		return nil
	}
	r.record = record
	r.highestToken = max(r.highestToken, record.Token)
	if record.PendingEpoch != r.promise.Epoch {
		r.promise = promise{}
	}
	if record.PendingEpoch != r.inheritedEpoch {
		r.inheritedEpoch = 0
	}
	r.dropUnreferenced()
	return r.loadOrders()
}

// onOrder handles a message from a coordinator. Fencing tokens are checked here for
// engines that do not check them.
func (r *Rank) onOrder(now time.Duration, m Message) []Message {
	if !r.recordRead {
		return r.requestRecord(now)
	}
	if m.Token < r.highestToken {
		return []Message{r.refusal(m, ReasonFenced)}
	}
	r.highestToken = m.Token
	out := r.updateRecord(m.Record)
	switch m.Kind {
	case KindPrepare:
		return append(out, r.onPrepare(m)...)
	case KindPromise:
		return append(out, r.onPromise(m)...)
	}
	ack := r.message(KindAcknowledged)
	ack.Record = r.record
	return append(out, ack)
}

func (r *Rank) onPrepare(m Message) []Message {
	if m.Epoch != r.record.PendingEpoch {
		return nil
	}
	if !r.hasLoaded(m.Epoch) {
		r.prepareDeferred = true
		return r.loadOrders()
	}
	if !r.positionKnown {
		return []Message{r.refusal(m, ReasonNotReady)}
	}
	return []Message{r.preparedMessage()}
}

func (r *Rank) onPromise(m Message) []Message {
	if m.Epoch != r.record.PendingEpoch {
		return nil
	}
	made := r.promise.Epoch == m.Epoch && r.promise.Token == m.Token
	if made && m.Step == r.promise.Step {
		return []Message{r.promisedMessage()}
	}
	if made && m.Step < r.promise.Step {
		return nil
	}
	if !r.positionKnown || r.position < r.record.FromStep || !r.hasLoaded(m.Epoch) {
		return []Message{r.refusal(m, ReasonNotReady)}
	}
	if m.Step <= r.position {
		return []Message{r.refusal(m, ReasonPassed)}
	}
	r.promise = promise{Epoch: m.Epoch, Token: m.Token, Step: m.Step}
	return []Message{r.promisedMessage()}
}

func (r *Rank) onLoaded(m Message) []Message {
	if !r.references(m.Epoch) || m.Digest != r.record.DigestOf(m.Epoch) {
		return nil
	}
	r.addLoaded(m.Epoch)
	if m.Epoch != r.record.PendingEpoch || !r.prepareDeferred || !r.positionKnown {
		return nil
	}
	r.prepareDeferred = false
	return []Message{r.preparedMessage()}
}

// onFenced reads the record from a quorum again: the engine has obeyed a coordinator
// that this process does not know.
func (r *Rank) onFenced(now time.Duration, m Message) []Message {
	if m.Token <= r.highestToken {
		return nil
	}
	r.recordRead = false
	r.requested = false
	return r.requestRecord(now)
}

func (r *Rank) message(kind Kind) Message {
	return Message{Kind: kind, Group: r.group, Rank: r.id, Incarnation: r.incarnation, Token: r.highestToken}
}

func (r *Rank) holdingMessage() Message {
	m := r.message(KindHolding)
	m.Epoch, m.Step = r.record.PendingEpoch, r.position
	return m
}

func (r *Rank) preparedMessage() Message {
	m := r.message(KindPrepared)
	m.Epoch, m.Step = r.record.PendingEpoch, r.position
	return m
}

func (r *Rank) promisedMessage() Message {
	m := r.message(KindPromised)
	m.Token, m.Epoch, m.Step = r.promise.Token, r.promise.Epoch, r.promise.Step
	return m
}

func (r *Rank) refusal(request Message, reason Reason) Message {
	m := r.message(KindRefused)
	m.Epoch, m.Step, m.Reason = request.Epoch, r.position, reason
	return m
}
