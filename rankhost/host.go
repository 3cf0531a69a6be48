package rankhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/agent/tally"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

const (
	// busyPoll is the time between two looks at the engine during a switch, of
	// which each costs the group nothing.
	busyPoll = 15 * time.Millisecond
	// orderTimeout bounds the wait for the answer to an order, many times what an
	// engine on the same host takes; its status tells the rest. Once answers have been
	// seen the wait is orderPatience times what they took, and no less than
	// leastTimeout: the group may be waiting for the repeated order.
	orderTimeout  = 60 * time.Millisecond
	leastTimeout  = 15 * time.Millisecond
	orderPatience = 6
	// orderWeight is the weight of the newest answer in what answers take.
	orderWeight = 0.2
	// answerWait is how long the coordinator's call is kept for what the engine is still
	// doing about it, so that word of it need not wait for the next call.
	answerWait = 40 * time.Millisecond
	// statusTimeout bounds one look at the engine.
	statusTimeout = time.Second
	// prepareRetry is the pause between two orders to prepare a map if the first
	// was answered: copying takes many looks.
	prepareRetry = 1500 * time.Millisecond
	// slowOrder is the pause after an order that changed nothing.
	slowOrder = 50 * time.Millisecond
)

// Control reads from a quorum of control replicas.
type MapReader interface {
	// ReadMap returns the record of a group and the fencing token of the
	// coordinator that wrote it last, linearizably.
	ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error)
}

// Config sets up a Host.
type Config struct {
	// Engine is the engine, Control reads the decided records.
	Engine    Engine
	MapReader MapReader
	// PollInterval is the time between two looks at the engine at rest,
	// CountInterval the least time between two readings of what its experts were chosen for.
	PollInterval, CountInterval time.Duration
	Logger                      *slog.Logger
}

// Host drives the Holder of one engine.
type Host struct {
	cfg     Config
	started time.Time
	wake    chan struct{}

	mu     sync.Mutex
	status Status
	// statusAt is when the status was read; zero while the engine cannot be read.
	statusAt time.Time
	holder   *Controller
	// strange is set after an answer that was no status.
	strange bool
	counts  tally.Tally
	// countedAt is when the engine's counts were last asked for.
	countedAt time.Time
	// outbox holds the newest message of each kind for the coordinator.
	outbox map[mapswitch.Kind]mapswitch.Message
	// reading is set while the record is read, and fetching while a map is.
	reading, fetching bool
	// last is the last order given, and when; answered says that the engine took
	// it on.
	last     Order
	lastAt   time.Time
	answered bool
	// orderTime is how long the engine takes to answer an order; zero if none has been.
	orderTime time.Duration
	// quietUntil is the end of the pause that the engine has asked for.
	quietUntil time.Time
	// filled closes when the outbox gets a message.
	filled chan struct{}
	// changed closes when what is announced of the rank has changed.
	changed chan struct{}
}

// NewHost returns a host, which does nothing before Run.
func NewHost(cfg Config) *Host {
	return &Host{
		cfg: cfg, started: time.Now(), wake: make(chan struct{}, 1),
		outbox: map[mapswitch.Kind]mapswitch.Message{}, changed: make(chan struct{}), filled: make(chan struct{}),
	}
}

// Run drives until ctx ends.
func (h *Host) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.look(ctx)
		h.sleep(ctx, pause)
	}
}

func (h *Host) now() time.Duration { return time.Since(h.started) }

// sleep waits for d, a wake-up, or ctx.
func (h *Host) sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-h.wake:
	case <-ctx.Done():
	}
}

func (h *Host) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// look reads the engine, gives it the order that is due, and returns the pause
// until the next look.
func (h *Host) look(ctx context.Context) time.Duration {
	if quiet := h.quiet(); quiet > 0 {
		return quiet
	}
	err := h.read(ctx)
	if h.pushedBack(err) {
		return h.cfg.PollInterval
	}
	if fault.Is(err, fault.Corrupt) {
		h.unreadable(err)
		return h.cfg.PollInterval
	}
	if err != nil {
		h.lost(err)
		return h.cfg.PollInterval
	}
	order, ok := h.next()
	if !ok {
		return h.rest()
	}
	limited, cancel := context.WithTimeout(ctx, h.patience())
	defer cancel()
	began := time.Now()
	err = h.cfg.Engine.SendOrder(limited, order)
	h.answeredIn(time.Since(began), err)
	h.cfg.Logger.Info("gave an order to the engine", slog.String("order", order.Kind.String()),
		slog.Uint64("version", order.Version), slog.Uint64("step", order.Step), slog.Uint64("formation", order.Formation), slog.Any("error", err))
	h.mu.Lock()
	h.answered = err == nil
	h.mu.Unlock()
	if fault.Is(err, fault.Conflict) {
		return slowOrder
	}
	return 0
}

// patience is how long the answer to an order is waited for.
func (h *Host) patience() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderTime == 0 {
		return orderTimeout
	}
	return min(max(orderPatience*h.orderTime, leastTimeout), orderTimeout)
}

// answeredIn learns how long the engine takes to answer, refusals included.
func (h *Host) answeredIn(took time.Duration, err error) {
	if err != nil && !fault.Is(err, fault.Conflict) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderTime == 0 {
		h.orderTime = took
		return
	}
	h.orderTime += time.Duration(orderWeight * float64(took-h.orderTime))
}

// read takes in the engine's status.
func (h *Host) read(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	asked := time.Now()
	status, err := h.cfg.Engine.Status(limited)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.note(status, asked)
	if h.holder != nil {
		h.emit(ctx, h.holder.Observe(h.now(), status))
	}
	return nil
}

// note keeps a status; the lock is held. A new formation gets a new holder.
func (h *Host) note(status Status, at time.Time) {
	before := h.status
	h.status, h.statusAt, h.strange = status, at, false
	same := h.holder != nil && samePlace(before, status)
	if same && before.Open == status.Open {
		return
	}
	if !same {
		h.holder = nil
		if status.Group != "" {
			h.holder = NewController(status, rand.Uint64()|1, h.first(before, status))
			clear(h.outbox)
			h.counts = tally.Tally{}
		}
	}
	h.cfg.Logger.Info("the engine's group", slog.String("group", status.Group), slog.Uint64("formation", status.Formation),
		slog.Int("rank", status.Rank), slog.Int("size", status.Size), slog.Bool("open", status.Open))
	close(h.changed)
	h.changed = make(chan struct{})
}

// samePlace reports whether two statuses are of one start of the engine, at one rank of one
// formation.
func samePlace(a, b Status) bool {
	return a.Group == b.Group && a.Formation == b.Formation && a.Rank == b.Rank && a.Started == b.Started
}

// first reports whether no earlier process can have asked anything of the engine in its
// present formation: this one has seen it closed, or its group in an earlier formation.
// Then the first switch need not keep clear of steps that others may have reserved, which
// puts it off by a second, and all that follow it, just when the first map is at its
// worst.
func (h *Host) first(before, present Status) bool {
	earlier := before.Group == present.Group && before.Group != "" && before.Formation < present.Formation
	return earlier || !present.Open
}

// unreadable notes an answer that is not a status: it is of another writer, and what is
// known of the engine stays. It is logged once until a status comes.
func (h *Host) unreadable(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.strange {
		h.cfg.Logger.Warn("the engine's status makes no sense", slog.Any("error", err))
	}
	h.strange = true
}

// lost notes that the engine cannot be read.
func (h *Host) lost(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.statusAt.IsZero() {
		return
	}
	h.cfg.Logger.Warn("the engine cannot be read", slog.Any("error", err))
	h.statusAt = time.Time{}
	h.status = Status{}
	h.holder = nil
	close(h.changed)
	h.changed = make(chan struct{})
}

// next returns the order that is due, not the same one again at once.
func (h *Host) next() (Order, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == nil {
		return Order{}, false
	}
	order, ok := h.holder.NextOrder()
	if !ok {
		return Order{}, false
	}
	repeated := order.Kind == h.last.Kind && order.Version == h.last.Version && order.Step == h.last.Step && order.Formation == h.last.Formation
	if repeated && time.Since(h.lastAt) < h.repeatAfter(order.Kind) {
		return Order{}, false
	}
	h.last, h.lastAt, h.answered = order, time.Now(), false
	return order, true
}

// repeatAfter is the least time between two orders of a kind; the lock is held.
func (h *Host) repeatAfter(kind OrderKind) time.Duration {
	if kind == Prepare && h.answered {
		return prepareRetry
	}
	return busyPoll
}

// rest is the pause until the next look when no order is due.
func (h *Host) rest() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != nil && h.holder.SwitchInProgress() {
		return busyPoll
	}
	return h.cfg.PollInterval
}

// Status returns the engine's status and when it was read; ok is false while the
// engine cannot be read.
func (h *Host) Status() (s Status, at time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status, h.statusAt, !h.statusAt.IsZero()
}

// Changed returns a channel that closes when the rank's group has changed.
func (h *Host) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
