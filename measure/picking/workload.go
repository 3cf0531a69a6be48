package picking

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// blockTokens is the number of tokens in a block of a prompt.
const blockTokens = 64

// workload describes the calls that arrive.
type workload struct {
	// callsPerSecond is the mean arrival rate, duration the time for which calls
	// arrive.
	callsPerSecond float64
	duration       time.Duration
	// workspaces is the number of workspaces; their shares of the calls follow a
	// Zipf distribution with zipfExponent.
	workspaces   int
	zipfExponent float64
	// maxSystemBlocks is the maximum length of the prefix that the prompts of a
	// workspace share, in blocks.
	maxSystemBlocks int
	// meanTurns is the mean number of turns of a conversation, meanThinkTime the
	// mean time between them.
	meanTurns     float64
	meanThinkTime time.Duration
	// adapters is the number of adapters; every adapterEvery-th workspace uses one.
	adapters, adapterEvery int
}

// arrival is one call of the workload.
type arrival struct {
	at        time.Duration
	workspace string
	adapter   string
	prompt    []uint64
	// fullSequence is the prompt and the answer, with which the prompt of the next
	// turn begins.
	fullSequence []uint64
	promptTokens int
	answerTokens int
}

// generateArrivals returns the calls of the workload in order of arrival.
func (w workload) generateArrivals(seed uint64) []*arrival {
	rng := rand.New(rand.NewPCG(seed, 0x77))
	shares := w.cumulativeShares()
	var all []*arrival
	meanInterval := w.meanTurns / w.callsPerSecond
	// Conversations also begin before time zero, so that the rate is constant from
	// the start; their earlier calls are left out.
	leadTime := 2 * time.Duration(w.meanTurns*float64(w.meanThinkTime))
	conversation := uint64(0)
	for at := -leadTime; at < w.duration; at += seconds(rng.ExpFloat64() * meanInterval) {
		conversation++
		workspace := sampleIndex(rng, shares)
		all = w.appendConversation(all, rng, at, workspace, conversation)
	}
	slices.SortStableFunc(all, func(a, b *arrival) int { return int(a.at - b.at) })
	return all
}

// appendConversation appends the calls of one conversation to all.
func (w workload) appendConversation(all []*arrival, rng *rand.Rand, at time.Duration, workspace int, conversation uint64) []*arrival {
	var chain []uint64
	last := uint64(workspace) + 1
	extend := func(n int, content uint64) {
		for range n {
			last = mixBits(last*31 + content)
			chain = append(chain, last)
		}
	}
	extend(4+(workspace*7)%max(w.maxSystemBlocks-3, 1), 0)
	for turn := 0; ; turn++ {
		extend(2+rng.IntN(12), conversation)
		prompt := len(chain)
		answer := 40 + int(rng.ExpFloat64()*110)
		extend(answer/blockTokens, conversation)
		if at >= 0 && at < w.duration {
			all = append(all, &arrival{
				at: at, workspace: fmt.Sprintf("workspace-%d", workspace), adapter: w.adapterFor(workspace),
				prompt: chain[:prompt:prompt], fullSequence: chain[:len(chain):len(chain)],
				promptTokens: prompt * blockTokens, answerTokens: answer,
			})
		}
		if rng.Float64() < 1/w.meanTurns {
			return all
		}
		at += w.meanThinkTime/4 + seconds(rng.ExpFloat64()*0.75*w.meanThinkTime.Seconds())
	}
}

// adapterFor returns the adapter that the workspace's calls use; empty if none.
func (w workload) adapterFor(workspace int) string {
	if w.adapters == 0 || workspace%w.adapterEvery != 0 {
		return ""
	}
	return adapterName(workspace / w.adapterEvery % w.adapters)
}

func adapterName(i int) string { return fmt.Sprintf("adapter-%d", i) }

// cumulativeShares returns the cumulative distribution of calls over workspaces.
func (w workload) cumulativeShares() []float64 {
	shares := make([]float64, w.workspaces)
	sum := 0.0
	for i := range shares {
		sum += math.Pow(float64(i+1), -w.zipfExponent)
		shares[i] = sum
	}
	for i := range shares {
		shares[i] /= sum
	}
	return shares
}

// sampleIndex draws an index from a cumulative distribution.
func sampleIndex(rng *rand.Rand, cumulative []float64) int {
	index, _ := slices.BinarySearch(cumulative, rng.Float64())
	return min(index, len(cumulative)-1)
}

// mixBits is an integer hash function that spreads its input over all bits.
func mixBits(v uint64) uint64 {
	v ^= v >> 31
	v *= 0x7fb5d329728ea185
	v ^= v >> 27
	v *= 0x81dadef4bc2dd44d
	return v ^ v>>33
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
