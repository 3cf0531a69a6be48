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

// leaderRetry is the pause after the leader's command has failed.
const leaderRetry = 100 * time.Millisecond

// leadership is what a leader keeps and does in one term. Times inside are durations since
// started.
type leadership struct {
	log     Log
	state   *contract.State
	logger  *slog.Logger
	term    uint64
	started time.Time
	clock   contract.LogClock
	// fence is the token that the log gave out for the beginning of the term.
	fence uint64

	mu     sync.Mutex
	leases *leases
	// inFlight holds what agents reported of their leaving endpoints.
	inFlight map[string]int32
	// sequences holds the highest sequence number that each announcer has sent.
	sequences map[contract.AgentRef]uint64
	// notes says what orders to an endpoint wait for.
	notes map[string]string
}

// beginLeadership starts the work of a term: its first command brings the state up to date with
// all earlier terms, so that the leader's clock goes on from the latest log time
// and the leases from the latest list of agents.
func beginLeadership(ctx context.Context, log Log, state *contract.State, term uint64, lease time.Duration, logger *slog.Logger) (*leadership, error) {
	data, err := contract.EncodeIssueFence(state.LogTime())
	result, err := propose(ctx, log, data, err)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	return &leadership{
		log:       log,
		state:     state,
		logger:    logger,
		term:      term,
		started:   now,
		clock:     contract.NewLogClock(state.LogTime(), now),
		fence:     result.Fence,
		leases:    newLeases(0, lease, state.Agents()),
		inFlight:  map[string]int32{},
		sequences: map[contract.AgentRef]uint64{},
		notes:     map[string]string{},
	}, nil
}

// now is the time since the leadership began.
func (l *leadership) now() time.Duration { return time.Since(l.started) }

// logTime is the log time of a command proposed now.
func (l *leadership) logTime() int64 { return l.clock.At(time.Now()) }

// renew grants an agent a full lease.
func (l *leadership) renew(agent contract.AgentRef) {
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leases.renew(now, agent)
}

// leaseTimes returns the length of a lease and the least time between two renewals.
func (l *leadership) leaseTimes() (lease, pace time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.leases.full(), l.leases.pace()
}

// reported notes what an agent said of its leaving endpoints.
func (l *leadership) reported(inFlight map[string]int32) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for endpoint, count := range inFlight {
		l.inFlight[endpoint] = count
	}
}

// note keeps what the orders to an endpoint wait for; empty for nothing.
func (l *leadership) note(endpoint, waiting string, err error) {
	if waiting != "" && err != nil {
		waiting += ": " + err.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notes[endpoint] = waiting
}

// explain completes a line about what an endpoint waits for.
func (l *leadership) explain(line string) string {
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
	if note := l.notes[id]; note != "" {
		line += " (" + note + ")"
	}
	return line
}

// expire ends the leases of agents that do not renew any more until ctx ends.
// All that end together go into one command.
func (l *leadership) expire(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, l.leases.interval())
		l.mu.Lock()
		ended := l.leases.expired(l.now())
		l.mu.Unlock()
		if len(ended) == 0 || ctx.Err() != nil {
			continue
		}
		l.logger.Warn("leases expired", "agents", len(ended), "first", ended[0].Name)
		data, err := contract.EncodeExpire(l.logTime(), ended...)
		if _, err = propose(ctx, l.log, data, err); err != nil {
			l.logger.Warn("expiring leases failed", "error", err)
			continue
		}
		leasesExpired.Add(len(ended))
		l.mu.Lock()
		l.leases.drop(l.now(), ended)
		l.mu.Unlock()
	}
}

// notLeading is the refusal of a replica that does not lead.
func notLeading(log Log) *fault.Error {
	id, addr, _, self := log.Leader()
	if self {
		return fault.New(fault.NotLeader, "this replica has just become leader and is not ready to decide", "send it again").RetryIn(leaderRetry)
	}
	if id == 0 {
		return fault.New(fault.NoQuorum, "no leader is known; nothing was decided",
			"send it again; if this lasts, start the control replicas that are down").RetryIn(leaderRetry)
	}
	return fault.NewNotLeader(id, addr)
}
