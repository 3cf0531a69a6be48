package expertmap

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

const (
	// idleInterval and switchInterval are the intervals between two calls to all agents of a
	// group, while it is idle and during a switch.
	idleInterval   = time.Second
	switchInterval = 50 * time.Millisecond
	// callBudget bounds the rate of the leader's calls to the agents of all idle groups, per
	// second. In branches of eight it suffices to poll 300 ranks every 150 ms; 2,500 ranks are
	// polled every 1.25 s.
	callBudget = 250
)

// maxRanksPerPoll is the approximate number of ranks that one poll asks for counts: all ranks
// of a group up to this size, and a part of a larger group in turn. All ranks serve the same
// mixture of requests, so within 150 ms 48 of 192 ranks yield an expert's share of the demand
// to within 5%. The counts of all ranks would fill a third of their relays' links and delay the
// orders of a switch.
const maxRanksPerPoll = 48

// poll calls the agents of a group periodically, even if there are no messages for them: only
// the answers tell which ranks are waiting and what they have counted.
func (d *Driver) poll(g *groupState, shape group.Shape, out *outbox) {
	phase := g.coordinator.Phase()
	pollSwitch := d.needsSwitchPoll(phase) && d.now()-g.lastPoll >= switchInterval
	pollDemand := d.now()-g.lastDemandPoll.at >= d.pollInterval(g.name) && phase != mapswitch.PhasePromising && phase != mapswitch.PhaseDeciding
	if !pollSwitch && !pollDemand {
		return
	}
	g.lastPoll = d.now()
	if pollDemand {
		g.lastDemandPoll = demandPoll{at: d.now(), number: g.lastDemandPoll.number + 1}
	}
	for rank := range shape.Ranks {
		id := rankID{g.name, rank}
		out.request(id)
		if pollDemand {
			out.pollDemand(id, g.lastDemandPoll.includes(rank, shape.Ranks))
		}
	}
}

// needsSwitchPoll reports whether agents must be called in a phase even if there are no
// messages for them: a rank reports in an answer that it is waiting at the step of a switch.
// Agents that hold a call until they have an answer need this only while promises are
// collected; in other phases the held call would delay the next message.
func (d *Driver) needsSwitchPoll(phase mapswitch.Phase) bool {
	if d.cfg.BranchSize == 0 {
		return phase != mapswitch.PhaseIdle
	}
	return phase == mapswitch.PhasePromising
}

// demandPoll is one poll of the demand of a group.
type demandPoll struct {
	at     time.Duration
	number int
}

// includes reports whether the poll asks a rank for its counts. Adjacent ranks are asked in
// different polls.
func (p demandPoll) includes(rank, ranks int) bool {
	rounds := pollRounds(ranks)
	return rank%rounds == p.number%rounds
}

// pollRounds is the number of polls in which every rank is asked once.
func pollRounds(ranks int) int { return (ranks + maxRanksPerPoll - 1) / maxRanksPerPoll }

// pollInterval is the interval between two calls to all agents of an idle group. It grows with
// the number of ranks, so that the leader's calls stay within callBudget.
func (d *Driver) pollInterval(name string) time.Duration {
	interval, calls := idleInterval, len(d.ranks)/max(d.cfg.BranchSize, 1)
	if d.cfg.ObserveInterval != nil {
		requested := d.cfg.ObserveInterval(name)
		if d.cfg.BranchSize == 0 {
			requested /= 2
		}
		if requested > 0 {
			interval = min(interval, requested)
		}
	}
	return max(interval, time.Duration(calls)*time.Second/callBudget)
}
