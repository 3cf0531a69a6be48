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

// firstEpoch is the epoch of the map that a group forms with, which its engines
// call version 0.
const firstEpoch = 1

// groupName is the name of one formation of a group.
func groupName(name string, formation uint64) string {
	return name + "/" + strconv.FormatUint(formation, 10)
}

// Holder decides what the engine of one rank, in one formation of its group, is
// to be ordered. It has no goroutine, socket or clock.
type Holder struct {
	group     string
	formation uint64
	number    int
	rank      *mapswitch.Rank
	status    Status
	// asked is the promise that is asked for and not yet put into effect.
	asked *mapswitch.Message
	// reserved are the steps that the engine has been asked to hold.
	reserved reservation
	// sole says that the coordinator that asked last has had no predecessor.
	sole bool
	// owed is true while a decision is not acknowledged since the engine is not ready for
	// it yet.
	owed bool
	// wanted is the epoch that is to be prepared, and its digest.
	wanted mapswitch.Message
	// maps are the maps known of epochs.
	maps map[uint64]group.Map
}

// NewHolder returns the holder of a rank whose engine has the given status. The
// incarnation must differ from those of all others that served the rank. first says that
// no other process can have served the rank in this formation: the caller has served
// it since before the formation opened.
func NewHolder(s Status, incarnation uint64, first bool) *Holder {
	name := s.Name()
	reserved := reservedBefore(s.Step)
	if first {
		reserved = reservation{}
	}
	return &Holder{
		group: name, formation: s.Formation, number: s.Rank, reserved: reserved,
		rank: mapswitch.NewRank(s.Rank, name, incarnation), status: s, maps: map[uint64]group.Map{},
	}
}

// Group returns the name of the formation.
func (h *Holder) Group() string { return h.group }

// Observe takes in the engine's status and returns the messages that follow.
func (h *Holder) Observe(now time.Duration, s Status) []mapswitch.Message {
	h.status = s
	h.rank.ObserveStep(s.Step)
	var out []mapswitch.Message
	record := h.rank.Record()
	for _, epoch := range []uint64{record.PreviousEpoch, record.Epoch, record.PendingEpoch} {
		if epoch != 0 && h.has(epoch) {
			out = append(out, h.rank.Step(now, h.loaded(epoch, record.DigestOf(epoch)))...)
		}
	}
	out = append(out, h.settle(now)...)
	if h.owed && h.ready() {
		out = append(out, h.acknowledgement())
	}
	if s.HasHeld && s.Step+1 >= s.Held {
		// The engine is at the step that it holds: word of the decision is due.
		h.rank.MayRun(s.Held)
	}
	return h.filter(append(out, h.rank.Tick(now)...))
}

// Step takes in a message. A promise is put into effect before it is given.
func (h *Holder) Step(now time.Duration, m mapswitch.Message) []mapswitch.Message {
	if m.Group != h.group || m.Rank != h.number {
		return nil
	}
	if m.Kind == mapswitch.KindPrepare || m.Kind == mapswitch.KindPromise {
		h.sole = m.Sole
	}
	if m.Kind != mapswitch.KindPromise {
		return h.filter(h.rank.Step(now, m))
	}
	if m.Step > h.status.Step+reach {
		return nil // no process could tell later that this one has asked for it
	}
	if !h.reserved.take(m) {
		return []mapswitch.Message{h.passed(m)}
	}
	h.asked = &m
	return h.filter(h.settle(now))
}

// passed refuses a promise of a step that another switch has had, and names the
// highest such step.
func (h *Holder) passed(m mapswitch.Message) mapswitch.Message {
	return mapswitch.Message{
		Kind: mapswitch.KindRefused, Group: h.group, Rank: h.number, Token: m.Token,
		Epoch: m.Epoch, Step: max(h.status.Step, h.reserved.highest(m.Sole)), Reason: mapswitch.ReasonPassed,
	}
}

// settle answers the promise that is asked for, once it is in effect or can no
// longer be.
func (h *Holder) settle(now time.Duration) []mapswitch.Message {
	if h.asked == nil {
		return nil
	}
	inEffect := h.status.HasHeld && h.status.Held == h.asked.Step && h.status.Step < h.asked.Step
	passed := h.status.Step >= h.asked.Step
	if !inEffect && !passed {
		return nil
	}
	m := *h.asked
	h.asked = nil
	return h.rank.Step(now, m)
}

// filter keeps orders to load maps back, which Next carries out, and word of
// being prepared while no step could be promised; the coordinator asks again.
func (h *Holder) filter(messages []mapswitch.Message) []mapswitch.Message {
	kept := messages[:0]
	for _, m := range messages {
		switch {
		case m.Kind == mapswitch.KindLoad:
			if !h.has(m.Epoch) {
				h.wanted = m
			}
		case m.Kind == mapswitch.KindAcknowledged:
			h.owed = !h.ready()
			if !h.owed {
				kept = append(kept, m)
			}
		case m.Kind == mapswitch.KindPrepared && h.reserved.full(h.status.Step, h.sole):
		case m.Kind == mapswitch.KindPrepared:
			m.Step = max(m.Step, h.reserved.highest(h.sole))
			kept = append(kept, m)
		default:
			kept = append(kept, m)
		}
	}
	return kept
}

// ready reports whether the engine uses the map that the record puts in force, or will
// do so at its step without another order.
func (h *Holder) ready() bool {
	version := versionOf(h.rank.Record().Epoch)
	return h.status.Map == version || h.status.Armed == version
}

// acknowledgement confirms the record to the coordinator.
func (h *Holder) acknowledgement() mapswitch.Message {
	return mapswitch.Message{Kind: mapswitch.KindAcknowledged, Group: h.group, Rank: h.number, Record: h.rank.Record()}
}

// has reports whether the engine has the map of an epoch in place.
func (h *Holder) has(epoch uint64) bool {
	version := versionOf(epoch)
	return h.status.Map == version || version != 0 && (h.status.Prepared == version || h.status.Armed == version)
}

// versionOf is the engine's number of the map of an epoch.
func versionOf(epoch uint64) uint64 {
	if epoch <= firstEpoch {
		return 0
	}
	return epoch
}

func (h *Holder) loaded(epoch, digest uint64) mapswitch.Message {
	return mapswitch.Message{Kind: mapswitch.KindLoaded, Group: h.group, Rank: h.number, Epoch: epoch, Digest: digest}
}

// Needs returns the epoch and digest of a map that has to be fetched before it
// can be prepared; ok is false if there is none.
func (h *Holder) Needs() (epoch, digest uint64, ok bool) {
	if !h.preparing() {
		return 0, 0, false
	}
	_, known := h.wantedMap()
	return h.wanted.Epoch, h.wanted.Digest, !known
}

// wantedMap returns the map that is to be prepared; ok is false if it is not known.
func (h *Holder) wantedMap() (m group.Map, ok bool) {
	m, ok = h.maps[h.wanted.Epoch]
	return m, ok && m.Digest() == h.wanted.Digest
}

// Fetched takes in a map that Needs asked for.
func (h *Holder) Fetched(epoch uint64, m group.Map) { h.keep(epoch, m) }

// keep remembers the map of an epoch, and of the others only that in force: the next
// change is made from it.
func (h *Holder) keep(epoch uint64, m group.Map) {
	inForce := h.rank.Record().Epoch
	maps.DeleteFunc(h.maps, func(known uint64, _ group.Map) bool { return known != inForce })
	h.maps[epoch] = m
}

// Changed takes in a map that is told by its change of another one. It is dropped if that
// one is not known here.
func (h *Holder) Changed(c *agentv1.MapChange) error {
	base, known := h.maps[c.GetBaseEpoch()]
	if !known && c.GetBaseEpoch() == firstEpoch {
		shape := mapwire.ShapeOf(c)
		if err := shape.Validate(); err != nil {
			return err
		}
		base, known = group.RoundRobin(shape), true
	}
	held, again := h.maps[c.GetEpoch()]
	if !known || again && held.Digest() == c.GetDigest() {
		return nil
	}
	next, err := mapwire.Apply(c, base)
	if err != nil {
		return err
	}
	h.keep(c.GetEpoch(), next)
	return nil
}

// preparing reports whether a map is still to be prepared. An engine keeps one
// prepared map: while it is the one that has been decided and not yet armed, the
// next must wait, or the decided one could never be put in force.
func (h *Holder) preparing() bool {
	epoch, record := h.wanted.Epoch, h.rank.Record()
	inForce := versionOf(record.Epoch)
	settled := h.status.Map == inForce || h.status.Armed == inForce
	return epoch > firstEpoch && epoch == record.PendingEpoch && settled && !h.has(epoch)
}

// Next returns the one order that brings the engine closer to what the record
// asks for; ok is false if there is none.
func (h *Holder) Next() (o Order, ok bool) {
	if !h.status.Open {
		return Order{}, false
	}
	if h.status.HasHeld {
		if o, ok := h.nextHeld(); ok {
			return o, true
		}
	} else if o, ok := h.nextFree(); ok {
		return o, true
	}
	if m, known := h.wantedMap(); known && h.preparing() && h.status.Armed == 0 {
		return h.order(Order{Kind: Prepare, Version: versionOf(h.wanted.Epoch), Map: m}), true
	}
	return Order{}, false
}

// nextHeld looks at a step that the engine holds. It stays held while it is
// promised or undecided; then the engine is armed if it has to be, and only after
// that the step is released.
func (h *Holder) nextHeld() (Order, bool) {
	held := h.status.Held
	if h.asked != nil && h.asked.Step == held {
		return Order{}, false
	}
	epoch, allowed := h.rank.Allowed(held)
	if !allowed {
		return Order{}, false
	}
	if version := versionOf(epoch); version != h.status.Map && version != h.status.Armed {
		return h.order(Order{Kind: Arm, Version: version, Step: held}), true
	}
	return h.order(Order{Kind: Release, Step: held}), true
}

// nextFree looks at an engine that holds no step: one that is asked for or
// promised has to be held, and a switch that is decided has to be armed.
func (h *Holder) nextFree() (Order, bool) {
	if h.asked != nil {
		return h.order(Order{Kind: Hold, Step: h.asked.Step}), true
	}
	if epoch, step := h.rank.Promise(); epoch != 0 && step > h.status.Step {
		return h.order(Order{Kind: Hold, Step: step}), true
	}
	record := h.rank.Record()
	version := versionOf(record.Epoch)
	if record.Epoch > firstEpoch && h.status.Step < record.FromStep && version != h.status.Armed && version != h.status.Map {
		return h.order(Order{Kind: Arm, Version: version, Step: record.FromStep}), true
	}
	return Order{}, false
}

func (h *Holder) order(o Order) Order {
	o.Formation = h.formation
	return o
}

// Busy reports whether a switch is under way that the engine takes part in.
func (h *Holder) Busy() bool {
	epoch, _ := h.rank.Promise()
	return h.asked != nil || h.status.HasHeld || epoch != 0 || h.rank.Record().PendingEpoch != 0 || h.status.Armed != 0
}
