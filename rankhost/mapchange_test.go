package rankhost

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// controllerWithPending returns a controller whose record has the map base in force and the map
// next pending.
func controllerWithPending(shape group.Shape, epoch uint64, base, next group.Map) *Controller {
	c := NewController(Status{Group: "g", Formation: 1, Rank: 1, Size: shape.Ranks, Open: true, Map: engineVersion(epoch)}, 1, true)
	record := mapswitch.Record{
		Revision: 4 * (epoch + 1), Token: 1, Epoch: epoch, Digest: base.Digest(), PendingEpoch: epoch + 1, PendingDigest: next.Digest(), LastEpoch: epoch + 1,
	}
	for _, m := range c.rank.Tick(0) {
		c.filterOutgoing(c.rank.Step(0, mapswitch.AnswerRead(m, record, true)))
	}
	return c
}

// A map that the leader sends as a change is prepared without a read from the control replicas:
// first a change of the group's first map, which follows from the group's shape, and then a change
// of the map before.
func TestMapIsBuiltFromChange(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	first := group.RoundRobin(shape)
	second := first.Clone()
	second.Slots[1] = 3
	third := second.Clone()
	third.Slots[2] = 1

	c := controllerWithPending(shape, firstEpoch, first, second)
	is.NoErr(c.ApplyChange(mapwire.ChangeOf("g/1", shape, firstEpoch, first, firstEpoch+1, second)))
	_, _, needed := c.MissingMap()
	is.True(!needed)
	order, ok := c.NextOrder()
	is.True(ok)
	is.Equal(order.Kind, Prepare)
	is.Equal(order.Map.Digest(), second.Digest())

	next := controllerWithPending(shape, firstEpoch+1, second, third)
	next.maps = c.maps
	is.NoErr(next.ApplyChange(mapwire.ChangeOf("g/1", shape, firstEpoch+1, second, firstEpoch+2, third)))
	_, _, needed = next.MissingMap()
	is.True(!needed)
	is.Equal(len(next.maps), 2) // the map in force is kept as the base of the next change
}

// A map still has to be read from the control replicas after a change of a map that is not known
// here, and after a change that results in another map than the one that the record names.
func TestUnusableMapChangeRequiresRead(t *testing.T) {
	is := is.New(t)
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	base := group.RoundRobin(shape)
	base.Slots[0] = 3
	next := base.Clone()
	next.Slots[1] = 3
	unrelated := base.Clone()
	unrelated.Slots[1] = 2

	c := controllerWithPending(shape, firstEpoch+1, base, next)
	is.NoErr(c.ApplyChange(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, next)))
	_, _, needed := c.MissingMap()
	is.True(needed) // the base is not known
	c.maps[firstEpoch+1] = base
	is.NoErr(c.ApplyChange(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, unrelated)))
	_, _, needed = c.MissingMap()
	is.True(needed) // the record names another map
	_, hasOrder := c.NextOrder()
	is.True(!hasOrder)
	is.NoErr(c.ApplyChange(mapwire.ChangeOf("g/1", shape, firstEpoch+1, base, firstEpoch+2, next)))
	_, _, needed = c.MissingMap()
	is.True(!needed)
}
