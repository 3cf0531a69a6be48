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
	// switchPollInterval is the poll interval during a switch. Polling costs the group nothing.
	switchPollInterval = 15 * time.Millisecond
	// maxOrderTimeout bounds the wait for the reply to an order. It is many times what an engine on
	// the same host takes; the outcome is read from the status. Once replies have been seen, the
	// timeout is orderTimeoutFactor times the average reply time, but at least minOrderTimeout: a
	// short timeout matters because the group may be waiting for the repeated order.
	maxOrderTimeout    = 60 * time.Millisecond
	minOrderTimeout    = 15 * time.Millisecond
	orderTimeoutFactor = 6
	// orderTimeWeight is the weight of the newest sample in the moving average of reply times.
	orderTimeWeight = 0.2
	// maxReplyWait bounds how long the coordinator's call is held open for the engine to act on it,
	// so that the reply need not wait for the next call.
	maxReplyWait = 40 * time.Millisecond
	// statusTimeout bounds one read of the engine's status.
	statusTimeout = time.Second
	// prepareRetryInterval is the delay before a Prepare that the engine accepted is repeated:
	// copying the weights takes many polls.
	prepareRetryInterval = 1500 * time.Millisecond
	// conflictPause is the delay after an order that the engine refused.
	conflictPause = 50 * time.Millisecond
)

// MapReader reads from a quorum of control replicas.
type MapReader interface {
	// ReadMap returns, linearizably, the record of a group and the fencing token of the coordinator
	// that wrote it last.
	ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error)
}

// Config configures a Host.
type Config struct {
	// Engine is the engine to control; MapReader reads the decided records.
	Engine    Engine
	MapReader MapReader
	// PollInterval is the poll interval while no switch is in progress, CountInterval the least
	// time between two reads of the expert counts.
	PollInterval, CountInterval time.Duration
	// ReportSlowdown is as in Settings; empty is SlowdownAuto.
	ReportSlowdown string
	Logger         *slog.Logger
}

// Host polls one engine and sends it the orders of its Controller.
type Host struct {
	cfg     Config
	started time.Time
	wake    chan struct{}

	mu     sync.Mutex
	status Status
	// statusAt is when the status was read; zero while the engine cannot be read.
	statusAt   time.Time
	controller *Controller
	// statusMalformed is set after a malformed status, until a valid one is read.
	statusMalformed bool
	expertCounts    tally.Tally
	// countsReadAt is when the engine's counts were last requested.
	countsReadAt time.Time
	// outbox holds the newest message of each kind for the coordinator.
	outbox map[mapswitch.Kind]mapswitch.Message
	// readingRecord and fetchingMap are set while the record or a map is being read.
	readingRecord, fetchingMap bool
	// lastOrder is the last order sent and lastOrderAt when it was sent; lastAnswered reports
	// whether the engine accepted it.
	lastOrder    Order
	lastOrderAt  time.Time
	lastAnswered bool
	// orderTime is the moving average of the engine's reply times to orders; zero before the first
	// reply.
	orderTime time.Duration
	// pausedUntil is the end of the pause that the engine has requested.
	pausedUntil time.Time
	// outboxFilled is closed when a message is added to the outbox.
	outboxFilled chan struct{}
	// changed is closed when the announced state of the rank has changed.
	changed chan struct{}
}

// NewHost returns a host, which does nothing before Run.
func NewHost(cfg Config) *Host {
	return &Host{
		cfg: cfg, started: time.Now(), wake: make(chan struct{}, 1),
		outbox: map[mapswitch.Kind]mapswitch.Message{}, changed: make(chan struct{}), outboxFilled: make(chan struct{}),
	}
}

// Run polls and controls the engine until ctx ends.
func (h *Host) Run(ctx context.Context) {
	for ctx.Err() == nil {
		pause := h.poll(ctx)
		h.sleep(ctx, pause)
	}
}

func (h *Host) now() time.Duration { return time.Since(h.started) }

// sleep waits until d has passed, wakeUp is called, or ctx ends.
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

// poll reads the engine's status, sends the order that is due, and returns the delay until the next
// poll.
func (h *Host) poll(ctx context.Context) time.Duration {
	if remaining := h.pauseRemaining(); remaining > 0 {
		return remaining
	}
	err := h.readStatus(ctx)
	if h.recordPushback(err) {
		return h.cfg.PollInterval
	}
	if fault.Is(err, fault.Corrupt) {
		h.recordMalformedStatus(err)
		return h.cfg.PollInterval
	}
	if err != nil {
		h.recordUnreachable(err)
		return h.cfg.PollInterval
	}
	order, ok := h.nextOrder()
	if !ok {
		return h.nextPollDelay()
	}
	callCtx, cancel := context.WithTimeout(ctx, h.replyTimeout())
	defer cancel()
	sentAt := time.Now()
	err = h.cfg.Engine.SendOrder(callCtx, order)
	h.recordOrderTime(time.Since(sentAt), err)
	h.cfg.Logger.Info("sent an order to the engine", slog.String("order", order.Kind.String()),
		slog.Uint64("version", order.Version), slog.Uint64("step", order.Step), slog.Uint64("formation", order.Formation), slog.Any("error", err))
	h.mu.Lock()
	h.lastAnswered = err == nil
	h.mu.Unlock()
	if fault.Is(err, fault.Conflict) {
		return conflictPause
	}
	return 0
}

// replyTimeout returns the timeout for the reply to an order.
func (h *Host) replyTimeout() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderTime == 0 {
		return maxOrderTimeout
	}
	return min(max(orderTimeoutFactor*h.orderTime, minOrderTimeout), maxOrderTimeout)
}

// recordOrderTime adds a reply time to the moving average. A refusal counts as a reply; other
// errors do not.
func (h *Host) recordOrderTime(took time.Duration, err error) {
	if err != nil && !fault.Is(err, fault.Conflict) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.orderTime == 0 {
		h.orderTime = took
		return
	}
	h.orderTime += time.Duration(orderTimeWeight * float64(took-h.orderTime))
}

// readStatus reads the engine's status and passes it to the controller.
func (h *Host) readStatus(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	requestedAt := time.Now()
	status, err := h.cfg.Engine.Status(callCtx)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordStatus(status, requestedAt)
	if h.controller != nil {
		h.dispatch(ctx, h.controller.Observe(h.now(), status))
	}
	return nil
}

// recordStatus stores a status. A rank that has changed its group, formation or engine start gets a
// new controller. The caller must hold the lock.
func (h *Host) recordStatus(status Status, readAt time.Time) {
	previous := h.status
	h.status, h.statusAt, h.statusMalformed = status, readAt, false
	h.logSlowdown(previous, status)
	same := h.controller != nil && sameMembership(previous, status)
	if same && previous.Open == status.Open {
		return
	}
	if !same {
		h.controller = nil
		if status.Group != "" {
			h.controller = NewController(status, rand.Uint64()|1, h.firstInFormation(previous, status))
			clear(h.outbox)
			h.expertCounts = tally.Tally{}
		}
	}
	h.cfg.Logger.Info("the engine's group changed", slog.String("group", status.Group), slog.Uint64("formation", status.Formation),
		slog.Int("rank", status.Rank), slog.Int("size", status.Size), slog.Bool("open", status.Open))
	close(h.changed)
	h.changed = make(chan struct{})
}

// sameMembership reports whether two statuses are of the same start of the engine, with the same
// rank in the same formation.
func sameMembership(a, b Status) bool {
	return a.Group == b.Group && a.Formation == b.Formation && a.Rank == b.Rank && a.Started == b.Started
}

// firstInFormation reports whether no earlier process can have sent orders to the engine in its
// present formation: this process has seen the engine before the formation opened, or its group in
// an earlier formation. The first switch then need not avoid steps that earlier processes may have
// reserved. Avoiding them delays that switch, and all that follow it, by a second, just when the
// first map fits the demand worst.
func (h *Host) firstInFormation(previous, current Status) bool {
	seenEarlierFormation := previous.Group == current.Group && previous.Group != "" && previous.Formation < current.Formation
	return seenEarlierFormation || !current.Open
}

// recordMalformedStatus records an answer that is not a valid status. It did not come from the
// engine, so the last known status is kept. It is logged once until a valid status is read.
func (h *Host) recordMalformedStatus(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.statusMalformed {
		h.cfg.Logger.Warn("the engine's status is malformed", slog.Any("error", err))
	}
	h.statusMalformed = true
}

// recordUnreachable records that the engine cannot be read.
func (h *Host) recordUnreachable(err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.statusAt.IsZero() {
		return
	}
	h.cfg.Logger.Warn("the engine cannot be read", slog.Any("error", err))
	h.statusAt = time.Time{}
	h.status = Status{}
	h.controller = nil
	close(h.changed)
	h.changed = make(chan struct{})
}

// nextOrder returns the order that is due. The same order is repeated only after minRepeatInterval.
func (h *Host) nextOrder() (Order, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controller == nil {
		return Order{}, false
	}
	order, ok := h.controller.NextOrder()
	if !ok {
		return Order{}, false
	}
	repeated := order.Kind == h.lastOrder.Kind && order.Version == h.lastOrder.Version && order.Step == h.lastOrder.Step && order.Formation == h.lastOrder.Formation
	if repeated && time.Since(h.lastOrderAt) < h.minRepeatInterval(order.Kind) {
		return Order{}, false
	}
	h.lastOrder, h.lastOrderAt, h.lastAnswered = order, time.Now(), false
	return order, true
}

// minRepeatInterval returns the least time between two identical orders of a kind. The caller
// must hold the lock.
func (h *Host) minRepeatInterval(kind OrderKind) time.Duration {
	if kind == Prepare && h.lastAnswered {
		return prepareRetryInterval
	}
	return switchPollInterval
}

// nextPollDelay returns the delay until the next poll when no order is due.
func (h *Host) nextPollDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controller != nil && h.controller.SwitchInProgress() {
		return switchPollInterval
	}
	return h.cfg.PollInterval
}

// Status returns the engine's status and when it was read; ok is false while the engine cannot be
// read.
func (h *Host) Status() (s Status, at time.Time, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.status, h.statusAt, !h.statusAt.IsZero()
}

// Changed returns a channel that is closed when the rank's group has changed.
func (h *Host) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}
