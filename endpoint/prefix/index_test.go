package prefix

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var prompt = []uint64{11, 12, 13, 14, 15, 16}

func stored(seq uint64, blocks ...uint64) Event {
	return Event{Endpoint: "a", Incarnation: 1, Seq: seq, Stored: blocks}
}

// TestGapInvalidatesEntries checks that a lost event invalidates the entries
// learned before it, that a reordered event does not, and that a restart
// invalidates all entries.
func TestGapInvalidatesEntries(t *testing.T) {
	is := is.New(t)
	x := New(Config{})
	x.Apply(0, stored(1, prompt[:4]...))
	is.Equal(x.Match(0, "a", prompt), 4)
	is.Equal(x.Holders(0, prompt, 3, nil), []string{"a"})

	x.Apply(0, stored(3, prompt[5]))
	is.Equal(x.Match(0, "a", prompt), 0) // open gap: the lost event may be an eviction
	x.Apply(0, stored(2, prompt[4]))
	is.Equal(x.Match(0, "a", prompt), 6) // it was only reordered

	x.Apply(0, stored(5, 21, 22))
	x.Apply(DefaultHoldTime+1, stored(6, 23))
	is.Equal(x.Match(DefaultHoldTime+1, "a", prompt), 0) // event 4 is lost
	is.Equal(x.Match(DefaultHoldTime+1, "a", []uint64{21, 22, 23}), 3)
	is.Equal(x.Stats().Gaps, uint64(1))

	x.Apply(time.Second, Event{Endpoint: "a", Incarnation: 2, Seq: 1, Stored: prompt[:2]})
	x.Apply(time.Second, stored(7, prompt...)) // from before the restart
	is.Equal(x.Match(time.Second, "a", prompt), 2)
	is.Equal(x.Match(time.Second, "a", []uint64{21, 22, 23}), 0)
}

// TestEntriesAreBounded checks that a dispatched prompt is assumed to be cached
// for a limited time only, that the index evicts entries instead of growing, and
// that eviction events are applied.
func TestEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	x := New(Config{Entries: 1024})
	x.Sent(0, "b", prompt)
	is.Equal(x.Match(time.Second, "b", prompt), 6)
	is.Equal(x.Match(2*DefaultSentTTL, "b", prompt), 0)

	for seq := uint64(1); seq <= 5000; seq++ {
		x.Apply(0, stored(seq, 1000+seq))
	}
	found := 0
	for block := uint64(1001); block <= 6000; block++ {
		found += x.Match(0, "a", []uint64{block})
	}
	is.True(found <= 1024)
	is.Equal(x.Match(0, "a", []uint64{6000}), 1) // the latest is kept
	x.Apply(0, Event{Endpoint: "a", Incarnation: 1, Seq: 5001, Removed: []uint64{6000}})
	is.Equal(x.Match(0, "a", []uint64{6000}), 0)
}
