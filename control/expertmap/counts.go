package expertmap

import (
	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group"
)

// counts accumulates what each rank has counted since the last observation. Ranks report at
// different times, so each rank's tokens are divided by its own steps.
type counts []rankCounts

// rankCounts are the counts of one rank.
type rankCounts struct {
	// tokens is indexed by layer*experts+expert. It is sparse, because a rank handles few
	// experts.
	tokens map[int]float64
	// steps is indexed by layer.
	steps []float64
}

func newCounts(shape group.Shape) counts {
	c := make(counts, shape.Ranks)
	for rank := range c {
		c[rank] = rankCounts{tokens: make(map[int]float64), steps: make([]float64, shape.Layers)}
	}
	return c
}

// add adds a report; one that does not fit the shape is ignored.
func (c counts) add(shape group.Shape, load *agentv1.ExpertLoad) {
	if load.GetLayer() == tally.AllLayers {
		c.addAll(shape, load)
		return
	}
	rank, layer := int(load.GetRank()), int(load.GetLayer())
	if rank < 0 || rank >= shape.Ranks || layer < 0 || layer >= shape.Layers {
		return
	}
	if len(load.GetTokens()) != shape.Experts || load.GetToStep() <= load.GetFromStep() {
		return
	}
	for expert, tokens := range load.GetTokens() {
		if tokens > 0 {
			c[rank].tokens[layer*shape.Experts+expert] += float64(tokens)
		}
	}
	c[rank].steps[layer] += float64(load.GetToStep() - load.GetFromStep())
}

// addAll adds a report that covers all layers.
func (c counts) addAll(shape group.Shape, load *agentv1.ExpertLoad) {
	if len(load.GetTokens()) != shape.Layers*shape.Experts {
		return
	}
	for layer := range shape.Layers {
		c.add(shape, &agentv1.ExpertLoad{
			Group: load.GetGroup(), Rank: load.GetRank(), Layer: int32(layer),
			FromStep: load.GetFromStep(), ToStep: load.GetToStep(),
			Tokens: load.GetTokens()[layer*shape.Experts : (layer+1)*shape.Experts],
		})
	}
}

// mean returns the mean number of tokens per step of each expert, summed over all ranks. It is
// complete once every rank has counted every layer.
func (c counts) mean(shape group.Shape) (load []float64, complete bool) {
	load = make([]float64, shape.Layers*shape.Experts)
	for _, rank := range c {
		for _, steps := range rank.steps {
			if steps == 0 {
				return nil, false
			}
		}
		for index, tokens := range rank.tokens {
			load[index] += tokens / rank.steps[index/shape.Experts]
		}
	}
	return load, true
}
