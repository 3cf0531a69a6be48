// Package tally converts the cumulative token counts of an engine's experts into the counts since the
// last report.
package tally

import (
	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// AllLayers is the layer number of a load that holds the tokens of all layers, one layer after the
// other.
const AllLayers = -1

// Tally holds the token counts of the experts of one rank. The zero Tally is empty and ready to use. It
// is not safe for concurrent use.
type Tally struct {
	// last is the latest reading, reported the reading at the last report.
	last, reported engineapi.ExpertCounts
}

// Record stores a reading. A reading of the same run with fewer steps than the last one is ignored.
func (t *Tally) Record(read engineapi.ExpertCounts) {
	if read.Run != t.last.Run || read.Steps >= t.last.Steps {
		t.last = read
	}
}

// Take returns the loads since the last report, one per layer, and starts the next report. Counts that
// had not been reported when the engine restarted are lost.
func (t *Tally) Take(group string, rank int) []*agentv1.ExpertLoad {
	from := t.reported
	t.reported = t.last
	if from.Run != t.last.Run || t.last.Steps <= from.Steps || len(from.Tokens) != len(t.last.Tokens) {
		return nil
	}
	var loads []*agentv1.ExpertLoad
	for layer, tokens := range t.last.Tokens {
		if len(from.Tokens[layer]) != len(tokens) {
			return nil
		}
		load := &agentv1.ExpertLoad{
			Group: group, Rank: int32(rank), Layer: int32(layer),
			FromStep: from.Steps, ToStep: t.last.Steps,
			Tokens: make([]uint64, len(tokens)),
		}
		for expert, count := range tokens {
			load.Tokens[expert] = count - from.Tokens[layer][expert]
		}
		loads = append(loads, load)
	}
	return loads
}
