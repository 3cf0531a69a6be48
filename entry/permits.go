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
	// permitTimeout is the timeout of a permit call to a host: several round trips within a region,
	// and short in comparison with the objective of a request.
	permitTimeout = 50 * time.Millisecond
	// maxPermitAge is the age beyond which a permit is discarded: if the process was suspended
	// between request and response, the permit is out of date.
	maxPermitAge = 500 * time.Millisecond
	// hostBackoff is how long a host that did not answer is skipped.
	hostBackoff = time.Second
)

// PermitClient requests permits from hosts to send requests to endpoints that advertise rate
// limits, so that all entries together keep to the limits. It implements routed.RateLimits. It is
// safe for concurrent use; no other lock is taken while its lock is held.
type PermitClient struct {
	*RateLimits
	hosts func() []string
	pool  *link.Pool
	// readers returns how many entries read the reports of a host, zero if that is not known.
	readers func() int
	// localArbiter grants this entry's share of each limit if there are no hosts.
	localArbiter *ratelimit.Arbiter

	mu sync.Mutex
	// backoffUntil maps the hosts that did not answer to the time until which they are skipped.
	backoffUntil map[string]time.Duration
}

// NewPermitClient returns a PermitClient that uses the hosts that reports is subscribed to.
func NewPermitClient(limits *RateLimits, reports *ReportSubscriber, pool *link.Pool) *PermitClient {
	return &PermitClient{
		RateLimits: limits, hosts: reports.reportingHosts, pool: pool, readers: reports.Readers, localArbiter: ratelimit.NewArbiter(),
		backoffUntil: map[string]time.Duration{},
	}
}

// RecordFeedback implements routed.RateLimits. A changed limit is forwarded to the host that grants
// the permits; a value that is not a valid limit is ignored. Responses of an earlier incarnation of
// the endpoint are ignored, since they do not apply to the current one.
func (p *PermitClient) RecordFeedback(e *endpoint.Endpoint, f ratelimit.Feedback) {
	if present, known := p.endpoints.Get(e.ID); !known || present.Incarnation != e.Incarnation {
		return
	}
	p.handleFeedback(e.ID, f)
	rate, ok := ratelimit.Parse(f.Rate)
	if !ok {
		return
	}
	limit := ratelimit.Limit{Rate: rate, SentAt: f.SentAt, ReceivedAt: time.Since(processStart)}
	if p.recordLimit(e.ID, limit) {
		go p.publishLimit(ratelimit.EndpointLimit{Endpoint: e.RunID(), Limit: limit})
	}
}

// publishLimit forwards the limit that an endpoint advertises to the first host that answers.
func (p *PermitClient) publishLimit(n ratelimit.EndpointLimit) {
	for _, addr := range p.permitHosts(n.Endpoint) {
		if _, err := p.callHost(context.Background(), addr, &agentv1.PermitRequest{Limit: ratelimit.ToProto(time.Since(processStart), n)}); err == nil {
			return
		}
	}
}

// Admit implements routed.RateLimits.
func (p *PermitClient) Admit(ctx context.Context, e *endpoint.Endpoint, retry bool) bool {
	limit, admission := p.table.Admit(time.Since(processStart), e.ID)
	granted := admission == ratelimit.Allowed
	if admission == ratelimit.PermitRequired {
		var wait time.Duration
		granted, wait = p.requestPermit(ctx, e, limit)
		p.table.FinishPermit(e.ID, time.Since(processStart)+wait)
	}
	if granted {
		p.recordAttempt(e.ID, retry)
	}
	return granted
}

// Refusal implements routed.RateLimits.
func (p *PermitClient) Refusal(pool string) *fault.Error {
	return p.refusalAmong(pool, max(p.readers(), p.peers))
}

// requestPermit requests the permit to send one request. If a host does not answer, the next one
// is tried.
func (p *PermitClient) requestPermit(ctx context.Context, e *endpoint.Endpoint, limit ratelimit.Limit) (granted bool, wait time.Duration) {
	named := limit.For(e.RunID())
	hosts := p.permitHosts(named.Endpoint)
	if len(hosts) == 0 {
		return p.requestLocally(named)
	}
	for i, addr := range hosts {
		requestedAt := time.Since(processStart)
		if p.inBackoff(addr, requestedAt) {
			continue
		}
		response, err := p.callHost(ctx, addr, &agentv1.PermitRequest{Limit: ratelimit.ToProto(requestedAt, named), Wanted: true, Choice: uint32(i)})
		now := time.Since(processStart)
		switch {
		case ctx.Err() != nil:
			return false, 0
		case err != nil:
			p.backOff(addr, now)
			continue
		}
		p.mergeLimits(now, []*agentv1.RateLimit{response.GetLimit()})
		if now-requestedAt > maxPermitAge {
			return false, 0
		}
		return response.GetGranted(), time.Duration(response.GetWaitMs()) * time.Millisecond
	}
	return false, hostBackoff / 2
}

// requestLocally requests a permit from the local arbiter, for an equal share of the limit.
func (p *PermitClient) requestLocally(n ratelimit.EndpointLimit) (granted bool, wait time.Duration) {
	n.Limit.Rate /= float64(p.peers)
	permit := p.localArbiter.Acquire(time.Since(processStart), n, 0)
	return permit.Granted, permit.Wait
}

func (p *PermitClient) callHost(ctx context.Context, addr string, request *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	connection, err := p.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, permitTimeout)
	defer cancel()
	response, err := agentv1.NewAgentClient(connection).Permit(ctx, request)
	if err != nil {
		p.logger.DebugContext(ctx, "permit request to a host failed", slog.String("agent", addr), slog.Any("error", err))
	}
	return response, err
}

// permitHosts returns the hosts that grant permits for an incarnation of an endpoint. They are
// chosen by rendezvous hashing, so that all entries with the same set of hosts get the same order.
func (p *PermitClient) permitHosts(run string) []string {
	var chosen [ratelimit.MaxPermitHosts]string
	var weights [ratelimit.MaxPermitHosts]uint64
	seed := xxhash.Sum64String(run)
	hosts := p.hosts()
	for _, addr := range hosts {
		weight := mix(xxhash.Sum64String(addr) ^ seed)
		for i := range chosen {
			if chosen[i] == "" || weight > weights[i] {
				addr, chosen[i] = chosen[i], addr
				weight, weights[i] = weights[i], weight
			}
		}
	}
	return chosen[:min(len(hosts), len(chosen))]
}

// mix is the finalizer of SplitMix64, which distributes the entropy of x over all its bits.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (p *PermitClient) inBackoff(addr string, now time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return now < p.backoffUntil[addr]
}

// backOff skips a host for hostBackoff, and removes the entries that have expired.
func (p *PermitClient) backOff(addr string, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for host, until := range p.backoffUntil {
		if until <= now {
			delete(p.backoffUntil, host)
		}
	}
	p.backoffUntil[addr] = now + hostBackoff
}
