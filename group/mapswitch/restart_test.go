package mapswitch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
)

// TestRestartedRankRefusesOldToken delivers a late promise request of a replaced
// coordinator to a rank that has restarted since the new coordinator took over. Before
// the restart it may have promised a lower step to the new coordinator, so it must
// refuse the old request because of its fencing token.
func TestRestartedRankRefusesOldToken(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages}, Step: "promise asked for by a replaced coordinator", Combined: true,
		Guard: "both uses of the fencing token at a rank, each alone"}.Log(t)
	is := is.New(t)
	c := newCluster(2)
	c.addCoordinator(Options{LeadSteps: 6})
	c.deliverAll()
	c.runStep(0)
	c.runStep(1)
	effects, err := c.coords[0].Propose(0, testMap(1))
	is.NoErr(err)
	c.collectEffects(effects)
	late := c.deliverAll()[KindPromise] // asks for a promise of step 6 with token 1

	c.addCoordinator(Options{LeadSteps: 2})
	c.apply(0, Entry{Kind: EntryAdopt, Group: testGroup, Token: 2, Epoch: 2})
	is.Equal(c.record.Token, uint64(2))
	c.crash(0, late.Rank, false)
	for _, m := range c.sent {
		if m.Kind == KindRead {
			c.deliver(0, m)
		}
	}
	for _, m := range c.sent {
		if m.Kind == KindRecord {
			c.deliver(0, m)
		}
	}
	c.sent = nil
	c.runStep(late.Rank)
	c.deliver(0, late)
	is.Equal(len(c.sent), 1)
	is.Equal(c.sent[0].Reason, ReasonFenced)
	_, step := c.ranks[late.Rank].Promise()
	is.Equal(step, uint64(0))
}

// deliverAll delivers everything once and returns the last message of each kind.
// Commit decisions are dropped.
func (c *cluster) deliverAll() map[Kind]Message {
	last := map[Kind]Message{}
	for len(c.sent) > 0 || len(c.proposed) > 0 {
		sent, proposed := c.sent, c.proposed
		c.sent, c.proposed = nil, nil
		for _, e := range proposed {
			if e.Kind != EntryCommit {
				c.apply(0, e)
			}
		}
		for _, m := range sent {
			last[m.Kind] = m
			c.deliver(0, m)
		}
	}
	return last
}
