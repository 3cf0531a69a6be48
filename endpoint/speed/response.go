package speed

import (
	"math"
	"slices"
	"time"
)

const (
	// responseHalfLife is the age at which the weight of a response in the mean has halved.
	responseHalfLife = time.Second
	// minResponses is the number of responses within responseWindow that an endpoint needs to be
	// judged. Each endpoint of a pool counts for the median only if it has as many.
	minResponses   = 8
	responseWindow = 2 * time.Second
	// maxResponseRatio is the multiple of the median at which a response time is clipped, so that a
	// single one does not determine the mean.
	maxResponseRatio = 4
	// minMeasuredSlowdown is the slowdown from which measured endpoints count as slow. With 8
	// responses whose times vary as much as their mean, the mean of a nominal endpoint deviates by
	// a third in one standard deviation, so that the limit for reported slowdowns would be
	// exceeded all the time.
	minMeasuredSlowdown = 2
)

// responsePool contains the response times of the endpoints of one pool.
type responsePool struct {
	endpoints map[string]*responses
	// median is the median of the means at the last evaluation; zero if there is none.
	median float64
}

// responses are the response times of one endpoint.
type responses struct {
	// weight and sum are the weights and the weighted response times, in seconds, at the time at.
	weight, sum float64
	at          time.Duration
	// recent are the times of the latest responses; next is the index of the oldest.
	recent [minResponses]time.Duration
	next   int
	count  int
}

// Observe records the response time of an endpoint of a pool. It is for endpoints whose response
// times are comparable with those of the others and do not depend on them: not for the ranks of
// lock-step groups.
func (t *Tracker) Observe(now time.Duration, pool, id string, took time.Duration) {
	if t == nil || took <= 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.pools[pool]
	if p == nil {
		p = &responsePool{endpoints: map[string]*responses{}}
		t.pools[pool] = p
	}
	r := p.endpoints[id]
	if r == nil {
		r = &responses{at: now}
		p.endpoints[id] = r
	}
	seconds := took.Seconds()
	if p.median > 0 {
		seconds = min(seconds, maxResponseRatio*p.median)
	}
	r.add(now, seconds)
}

// add adds a response time in seconds.
func (r *responses) add(now time.Duration, seconds float64) {
	if now > r.at {
		decay := math.Exp2(-float64(now-r.at) / float64(responseHalfLife))
		r.weight, r.sum, r.at = r.weight*decay, r.sum*decay, now
	}
	r.weight++
	r.sum += seconds
	r.recent[r.next] = now
	r.next = (r.next + 1) % minResponses
	r.count = min(r.count+1, minResponses)
}

// judged reports whether the endpoint has had enough responses recently.
func (r *responses) judged(now time.Duration) bool {
	return r.count == minResponses && now-r.recent[r.next] <= responseWindow
}

// Evaluate judges the endpoints that report no slowdown by their response times, compared with the
// median of their pool. sizes is the number of endpoints of each pool; pools that it does not contain
// are discarded. It is called every few tenths of a second.
func (t *Tracker) Evaluate(now time.Duration, sizes map[string]int) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for pool, p := range t.pools {
		if sizes[pool] == 0 {
			for id := range p.endpoints {
				t.setMeasured(now, id, Nominal)
			}
			delete(t.pools, pool)
			continue
		}
		t.evaluatePool(now, p, sizes[pool])
	}
}

// evaluatePool judges the endpoints of a pool of the given size. The caller must hold the lock.
func (t *Tracker) evaluatePool(now time.Duration, p *responsePool, size int) {
	var means []float64
	for _, r := range p.endpoints {
		if r.judged(now) {
			means = append(means, r.sum/r.weight)
		}
	}
	p.median = 0
	if 2*len(means) >= size {
		slices.Sort(means)
		p.median = means[(len(means)-1)/2]
	}
	for id, r := range p.endpoints {
		slowdown := Nominal
		if p.median > 0 && r.judged(now) {
			slowdown = r.sum / r.weight / p.median
		}
		if slowdown < minMeasuredSlowdown {
			slowdown = Nominal
		}
		t.setMeasured(now, id, slowdown)
	}
}

// setMeasured records a measured slowdown unless the endpoint reports its own. The caller must hold
// the lock.
func (t *Tracker) setMeasured(now time.Duration, id string, slowdown float64) {
	if at, reports := t.reportedAt[id]; reports && now-at <= reportTTL {
		return
	}
	t.set(now, id, slowdown)
}
