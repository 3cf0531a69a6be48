package mapwire

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

var largeShape = group.Shape{Layers: 10, Experts: 384, Ranks: 192, Slots: 3}

// moved returns a map in which some slots have other experts.
func moved(base group.Map, moves int, rng *rand.Rand) group.Map {
	next := base.Clone()
	for range moves {
		next.Slots[rng.IntN(len(next.Slots))] = uint16(rng.IntN(largeShape.Experts))
	}
	return next
}

// TestAChangeOfALargeMapIsSmall tells the 576 copies that the first switch of a group of 192
// ranks makes, the most that one such switch was seen to make: a twelfth of the two maps
// that a read of the record brings to each rank.
func TestAChangeOfALargeMapIsSmall(t *testing.T) {
	is := is.New(t)
	base := group.RoundRobin(largeShape)
	next := moved(base, 576, rand.New(rand.NewPCG(1, 1)))
	change := ChangeOf("g/1", largeShape, 1, base, 2, next)
	is.True(len(change.GetChanges()) <= 4*576)
	is.True(12*len(change.GetChanges()) < 2*len(StoredMap{Map: next}.Encode()))
	is.Equal(ShapeOf(change), largeShape)
	told, err := Apply(change, base)
	is.NoErr(err)
	is.Equal(told.Digest(), next.Digest())
}

// TestAChangeOfAnotherMapIsRefused applies a change to a map that it was not made from.
func TestAChangeOfAnotherMapIsRefused(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 1))
	base := group.RoundRobin(largeShape)
	change := ChangeOf("g/1", largeShape, 1, base, 2, moved(base, 40, rng))
	_, err := Apply(change, moved(base, 3, rng))
	is.True(fault.Is(err, fault.Corrupt))
}

// FuzzApply reads damaged changes without harm.
func FuzzApply(f *testing.F) {
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	base := group.RoundRobin(shape)
	next := base.Clone()
	next.Slots[3], next.Slots[9] = 2, group.Empty
	whole := ChangeOf("g/1", shape, 1, base, 2, next)
	f.Add(whole.GetChanges())
	f.Add(whole.GetChanges()[:1])
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		change := ChangeOf("g/1", shape, 1, base, 2, next)
		change.Changes = data
		if told, err := Apply(change, base); err == nil {
			is.Equal(told.Digest(), next.Digest())
		}
	})
}
