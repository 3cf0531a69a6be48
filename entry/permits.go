package entry

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/ratelimit"
)

const (
	// permitTimeout is how long a host may take: several times a round trip within a region,
	// and short beside the objective of a request.
	permitTimeout = 50 * time.Millisecond
	// permitAge is the greatest age of a permit: one that comes later, to a process that was
	// stopped in between, is of another time.
	permitAge = 500 * time.Millisecond
	// hostPause is how long a host that did not answer is not asked again.
	hostPause = time.Second
)

// Permits asks hosts for the permits to send requests to endpoints that name rate limits, so
// that all entries together keep to them. It is a routed.RateLimits, and safe for concurrent
// use; its lock is a leaf.
type Permits struct {
	*RateLimits
	hosts func() []string
	pool  *link.Pool
	// readers is how many entries read the reports of a host, zero if that is not known.
	readers func() int
	// alone lets pass what this entry may send where there are no hosts: its part of each limit.
	alone *ratelimit.Arbiter

	mu sync.Mutex
	// paused are the hosts that did not answer, with the time until which they are not asked.
	paused map[string]time.Duration
}

// NewPermits returns Permits that ask the hosts whose reports are followed.
func NewPermits(limits *RateLimits, reports *Reports, pool *link.Pool) *Permits {
	return &Permits{
		RateLimits: limits, hosts: reports.hosts, pool: pool, readers: reports.Readers, alone: ratelimit.NewArbiter(),
		paused: map[string]time.Duration{},
	}
}

// RecordAnswer implements routed.RateLimits. What is no limit changes nothing; a new limit is passed
// on to the host that gives the permits. An answer of an earlier run says nothing of this one.
func (p *Permits) RecordAnswer(e *endpoint.Endpoint, f ratelimit.Feedback) {
	if present, known := p.endpoints.Get(e.ID); !known || present.Incarnation != e.Incarnation {
		return
	}
	p.noteFeedback(e.ID, f)
	rate, ok := ratelimit.Parse(f.Rate)
	if !ok {
		return
	}
	limit := ratelimit.Limit{Rate: rate, Since: f.Sent, At: time.Since(processStart)}
	if p.note(e.ID, limit) {
		go p.publish(ratelimit.Named{Endpoint: e.RunID(), Limit: limit})
	}
}

// publish passes on what an endpoint names to the first host that answers.
func (p *Permits) publish(n ratelimit.Named) {
	for _, addr := range p.choices(n.Endpoint) {
		if _, err := p.call(context.Background(), addr, &agentv1.PermitRequest{Limit: ratelimit.ToProto(time.Since(processStart), n)}); err == nil {
			return
		}
	}
}

// Admit implements routed.RateLimits.
func (p *Permits) Admit(ctx context.Context, e *endpoint.Endpoint, again bool) bool {
	limit, admission := p.table.Begin(time.Since(processStart), e.ID)
	granted := admission == ratelimit.Open
	if admission == ratelimit.Ask {
		var wait time.Duration
		granted, wait = p.ask(ctx, e, limit)
		p.table.End(e.ID, time.Since(processStart)+wait)
	}
	if granted {
		p.sent(e.ID, again)
	}
	return granted
}

// Refusal implements routed.RateLimits.
func (p *Permits) Refusal(pool string) *fault.Error {
	return p.refusal(pool, max(p.readers(), p.peers))
}

// ask asks for the permit to send one request, the next host if the first choice does not answer.
func (p *Permits) ask(ctx context.Context, e *endpoint.Endpoint, limit ratelimit.Limit) (granted bool, wait time.Duration) {
	named := ratelimit.Named{Endpoint: e.RunID(), Limit: limit}
	choices := p.choices(named.Endpoint)
	if len(choices) == 0 {
		return p.askAlone(named)
	}
	for i, addr := range choices {
		asked := time.Since(processStart)
		if p.isPaused(addr, asked) {
			continue
		}
		response, err := p.call(ctx, addr, &agentv1.PermitRequest{Limit: ratelimit.ToProto(asked, named), Wanted: true, Choice: uint32(i)})
		now := time.Since(processStart)
		switch {
		case ctx.Err() != nil:
			return false, 0
		case err != nil:
			p.pause(addr, now)
			continue
		}
		p.learn(now, []*agentv1.RateLimit{response.GetLimit()})
		if now-asked > permitAge {
			return false, 0
		}
		return response.GetGranted(), time.Duration(response.GetWaitMs()) * time.Millisecond
	}
	return false, hostPause / 2
}

// askAlone keeps to an equal part of the limit.
func (p *Permits) askAlone(n ratelimit.Named) (granted bool, wait time.Duration) {
	n.Limit.Rate /= float64(p.peers)
	permit := p.alone.Ask(time.Since(processStart), n, 0)
	return permit.Granted, permit.Wait
}

func (p *Permits) call(ctx context.Context, addr string, request *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := agentv1.NewAgentClient(connection).Permit(ctx, request)
	if err != nil {
		p.logger.DebugContext(ctx, "a host gave no permit", slog.String("agent", addr), slog.Any("error", err))
	}
	return response, err
}

// choices returns the hosts that give the permits of a run of an endpoint, in the same order at
// all entries that follow the same hosts.
func (p *Permits) choices(run string) []string {
	var choices [ratelimit.Choices]string
	var weights [ratelimit.Choices]uint64
	seed := xxhash.Sum64String(run)
	hosts := p.hosts()
	for _, addr := range hosts {
		weight := mix(xxhash.Sum64String(addr) ^ seed)
		for i := range choices {
			if choices[i] == "" || weight > weights[i] {
				addr, choices[i] = choices[i], addr
				weight, weights[i] = weights[i], weight
			}
		}
	}
	return choices[:min(len(hosts), len(choices))]
}

// mix spreads the bits of x over the whole of it: the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *Permits) isPaused(addr string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.paused[addr]
}

// pause leaves a host out for a while, and forgets the pauses that have ended.
func (p *Permits) pause(addr string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for other, until := range p.paused {
		if until <= now {
			delete(p.paused, other)
		}
	}
	p.paused[addr] = now + hostPause
}
