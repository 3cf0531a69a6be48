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
	// holdPause is the time until a group that holds looks again.
	holdPause = time.Millisecond
	// Tokens of a step: each expert handles plainTokens, and the n-th most
	// popular popularTokens/n more.
	plainTokens   = 32
	popularTokens = 512
)

// RankGroupConfig describes a group of stand-in engines in lock-step.
type RankGroupConfig struct {
	// Name is the name of the group.
	Name string
	// Agents are the base URLs where the engines ask for steps, by rank.
	Agents []string
	// Experts is the number of experts of a layer.
	Experts int
	// StepTime is the time of a step; TokenTime is what a token of a layer adds
	// for its rank.
	StepTime, TokenTime time.Duration
}

// RankGroup makes engines of one process the ranks of a group. Its steps are
// listed by GET /standin/steps, and POST /standin/popularity moves the popularity
// of the experts, at each engine.
type RankGroup struct {
	cfg        RankGroupConfig
	group      *Group
	ranks      []*rank
	popularity popularity
	// ownSteps are the ranks' compute times in the last step. Only Run uses them.
	ownSteps []time.Duration
}

// Steps are the steps that a group has run.
type Steps struct {
	// Next is the step that comes next.
	Next uint64 `json:"next"`
	// Held is how often the group held for want of a permit.
	Blocked int `json:"held"`
	// Records are the steps so far, in runs with the same maps.
	Records []StepRecord `json:"records"`
}

// NewRankGroup returns the group of the engines, the first being rank 0.
func NewRankGroup(cfg RankGroupConfig, engines []*Engine) *RankGroup {
	g := &RankGroup{cfg: cfg, popularity: popularity{experts: cfg.Experts}, ownSteps: make([]time.Duration, len(engines))}
	g.group = NewGroup(len(engines), func(rank int, step uint64) (uint64, bool) { return g.ranks[rank].permit(step) }, g.cost)
	g.group.SetStep(0)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: len(engines)}}
	for number, engine := range engines {
		r := &rank{
			number: number, name: cfg.Name, url: cfg.Agents[number], run: engine.cache.run,
			engine: engine, group: g.group, client: client, low: make(chan struct{}, 1),
		}
		g.ranks = append(g.ranks, r)
		engine.ranked.Store(true)
		engine.HandleFunc("GET /experts", r.serveExperts)
		engine.HandleFunc("GET /standin/steps", g.serveSteps)
		engine.HandleFunc("POST /standin/popularity", g.popularity.serve)
	}
	return g
}

// Run lets the group step until ctx ends.
func (g *RankGroup) Run(ctx context.Context) {
	var asking sync.WaitGroup
	defer asking.Wait()
	for _, r := range g.ranks {
		asking.Go(func() { r.askOn(ctx) })
	}
	for ctx.Err() == nil && !g.begin() {
		time.Sleep(holdPause)
	}
	for ctx.Err() == nil {
		took, ran := g.group.Advance()
		if !ran {
			time.Sleep(holdPause)
			continue
		}
		time.Sleep(took)
		for rank, own := range g.ownSteps {
			g.ranks[rank].engine.steps.note(took, own)
		}
	}
}

// begin sets the first step once all ranks know theirs.
func (g *RankGroup) begin() bool {
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

func (g *RankGroup) cost(rank int, _, epoch uint64) time.Duration {
	g.ownSteps[rank] = g.cfg.StepTime + g.ranks[rank].compute(&g.popularity, epoch, g.cfg.TokenTime)
	return g.ownSteps[rank]
}

func (g *RankGroup) serveSteps(w http.ResponseWriter, _ *http.Request) {
	records, held := g.group.Records()
	writeJSON(w, http.StatusOK, Steps{Next: g.group.Step(), Blocked: held, Records: records})
}

// popularity says how many tokens each expert handles in a step.
type popularity struct {
	experts int
	mu      sync.Mutex
	shift   int
}

// Popularity is the body of POST /standin/popularity.
type Popularity struct {
	// Shift is the number of the most popular expert.
	Shift int `json:"shift"`
}

func (p *popularity) serve(w http.ResponseWriter, r *http.Request) {
	var body Popularity
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.shift = body.Shift
}

// count adds the tokens that a rank handles in a layer to the counts of its
// experts and returns their sum. Replicas share an expert's tokens evenly.
func (p *popularity) count(m group.Map, layer, rank int, counts []uint64) (total uint64) {
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
		place := (int(expert) - shift%p.experts + p.experts) % p.experts
		tokens := uint64(plainTokens+popularTokens/(place+1)) / replicas[expert]
		counts[expert] += tokens
		total += tokens
	}
	return total
}
