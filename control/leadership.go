package control

import (
	"context"
	"fmt"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/wait"
)

// leaderRetry is the delay after the leader's first command has failed, and the one that
// callers of a replica that cannot decide are told.
const leaderRetry = 100 * time.Millisecond

// leadership holds the leader's state for one term. Times are durations since started.
type leadership struct {
	log     Log
	state   *contract.State
	logger  *slog.Logger
	term    uint64
	started time.Time
	clock   contract.LogClock
	// fence is the fencing token that the log issued at the beginning of the term.
	fence uint64

	mu     sync.Mutex
	leases *leases
	// inFlight holds the requests in flight that agents reported for their leaving endpoints.
	inFlight map[string]int32
	// lastSeq holds the highest sequence number received from each announcer.
	lastSeq map[contract.AgentRef]uint64
	// orderStatus describes what the orders to each endpoint wait for.
	orderStatus map[string]string
}

// beginLeadership starts the leadership of a term. Its first command brings the state up to
// date with all earlier terms, so that the leader's clock continues from the latest log time
// and the leases from the latest list of agents.
func beginLeadership(ctx context.Context, log Log, state *contract.State, term uint64, lease time.Duration, logger *slog.Logger) (*leadership, error) {
	data, err := contract.EncodeIssueFence(state.LogTime())
	result, err := propose(ctx, log, data, err)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &leadership{
		log:         log,
		state:       state,
		logger:      logger,
		term:        term,
		started:     now,
		clock:       contract.NewLogClock(state.LogTime(), now),
		fence:       result.Fence,
		leases:      newLeases(0, lease, state.Agents()),
		inFlight:    map[string]int32{},
		lastSeq:     map[contract.AgentRef]uint64{},
		orderStatus: map[string]string{},
	}, nil
}

// now returns the time since the leadership began.
func (l *leadership) now() time.Duration { return time.Since(l.started) }

// logTime returns the log time of a command proposed now.
func (l *leadership) logTime() int64 { return l.clock.At(time.Now()) }

// renew grants an agent a full lease.
func (l *leadership) renew(agent contract.AgentRef) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases.renew(now, agent)
}

// leaseTimes returns the duration of a lease and the minimum time between two renewals.
func (l *leadership) leaseTimes() (lease, interval time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases.effectiveDuration(), l.leases.renewInterval()
}

// recordInFlight records the requests in flight at an agent's leaving endpoints.
func (l *leadership) recordInFlight(inFlight map[string]int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, count := range inFlight {
		l.inFlight[endpoint] = count
	}
}

// setOrderStatus records what the orders to an endpoint wait for; waiting is empty if they wait
// for nothing.
func (l *leadership) setOrderStatus(endpoint, waiting string, err error) {
	if waiting != "" && err != nil {
		waiting += ": " + err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.orderStatus[endpoint] = waiting
}

// annotate adds details to a line that names what an endpoint waits for.
func (l *leadership) annotate(line string) string {
	id, found := strings.CutPrefix(line, "endpoint ")
	if !found {
		return line
	}
	id, rest, _ := strings.Cut(id, " ")
	l.mu.Lock()
	defer l.mu.Unlock()
	count, known := l.inFlight[id]
	if known && strings.HasPrefix(rest, "to finish its work") {
		line += fmt.Sprintf(" (%d in flight)", count)
	}
	if note := l.orderStatus[id]; note != "" {
		line += " (" + note + ")"
	}
	return line
}

// expireLeases expires the leases of agents that no longer renew them, until ctx ends. All
// leases found expired by one check share one command.
func (l *leadership) expireLeases(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, l.leases.checkInterval())
		l.mu.Lock()
		expired := l.leases.expired(l.now())
		l.mu.Unlock()
		if len(expired) == 0 || ctx.Err() != nil {
			continue
		}
		l.logger.Warn("leases expired", "agents", len(expired), "first", expired[0].Name)
		data, err := contract.EncodeExpire(l.logTime(), expired...)
		if _, err = propose(ctx, l.log, data, err); err != nil {
			l.logger.Warn("expiring leases failed", "error", err)
			continue
		}
		leasesExpired.Add(len(expired))
		l.mu.Lock()
		l.leases.remove(l.now(), expired)
		l.mu.Unlock()
	}
}

// notLeading returns the error of a replica that does not lead.
func notLeading(log Log) *fault.Error {
	id, addr, _, self := log.Leader()
	if self {
		return fault.New(fault.NotLeader, "this replica has just become leader and is not ready to decide", "retry the request").RetryIn(leaderRetry)
	}
	if id == 0 {
		return fault.New(fault.NoQuorum, "no leader is known; nothing was decided",
			"retry the request; if this persists, start the control replicas that are down").RetryIn(leaderRetry)
	}
	return fault.NewNotLeader(id, addr)
}
