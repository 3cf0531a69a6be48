package pick

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// Picker chooses endpoints. It is safe for concurrent use, each caller with
// its own random source. It reads the table, the detector, the tracker and the
// index in this order, and holds no two of their locks at once.
type Picker struct {
	config   Config
	table    *endpoint.Table
	loads    *load.Tracker
	index    *prefix.Index
	sampler  sampler
	rotation Rotation
	filters  []Filter
	scorers  []Scorer
	pool     sync.Pool
}

// scratch is the memory of one choice.
type scratch struct {
	query      Query
	candidates []Candidate
	holders    []string
}

// New returns a picker over the shared tables.
func New(cfg Config, table *endpoint.Table, loads *load.Tracker, index *prefix.Index, outliers *outlier.Detector) *Picker {
	cfg = cfg.withDefaults()
	p := &Picker{config: cfg, table: table, loads: loads, index: index}
	p.sampler = sampler{candidates: cfg.Candidates, shard: cfg.ShardSize}
	p.rotation = Rotation{Outliers: outliers}
	p.filters = []Filter{Excluded{}, Capacity{QueueRatio: cfg.QueueRatio}}
	p.scorers = cfg.Scorers
	if p.scorers == nil {
		p.scorers = cfg.scorers(loads)
	}
	p.pool.New = func() any { return &scratch{candidates: make([]Candidate, 0, cfg.Candidates)} }
	return p
}

// Pick chooses the endpoint of a call. The error is a *fault.Error: NotFound
// when the pool, model, version or adapter is unknown, Unavailable when no
// endpoint of it takes work, Overloaded when all candidates are full or none
// can start within the deadline, DeadlineTooShort when none could even if it
// had nothing else to do. RetryAfter says when asking again makes sense. In
// all these cases nothing has been dispatched.
//
// After dispatch the caller notifies the tracker and the index (Sent in both).
func (p *Picker) Pick(now time.Duration, rng *rand.Rand, r *Request) (endpoint.Endpoint, Explain, error) {
	view := p.table.Snapshot()
	key := endpoint.Key{Pool: r.Pool, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	list := view.Serving(key)
	if len(list) == 0 {
		return endpoint.Endpoint{}, Explain{}, noEndpoint(view, key)
	}
	s := p.pool.Get().(*scratch)
	defer p.release(s)
	s.query = Query{Request: r, Now: now, Rand: rng}
	s.holders = p.index.Holders(now, r.Prompt, p.config.PrefixHolders, s.holders)
	p.sampler.sample(s, list, view, key)
	explain := Explain{Considered: len(s.candidates)}
	p.filter(s)
	if len(s.candidates) == 0 {
		if refused := p.widen(s, list); refused != nil {
			return endpoint.Endpoint{}, explain, refused
		}
	}
	explain.Dropped = max(0, explain.Considered-len(s.candidates))
	p.score(s)
	p.choose(s, &explain)
	if refused := late(&s.query, &explain.Chosen); refused != nil {
		return endpoint.Endpoint{}, explain, refused
	}
	return *explain.Chosen.Endpoint, explain, nil
}

// release gives the memory of a choice back.
func (p *Picker) release(s *scratch) {
	clear(s.candidates)
	s.candidates = s.candidates[:0]
	s.holders = s.holders[:0]
	s.query = Query{}
	p.pool.Put(s)
}

// filter keeps the candidates that are in rotation and that all filters keep.
func (p *Picker) filter(s *scratch) {
	kept := 0
	for i := range s.candidates {
		c := &s.candidates[i]
		if !p.rotation.Keep(&s.query, c) {
			continue
		}
		c.Load = p.loads.Estimate(s.query.Now, c.Endpoint.ID)
		if p.keep(&s.query, c) {
			s.candidates[kept] = *c
			kept++
		}
	}
	s.candidates = s.candidates[:kept]
}

// keep reports whether all filters keep the candidate.
func (p *Picker) keep(q *Query, c *Candidate) bool {
	for _, f := range p.filters {
		if !f.Keep(q, c) {
			return false
		}
	}
	return true
}

// widen looks at the whole list when no sampled candidate is left: first as
// before, then at ejected endpoints too, as a slow endpoint beats none.
func (p *Picker) widen(s *scratch, list []*endpoint.Endpoint) error {
	start := s.query.Rand.IntN(len(list))
	var ejected *endpoint.Endpoint
	untried := 0
	soonest := maxRetryAfter
	for i := range list {
		c := Candidate{Endpoint: list[(start+i)%len(list)]}
		if !(Excluded{}).Keep(&s.query, &c) {
			continue
		}
		untried++
		c.Load = p.loads.Estimate(s.query.Now, c.Endpoint.ID)
		soonest = min(soonest, c.Load.Wait)
		if !p.keep(&s.query, &c) {
			continue
		}
		if !p.rotation.Keep(&s.query, &c) {
			ejected = c.Endpoint
			continue
		}
		s.candidates = append(s.candidates, c)
		if len(s.candidates) == p.sampler.candidates {
			return nil
		}
	}
	switch {
	case len(s.candidates) > 0:
		return nil
	case ejected != nil:
		s.candidates = append(s.candidates, Candidate{Endpoint: ejected, Load: p.loads.Estimate(s.query.Now, ejected.ID)})
		return nil
	case untried == 0:
		return allTried(len(list))
	}
	return allFull(untried, soonest)
}

// score fills in the candidates' costs.
func (p *Picker) score(s *scratch) {
	q := &s.query
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Matched = p.index.Match(q.Now, c.Endpoint.ID, q.Prompt)
		if c.Matched > q.BestMatch {
			q.BestMatch, q.BestHolder = c.Matched, c
		}
	}
	for i := range s.candidates {
		c := &s.candidates[i]
		for _, scorer := range p.scorers {
			cost := scorer.Cost(q, c)
			c.Cost += cost
			if scorer.Phase() == BeforeFirstToken {
				c.FirstToken += cost
			}
		}
	}
}

// choose takes the cheapest candidate and the next one; equal costs leave the
// one that was sampled first.
func (p *Picker) choose(s *scratch, explain *Explain) {
	best, next := -1, -1
	for i := range s.candidates {
		switch {
		case best < 0 || s.candidates[i].Cost < s.candidates[best].Cost:
			best, next = i, best
		case next < 0 || s.candidates[i].Cost < s.candidates[next].Cost:
			next = i
		}
	}
	explain.Chosen = s.candidates[best]
	if next >= 0 {
		explain.RunnerUp = s.candidates[next]
	}
	q := &s.query
	if p.config.Import != nil && q.BestHolder != nil && p.config.Import.worthwhile(q, &explain.Chosen) {
		explain.ImportFrom = q.BestHolder.Endpoint.ID
		explain.ImportBlocks = q.BestMatch
	}
}

// add appends a candidate.
func (s *scratch) add(e *endpoint.Endpoint) *Candidate {
	s.candidates = append(s.candidates, Candidate{Endpoint: e})
	return &s.candidates[len(s.candidates)-1]
}

// addNew returns the candidate of the endpoint, appended unless it is one.
func (s *scratch) addNew(e *endpoint.Endpoint) *Candidate {
	for i := range s.candidates {
		if s.candidates[i].Endpoint == e {
			return &s.candidates[i]
		}
	}
	return s.add(e)
}
