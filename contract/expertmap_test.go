package contract

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// TestDaemonsAreNotSentTheMaps switches the map of a large group: what all daemons follow says that
// it did, in less than a hundred bytes, and the record that its ranks read holds the maps.
func TestDaemonsAreNotSentTheMaps(t *testing.T) {
	is := is.New(t)
	s := NewState()
	whole := make([]byte, 11_600) // 10 layers of 192 ranks with 3 slots each
	apply := func(index uint64, data []byte, err error) {
		is.NoErr(err)
		is.True(s.Apply(index, 1, data).(*Result).Err == nil)
	}
	data, err := EncodeMapBegin(0, "pool/1", 1, 1, whole)
	apply(1, data, err)
	data, err = EncodeMapDecide(0, "pool/1", 1, 1, true, 7)
	apply(2, data, err)
	data, err = EncodeMapBegin(0, "pool/1", 2, 1, whole)
	apply(3, data, err)
	records := s.Configuration().GetMaps()
	is.Equal(len(records), 1)
	is.Equal(records[0].GetEpoch(), uint64(2))
	is.Equal(records[0].GetBaseEpoch(), uint64(1))
	is.True(proto.Size(records[0]) < 100)
	stored := s.MapRecord("pool/1")
	is.Equal(len(stored.GetMap()), len(whole))
	is.Equal(len(stored.GetBaseMap()), len(whole))
}
