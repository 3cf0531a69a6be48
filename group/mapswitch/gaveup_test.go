package mapswitch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
)

// TestASwitchThatIsGivenUpNamesTheSilentRanks plays a switch of three ranks of which
// one never answers: first to the order to prepare, then to that to promise.
func TestASwitchThatIsGivenUpNamesTheSilentRanks(t *testing.T) {
	for _, test := range []struct {
		answers func(c *Coordinator, rank int) []Message
		phase   Phase
		ranks   []int
	}{
		{func(*Coordinator, int) []Message { return nil }, PhasePreparing, []int{0, 1, 2}},
		{func(c *Coordinator, rank int) []Message { return preparedBut(c, rank, 1) }, PhasePreparing, []int{1}},
		{func(c *Coordinator, rank int) []Message {
			out := preparedBut(c, rank, -1)
			if rank != 2 {
				out = append(out, answerOf(c, KindPromised, rank))
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
		is.Equal(record.PendingEpoch, uint64(0)) // it was decided
		is.Equal(record.Epoch, uint64(1))        // and given up
		is.Equal(phase, test.phase)
		is.Equal(ranks, test.ranks)
	}
}

// answerOf is a rank's answer in the present phase.
func answerOf(c *Coordinator, kind Kind, rank int) Message {
	return Message{Kind: kind, Group: "g", Rank: rank, Token: c.token, Epoch: c.record.PendingEpoch, Step: c.step}
}

// preparedBut lets all ranks but one say that they are prepared.
func preparedBut(c *Coordinator, rank, silent int) []Message {
	if rank == silent {
		return nil
	}
	m := answerOf(c, KindPrepared, rank)
	m.Step = 1
	return []Message{m}
}
