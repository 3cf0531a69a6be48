package rankhost

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// Guards against an acknowledgement of a decision before the engine is armed, upon which the
// coordinator could begin another switch.
func TestDecisionAcknowledgedOnceEngineReady(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 4}
	first := group.RoundRobin(shape)
	record, err := mapswitch.Record{}.Apply(mapswitch.Entry{Kind: mapswitch.EntryCreate, Token: 1, Epoch: 1, Digest: first.Digest()})
	is.NoErr(err)
	status := Status{Group: "g", Formation: 1, Size: 2, Open: true, Step: 10}
	c := NewController(status, 7, true)
	c.Observe(0, status)
	c.Step(0, mapswitch.Message{Kind: mapswitch.KindRecord, Group: "g/1", Incarnation: 7, Quorum: true, Record: record})
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
	c.Observe(time.Millisecond, status)
	is.True(!acknowledged(c.Step(2*time.Millisecond, mapswitch.Message{Kind: mapswitch.KindDecided, Group: "g/1", Token: 1, Record: decided})))
	is.True(!acknowledged(c.Observe(3*time.Millisecond, status)))
	order, ok := c.NextOrder()
	is.True(ok)
	is.Equal(order, Order{Kind: Arm, Formation: 1, Version: 2, Step: 14})
	status.Prepared, status.Armed = 0, 2
	is.True(acknowledged(c.Observe(4*time.Millisecond, status)))
	is.True(!acknowledged(c.Observe(5*time.Millisecond, status))) // once
}

// A host that saw the formation before it opened may promise the next steps at once; a host that
// first saw it open must treat them as reserved by an earlier process.
func TestFirstProcessInFormationInheritsNoReservation(t *testing.T) {
	is := is.New(t)
	open := Status{Group: "g", Formation: 2, Open: true, Step: 40}
	closed := open
	closed.Open = false
	earlier := Status{Group: "g", Formation: 1, Open: true, Step: 900}
	var h Host
	is.True(h.firstInFormation(earlier, open))
	is.True(h.firstInFormation(Status{}, closed))
	is.True(!h.firstInFormation(Status{}, open))                                     // another process may have served it
	is.True(!h.firstInFormation(Status{Group: "h", Formation: 1, Open: true}, open)) // the earlier formation is of another group
	promise := mapswitch.Message{Kind: mapswitch.KindPromise, Group: "g/2", Token: 1, Epoch: 2, Step: 42}
	accepted := func(first bool) bool {
		c := NewController(open, 7, first)
		c.Observe(0, open)
		c.Step(0, promise)
		return c.pendingPromise != nil
	}
	is.True(accepted(true))
	is.True(!accepted(false))
	promise.Sole = true
	is.True(accepted(false)) // no other coordinator can have requested the step
}
