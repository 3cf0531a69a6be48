package endpoint

import (
	"testing"

	"github.com/matryer/is"
)

// If two endpoints have announced the same address, only the one announced last
// takes calls, even while the lease of the earlier one is still valid.
func TestAddressBelongsToLatestEndpoint(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	old := Endpoint{ID: "old", Pool: "p", Addr: "10.0.0.1:80", Revision: 1}
	table.Apply([]Endpoint{old, {ID: "other", Pool: "p", Addr: "10.0.0.2:80", Revision: 1}}, nil)
	is.Equal(len(table.Snapshot().Serving(Key{Pool: "p"})), 2)
	table.Apply([]Endpoint{{ID: "new", Pool: "p", Addr: "10.0.0.1:80", Revision: 2}}, nil)
	view := table.Snapshot()
	ids := []string{}
	for _, e := range view.Serving(Key{Pool: "p"}) {
		ids = append(ids, e.ID)
	}
	is.Equal(ids, []string{"new", "other"})
	at, ok := view.ByAddr("10.0.0.1:80")
	is.True(ok)
	is.Equal(at.ID, "new")
	table.Apply([]Endpoint{{ID: "old", Pool: "p", Addr: "10.0.0.1:80", AnnouncementExpired: true, Revision: 3}}, nil)
	at, _ = table.Snapshot().ByAddr("10.0.0.1:80")
	is.Equal(at.ID, "new") // the record change at lease expiry does not restore the old endpoint
	is.Equal(len(table.Snapshot().Serving(Key{Pool: "p"})), 2)
	table.Apply(nil, []string{"new"})
	at, ok = table.Snapshot().ByAddr("10.0.0.1:80")
	is.True(ok)
	is.Equal(at.ID, "old") // no other endpoint is announced at the address
}
