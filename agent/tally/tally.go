// Package tally turns what an engine's experts have handled since it started
// into what they have handled since the last report.
package tally

import (
	"github.com/lilackeel/lilackeel/agent/engineapi"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// AllLayers is the layer of a load whose tokens are those of all layers, one after
// the other.
const AllLayers = -1

// Tally is what the experts of one rank have handled since the last report. The
// zero Tally has seen nothing. It is not safe for concurrent use.
type Tally struct {
	// last is the newest reading, reported the one up to which was reported.
	last, reported engineapi.ExpertCounts
}

// Read takes in a reading. One that is older than the last is dropped.
func (t *Tally) Record(read engineapi.ExpertCounts) {
	if read.Run != t.last.Run || read.Steps >= t.last.Steps {
		t.last = read
	}
}

// Take returns the loads since the last report. After a new start of the engine
// what it had not reported is lost.
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
