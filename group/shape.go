package group

import "github.com/lilackeel/lilackeel/fault"

// Shape gives the dimensions of a group. It does not change during the lifetime
// of the group.
type Shape struct {
	// Layers is the number of layers that have experts.
	Layers int
	// Experts is the number of experts in each layer.
	Experts int
	// Ranks is the number of ranks that run in lock-step.
	Ranks int
	// Slots is the number of expert slots that each rank has in each layer.
	Slots int
	// Zones is the index of the availability zone of each rank; empty if the
	// whole group is in a single zone.
	Zones []int
}

// MaxExperts is the largest number of experts that a layer can have. The index
// MaxExperts itself marks an empty slot.
const MaxExperts = int(Empty)

// Validate returns the first error found in the shape, or nil.
func (s Shape) Validate() error {
	if s.Layers < 1 || s.Experts < 1 || s.Ranks < 1 || s.Slots < 1 {
		return fault.Newf(fault.Invalid, "give at least one layer, expert, rank and slot",
			"group shape has %d layers, %d experts, %d ranks, %d slots", s.Layers, s.Experts, s.Ranks, s.Slots)
	}
	if s.Experts > MaxExperts {
		return fault.Newf(fault.Invalid, "reduce the number of experts per layer", "%d experts per layer exceed the limit of %d", s.Experts, MaxExperts)
	}
	if s.Ranks*s.Slots < s.Experts {
		return fault.Newf(fault.Invalid, "add ranks or slots", "%d slots cannot hold %d experts", s.Ranks*s.Slots, s.Experts)
	}
	if len(s.Zones) != 0 && len(s.Zones) != s.Ranks {
		return fault.Newf(fault.Invalid, "give one zone for each rank", "group shape has %d zones for %d ranks", len(s.Zones), s.Ranks)
	}
	return nil
}

// SlotsPerLayer returns the total number of slots of all ranks in one layer.
func (s Shape) SlotsPerLayer() int { return s.Ranks * s.Slots }

// Zone returns the zone index of a rank.
func (s Shape) Zone(rank int) int {
	if len(s.Zones) == 0 {
		return 0
	}
	return s.Zones[rank]
}
