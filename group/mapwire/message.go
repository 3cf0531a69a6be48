package mapwire

import (
	"encoding/binary"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// coordinatorRank is the rank number that denotes the coordinator in a message.
const coordinatorRank = -1

// ToProto encodes a message between the coordinator and a rank. The digest is not
// sent because the record in the message has the digest of the epoch.
func ToProto(m mapswitch.Message) *agentv1.GroupMessage {
	from, to := int32(m.Rank), int32(coordinatorRank)
	if m.Kind.Destination() == mapswitch.ToRank {
		from, to = coordinatorRank, int32(m.Rank)
	}
	return &agentv1.GroupMessage{
		Group:    m.Group,
		Kind:     int32(m.Kind),
		FromRank: from,
		ToRank:   to,
		Epoch:    m.Epoch,
		Step:     m.Step,
		Fence:    m.Token,
		Map:      encodeRecord(m.Record),
		State:    int32(m.Reason),
		Sole:     m.Sole,
	}
}

// FromProto decodes a message.
func FromProto(message *agentv1.GroupMessage) (mapswitch.Message, error) {
	record, err := decodeRecord(message.GetMap())
	if err != nil {
		return mapswitch.Message{}, err
	}
	m := mapswitch.Message{
		Kind:   mapswitch.Kind(message.GetKind()),
		Group:  message.GetGroup(),
		Rank:   int(message.GetFromRank()),
		Token:  message.GetFence(),
		Epoch:  message.GetEpoch(),
		Digest: record.DigestOf(message.GetEpoch()),
		Step:   message.GetStep(),
		Reason: mapswitch.Reason(message.GetState()),
		Sole:   message.GetSole(),
		Record: record,
	}
	if m.Kind.Destination() == mapswitch.ToRank {
		m.Rank = int(message.GetToRank())
	}
	return m, nil
}

// recordFields lists the fields of a record in the order of their encoding.
func recordFields(r *mapswitch.Record) []*uint64 {
	return []*uint64{
		&r.Revision, &r.Token, &r.Epoch, &r.Digest, &r.FromStep,
		&r.PreviousEpoch, &r.PreviousDigest, &r.PendingEpoch, &r.PendingDigest, &r.LastEpoch,
	}
}

func encodeRecord(r mapswitch.Record) []byte {
	var data []byte
	for _, field := range recordFields(&r) {
		data = binary.AppendUvarint(data, *field)
	}
	return data
}

// decodeRecord decodes a record; empty data decodes to the zero record.
func decodeRecord(data []byte) (mapswitch.Record, error) {
	var r mapswitch.Record
	if len(data) == 0 {
		return r, nil
	}
	rest := reader{data: data}
	for _, field := range recordFields(&r) {
		*field = rest.uvarint()
	}
	if rest.failed || len(rest.data) > 0 {
		return mapswitch.Record{}, corruptError("record in a map switch message is truncated or has trailing bytes")
	}
	return r, nil
}
