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

// Picker selects endpoints. It is safe for concurrent use if each caller has its
// own random source. It reads the table, the detector, the tracker and the index,
// and never holds two of their locks at the same time.
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

// scratch is the reusable memory of one selection.
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
		p.scorers = cfg.defaultScorers(loads)
	}
	p.pool.New = func() any { return &scratch{candidates: make([]Candidate, 0, cfg.Candidates)} }
	return p
}

// Pick selects the endpoint for a call. The error is a *fault.Error: NotFound
// if the pool, model, version or adapter is unknown, Unavailable if none of its
// endpoints accepts calls, Overloaded if all endpoints are full or the best one
// would miss the deadline, DeadlineTooShort if it would miss the deadline even
// when idle. RetryAfter is the time after which a retry may succeed. In all
// these cases nothing has been dispatched.
//
// After dispatch the caller notifies the tracker and the index (Sent in both).
func (p *Picker) Pick(now time.Duration, rng *rand.Rand, r *Request) (endpoint.Endpoint, Explain, error) {
	view := p.table.Snapshot()
	key := endpoint.Key{Pool: r.Pool, Model: r.Model, Version: r.Version, Adapter: r.Adapter}
	list := view.Serving(key)
	if len(list) == 0 {
		return endpoint.Endpoint{}, Explain{}, errNoEndpoint(view, key)
	}
	s := p.pool.Get().(*scratch)
	defer p.release(s)
	s.query = Query{Request: r, Now: now, Rand: rng}
	s.holders = p.index.Holders(now, r.Prompt, p.config.PrefixHolders, s.holders)
	p.sampler.sample(s, list, view, key)
	explain := Explain{Considered: len(s.candidates)}
	p.filter(s)
	if len(s.candidates) == 0 {
		if refused := p.scanAll(s, list); refused != nil {
			return endpoint.Endpoint{}, explain, refused
		}
	}
	if p.config.Speeds.Any(now) {
		p.preferFast(s, list, view)
	}
	explain.Dropped = max(0, explain.Considered-len(s.candidates))
	p.score(s)
	p.choose(s, &explain)
	if refused := checkDeadline(&s.query, &explain.Chosen); refused != nil {
		return endpoint.Endpoint{}, explain, refused
	}
	return *explain.Chosen.Endpoint, explain, nil
}

// release clears the memory of a selection and returns it to the pool.
func (p *Picker) release(s *scratch) {
	clear(s.candidates)
	s.candidates = s.candidates[:0]
	s.holders = s.holders[:0]
	s.query = Query{}
	p.pool.Put(s)
}

// filter removes the candidates that are out of rotation or that a filter drops.
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

// scanAll scans the whole list when no sampled candidate is left. It applies the
// same filters, but falls back to an ejected endpoint if there is no other: a slow
// endpoint is better than none.
func (p *Picker) scanAll(s *scratch, list []*endpoint.Endpoint) error {
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
		return errAllTried(len(list))
	}
	return errAllFull(untried, soonest)
}

// score computes the candidates' costs.
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

// choose selects the candidate with the lowest cost and the runner-up. Of equal
// costs, the candidate that was sampled first wins.
func (p *Picker) choose(s *scratch, explain *Explain) {
	best, second := -1, -1
	for i := range s.candidates {
		switch {
		case best < 0 || s.candidates[i].Cost < s.candidates[best].Cost:
			best, second = i, best
		case second < 0 || s.candidates[i].Cost < s.candidates[second].Cost:
			second = i
		}
	}
	explain.Chosen = s.candidates[best]
	if second >= 0 {
		explain.RunnerUp = s.candidates[second]
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

// addUnique returns the candidate for the endpoint, appending it if necessary.
func (s *scratch) addUnique(e *endpoint.Endpoint) *Candidate {
	for i := range s.candidates {
		if s.candidates[i].Endpoint == e {
			return &s.candidates[i]
		}
	}
	return s.add(e)
}
