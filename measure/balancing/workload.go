package balancing

import (
	"embed"
	"hash/fnv"
	"math"
	"math/rand/v2"

	"github.com/gravitational/trace"
	"sigs.k8s.io/yaml"

	"github.com/lilackeel/lilackeel/group"
)

//go:embed workloads/*.yaml
var workloadFiles embed.FS

// workloadNames lists the workload files in the order of the report.
var workloadNames = []string{"drift", "waves", "flash", "slow", "noise", "adversary"}

// Workload describes how the popularity of the experts changes over time.
type Workload struct {
	// Name is part of the titles of the workload's sections in the report.
	Name string `json:"name"`
	// About is a description for readers of the file.
	About string `json:"about"`
	// Minutes is the duration of the run.
	Minutes float64 `json:"minutes"`
	// Topics are kinds of requests. Each has its own popular experts.
	Topics []string `json:"topics"`
	// Mix gives the weight of each topic at points in time; weights in between are
	// interpolated linearly.
	Mix []MixPoint `json:"mix"`
	// SlowRank slows one rank down for part of the run; nil for none.
	SlowRank *SlowRank `json:"slowRank"`
	// ShiftsAfterSwitch makes other experts popular in every topic 10 seconds after
	// each map switch.
	ShiftsAfterSwitch bool `json:"movesAfterSwitch"`
}

// MixPoint is the mix of topics at a point in time.
type MixPoint struct {
	// Minute is the time since the start of the run.
	Minute float64 `json:"minute"`
	// Weights has one weight for each topic; they need not sum to one.
	Weights []float64 `json:"weights"`
}

// SlowRank is a rank that takes Factor times as long per token for part of the
// run.
type SlowRank struct {
	// Rank is the number of the rank.
	Rank int `json:"rank"`
	// FromMinute and ToMinute are the start and the end of the slow period.
	FromMinute float64 `json:"fromMinute"`
	ToMinute   float64 `json:"toMinute"`
	// Factor multiplies the rank's time per token.
	Factor float64 `json:"factor"`
}

// Workloads parses the embedded workload files.
func Workloads() ([]Workload, error) {
	var all []Workload
	for _, name := range workloadNames {
		content, err := workloadFiles.ReadFile("workloads/" + name + ".yaml")
		if err != nil {
			return nil, trace.Wrap(err)
		}
		var w Workload
		if err := yaml.UnmarshalStrict(content, &w); err != nil {
			return nil, trace.Wrap(err, "workload %s", name)
		}
		all = append(all, w)
	}
	return all, nil
}

// mixAt returns the weights of the topics at the given minute, normalized to a sum
// of one.
func (w Workload) mixAt(minute float64) []float64 {
	weights := make([]float64, len(w.Topics))
	i := 0
	for i+2 < len(w.Mix) && w.Mix[i+1].Minute <= minute {
		i++
	}
	from, to := w.Mix[i], w.Mix[i+1]
	fraction := min(1, max(0, (minute-from.Minute)/(to.Minute-from.Minute)))
	var sum float64
	for k := range weights {
		weights[k] = from.Weights[k]*(1-fraction) + to.Weights[k]*fraction
		sum += weights[k]
	}
	for k := range weights {
		weights[k] /= sum
	}
	return weights
}

// popularitySigma is the standard deviation of the logarithm of an expert's
// popularity within a topic.
const popularitySigma = 0.9

// popularity holds the popularity of the experts within each topic.
type popularity struct {
	shape  group.Shape
	topics [][]float64 // for each topic, shares of a layer's tokens, by layer, then expert
}

// newPopularity generates the expert popularity of each topic. The random source
// is seeded with the topic's name and the phase, so a topic's popularity does not
// depend on the other topics, and each phase has different popular experts.
func newPopularity(w Workload, shape group.Shape, phase int) *popularity {
	p := &popularity{shape: shape}
	for _, topic := range w.Topics {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(topic))
		rng := rand.New(rand.NewPCG(hash.Sum64(), uint64(phase)))
		shares := make([]float64, shape.Layers*shape.Experts)
		for layer := range shape.Layers {
			drawShares(rng, shares[layer*shape.Experts:(layer+1)*shape.Experts])
		}
		p.topics = append(p.topics, shares)
	}
	return p
}

// drawShares fills shares with log-normally distributed values that sum to one.
func drawShares(rng *rand.Rand, shares []float64) {
	var sum float64
	for e := range shares {
		shares[e] = math.Exp(popularitySigma * rng.NormFloat64())
		sum += shares[e]
	}
	for e := range shares {
		shares[e] /= sum
	}
}

// expectedLoad sets dst to the expected number of tokens of each expert, by layer,
// then expert. weights are the weights of the topics, tokens the number of tokens
// per layer.
func (p *popularity) expectedLoad(weights []float64, tokens float64, dst []float64) {
	clear(dst)
	for k, shares := range p.topics {
		for i, share := range shares {
			dst[i] += weights[k] * share * tokens
		}
	}
}
