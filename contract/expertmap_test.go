package contract

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestDaemonRecordsOmitMaps switches the map of a large group and checks that the record
// sent to all daemons has the new epoch in less than 100 bytes, and that the record that
// the ranks read has the maps.
func TestDaemonRecordsOmitMaps(t *testing.T) {
	is := is.New(t)
	s := NewState()
	encodedMap := make([]byte, 11_600) // 10 layers of 192 ranks with 3 slots each
	apply := func(index uint64, data []byte, err error) {
		is.NoErr(err)
		is.True(s.Apply(index, 1, data).(*Result).Err == nil)
	}
	data, err := EncodeMapBegin(0, "pool/1", 1, 1, encodedMap)
	apply(1, data, err)
	data, err = EncodeMapDecide(0, "pool/1", 1, 1, true, 7)
	apply(2, data, err)
	data, err = EncodeMapBegin(0, "pool/1", 2, 1, encodedMap)
	apply(3, data, err)
	records := s.Configuration().GetMaps()
	is.Equal(len(records), 1)
	is.Equal(records[0].GetEpoch(), uint64(2))
	is.Equal(records[0].GetBaseEpoch(), uint64(1))
	is.True(proto.Size(records[0]) < 100)
	stored := s.MapRecord("pool/1")
	is.Equal(len(stored.GetMap()), len(encodedMap))
	is.Equal(len(stored.GetBaseMap()), len(encodedMap))
}
