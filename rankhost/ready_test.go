package rankhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// TestADecisionIsAcknowledgedOnceTheEngineIsReady decides a switch: the coordinator begins
// no other before the engine is armed.
func TestADecisionIsAcknowledgedOnceTheEngineIsReady(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 4}
	first := group.RoundRobin(shape)
	record, err := mapswitch.Record{}.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Token: 1, Epoch: 1, Digest: first.Digest()})
	is.NoErr(err)
	status := Status{Group: "g", Formation: 1, Size: 2, Open: true, Step: 10}
	h := NewController(status, 7, true)
	h.Observe(0, status)
	h.Step(0, mapswitch.Message{Kind: mapswitch.KindRecord, Group: "g/1", Incarnation: 7, Quorum: true, Record: record})
	decided := record
	for _, kind := range []mapswitch.EntryKind{mapswitch.EntryBegin, mapswitch.EntryCommit} {
		decided, err = decided.Apply(mapswitch.Entry{Kind: kind, Token: 1, Epoch: 2, Digest: 9, Step: 14})
		is.NoErr(err)
	}
	acknowledged := func(messages []mapswitch.Message) bool {
		for _, m := range messages {
			if m.Kind == mapswitch.KindAcknowledged && m.Record.Revision == decided.Revision {
				return true
			}
		}
		return false
	}
	status.Prepared = 2
	h.Observe(time.Millisecond, status)
	is.True(!acknowledged(h.Step(2*time.Millisecond, mapswitch.Message{Kind: mapswitch.KindDecided, Group: "g/1", Token: 1, Record: decided})))
	is.True(!acknowledged(h.Observe(3*time.Millisecond, status)))
	order, ok := h.NextOrder()
	is.True(ok)
	is.Equal(order, Order{Kind: Arm, Formation: 1, Version: 2, Step: 14})
	status.Prepared, status.Armed = 0, 2
	is.True(acknowledged(h.Observe(4*time.Millisecond, status)))
	is.True(!acknowledged(h.Observe(5*time.Millisecond, status))) // once
}

// TestTheFirstProcessOfAFormationKeepsNoStepsFree compares a host that saw the formation
// open with one that met it open.
func TestTheFirstProcessOfAFormationKeepsNoStepsFree(t *testing.T) {
	is := is.New(t)
	open := Status{Group: "g", Formation: 2, Open: true, Step: 40}
	closed := open
	closed.Open = false
	earlier := Status{Group: "g", Formation: 1, Open: true, Step: 900}
	var h Host
	is.True(h.first(earlier, open))
	is.True(h.first(Status{}, closed))
	is.True(!h.first(Status{}, open))                                     // another process may have served it
	is.True(!h.first(Status{Group: "h", Formation: 1, Open: true}, open)) // nothing is known of this group
	promise := mapswitch.Message{Kind: mapswitch.KindPromise, Group: "g/2", Token: 1, Epoch: 2, Step: 42}
	asked := func(first bool) bool {
		holder := NewController(open, 7, first)
		holder.Observe(0, open)
		holder.Step(0, promise)
		return holder.asked != nil
	}
	is.True(asked(true))
	is.True(!asked(false))
	promise.Sole = true
	is.True(asked(false)) // nobody else can have asked for the step
}
