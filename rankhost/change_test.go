package rankhost

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// changeWorld is a holder whose record has a base map in force and the next one pending.
func changeWorld(shape group.Shape, epoch uint64, base, next group.Map) *Holder {
	h := NewHolder(Status{Group: "g", Formation: 1, Rank: 1, Size: shape.Ranks, Open: true, Map: versionOf(epoch)}, 1, true)
	record := mapswitch.Record{
		Revision: 4 * (epoch + 1), Token: 1, Epoch: epoch, Digest: base.Digest(), PendingEpoch: epoch + 1, PendingDigest: next.Digest(), LastEpoch: epoch + 1,
	}
	for _, m := range h.rank.Tick(0) {
		h.filter(h.rank.Step(0, mapswitch.AnswerRead(m, record, true)))
	}
	return h
}

// TestAMapIsMadeOutFromItsChange prepares a map that the leader tells by its change: of the
// first map, which follows from the group's shape, and then of the one before. Nothing is
// read from the control replicas.
func TestAMapIsMadeOutFromItsChange(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	first := group.RoundRobin(shape)
	second := first.Clone()
	second.Slots[1] = 3
	third := second.Clone()
	third.Slots[2] = 1

	h := changeWorld(shape, firstEpoch, first, second)
	is.NoErr(h.Changed(mapwire.ChangeOf("g/1", shape, firstEpoch, first, firstEpoch+1, second)))
	_, _, needed := h.Needs()
	is.True(!needed)
	order, ok := h.Next()
	is.True(ok)
	is.Equal(order.Kind, Prepare)
	is.Equal(order.Map.Digest(), second.Digest())

	later := changeWorld(shape, firstEpoch+1, second, third)
	later.maps = h.maps
	is.NoErr(later.Changed(mapwire.ChangeOf("g/1", shape, firstEpoch+1, second, firstEpoch+2, third)))
	_, _, needed = later.Needs()
	is.True(!needed)
	is.Equal(len(later.maps), 2) // the one in force is kept for the next change
}

// TestAMapThatCannotBeMadeOutIsRead leaves out a change of a map that is not known here, and one
// that makes another map than the record names.
func TestAMapThatCannotBeMadeOutIsRead(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	base := group.RoundRobin(shape)
	base.Slots[0] = 3
	next := base.Clone()
	next.Slots[1] = 3
	other := base.Clone()
	other.Slots[1] = 2

	h := changeWorld(shape, firstEpoch+1, base, next)
	is.NoErr(h.Changed(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, next)))
	_, _, needed := h.Needs()
	is.True(needed) // the base is not known
	h.maps[firstEpoch+1] = base
	is.NoErr(h.Changed(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, other)))
	_, _, needed = h.Needs()
	is.True(needed) // the record names another map
	_, prepares := h.Next()
	is.True(!prepares)
	is.NoErr(h.Changed(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, next)))
	_, _, needed = h.Needs()
	is.True(!needed)
}
