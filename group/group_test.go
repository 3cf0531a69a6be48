package group

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

func TestMapValidity(t *testing.T) {
	is := is.New(t)
	shape := Shape{Layers: 2, Experts: 6, Ranks: 4, Slots: 2, Zones: []int{0, 0, 1, 1}}
	is.NoErr(shape.Validate())
	m := RoundRobin(shape)
	is.NoErr(m.Validate(shape))

	twice := m.Clone()
	copy(twice.Rank(1, 3), []uint16{3, 3})
	is.True(fault.Is(twice.Validate(shape), fault.Invalid)) // a rank holds an expert twice

	missing := m.Clone()
	missing.Rank(0, 2)[0] = Empty
	is.True(fault.Is(missing.Validate(shape), fault.Invalid)) // expert 2 has no slot
	is.True(missing.Digest() != m.Digest())                   // different contents have different digests

	swapped := m.Clone()
	slots := swapped.Rank(0, 1)
	slots[0], slots[1] = slots[1], slots[0]
	is.Equal(Moves(m, swapped), []int{0, 0, 0, 0}) // reordering the slots of a rank loads nothing
	is.True(fault.Is(Shape{Layers: 1, Experts: 9, Ranks: 4, Slots: 2}.Validate(), fault.Invalid))
}
