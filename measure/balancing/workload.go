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
var files embed.FS

// fileNames is the order of the report.
var fileNames = []string{"drift", "waves", "flash", "slow", "noise", "adversary"}

// Workload says how the popularity of the experts changes.
type Workload struct {
	// Name heads the section of the workload in the report.
	Name string `json:"name"`
	// About describes it to readers of the file.
	About string `json:"about"`
	// Minutes is the length of the run.
	Minutes float64 `json:"minutes"`
	// Topics are kinds of requests; each has popular experts of its own.
	Topics []string `json:"topics"`
	// Mix gives the weight of each topic at points in time, linear in between.
	Mix []MixPoint `json:"mix"`
	// SlowRank makes one rank slow for a while.
	SlowRank *SlowRank `json:"slowRank"`
	// MovesAfterSwitch makes other experts popular in every topic after a switch.
	ShiftsAfterSwitch bool `json:"movesAfterSwitch"`
}

// MixPoint is the mix of topics at a time.
type MixPoint struct {
	// Minute is the time since the start of the run.
	Minute float64 `json:"minute"`
	// Weights are by topic; they need not sum to one.
	Weights []float64 `json:"weights"`
}

// SlowRank is a rank that takes Factor times as long for a while.
type SlowRank struct {
	// Rank is the number of the rank.
	Rank int `json:"rank"`
	// FromMinute and ToMinute bound the time in which it is slow.
	FromMinute float64 `json:"fromMinute"`
	ToMinute   float64 `json:"toMinute"`
	// Factor multiplies the time of its tokens.
	Factor float64 `json:"factor"`
}

// Workloads reads the workloads of this package.
func Workloads() ([]Workload, error) {
	var all []Workload
	for _, name := range fileNames {
		content, err := files.ReadFile("workloads/" + name + ".yaml")
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

// weights returns the mix at a time in minutes, summing to one.
func (w Workload) weights(minute float64) []float64 {
	out := make([]float64, len(w.Topics))
	i := 0
	for i+2 < len(w.Mix) && w.Mix[i+1].Minute <= minute {
		i++
	}
	from, to := w.Mix[i], w.Mix[i+1]
	part := min(1, max(0, (minute-from.Minute)/(to.Minute-from.Minute)))
	var sum float64
	for k := range out {
		out[k] = from.Weights[k]*(1-part) + to.Weights[k]*part
		sum += out[k]
	}
	for k := range out {
		out[k] /= sum
	}
	return out
}

// spread is the standard deviation of the logarithm of an expert's popularity
// within a topic.
const spread = 0.9

// popularity holds the popularity of experts within each topic.
type popularity struct {
	shape  group.Shape
	topics [][]float64 // by topic; shares by layer, then expert
}

// newPopularity draws the popularity of every topic from its name, so that it does
// not depend on the other topics. In another phase other experts are popular.
func newPopularity(w Workload, shape group.Shape, phase int) *popularity {
	c := &popularity{shape: shape}
	for _, topic := range w.Topics {
		hash := fnv.New64a()
		_, _ = hash.Write([]byte(topic))
		rng := rand.New(rand.NewPCG(hash.Sum64(), uint64(phase)))
		shares := make([]float64, shape.Layers*shape.Experts)
		for n := range shape.Layers {
			drawShares(rng, shares[n*shape.Experts:(n+1)*shape.Experts])
		}
		c.topics = append(c.topics, shares)
	}
	return c
}

func drawShares(rng *rand.Rand, shares []float64) {
	var sum float64
	for e := range shares {
		shares[e] = math.Exp(spread * rng.NormFloat64())
		sum += shares[e]
	}
	for e := range shares {
		shares[e] /= sum
	}
}

// load writes the expected tokens of every expert for a mix of topics.
func (c *popularity) load(weights []float64, tokens float64, into []float64) {
	clear(into)
	for k, shares := range c.topics {
		for i, share := range shares {
			into[i] += weights[k] * share * tokens
		}
	}
}
