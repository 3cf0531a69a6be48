package picking

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// Parameters of the engine model. The compute time of a rank in a step is stepBase,
// plus stepPerRequest for each running request, plus stepPerToken for each prompt
// token; a step of a group takes as long as its slowest rank.
const (
	stepBase       = 4500 * time.Microsecond
	stepPerRequest = 100 * time.Microsecond
	stepPerToken   = 30 * time.Microsecond
	// maxChunkTokens is the maximum number of prompt tokens that a rank computes in a
	// step.
	maxChunkTokens = 256
	// engineSlots is the maximum number of requests that a rank runs concurrently.
	engineSlots = 32
	// residentAdapters is the number of adapters in an engine's memory, and
	// adapterLoadTime the time to load another one.
	residentAdapters = 2
	adapterLoadTime  = 200 * time.Millisecond
)

// rankGroup is a group of ranks whose steps are synchronized. A stand-alone engine is
// a group of one.
type rankGroup struct {
	sim      *sim
	ranks    []*rank
	stepping bool
}

// rank is the engine of one rank.
type rank struct {
	record endpoint.Endpoint
	group  *rankGroup
	cache  *blockCache
	// slowdown is the factor applied to the rank's compute time.
	slowdown float64
	// reportsIdle makes the rank report that it has no load.
	reportsIdle bool

	waiting  []*call
	prefills []*call
	running  []*call
	adapters []string

	// chunkSize is the number of prompt tokens in the current step.
	chunkSize int
	// Moving averages over recent steps, as reported by the rank.
	stepTime, ownStep time.Duration
	prefillRate       float64
	eventSeq          uint64
	windowArrivals    int
}

// call is one call at a rank.
type call struct {
	*arrival
	entry   *entry
	attempt *attempt
	// readyAt is the time when the call's adapter is loaded.
	readyAt time.Duration
	// prefillLeft is the number of prompt tokens still to compute, tokensLeft the
	// number of tokens still to generate.
	prefillLeft, tokensLeft int
	cachedBlocks            int
	importedBlocks          int
}

// accept queues a call and starts to load its adapter.
func (r *rank) accept(c *call) {
	r.windowArrivals++
	c.tokensLeft = max(c.answerTokens, 1)
	c.readyAt = r.group.sim.clock.now + r.loadAdapter(c.adapter)
	r.waiting = append(r.waiting, c)
	if wait := c.readyAt - r.group.sim.clock.now; wait > 0 {
		r.group.sim.clock.after(wait, r.group.startStepIfIdle)
	}
	r.group.startStepIfIdle()
}

// loadAdapter makes the adapter resident, evicts the least recently used one if
// necessary, and returns the time that the loading takes.
func (r *rank) loadAdapter(name string) time.Duration {
	if name == "" {
		return 0
	}
	for i, resident := range r.adapters {
		if resident == name {
			r.adapters = append(append(r.adapters[:i], r.adapters[i+1:]...), name)
			return 0
		}
	}
	r.adapters = append(r.adapters, name)
	if len(r.adapters) > residentAdapters {
		r.adapters = r.adapters[1:]
	}
	return adapterLoadTime
}

// startStepIfIdle starts a step if there is work and no step is in progress.
func (g *rankGroup) startStepIfIdle() {
	if g.stepping || !g.admit() {
		return
	}
	g.stepping = true
	length := time.Duration(0)
	for _, r := range g.ranks {
		computeTime := r.planStep()
		length = max(length, computeTime)
	}
	for _, r := range g.ranks {
		r.updateMeans(length)
	}
	g.sim.clock.after(length, func() { g.finishStep(length) })
}

// admit moves waiting calls into free slots and reports whether there is work.
func (g *rankGroup) admit() bool {
	busy := false
	for _, r := range g.ranks {
		kept := r.waiting[:0]
		for _, c := range r.waiting {
			if len(r.running)+len(r.prefills) >= engineSlots || c.readyAt > g.sim.clock.now {
				kept = append(kept, c)
				continue
			}
			c.cachedBlocks = max(r.cache.matchPrefix(c.prompt), c.importedBlocks)
			c.prefillLeft = max(c.promptTokens-c.cachedBlocks*blockTokens, 1)
			r.prefills = append(r.prefills, c)
		}
		r.waiting = kept
		busy = busy || len(r.prefills)+len(r.running) > 0
	}
	return busy
}

// planStep allocates the prompt tokens of the step to the calls in prefill and
// returns the compute time of the rank.
func (r *rank) planStep() time.Duration {
	budget := maxChunkTokens
	for _, c := range r.prefills {
		tokens := min(budget, c.prefillLeft)
		c.prefillLeft -= tokens
		budget -= tokens
	}
	r.chunkSize = maxChunkTokens - budget
	computeTime := stepBase + time.Duration(len(r.running))*stepPerRequest + time.Duration(r.chunkSize)*stepPerToken
	computeTime = time.Duration(float64(computeTime) * r.slowdown)
	r.ownStep += (computeTime - r.ownStep) / 16
	return computeTime
}

// updateMeans updates the moving averages that the rank reports. The prefill rate is
// only measured in steps with a full chunk.
func (r *rank) updateMeans(length time.Duration) {
	r.stepTime += (length - r.stepTime) / 16
	if r.chunkSize < maxChunkTokens {
		return
	}
	rate := float64(r.chunkSize) / length.Seconds()
	r.prefillRate += (rate - r.prefillRate) / 16
}

// finishStep ends a step: each running call gets a token, and each call whose prompt
// is computed gets its first token.
func (g *rankGroup) finishStep(length time.Duration) {
	g.sim.metrics.recordStep(g, length)
	for _, r := range g.ranks {
		r.decode()
		r.startDecoding()
	}
	g.stepping = false
	g.startStepIfIdle()
}

// decode generates one token for each running call.
func (r *rank) decode() {
	kept := r.running[:0]
	for _, c := range r.running {
		c.tokensLeft--
		if c.tokensLeft > 0 {
			kept = append(kept, c)
			continue
		}
		r.cache.insert(c.fullSequence)
		c.entry.onFinished(c)
	}
	r.running = kept
}

// startDecoding generates the first token of each call whose prompt is computed and
// moves it to the running calls.
func (r *rank) startDecoding() {
	kept := r.prefills[:0]
	for _, c := range r.prefills {
		if c.prefillLeft > 0 {
			kept = append(kept, c)
			continue
		}
		r.cache.insert(c.prompt)
		r.group.sim.metrics.recordFirstToken(c, r.group.sim.clock.now)
		c.entry.onFirstToken(c)
		c.tokensLeft--
		if c.tokensLeft > 0 {
			r.running = append(r.running, c)
			continue
		}
		c.entry.onFinished(c)
	}
	r.prefills = kept
}
