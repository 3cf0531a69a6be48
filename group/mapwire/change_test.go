package mapwire

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
)

var largeShape = group.Shape{Layers: 10, Experts: 384, Ranks: 192, Slots: 3}

// withMoves returns a copy of a map in which some slots have been given random experts.
func withMoves(base group.Map, moves int, rng *rand.Rand) group.Map {
	next := base.Clone()
	for range moves {
		next.Slots[rng.IntN(len(next.Slots))] = uint16(rng.IntN(largeShape.Experts))
	}
	return next
}

// TestAChangeOfALargeMapIsSmall encodes the 576 copies that the first switch of a group of
// 192 ranks makes, the largest number observed in one such switch. The change must take
// less than a twelfth of the two maps that a read of the record returns to each rank.
func TestAChangeOfALargeMapIsSmall(t *testing.T) {
	is := is.New(t)
	base := group.RoundRobin(largeShape)
	next := withMoves(base, 576, rand.New(rand.NewPCG(1, 1)))
	change := ChangeOf("g/1", largeShape, 1, base, 2, next)
	is.True(len(change.GetChanges()) <= 4*576)
	is.True(12*len(change.GetChanges()) < 2*len(StoredMap{Map: next}.Encode()))
	is.Equal(ShapeOf(change), largeShape)
	applied, err := Apply(change, base)
	is.NoErr(err)
	is.Equal(applied.Digest(), next.Digest())
}

// TestAChangeOfAnotherMapIsRefused applies a change to a map other than its base.
func TestAChangeOfAnotherMapIsRefused(t *testing.T) {
	is := is.New(t)
	rng := rand.New(rand.NewPCG(2, 1))
	base := group.RoundRobin(largeShape)
	change := ChangeOf("g/1", largeShape, 1, base, 2, withMoves(base, 40, rng))
	_, err := Apply(change, withMoves(base, 3, rng))
	is.True(fault.Is(err, fault.Corrupt))
}

// FuzzApply applies corrupted changes: each must be refused or yield the right map.
func FuzzApply(f *testing.F) {
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	base := group.RoundRobin(shape)
	next := base.Clone()
	next.Slots[3], next.Slots[9] = 2, group.Empty
	valid := ChangeOf("g/1", shape, 1, base, 2, next)
	f.Add(valid.GetChanges())
	f.Add(valid.GetChanges()[:1])
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		change := ChangeOf("g/1", shape, 1, base, 2, next)
		change.Changes = data
		if applied, err := Apply(change, base); err == nil {
			is.Equal(applied.Digest(), next.Digest())
		}
	})
}
