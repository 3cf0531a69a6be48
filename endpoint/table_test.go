package endpoint

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
)

// TestLateMessageBringsNothingBack guards against routing new calls to a leaving
// endpoint: it must not be listed as serving, and a delayed or duplicated older
// record must not restore it.
func TestLateMessageBringsNothingBack(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.DelayedMessages, proof.DuplicatedMessages}, Step: "older record of an endpoint at an entry",
		Guard: "the comparison of revisions, and the state in the lists, each alone"}.Log(t)
	is := is.New(t)
	key := Key{Pool: "p", Model: "m"}
	table := NewTable()
	serving := Endpoint{ID: "a", Pool: "p", Model: "m", Adapters: []string{"x", "x"}, Version: "v1", Revision: 4}
	other := Endpoint{ID: "b", Pool: "p", Model: "m", Revision: 4}
	table.Replace([]Endpoint{serving, other})
	before := table.Snapshot()
	is.Equal(len(before.Serving(Key{Pool: "p", Model: "m", Version: "v1", Adapter: "x"})), 1)

	leaving := serving
	leaving.State, leaving.Revision = Leaving, 5
	is.Equal(table.Apply([]Endpoint{leaving}, nil), 1)
	is.Equal(table.Apply([]Endpoint{serving}, nil), 0) // the older record changes nothing
	is.Equal(len(table.Snapshot().Serving(key)), 1)
	is.Equal(table.Snapshot().Serving(key)[0].ID, "b")
	is.True(table.Snapshot().HasModel(key))

	is.Equal(len(before.Serving(key)), 2) // earlier views are immutable
	table.Apply(nil, []string{"a", "b", "unknown"})
	is.True(!table.Snapshot().HasPool("p"))
}
