package endpoint

import (
	"testing"

	"github.com/matryer/is"
)

// Of two endpoints announced at one address the later one is there; the earlier
// takes no work, also while its lease lasts.
func TestAnAddressBelongsToTheLatestEndpoint(t *testing.T) {
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
	is.Equal(at.ID, "new") // the end of the old one's lease does not bring it back
	is.Equal(len(table.Snapshot().Serving(Key{Pool: "p"})), 2)
	table.Apply(nil, []string{"new"})
	at, ok = table.Snapshot().ByAddr("10.0.0.1:80")
	is.True(ok)
	is.Equal(at.ID, "old") // nobody else is there any more
}
