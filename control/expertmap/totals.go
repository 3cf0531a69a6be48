package expertmap

import (
	"time"

	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
)

// enoughRanks is the part of the ranks whose counts are an observation if the others keep
// silent: all ranks serve the same mixture of requests, so that one that is frozen must not
// hide a change of demand.
const enoughRanks = 0.75

// totals sums up what ranks of a group counted since the last observation. Only the
// parts that experts have of it are of interest: reports need not be of the same steps.
type totals struct {
	tokens []float64
	// counted says which ranks have counted, ranks is how many; since is when the first
	// of them reported.
	counted []bool
	ranks   int
	since   time.Duration
	// asked is how many ranks one look asks.
	asked int
}

func newTotals(shape group.Shape) *totals {
	return &totals{tokens: make([]float64, shape.Layers*shape.Experts), counted: make([]bool, shape.Ranks), asked: shape.Ranks / lookParts(shape.Ranks)}
}

// add takes in a report of all layers that fits the shape.
func (t *totals) add(now time.Duration, load *agentv1.ExpertLoad) {
	if load.GetLayer() != tally.AllLayers || len(load.GetTokens()) != len(t.tokens) {
		return
	}
	if t.ranks == 0 {
		t.since = now
	}
	for i, tokens := range load.GetTokens() {
		t.tokens[i] += float64(tokens)
	}
	t.note(load.GetRank())
	for _, rank := range load.GetMoreRanks() {
		t.note(rank)
	}
}

// note takes in that a rank has counted.
func (t *totals) note(rank int32) {
	if rank < 0 || int(rank) >= len(t.counted) || t.counted[rank] {
		return
	}
	t.counted[rank] = true
	t.ranks++
}

// enough reports whether the counts are an observation: those of all ranks that one look
// asks, or of most once the others have had the interval's half to answer.
func (t *totals) enough(now, interval time.Duration) bool {
	if t.ranks >= t.asked {
		return true
	}
	return now-t.since >= interval/2 && float64(t.ranks) >= enoughRanks*float64(t.asked)
}
