package control

import (
	"slices"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/contract"
)

// leases are the agents' leases. They are soft state in the leader's memory, so that a renewal
// needs no log entry. Times are durations since an arbitrary start. It is not safe for
// concurrent use.
//
// An agent counts its lease from when it sent its announcement, the leader from when it
// received it, so the leader's view of a lease always ends later.
type leases struct {
	duration time.Duration
	expiry   map[contract.AgentRef]time.Duration
	// lastCheck is when expired was last called.
	lastCheck time.Duration
}

// maxRenewalsPerSecond bounds the renewals that the leader asks for, regardless of the number
// of agents: about 14 KB/s and 1% of a core. In return, the failure of an agent is detected
// later in a fleet of hundreds of agents; entries notice it earlier through their own calls.
const maxRenewalsPerSecond = 60

// renewalsPerLease is the number of renewals per lease at that rate.
const renewalsPerLease = 4

// checksPerLease is how often per lease duration leases are checked for expiry.
const checksPerLease = 10

// newLeases returns the leases of a new leader, which cannot know which leases its predecessor
// granted last: every agent that is live in the state gets a full lease from now on.
func newLeases(now, duration time.Duration, agents []contract.Agent) *leases {
	l := &leases{duration: duration, expiry: map[contract.AgentRef]time.Duration{}, lastCheck: now}
	for _, agent := range agents {
		if agent.Live {
			l.renew(now, agent.AgentRef)
		}
	}
	return l
}

// renew grants a full lease from now on.
func (l *leases) renew(now time.Duration, agent contract.AgentRef) {
	l.expiry[agent] = now + l.effectiveDuration()
}

// renewInterval is the minimum time between two renewals of one agent.
func (l *leases) renewInterval() time.Duration {
	return (time.Duration(len(l.expiry))*time.Second + maxRenewalsPerSecond - 1) / maxRenewalsPerSecond
}

// effectiveDuration is the duration of a lease: the configured one, or longer if the number of
// agents makes them renew less often.
func (l *leases) effectiveDuration() time.Duration {
	return max(l.duration, renewalsPerLease*l.renewInterval())
}

// checkInterval is the time between two calls of expired.
func (l *leases) checkInterval() time.Duration { return l.duration / checksPerLease }

// compensatePause extends all leases by the time for which this process did not run since the
// last check: announcements that arrived meanwhile may still be in its socket buffers. No lease
// becomes longer than a full one.
func (l *leases) compensatePause(now time.Duration) {
	paused := now - l.lastCheck - l.checkInterval()
	l.lastCheck = now
	if paused < l.checkInterval() {
		return
	}
	for agent, expiry := range l.expiry {
		l.expiry[agent] = min(expiry+paused, now+l.effectiveDuration())
	}
}

// expired returns the agents whose leases have expired, sorted by name. They stay listed until
// they are removed, because the command that expires them may fail. It must be called once per
// checkInterval.
func (l *leases) expired(now time.Duration) []contract.AgentRef {
	l.compensatePause(now)
	var expired []contract.AgentRef
	for agent, expiry := range l.expiry {
		if now > expiry {
			expired = append(expired, agent)
		}
	}
	slices.SortFunc(expired, func(a, b contract.AgentRef) int { return strings.Compare(a.Name, b.Name) })
	return expired
}

// remove removes agents whose expiry is committed, unless they have renewed their leases in the
// meantime.
func (l *leases) remove(now time.Duration, agents []contract.AgentRef) {
	for _, agent := range agents {
		if now > l.expiry[agent] {
			delete(l.expiry, agent)
		}
	}
}
