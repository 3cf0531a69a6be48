package expertmap

import (
	"time"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
)

const (
	// restInterval and switchInterval are the times between two calls to all
	// agents of a group, at rest and during a switch.
	restInterval   = time.Second
	switchInterval = 50 * time.Millisecond
	// callBudget is how many calls a second the leader makes to the agents of all
	// groups at rest. In branches of eight that is enough to ask 300 ranks each 150 ms;
	// 2,500 are asked each 1.25 s.
	callBudget = 250
)

// lookRanks is how many ranks are asked for their counts in one look, about: all of a group of
// so many, and a part of a larger one, in turn. All serve the same mixture of requests: 48
// ranks of 192 tell the part of an expert to 5 in 100 in 150 ms, while the counts of all would
// fill a third of the links of their relays, and hold up the orders of a switch.
const lookRanks = 48

// poll calls the agents of a group now and then, also those that have nothing to
// hear: a rank that waits, and what ranks have counted, is only heard in an
// answer.
func (d *Driver) poll(g *groupState, shape group.Shape, out *outbox) {
	phase := g.coordinator.Phase()
	waits := d.waits(phase) && d.now()-g.polled >= switchInterval
	looks := d.now()-g.looked.at >= d.pollInterval(g.name) && phase != mapswitch.PhasePromising && phase != mapswitch.PhaseDeciding
	if !waits && !looks {
		return
	}
	g.polled = d.now()
	if looks {
		g.looked = look{at: d.now(), number: g.looked.number + 1}
	}
	for rank := range shape.Ranks {
		name := rankName{g.name, rank}
		out.request(name)
		if looks && g.looked.asks(rank, shape.Ranks) {
			out.count(name)
		}
	}
}

// waits reports whether agents have to be called in a phase though there is nothing to ask of
// them: a rank that waits at the step of a switch says so in an answer. Where agents keep a
// call until they have an answer, that is of use only while promises are collected, and
// hinders what comes next otherwise.
func (d *Driver) waits(phase mapswitch.Phase) bool {
	if d.cfg.BranchSize == 0 {
		return phase != mapswitch.PhaseIdle
	}
	return phase == mapswitch.PhasePromising
}

// look is one look at the demand of a group.
type look struct {
	at     time.Duration
	number int
}

// asks reports whether a look asks a rank for its counts. Ranks next to each other are
// asked in different looks.
func (l look) asks(rank, ranks int) bool {
	parts := lookParts(ranks)
	return rank%parts == l.number%parts
}

// lookParts is the number of looks in which all ranks are asked once.
func lookParts(ranks int) int { return (ranks + lookRanks - 1) / lookRanks }

// pollInterval is the time between two calls to all agents of a group at rest. With
// many ranks it grows, so that the leader's calls stay within callBudget.
func (d *Driver) pollInterval(name string) time.Duration {
	interval, calls := restInterval, len(d.ranks)/max(d.cfg.BranchSize, 1)
	if d.cfg.ObserveInterval != nil {
		wanted := d.cfg.ObserveInterval(name)
		if d.cfg.BranchSize == 0 {
			wanted /= 2
		}
		if wanted > 0 {
			interval = min(interval, wanted)
		}
	}
	return max(interval, time.Duration(calls)*time.Second/callBudget)
}
