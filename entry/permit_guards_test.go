package entry

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// permitTestEndpoint is the id of the endpoint of the permit clients in these tests.
const permitTestEndpoint = "e"

// newTestPermitClient returns a permit client with one directly called endpoint, in its second
// incarnation, and the given hosts.
func newTestPermitClient(t *testing.T, cfg Config, hosts []string, options ...grpc.DialOption) *PermitClient {
	t.Helper()
	table := endpoint.NewTable()
	table.Apply([]endpoint.Endpoint{{ID: permitTestEndpoint, Addr: "127.0.0.1:9", Pool: "pool", Incarnation: 2, State: endpoint.Serving}}, nil)
	pool := link.NewPool(append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))...)
	t.Cleanup(func() { _ = pool.Close() })
	limits := NewRateLimits(cfg, table, NewAdmissionController(cfg), slog.New(slog.DiscardHandler))
	reports := NewReportSubscriber(cfg, pool, table, nil, nil, nil, nil, nil, nil, limits, nil, slog.New(slog.DiscardHandler))
	p := NewPermitClient(limits, reports, pool)
	p.hosts = func() []string { return hosts }
	return p
}

func (p *PermitClient) testEndpoint() *endpoint.Endpoint {
	e, _ := p.endpoints.Get(permitTestEndpoint)
	return &e
}

// learn records a limit as if a response had advertised it.
func (p *PermitClient) learn(rate float64) {
	now := time.Since(processStart)
	p.recordLimit(permitTestEndpoint, ratelimit.Limit{Rate: rate, SentAt: now, ReceivedAt: now})
}

// countGranted asks for permits for the given time and returns how many are granted.
func (p *PermitClient) countGranted(t *testing.T, duration time.Duration) int {
	granted := 0
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if p.Admit(t.Context(), p.testEndpoint(), false) {
			granted++
		}
	}
	return granted
}

// Guards against each entry using the whole limit of an endpoint while no host can be asked.
func TestEntriesWithoutHostsUseEqualParts(t *testing.T) {
	is := is.New(t)
	const peers, rate = 8, 80
	p := newTestPermitClient(t, Config{Peers: peers}, nil)
	p.learn(rate)
	granted := p.countGranted(t, time.Second)
	t.Logf("%d permits in 1 s, of a limit of %d for %d entries", granted, rate, peers)
	is.True(granted >= rate/peers/2)
	is.True(granted <= 2*rate/peers)
}

// Guards against responses of an earlier process being taken for those of the present one.
func TestLimitsOfEarlierIncarnationsAreIgnored(t *testing.T) {
	is := is.New(t)
	p := newTestPermitClient(t, Config{Peers: 1}, nil)
	earlier := *p.testEndpoint()
	earlier.Incarnation = 1
	p.RecordFeedback(&earlier, ratelimit.Feedback{Rate: "1", Leaving: true, SentAt: time.Since(processStart)})
	_, limited := p.table.Limit(permitTestEndpoint)
	is.True(!limited)
	is.Equal(len(p.table.Restrictions(time.Since(processStart))), 0)
	p.RecordFeedback(p.testEndpoint(), ratelimit.Feedback{Rate: "1", SentAt: time.Since(processStart)})
	_, limited = p.table.Limit(permitTestEndpoint)
	is.True(limited)
}

// Guards against a limit that only the entry knows that received it: the host learns it before
// anyone asks for a permit.
func TestNewLimitIsPublishedToHost(t *testing.T) {
	is := is.New(t)
	host := &countingHost{}
	p := newTestPermitClient(t, Config{Peers: 1}, []string{host.start(t)})
	p.RecordFeedback(p.testEndpoint(), ratelimit.Feedback{Rate: "3", SentAt: time.Since(processStart)})
	awaitCondition(t, "the host to learn the limit", func() bool { return host.published.Load() == 1 })
	is.Equal(host.asked.Load(), int64(0))
}

// Guards against limits that a host forwards in its reports being dropped.
func TestLimitsInReportsAreLearned(t *testing.T) {
	is := is.New(t)
	p := newTestPermitClient(t, Config{Peers: 1}, nil)
	reports := NewReportSubscriber(Config{}, nil, p.endpoints, nil, nil, nil, nil, nil, quarantine.NewTracker(), p.RateLimits, suspicion.NewTracker(1), slog.New(slog.DiscardHandler))
	rate := 4.0
	reports.HandleReport("host", &agentv1.Report{RateLimits: []*agentv1.RateLimit{{Endpoint: p.testEndpoint().RunID(), Rate: &rate, SentAgeMs: 2, AgeMs: 1}}}, time.Now())
	limit, limited := p.table.Limit(permitTestEndpoint)
	is.True(limited)
	is.Equal(limit.Rate, rate)
}

// Guards against each request waiting for a host that does not answer: it is skipped for a while.
func TestUnresponsiveHostIsSkipped(t *testing.T) {
	is := is.New(t)
	live := &countingHost{}
	liveAddr := live.start(t)
	var silent *countingHost
	var p *PermitClient
	for {
		silent = &countingHost{silent: true}
		silentAddr := silent.start(t)
		p = newTestPermitClient(t, Config{Peers: 1}, []string{silentAddr, liveAddr})
		if p.permitHosts(p.testEndpoint().RunID())[0] == silentAddr {
			break // the entry asks the silent host first
		}
	}
	p.learn(1000)
	p.countGranted(t, 300*time.Millisecond)
	t.Logf("%d calls to the host that does not answer, %d to the other", silent.asked.Load(), live.asked.Load())
	is.True(live.asked.Load() >= 10)
	is.Equal(silent.asked.Load(), int64(1))
}

// Guards against a permit that the process receives long after it asked, as after a suspension: the
// endpoint's limit has been given to others since.
func TestOldPermitIsDiscarded(t *testing.T) {
	is := is.New(t)
	host := &countingHost{}
	var delay atomic.Int64
	suspend := grpc.WithUnaryInterceptor(func(ctx context.Context, method string, request, reply any, conn *grpc.ClientConn, invoke grpc.UnaryInvoker, options ...grpc.CallOption) error {
		err := invoke(ctx, method, request, reply, conn, options...)
		time.Sleep(time.Duration(delay.Load()))
		return err
	})
	p := newTestPermitClient(t, Config{Peers: 1}, []string{host.start(t)}, suspend)
	p.learn(1000)
	is.True(p.Admit(t.Context(), p.testEndpoint(), false))
	delay.Store(int64(maxPermitAge + 100*time.Millisecond))
	is.True(!p.Admit(t.Context(), p.testEndpoint(), false))
}

// countingHost is a host that grants all permits, or answers nothing.
type countingHost struct {
	agentv1.UnimplementedAgentServer
	silent           bool
	asked, published atomic.Int64
}

func (h *countingHost) start(t *testing.T) (addr string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := grpc.NewServer()
	agentv1.RegisterAgentServer(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func (h *countingHost) Permit(ctx context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	if !r.GetWanted() {
		h.published.Add(1)
		return &agentv1.PermitResponse{Limit: r.GetLimit()}, nil
	}
	h.asked.Add(1)
	if h.silent {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &agentv1.PermitResponse{Limit: r.GetLimit(), Granted: true}, nil
}
