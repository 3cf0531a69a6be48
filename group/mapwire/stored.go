package mapwire

import (
	"encoding/binary"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

const (
	storedVersion = 1
	// maxDimension bounds each dimension of a decoded map.
	maxDimension = 1 << 16
	// maxSlots bounds the total number of slots of a decoded map.
	maxSlots = 1 << 22
)

// StoredMap is the map of an epoch as kept in the log.
type StoredMap struct {
	// Map is the map of the epoch.
	Map group.Map
	// BaseFromStep is the first step of the map that was in force when the epoch
	// began; PreviousEpoch and PreviousDigest identify the map of the steps before it.
	BaseFromStep, PreviousEpoch, PreviousDigest uint64
}

// Encode returns the encoding for the log.
func (s StoredMap) Encode() []byte {
	data := make([]byte, 0, 64+2*len(s.Map.Slots))
	data = append(data, storedVersion)
	for _, number := range []uint64{
		s.BaseFromStep, s.PreviousEpoch, s.PreviousDigest,
		uint64(s.Map.Layers), uint64(s.Map.Ranks), uint64(s.Map.SlotsPerRank), uint64(len(s.Map.Slots)),
	} {
		data = binary.AppendUvarint(data, number)
	}
	for _, expert := range s.Map.Slots {
		data = binary.LittleEndian.AppendUint16(data, expert)
	}
	return data
}

// DecodeStoredMap decodes the output of StoredMap.Encode.
func DecodeStoredMap(data []byte) (StoredMap, error) {
	if len(data) == 0 || data[0] != storedVersion {
		return StoredMap{}, corruptError("stored expert map has an unknown encoding version")
	}
	r := reader{data: data[1:]}
	s := StoredMap{BaseFromStep: r.uvarint(), PreviousEpoch: r.uvarint(), PreviousDigest: r.uvarint()}
	layers, ranks, slotsPerRank, slots := r.uvarint(), r.uvarint(), r.uvarint(), r.uvarint()
	if r.failed || layers > maxDimension || ranks > maxDimension || slotsPerRank > maxDimension || slots > maxSlots {
		return StoredMap{}, corruptError("stored expert map is truncated or has dimensions out of range")
	}
	if slots != layers*ranks*slotsPerRank || uint64(len(r.data)) != 2*slots {
		return StoredMap{}, corruptError("stored expert map does not have the number of slots that its dimensions give")
	}
	s.Map = group.Map{Layers: int(layers), Ranks: int(ranks), SlotsPerRank: int(slotsPerRank), Slots: make([]uint16, slots)}
	for i := range s.Map.Slots {
		s.Map.Slots[i] = binary.LittleEndian.Uint16(r.data[2*i:])
	}
	return s, nil
}

// reader decodes unsigned varints from the front of data.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) uvarint() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return value
}

func corruptError(message string) error {
	return fault.New(fault.Corrupt, message, "upgrade the older of the two processes; if both run the same version, report a bug")
}

// RevisionAdopted is added to the revision of a record when a later coordinator adopts
// its pending epoch.
const RevisionAdopted = 1

// The revisions of a mapswitch.Record are numbered per group: four are reserved for each
// epoch, of which offset 0 (pending), RevisionAdopted and revisionDecided are used.
const (
	revisionsPerEpoch = 4
	revisionDecided   = 2
)

// RecordOf converts the log's record of a group into the record that package mapswitch
// uses. token is the fencing token of the coordinator that wrote last, which the ReadMap
// RPC returns together with the record; zero if it is not known. A restarted rank must
// know it: otherwise a late promise request of a replaced coordinator would override the
// promise that the rank's previous process gave to the successor. The highest token that
// ReadFence returns must not be used instead, since a leader draws further tokens for its
// orders in the same term. A nil record denotes a group without any map.
func RecordOf(stored *fleetv1.MapRecord, token uint64) (mapswitch.Record, error) {
	if stored.GetEpoch() == 0 {
		return mapswitch.Record{Token: token}, nil
	}
	latest, err := DecodeStoredMap(stored.GetMap())
	if err != nil {
		return mapswitch.Record{}, err
	}
	var baseDigest uint64
	if stored.GetBaseEpoch() > 0 {
		base, err := DecodeStoredMap(stored.GetBaseMap())
		if err != nil {
			return mapswitch.Record{}, err
		}
		baseDigest = base.Map.Digest()
	}
	r := mapswitch.Record{
		Revision:  revisionsPerEpoch*stored.GetEpoch() + revisionDecided,
		Token:     token,
		LastEpoch: stored.GetEpoch(),
	}
	if stored.GetState() == fleetv1.MapState_MAP_STATE_COMMITTED {
		r.Epoch, r.Digest, r.FromStep = stored.GetEpoch(), latest.Map.Digest(), stored.GetActivateStep()
		r.PreviousEpoch, r.PreviousDigest = stored.GetBaseEpoch(), baseDigest
		return r, nil
	}
	r.Epoch, r.Digest, r.FromStep = stored.GetBaseEpoch(), baseDigest, latest.BaseFromStep
	r.PreviousEpoch, r.PreviousDigest = latest.PreviousEpoch, latest.PreviousDigest
	if stored.GetState() == fleetv1.MapState_MAP_STATE_PREPARING {
		r.Revision = revisionsPerEpoch * stored.GetEpoch()
		r.PendingEpoch, r.PendingDigest = stored.GetEpoch(), latest.Map.Digest()
	}
	return r, nil
}

// FindMap returns the map of an epoch from a record, if the record holds it and it has
// the given digest.
func FindMap(record *fleetv1.MapRecord, epoch, digest uint64) (group.Map, bool) {
	encoded := record.GetMap()
	if epoch == record.GetBaseEpoch() {
		encoded = record.GetBaseMap()
	} else if epoch != record.GetEpoch() {
		return group.Map{}, false
	}
	stored, err := DecodeStoredMap(encoded)
	return stored.Map, err == nil && stored.Map.Digest() == digest
}
