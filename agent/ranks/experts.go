package ranks

import (
	"context"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// expertTimeout is the time limit for one read of an engine's expert counts.
const expertTimeout = time.Second

// takeExpertLoads returns the expert loads since the last report and starts the next report. The caller
// holds the mutex.
func (r *Ranks) takeExpertLoads() []*agentv1.ExpertLoad {
	var loads []*agentv1.ExpertLoad
	for _, d := range r.drivers {
		loads = append(loads, d.experts.Take(d.member.Group, d.member.Rank)...)
	}
	return loads
}

// startExpertReads starts a read of the expert counts of all engines for the next report, unless the
// last read was less than ExpertInterval ago. The caller holds the mutex.
func (r *Ranks) startExpertReads() {
	if r.now()-r.lastExpertRead < r.cfg.ExpertInterval {
		return
	}
	r.lastExpertRead = r.now()
	for _, d := range r.drivers {
		go r.readExpertCounts(d)
	}
}

func (r *Ranks) readExpertCounts(d *rankDriver) {
	ctx, cancel := context.WithTimeout(r.background, expertTimeout)
	defer cancel()
	read, err := r.cfg.Engines.ReadExperts(ctx, d.member.Endpoint)
	if err != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	d.experts.Record(read)
}
