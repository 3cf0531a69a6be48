package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/group"
)

const (
	// blockedRetryInterval is the delay before a group that could not step tries again.
	blockedRetryInterval = time.Millisecond
	// Tokens of a step: each expert handles baseTokens, and the n-th most popular expert an
	// additional topExpertTokens/n.
	baseTokens      = 32
	topExpertTokens = 512
)

// RankGroupConfig configures a group of stand-in engines that run in lockstep.
type RankGroupConfig struct {
	Name string
	// Agents are the base URLs at which the engines request steps, by rank.
	Agents []string
	// Experts is the number of experts per layer.
	Experts int
	// StepTime is the base time of a step. TokenTime is the time that each token of a layer
	// adds on its rank.
	StepTime, TokenTime time.Duration
}

// RankGroup makes the engines of one process the ranks of a group. At each engine, GET
// /standin/steps lists the group's steps and POST /standin/popularity changes the popularity of
// the experts.
type RankGroup struct {
	cfg        RankGroupConfig
	group      *Group
	ranks      []*rank
	popularity expertPopularity
	// ownSteps holds the ranks' compute times in the last step. Only Run accesses it.
	ownSteps []time.Duration
}

// Steps is the record of the steps that a group has run.
type Steps struct {
	// Next is the next step.
	Next uint64 `json:"next"`
	// Blocked counts the attempts to step that failed because a rank had no permit.
	Blocked int `json:"held"`
	// Records are the steps so far, grouped into runs with the same maps.
	Records []StepRecord `json:"records"`
}

// NewRankGroup returns a group of the engines; engines[0] is rank 0.
func NewRankGroup(cfg RankGroupConfig, engines []*Engine) *RankGroup {
	g := &RankGroup{cfg: cfg, popularity: expertPopularity{experts: cfg.Experts}, ownSteps: make([]time.Duration, len(engines))}
	g.group = NewGroup(len(engines), func(rank int, step uint64) (uint64, bool) { return g.ranks[rank].permit(step) }, g.rankStepTime)
	g.group.SetStep(0)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(engines)}}
	for number, engine := range engines {
		r := &rank{
			number: number, groupName: cfg.Name, url: cfg.Agents[number], run: engine.cache.run,
			engine: engine, group: g.group, client: client, grantsLow: make(chan struct{}, 1),
		}
		g.ranks = append(g.ranks, r)
		engine.inRankGroup.Store(true)
		engine.HandleFunc("GET /experts", r.serveExperts)
		engine.HandleFunc("GET /standin/steps", g.serveSteps)
		engine.HandleFunc("POST /standin/popularity", g.popularity.serve)
	}
	return g
}

// Run advances the group until ctx ends.
func (g *RankGroup) Run(ctx context.Context) {
	var requesters sync.WaitGroup
	defer requesters.Wait()
	for _, r := range g.ranks {
		requesters.Go(func() { r.requestSteps(ctx) })
	}
	for ctx.Err() == nil && !g.setFirstStep() {
		time.Sleep(blockedRetryInterval)
	}
	for ctx.Err() == nil {
		elapsed, ran := g.group.Advance()
		if !ran {
			time.Sleep(blockedRetryInterval)
			continue
		}
		time.Sleep(elapsed)
		for rank, own := range g.ownSteps {
			g.ranks[rank].engine.steps.record(elapsed, own)
		}
	}
}

// setFirstStep sets the first step once all ranks know theirs. It returns false until then.
func (g *RankGroup) setFirstStep() bool {
	var first uint64
	for _, r := range g.ranks {
		step := r.firstStep()
		if step == 0 {
			return false
		}
		first = max(first, step)
	}
	g.group.SetStep(first)
	return true
}

func (g *RankGroup) rankStepTime(rank int, _, epoch uint64) time.Duration {
	g.ownSteps[rank] = g.cfg.StepTime + g.ranks[rank].compute(&g.popularity, epoch, g.cfg.TokenTime)
	return g.ownSteps[rank]
}

func (g *RankGroup) serveSteps(w http.ResponseWriter, _ *http.Request) {
	records, blocked := g.group.Records()
	writeJSON(w, http.StatusOK, Steps{Next: g.group.Step(), Blocked: blocked, Records: records})
}

// expertPopularity determines how many tokens each expert handles in a step.
type expertPopularity struct {
	experts int
	mu      sync.Mutex
	shift   int
}

// Popularity is the body of POST /standin/popularity.
type Popularity struct {
	// Shift is the index of the most popular expert.
	Shift int `json:"shift"`
}

func (p *expertPopularity) serve(w http.ResponseWriter, r *http.Request) {
	var body Popularity
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shift = body.Shift
}

// count adds the tokens that a rank handles in a layer to the counts of its experts and returns
// their sum. The tokens of an expert are divided evenly among its replicas.
func (p *expertPopularity) count(m group.Map, layer, rank int, counts []uint64) (total uint64) {
	p.mu.Lock()
	shift := p.shift
	p.mu.Unlock()
	replicas := make([]uint64, p.experts)
	for _, expert := range m.Layer(layer) {
		if int(expert) < p.experts {
			replicas[expert]++
		}
	}
	for _, expert := range m.Rank(layer, rank) {
		if int(expert) >= p.experts {
			continue
		}
		position := (int(expert) - shift%p.experts + p.experts) % p.experts
		tokens := uint64(baseTokens+topExpertTokens/(position+1)) / replicas[expert]
		counts[expert] += tokens
		total += tokens
	}
	return total
}
