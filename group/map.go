package group

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/fault"
)

// Empty marks a slot that holds no expert.
const Empty = uint16(0xffff)

// Map assigns an expert to each slot of each rank, for every layer.
//
// A Map must not be modified once it has been proposed: copies share Slots.
type Map struct {
	// Layers, Ranks and SlotsPerRank are the dimensions of Slots.
	Layers, Ranks, SlotsPerRank int
	// Slots holds the expert of each slot, by layer, then rank, then slot.
	Slots []uint16
}

// NewMap returns a map of the given shape whose slots are all empty.
func NewMap(s Shape) Map {
	m := Map{Layers: s.Layers, Ranks: s.Ranks, SlotsPerRank: s.Slots}
	m.Slots = make([]uint16, s.Layers*s.SlotsPerLayer())
	for i := range m.Slots {
		m.Slots[i] = Empty
	}
	return m
}

// RoundRobin returns the map that assigns the experts to the ranks in turn and
// fills the remaining slots with second replicas, in turn as well. It is valid
// for every valid shape and serves as the first map of a group.
func RoundRobin(s Shape) Map {
	m := NewMap(s)
	for layer := range s.Layers {
		slots := m.Layer(layer)
		for i := range slots {
			rank, slot := i%s.Ranks, i/s.Ranks
			expert := uint16(i % s.Experts)
			if !slices.Contains(slots[rank*s.Slots:rank*s.Slots+slot], expert) {
				slots[rank*s.Slots+slot] = expert
			}
		}
	}
	return m
}

// Layer returns the slots of one layer, by rank and then slot. The result
// aliases the map.
func (m Map) Layer(layer int) []uint16 {
	size := m.Ranks * m.SlotsPerRank
	return m.Slots[layer*size : (layer+1)*size]
}

// Rank returns the slots of one rank in one layer. The result aliases the map.
func (m Map) Rank(layer, rank int) []uint16 {
	start := (layer*m.Ranks + rank) * m.SlotsPerRank
	return m.Slots[start : start+m.SlotsPerRank]
}

// Clone returns a copy that shares nothing with m.
func (m Map) Clone() Map {
	m.Slots = append([]uint16(nil), m.Slots...)
	return m
}

// Digest returns a hash of the contents of the map. Ranks verify it before they
// use a map that they have fetched.
func (m Map) Digest() uint64 {
	buffer := make([]byte, 0, 12+2*len(m.Slots))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(m.Layers))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(m.Ranks))
	buffer = binary.LittleEndian.AppendUint32(buffer, uint32(m.SlotsPerRank))
	for _, expert := range m.Slots {
		buffer = binary.LittleEndian.AppendUint16(buffer, expert)
	}
	return xxhash.Sum64(buffer)
}

// Validate reports whether the map fits the shape: every expert of every layer
// has at least one slot, no rank holds an expert twice in a layer, and no slot
// names an expert that does not exist.
func (m Map) Validate(s Shape) error {
	if m.Layers != s.Layers || m.Ranks != s.Ranks || m.SlotsPerRank != s.Slots {
		return fault.Newf(fault.Invalid, "build the map from the shape of the group",
			"map of %d×%d×%d for a group of %d×%d×%d", m.Layers, m.Ranks, m.SlotsPerRank, s.Layers, s.Ranks, s.Slots)
	}
	if len(m.Slots) != s.Layers*s.SlotsPerLayer() {
		return fault.Newf(fault.Invalid, "send the complete map", "map has %d slots, want %d", len(m.Slots), s.Layers*s.SlotsPerLayer())
	}
	for layer := range s.Layers {
		if err := m.validateLayer(s, layer); err != nil {
			return err
		}
	}
	return nil
}

func (m Map) validateLayer(s Shape, layer int) error {
	placed := make([]bool, s.Experts)
	for rank := range s.Ranks {
		slots := m.Rank(layer, rank)
		for i, expert := range slots {
			if expert == Empty {
				continue
			}
			if int(expert) >= s.Experts {
				return fault.Newf(fault.Invalid, "use expert indices below the number of experts", "layer %d rank %d holds expert %d of %d", layer, rank, expert, s.Experts)
			}
			if slices.Contains(slots[:i], expert) {
				return fault.Newf(fault.Invalid, "place the replica on another rank", "layer %d rank %d holds expert %d twice", layer, rank, expert)
			}
			placed[expert] = true
		}
	}
	for expert, ok := range placed {
		if !ok {
			return fault.Newf(fault.Invalid, "assign every expert to a slot", "layer %d has no slot for expert %d", layer, expert)
		}
	}
	return nil
}

// Moves returns, for each rank, the number of slots whose expert must be loaded
// to switch from one map to the next. An expert that the rank already holds in
// the layer needs no load, whichever slot it is in.
func Moves(from, to Map) []int {
	moves := make([]int, to.Ranks)
	for layer := range to.Layers {
		for rank := range to.Ranks {
			held := from.Rank(layer, rank)
			for _, expert := range to.Rank(layer, rank) {
				if expert != Empty && !slices.Contains(held, expert) {
					moves[rank]++
				}
			}
		}
	}
	return moves
}
