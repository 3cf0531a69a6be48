package mapwire

import (
	"encoding/binary"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
)

// ChangeOf describes the map of an epoch by the slots in which it differs from that of the
// base epoch. A switch changes some hundred of the thousands of slots of a large group:
// two kilobytes in place of a read of two whole maps by every rank.
func ChangeOf(name string, shape group.Shape, baseEpoch uint64, base group.Map, epoch uint64, next group.Map) *agentv1.MapChange {
	return &agentv1.MapChange{
		Group: name, Epoch: epoch, Digest: next.Digest(), BaseEpoch: baseEpoch,
		Layers: int32(shape.Layers), Experts: int32(shape.Experts), Ranks: int32(shape.Ranks), Slots: int32(shape.Slots),
		Changes: encodeChanges(base, next),
	}
}

// ShapeOf returns the dimensions that a change names.
func ShapeOf(c *agentv1.MapChange) group.Shape {
	return group.Shape{Layers: int(c.GetLayers()), Experts: int(c.GetExperts()), Ranks: int(c.GetRanks()), Slots: int(c.GetSlots())}
}

// Apply returns the map that a change makes of its base. The error is a fault of kind
// Corrupt if the base is another one than the change was made from.
func Apply(c *agentv1.MapChange, base group.Map) (group.Map, error) {
	next := base.Clone()
	rest := reader{data: c.GetChanges()}
	slot := uint64(0)
	for len(rest.data) > 0 {
		slot += rest.number()
		expert := rest.number()
		if rest.failed || slot >= uint64(len(next.Slots)) || expert > uint64(group.Empty) {
			return group.Map{}, damaged("the change of an expert map is not whole")
		}
		next.Slots[slot] = uint16(expert)
	}
	if next.Digest() != c.GetDigest() {
		return group.Map{}, damaged("the change of an expert map belongs to another map")
	}
	return next, nil
}

// encodeChanges lists the slots that differ, each by its distance from the one before,
// with the expert that it gets.
func encodeChanges(base, next group.Map) []byte {
	var data []byte
	last := 0
	for slot, expert := range next.Slots {
		if slot < len(base.Slots) && base.Slots[slot] == expert {
			continue
		}
		data = binary.AppendUvarint(data, uint64(slot-last))
		data = binary.AppendUvarint(data, uint64(expert))
		last = slot
	}
	return data
}
