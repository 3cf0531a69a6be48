package mapwire

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// FuzzDecode checks that whatever decodes without an error survives a round trip.
func FuzzDecode(f *testing.F) {
	shape := group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}
	valid := StoredMap{Map: group.RoundRobin(shape), BaseFromStep: 7}.Encode()
	f.Add(valid)
	f.Add(valid[:len(valid)-1])
	f.Add(encodeRecord(mapswitch.Record{Revision: 9, Digest: 1 << 60}))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		if stored, err := DecodeStoredMap(data); err == nil {
			again, err := DecodeStoredMap(stored.Encode())
			is.NoErr(err)
			is.Equal(again.Map.Digest(), stored.Map.Digest())
		}
		if record, err := decodeRecord(data); err == nil {
			again, err := decodeRecord(encodeRecord(record))
			is.NoErr(err)
			is.Equal(again, record)
		}
	})
}
