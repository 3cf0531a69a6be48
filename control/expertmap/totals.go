package expertmap

import (
	"time"

	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
)

// minRankShare is the share of the asked ranks whose counts suffice for an observation if the
// others do not answer. All ranks serve the same mixture of requests, and a frozen rank must
// not hide a change of demand.
const minRankShare = 0.75

// totals sums up what the ranks of a group have counted since the last observation. Only the
// experts' shares of the sum matter, so the reports may cover different steps.
type totals struct {
	tokens []float64
	// counted holds which ranks have reported, ranks is their number, and since is when the
	// first of them reported.
	counted []bool
	ranks   int
	since   time.Duration
	// ranksPerPoll is the number of ranks that one poll asks.
	ranksPerPoll int
}

func newTotals(shape group.Shape) *totals {
	return &totals{tokens: make([]float64, shape.Layers*shape.Experts), counted: make([]bool, shape.Ranks), ranksPerPoll: shape.Ranks / pollRounds(shape.Ranks)}
}

// add adds a report that covers all layers; one that does not fit the shape is ignored.
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
	t.markCounted(load.GetRank())
	for _, rank := range load.GetMoreRanks() {
		t.markCounted(rank)
	}
}

// markCounted records that a rank has reported.
func (t *totals) markCounted(rank int32) {
	if rank < 0 || int(rank) >= len(t.counted) || t.counted[rank] {
		return
	}
	t.counted[rank] = true
	t.ranks++
}

// sufficient reports whether the counts suffice for an observation: those of all ranks that one
// poll asks, or of most of them once the others have had half of the interval to answer.
func (t *totals) sufficient(now, interval time.Duration) bool {
	if t.ranks >= t.ranksPerPoll {
		return true
	}
	return now-t.since >= interval/2 && float64(t.ranks) >= minRankShare*float64(t.ranksPerPoll)
}
