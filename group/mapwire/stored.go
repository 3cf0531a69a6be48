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
	// maxDimension bounds the dimensions of a decoded map.
	maxDimension = 1 << 16
	// maxSlots bounds the slots of a decoded map.
	maxSlots = 1 << 22
)

// Stored is what the log keeps as the map of an epoch.
type StoredMap struct {
	// Map is the map of the epoch.
	Map group.Map
	// BaseFromStep is the first step of the map that was in force when the epoch
	// began; PreviousEpoch and PreviousDigest are the map of the steps before.
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

// DecodeStored reads the encoding of Encode.
func DecodeStoredMap(data []byte) (StoredMap, error) {
	if len(data) == 0 || data[0] != storedVersion {
		return StoredMap{}, damaged("the map is not in a known encoding")
	}
	r := reader{data: data[1:]}
	s := StoredMap{BaseFromStep: r.number(), PreviousEpoch: r.number(), PreviousDigest: r.number()}
	layers, ranks, slotsPerRank, slots := r.number(), r.number(), r.number(), r.number()
	if r.failed || layers > maxDimension || ranks > maxDimension || slotsPerRank > maxDimension || slots > maxSlots {
		return StoredMap{}, damaged("the map's dimensions are out of range")
	}
	if slots != layers*ranks*slotsPerRank || uint64(len(r.data)) != 2*slots {
		return StoredMap{}, damaged("the map is not whole")
	}
	s.Map = group.Map{Layers: int(layers), Ranks: int(ranks), SlotsPerRank: int(slotsPerRank), Slots: make([]uint16, slots)}
	for i := range s.Map.Slots {
		s.Map.Slots[i] = binary.LittleEndian.Uint16(r.data[2*i:])
	}
	return s, nil
}

// reader takes numbers off the front of data.
type reader struct {
	data   []byte
	failed bool
}

func (r *reader) number() uint64 {
	value, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.failed = true
		r.data = nil
		return 0
	}
	r.data = r.data[n:]
	return value
}

func damaged(message string) error {
	return fault.New(fault.Corrupt, message, "update the older of the two processes; if both are of one version, report a defect")
}

// RevisionAdopted is what the adoption of a pending epoch by a later coordinator
// adds to the revision of its record.
const RevisionAdopted = 1

// The revision of a mapswitch.Record counts within its group: each epoch has
// four, of which these and RevisionAdopted are used.
const (
	revisionsPerEpoch = 4
	revisionDecided   = 2
)

// RecordOf turns the log's record of a group into that of the switch. token is
// that of the coordinator that wrote last, which ReadMap returns beside the
// record; zero if it is not known. A rank that starts again must know it: without
// it a late promise to a coordinator that was replaced would lift the promise
// that the rank's former process gave to its successor. The highest token of
// ReadFence must not be taken for it, since a leader draws further tokens for its
// orders in the same term. A nil record is that of a group without any map.
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

// FindMap returns the map of an epoch, of the given digest, that a record holds.
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
