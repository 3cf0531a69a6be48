package mapwire

import (
	"encoding/binary"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
)

// ChangeOf returns the map of an epoch as the slots in which it differs from the map of
// the base epoch. A switch changes some hundred of the thousands of slots of a large
// group, so the change takes about two kilobytes, whereas otherwise every rank would read
// two complete maps.
func ChangeOf(name string, shape group.Shape, baseEpoch uint64, base group.Map, epoch uint64, next group.Map) *agentv1.MapChange {
	return &agentv1.MapChange{
		Group: name, Epoch: epoch, Digest: next.Digest(), BaseEpoch: baseEpoch,
		Layers: int32(shape.Layers), Experts: int32(shape.Experts), Ranks: int32(shape.Ranks), Slots: int32(shape.Slots),
		Changes: encodeChanges(base, next),
	}
}

// ShapeOf returns the dimensions of the map that a change describes.
func ShapeOf(c *agentv1.MapChange) group.Shape {
	return group.Shape{Layers: int(c.GetLayers()), Experts: int(c.GetExperts()), Ranks: int(c.GetRanks()), Slots: int(c.GetSlots())}
}

// Apply returns the map that results from applying a change to its base. The error is a
// fault of kind Corrupt if the change is malformed or was made from a different base.
func Apply(c *agentv1.MapChange, base group.Map) (group.Map, error) {
	next := base.Clone()
	rest := reader{data: c.GetChanges()}
	slot := uint64(0)
	for len(rest.data) > 0 {
		slot += rest.uvarint()
		expert := rest.uvarint()
		if rest.failed || slot >= uint64(len(next.Slots)) || expert > uint64(group.Empty) {
			return group.Map{}, corruptError("expert map change is truncated or names an invalid slot or expert")
		}
		next.Slots[slot] = uint16(expert)
	}
	if next.Digest() != c.GetDigest() {
		return group.Map{}, corruptError("expert map change was made from a different base map: digest mismatch")
	}
	return next, nil
}

// encodeChanges encodes the slots that differ, each as its distance from the previous
// one followed by its new expert.
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
