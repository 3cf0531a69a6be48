package mapswitch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/proof"
)

// beginSwitch lets a coordinator propose its next switch, or adopt the pending one, and
// returns the resulting effects and record.
func beginSwitch(t *testing.T, c *Coordinator, record Record) ([]Effect, Record) {
	t.Helper()
	var effects []Effect
	if record.PendingEpoch != 0 {
		effects = c.Tick(0)
	} else {
		var err error
		effects, err = c.Propose(0, group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 2, Slots: 4}))
		is.New(t).NoErr(err)
	}
	next, err := record.Apply(effects[0].Entry)
	is.New(t).NoErr(err)
	return c.Committed(0, next), next
}

// TestOnlyTheFirstCoordinatorIsSole checks that a coordinator claims to be the only one that
// has asked for a promise only while that is true: not if it adopted the first switch, and
// not in a later term.
func TestOnlyTheFirstCoordinatorIsSole(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart}, Step: "a host starts again, and the coordinator is another one than before",
		Guard: "Coordinator.sole: only who began the first switch of a formation is"}.Log(t)
	is := is.New(t)
	var record Record
	record, err := record.Apply(Entry{Kind: EntryCreate, Token: 1, Epoch: 1, Digest: 7})
	is.NoErr(err)

	first := NewCoordinator("g", 2, 1, record, Options{})
	effects, pending := beginSwitch(t, first, record)
	is.Equal(len(effects), 2)
	is.True(effects[0].Message.Sole)

	adopting := NewCoordinator("g", 2, 2, pending, Options{})
	effects, _ = beginSwitch(t, adopting, pending)
	is.Equal(len(effects), 2)
	is.True(!effects[0].Message.Sole)

	decided, err := pending.Apply(Entry{Kind: EntryAbort, Token: 1, Epoch: 2})
	is.NoErr(err)
	first.Committed(0, decided)
	effects, _ = beginSwitch(t, first, decided)
	is.True(effects[0].Message.Sole) // all earlier requests were its own
	later := NewCoordinator("g", 2, 2, decided, Options{})
	effects, _ = beginSwitch(t, later, decided)
	is.True(!effects[0].Message.Sole)
}
