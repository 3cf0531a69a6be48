package rankhost

import (
	"maps"
	"strconv"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// firstEpoch is the epoch of the map that a group forms with. Engines call this map version 0.
const firstEpoch = 1

// formationName returns the name of one formation of a group.
func formationName(name string, formation uint64) string {
	return name + "/" + strconv.FormatUint(formation, 10)
}

// Controller is the state machine that decides which order the engine of one rank needs next, in
// one formation of its group. It has no goroutines, performs no I/O and reads no clock.
type Controller struct {
	group      string
	formation  uint64
	rankNumber int
	rank       *mapswitch.Rank
	status     Status
	// pendingPromise is the promise that the coordinator has requested and that is not yet in
	// effect at the engine.
	pendingPromise *mapswitch.Message
	// reservation tracks the steps that the engine has been asked to hold.
	reservation reservation
	// sole reports whether the coordinator of the last request has had no predecessor in this
	// formation.
	sole bool
	// ackDeferred is set while the acknowledgement of a decision waits for the engine to be ready
	// for it.
	ackDeferred bool
	// toPrepare carries the epoch and digest of the map that is to be prepared.
	toPrepare mapswitch.Message
	// maps holds the known maps by epoch.
	maps map[uint64]group.Map
}

// NewController returns the controller of a rank whose engine has the given status. The incarnation
// must differ from those of all other processes that have served the rank. first states that no
// other process can have served the rank in this formation, because the caller has served it since
// before the formation opened.
func NewController(s Status, incarnation uint64, first bool) *Controller {
	name := s.FormationName()
	reserved := reservedBefore(s.Step)
	if first {
		reserved = reservation{}
	}
	return &Controller{
		group: name, formation: s.Formation, rankNumber: s.Rank, reservation: reserved,
		rank: mapswitch.NewRank(s.Rank, name, incarnation), status: s, maps: map[uint64]group.Map{},
	}
}

// Group returns the name of the formation.
func (c *Controller) Group() string { return c.group }

// Observe processes a new status of the engine and returns the messages to send.
func (c *Controller) Observe(now time.Duration, s Status) []mapswitch.Message {
	c.status = s
	c.rank.ObserveStep(s.Step)
	var out []mapswitch.Message
	record := c.rank.Record()
	for _, epoch := range []uint64{record.PreviousEpoch, record.Epoch, record.PendingEpoch} {
		if epoch != 0 && c.hasMap(epoch) {
			out = append(out, c.rank.Step(now, c.loadedMessage(epoch, record.DigestOf(epoch)))...)
		}
	}
	out = append(out, c.resolvePromise(now)...)
	if c.ackDeferred && c.decidedMapReady() {
		out = append(out, c.acknowledgement())
	}
	if s.HasHeld && s.Step+1 >= s.Held {
		// The engine waits at the step that it holds, so the decision is needed now.
		c.rank.MayRun(s.Held)
	}
	return c.filterOutgoing(append(out, c.rank.Tick(now)...))
}

// Step processes a message and returns the messages to send. A promise is given only after it is in
// effect at the engine.
func (c *Controller) Step(now time.Duration, m mapswitch.Message) []mapswitch.Message {
	if m.Group != c.group || m.Rank != c.rankNumber {
		return nil
	}
	if m.Kind == mapswitch.KindPrepare || m.Kind == mapswitch.KindPromise {
		c.sole = m.Sole
	}
	if m.Kind != mapswitch.KindPromise {
		return c.filterOutgoing(c.rank.Step(now, m))
	}
	if m.Step > c.status.Step+maxAhead {
		return nil // a later process of the rank would not count this step as reserved
	}
	if !c.reservation.reserve(m) {
		return []mapswitch.Message{c.refusePromise(m)}
	}
	c.pendingPromise = &m
	return c.filterOutgoing(c.resolvePromise(now))
}

// refusePromise refuses a promise for a step that is reserved for another switch, and names the
// highest step that cannot be promised.
func (c *Controller) refusePromise(m mapswitch.Message) mapswitch.Message {
	return mapswitch.Message{
		Kind: mapswitch.KindRefused, Group: c.group, Rank: c.rankNumber, Token: m.Token,
		Epoch: m.Epoch, Step: max(c.status.Step, c.reservation.last(m.Sole)), Reason: mapswitch.ReasonPassed,
	}
}

// resolvePromise answers the pending promise once the engine holds its step or has passed it.
func (c *Controller) resolvePromise(now time.Duration) []mapswitch.Message {
	if c.pendingPromise == nil {
		return nil
	}
	holding := c.status.HasHeld && c.status.Held == c.pendingPromise.Step && c.status.Step < c.pendingPromise.Step
	passed := c.status.Step >= c.pendingPromise.Step
	if !holding && !passed {
		return nil
	}
	m := *c.pendingPromise
	c.pendingPromise = nil
	return c.rank.Step(now, m)
}

// filterOutgoing withholds messages that must not be sent as they are: a load of a map, which is
// left to NextOrder; an acknowledgement while the engine is not ready; and the message that a map
// is prepared while no step could be promised, after which the coordinator asks again.
func (c *Controller) filterOutgoing(messages []mapswitch.Message) []mapswitch.Message {
	kept := messages[:0]
	for _, m := range messages {
		switch {
		case m.Kind == mapswitch.KindLoad:
			if !c.hasMap(m.Epoch) {
				c.toPrepare = m
			}
		case m.Kind == mapswitch.KindAcknowledged:
			c.ackDeferred = !c.decidedMapReady()
			if !c.ackDeferred {
				kept = append(kept, m)
			}
		case m.Kind == mapswitch.KindPrepared && c.reservation.full(c.status.Step, c.sole):
		case m.Kind == mapswitch.KindPrepared:
			m.Step = max(m.Step, c.reservation.last(c.sole))
			kept = append(kept, m)
		default:
			kept = append(kept, m)
		}
	}
	return kept
}

// decidedMapReady reports whether the engine uses the decided map, or will switch to it at the
// decided step without another order.
func (c *Controller) decidedMapReady() bool {
	version := engineVersion(c.rank.Record().Epoch)
	return c.status.Map == version || c.status.Armed == version
}

// acknowledgement returns the message that acknowledges the record to the coordinator.
func (c *Controller) acknowledgement() mapswitch.Message {
	return mapswitch.Message{Kind: mapswitch.KindAcknowledged, Group: c.group, Rank: c.rankNumber, Record: c.rank.Record()}
}

// hasMap reports whether the engine uses the map of an epoch or has its weights in place.
func (c *Controller) hasMap(epoch uint64) bool {
	version := engineVersion(epoch)
	return c.status.Map == version || version != 0 && (c.status.Prepared == version || c.status.Armed == version)
}

// engineVersion returns the engine's version number of the map of an epoch.
func engineVersion(epoch uint64) uint64 {
	if epoch <= firstEpoch {
		return 0
	}
	return epoch
}

func (c *Controller) loadedMessage(epoch, digest uint64) mapswitch.Message {
	return mapswitch.Message{Kind: mapswitch.KindLoaded, Group: c.group, Rank: c.rankNumber, Epoch: epoch, Digest: digest}
}

// MissingMap returns the epoch and digest of a map that has to be fetched before it can be
// prepared; ok is false if there is none.
func (c *Controller) MissingMap() (epoch, digest uint64, ok bool) {
	if !c.mustPrepare() {
		return 0, 0, false
	}
	_, known := c.mapToPrepare()
	return c.toPrepare.Epoch, c.toPrepare.Digest, !known
}

// mapToPrepare returns the map that is to be prepared; ok is false if its content is not known.
func (c *Controller) mapToPrepare() (m group.Map, ok bool) {
	m, ok = c.maps[c.toPrepare.Epoch]
	return m, ok && m.Digest() == c.toPrepare.Digest
}

// AddMap stores a map that MissingMap asked for.
func (c *Controller) AddMap(epoch uint64, m group.Map) { c.storeMap(epoch, m) }

// storeMap stores the map of an epoch and evicts all others except the one in force, which the next
// change is based on.
func (c *Controller) storeMap(epoch uint64, m group.Map) {
	inForce := c.rank.Record().Epoch
	maps.DeleteFunc(c.maps, func(known uint64, _ group.Map) bool { return known != inForce })
	c.maps[epoch] = m
}

// ApplyChange stores a map that is given as a change of another one. The change is ignored if its
// base is not known here.
func (c *Controller) ApplyChange(change *agentv1.MapChange) error {
	base, known := c.maps[change.GetBaseEpoch()]
	if !known && change.GetBaseEpoch() == firstEpoch {
		shape := mapwire.ShapeOf(change)
		if err := shape.Validate(); err != nil {
			return err
		}
		base, known = group.RoundRobin(shape), true
	}
	present, stored := c.maps[change.GetEpoch()]
	if !known || stored && present.Digest() == change.GetDigest() {
		return nil
	}
	next, err := mapwire.Apply(change, base)
	if err != nil {
		return err
	}
	c.storeMap(change.GetEpoch(), next)
	return nil
}

// mustPrepare reports whether the pending map still has to be prepared. An engine keeps one
// prepared map: while that is the decided map, not yet armed, the pending one must wait, or the
// decided map could never take effect.
func (c *Controller) mustPrepare() bool {
	epoch, record := c.toPrepare.Epoch, c.rank.Record()
	inForce := engineVersion(record.Epoch)
	settled := c.status.Map == inForce || c.status.Armed == inForce
	return epoch > firstEpoch && epoch == record.PendingEpoch && settled && !c.hasMap(epoch)
}

// NextOrder returns the one order that brings the engine closer to what the record requires; ok is
// false if there is none.
func (c *Controller) NextOrder() (o Order, ok bool) {
	if !c.status.Open {
		return Order{}, false
	}
	if c.status.HasHeld {
		if o, ok := c.nextOrderWhileHeld(); ok {
			return o, true
		}
	} else if o, ok := c.nextOrderWithoutHold(); ok {
		return o, true
	}
	if m, known := c.mapToPrepare(); known && c.mustPrepare() && c.status.Armed == 0 {
		return c.withFormation(Order{Kind: Prepare, Version: engineVersion(c.toPrepare.Epoch), Map: m}), true
	}
	return Order{}, false
}

// nextOrderWhileHeld returns the next order for an engine that holds a step. The step stays held
// while it is promised or undecided. Then the engine is armed if the decision requires it, and only
// after that is the step released.
func (c *Controller) nextOrderWhileHeld() (Order, bool) {
	held := c.status.Held
	if c.pendingPromise != nil && c.pendingPromise.Step == held {
		return Order{}, false
	}
	epoch, allowed := c.rank.Allowed(held)
	if !allowed {
		return Order{}, false
	}
	if version := engineVersion(epoch); version != c.status.Map && version != c.status.Armed {
		return c.withFormation(Order{Kind: Arm, Version: version, Step: held}), true
	}
	return c.withFormation(Order{Kind: Release, Step: held}), true
}

// nextOrderWithoutHold returns the next order for an engine that holds no step: a step that is to
// be promised or has been promised must be held, and a decided switch must be armed.
func (c *Controller) nextOrderWithoutHold() (Order, bool) {
	if c.pendingPromise != nil {
		return c.withFormation(Order{Kind: Hold, Step: c.pendingPromise.Step}), true
	}
	if epoch, step := c.rank.Promise(); epoch != 0 && step > c.status.Step {
		return c.withFormation(Order{Kind: Hold, Step: step}), true
	}
	record := c.rank.Record()
	version := engineVersion(record.Epoch)
	if record.Epoch > firstEpoch && c.status.Step < record.FromStep && version != c.status.Armed && version != c.status.Map {
		return c.withFormation(Order{Kind: Arm, Version: version, Step: record.FromStep}), true
	}
	return Order{}, false
}

func (c *Controller) withFormation(o Order) Order {
	o.Formation = c.formation
	return o
}

// SwitchInProgress reports whether the engine takes part in a switch that is not complete.
func (c *Controller) SwitchInProgress() bool {
	epoch, _ := c.rank.Promise()
	return c.pendingPromise != nil || c.status.HasHeld || epoch != 0 || c.rank.Record().PendingEpoch != 0 || c.status.Armed != 0
}
