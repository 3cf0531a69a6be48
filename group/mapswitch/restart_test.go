package mapswitch

import (
	"testing"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
)

// TestRestartedRankRefusesOldToken lets a request of a replaced coordinator
// reach a rank that restarted after it had promised a lower step to the new one.
func TestRestartedRankRefusesOldToken(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages}, Step: "promise asked for by a replaced coordinator", Combined: true,
		Guard: "both uses of the fencing token at a rank, each alone"}.Log(t)
	is := is.New(t)
	w := newWorld(2)
	w.replace(Options{LeadSteps: 6})
	w.settle()
	w.run(0)
	w.run(1)
	effects, err := w.coords[0].Propose(0, testMap(1))
	is.NoErr(err)
	w.effects(effects)
	late := w.settle()[KindPromise] // promises step 6 to token 1

	w.replace(Options{LeadSteps: 2})
	w.apply(0, Entry{Kind: EntryAdopt, Group: testGroup, Token: 2, Epoch: 2})
	is.Equal(w.record.Token, uint64(2))
	w.crash(0, late.Rank, false)
	for _, m := range w.sent {
		if m.Kind == KindRead {
			w.deliver(0, m)
		}
	}
	for _, m := range w.sent {
		if m.Kind == KindRecord {
			w.deliver(0, m)
		}
	}
	w.sent = nil
	w.run(late.Rank)
	w.deliver(0, late)
	is.Equal(len(w.sent), 1)
	is.Equal(w.sent[0].Reason, ReasonFenced)
	_, step := w.ranks[late.Rank].Promise()
	is.Equal(step, uint64(0))
}

// settle delivers everything once and returns the last message of each kind.
// Decisions stay uncommitted.
func (w *world) settle() map[Kind]Message {
	last := map[Kind]Message{}
	for len(w.sent) > 0 || len(w.proposed) > 0 {
		sent, proposed := w.sent, w.proposed
		w.sent, w.proposed = nil, nil
		for _, e := range proposed {
			if e.Kind != EntryCommit {
				w.apply(0, e)
			}
		}
		for _, m := range sent {
			last[m.Kind] = m
			w.deliver(0, m)
		}
	}
	return last
}
