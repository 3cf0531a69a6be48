package ranks

import (
	"context"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// expertTimeout bounds one reading of what an engine's experts have handled.
const expertTimeout = time.Second

// loads returns what there is to report; the lock is held.
func (r *Ranks) loads() []*agentv1.ExpertLoad {
	var loads []*agentv1.ExpertLoad
	for _, m := range r.machines {
		loads = append(loads, m.experts.Take(m.member.Group, m.member.Rank)...)
	}
	return loads
}

// countExperts begins a reading of all engines for the next report, unless the
// last is too recent; the lock is held.
func (r *Ranks) countExperts() {
	if r.now()-r.counted < r.cfg.ExpertInterval {
		return
	}
	r.counted = r.now()
	for _, m := range r.machines {
		go r.countOne(m)
	}
}

func (r *Ranks) countOne(m *machine) {
	ctx, cancel := context.WithTimeout(r.background, expertTimeout)
	defer cancel()
	read, err := r.cfg.Engines.ReadExperts(ctx, m.member.Endpoint)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m.experts.Record(read)
}
