package mapswitch

import "time"

// askInterval is the time between two reads of the record by a rank that waits
// for one.
const askInterval = 20 * time.Millisecond

// maxLoaded is the number of epochs a rank can have loaded: previous, in force,
// pending.
const maxLoaded = 3

// promise is the commitment of a rank not to run Step or any later step while Epoch
// is pending.
type promise struct {
	Epoch, Token, Step uint64
}

// Rank decides which map its engine may use in which step. It runs in the agent
// beside the rank and keeps nothing on disk.
type Rank struct {
	id          int
	group       string
	incarnation uint64

	record Record
	read   bool   // the record was read from a quorum by this process
	token  uint64 // the highest fencing token seen

	// inherited is the epoch that was pending when the record was read. A
	// previous process may have promised a step for it.
	inherited uint64
	promise   promise

	at         uint64 // the last step that the engine asked for
	positioned bool   // at is known
	holding    bool   // the engine was refused a step
	loaded     [maxLoaded]uint64

	asked    bool
	lastAsk  time.Duration
	deferred bool // Prepared is owed once the engine has loaded
}

// NewRank returns the machine of one rank. It allows no step until it has read
// the record from a quorum, which it asks for by Tick. The incarnation must
// differ from those of all earlier processes that served the rank.
func NewRank(id int, group string, incarnation uint64) *Rank {
	return &Rank{id: id, group: group, incarnation: incarnation}
}

// Record returns the newest record that the rank knows.
func (r *Rank) Record() Record { return r.record }

// Promise returns the epoch and step of the promise in force, or zeros.
func (r *Rank) Promise() (epoch, step uint64) { return r.promise.Epoch, r.promise.Step }

// Observe takes in the step that the engine is in, when the engine connects to a
// process that does not know it.
func (r *Rank) ObserveStep(step uint64) {
	r.at = max(r.at, step)
	r.positioned = true
}

// MayRun reports whether the engine may begin a step, and with the map of which
// epoch. The engine must ask before every step, also before one it repeats, and
// must ask again after a refusal. After a restart of the engine the step must
// not be lower than the first one the group has not completed.
func (r *Rank) MayRun(step uint64) (epoch uint64, ok bool) {
	r.ObserveStep(step)
	r.holding = !r.allowed(step)
	if r.holding {
		return 0, false
	}
	return r.record.EpochAt(step), true
}

// Allowed is MayRun without the engine asking: whether it may begin the step, as
// far as is known now, and with the map of which epoch.
func (r *Rank) Allowed(step uint64) (epoch uint64, ok bool) {
	if !r.allowed(step) {
		return 0, false
	}
	return r.record.EpochAt(step), true
}

func (r *Rank) allowed(step uint64) bool {
	if !r.read {
		return false
	}
	if r.inherited != 0 && r.promise.Epoch != r.inherited {
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

// Tick returns the messages that are due: loads that the engine has not
// confirmed, a read of the record while the rank needs one, and word to the
// coordinator while the engine waits for its decision.
func (r *Rank) Tick(now time.Duration) []Message {
	if !r.mayAsk(now) {
		return nil
	}
	out := r.loads()
	if !r.read || r.holding {
		out = append(out, r.readRequest())
	}
	if r.holding && r.record.PendingEpoch != 0 {
		out = append(out, r.waiting())
	}
	return out
}

// ask returns a read of the record, unless one was sent a moment ago.
func (r *Rank) ask(now time.Duration) []Message {
	if !r.mayAsk(now) {
		return nil
	}
	return []Message{r.readRequest()}
}

// mayAsk reports whether askInterval has passed since the last time it did, and
// then starts the interval anew.
func (r *Rank) mayAsk(now time.Duration) bool {
	if r.asked && now-r.lastAsk < askInterval {
		return false
	}
	r.asked, r.lastAsk = true, now
	return true
}

func (r *Rank) readRequest() Message {
	m := r.message(KindRead)
	m.Quorum = !r.read
	return m
}

func (r *Rank) onRecord(now time.Duration, m Message) []Message {
	if r.read {
		return r.learn(m.Record)
	}
	if !m.Quorum || m.Incarnation != r.incarnation {
		return r.ask(now)
	}
	r.read = true
	out := r.learn(m.Record)
	r.inherited = r.record.PendingEpoch
	return out
}

// learn takes over a record that is newer than the known one.
func (r *Rank) learn(record Record) []Message {
	if record.Revision <= r.record.Revision {
		return nil
	}
	r.record = record
	r.token = max(r.token, record.Token)
	if record.PendingEpoch != r.promise.Epoch {
		r.promise = promise{}
	}
	if record.PendingEpoch != r.inherited {
		r.inherited = 0
	}
	r.forgetUnused()
	return r.loads()
}

// onOrder handles a message of a coordinator. Tokens are checked here for
// engines that do not check them.
func (r *Rank) onOrder(now time.Duration, m Message) []Message {
	if !r.read {
		return r.ask(now)
	}
	if m.Token < r.token {
		return []Message{r.refuse(m, ReasonFenced)}
	}
	r.token = m.Token
	out := r.learn(m.Record)
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
		r.deferred = true
		return r.loads()
	}
	if !r.positioned {
		return []Message{r.refuse(m, ReasonNotReady)}
	}
	return []Message{r.prepared()}
}

func (r *Rank) onPromise(m Message) []Message {
	if m.Epoch != r.record.PendingEpoch {
		return nil
	}
	made := r.promise.Epoch == m.Epoch && r.promise.Token == m.Token
	if made && m.Step == r.promise.Step {
		return []Message{r.promised()}
	}
	if made && m.Step < r.promise.Step {
		return nil
	}
	if !r.positioned || r.at < r.record.FromStep || !r.hasLoaded(m.Epoch) {
		return []Message{r.refuse(m, ReasonNotReady)}
	}
	if m.Step <= r.at {
		return []Message{r.refuse(m, ReasonPassed)}
	}
	r.promise = promise{Epoch: m.Epoch, Token: m.Token, Step: m.Step}
	return []Message{r.promised()}
}

func (r *Rank) onLoaded(m Message) []Message {
	if !r.names(m.Epoch) || m.Digest != r.record.DigestOf(m.Epoch) {
		return nil
	}
	r.addLoaded(m.Epoch)
	if m.Epoch != r.record.PendingEpoch || !r.deferred || !r.positioned {
		return nil
	}
	r.deferred = false
	return []Message{r.prepared()}
}

// onFenced goes back to the quorum: the engine has obeyed a coordinator that
// this process does not know.
func (r *Rank) onFenced(now time.Duration, m Message) []Message {
	if m.Token <= r.token {
		return nil
	}
	r.read = false
	r.asked = false
	return r.ask(now)
}

func (r *Rank) message(kind Kind) Message {
	return Message{Kind: kind, Group: r.group, Rank: r.id, Incarnation: r.incarnation, Token: r.token}
}

func (r *Rank) waiting() Message {
	m := r.message(KindHolding)
	m.Epoch, m.Step = r.record.PendingEpoch, r.at
	return m
}

func (r *Rank) prepared() Message {
	m := r.message(KindPrepared)
	m.Epoch, m.Step = r.record.PendingEpoch, r.at
	return m
}

func (r *Rank) promised() Message {
	m := r.message(KindPromised)
	m.Token, m.Epoch, m.Step = r.promise.Token, r.promise.Epoch, r.promise.Step
	return m
}

func (r *Rank) refuse(request Message, reason Reason) Message {
	m := r.message(KindRefused)
	m.Epoch, m.Step, m.Reason = request.Epoch, r.at, reason
	return m
}
