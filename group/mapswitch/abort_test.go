package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestAnAbortNamesTheRanksThatDidNotAnswer runs a switch of three ranks that do not all
// answer: first none and then all but one to the request to prepare, then all but one to
// the request to promise.
func TestAnAbortNamesTheRanksThatDidNotAnswer(t *testing.T) {
	for _, test := range []struct {
		answers func(c *Coordinator, rank int) []Message
		phase   Phase
		ranks   []int
	}{
		{func(*Coordinator, int) []Message { return nil }, PhasePreparing, []int{0, 1, 2}},
		{func(c *Coordinator, rank int) []Message { return preparedExcept(c, rank, 1) }, PhasePreparing, []int{1}},
		{func(c *Coordinator, rank int) []Message {
			out := preparedExcept(c, rank, -1)
			if rank != 2 {
				out = append(out, answerFrom(c, KindPromised, rank))
			}
			return out
		}, PhasePromising, []int{2}},
	} {
		is := is.New(t)
		next := group.RoundRobin(group.Shape{Layers: 1, Experts: 4, Ranks: 3, Slots: 2})
		record, err := Record{}.Apply(Entry{Kind: EntryCreate, Token: 1, Epoch: 1, Digest: 5})
		is.NoErr(err)
		c := NewCoordinator("g", 3, 1, record, Options{PrepareTimeout: time.Second})
		effects, err := c.Propose(0, next)
		is.NoErr(err)
		for now := time.Duration(0); now < 3*time.Second; now += 10 * time.Millisecond {
			for _, effect := range effects {
				if effect.Kind != Commit {
					continue
				}
				if applied, err := record.Apply(effect.Entry); err == nil {
					record = applied
					c.Committed(now, record)
				}
			}
			for rank := range 3 {
				for _, m := range test.answers(c, rank) {
					c.Step(now, m)
				}
			}
			effects = c.Tick(now)
		}
		phase, ranks := c.LastAbort()
		is.Equal(record.PendingEpoch, uint64(0)) // the switch was decided
		is.Equal(record.Epoch, uint64(1))        // and aborted
		is.Equal(phase, test.phase)
		is.Equal(ranks, test.ranks)
	}
}

// answerFrom returns a rank's answer for the current phase.
func answerFrom(c *Coordinator, kind Kind, rank int) Message {
	return Message{Kind: kind, Group: "g", Rank: rank, Token: c.token, Epoch: c.record.PendingEpoch, Step: c.step}
}

// preparedExcept returns a rank's report that it is prepared, and nothing for the silent
// rank.
func preparedExcept(c *Coordinator, rank, silent int) []Message {
	if rank == silent {
		return nil
	}
	m := answerFrom(c, KindPrepared, rank)
	m.Step = 1
	return []Message{m}
}
