package rankhost

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/link/replicas"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/sharing"
	"github.com/lilackeel/lilackeel/telemetry"
)

const (
	// defaultReportInterval is the interval between reports to a reader that requests none.
	defaultReportInterval = 250 * time.Millisecond
	// minReportInterval is the shortest interval between reports to one reader.
	minReportInterval = 20 * time.Millisecond
	// maxReportsPerSecond bounds the reports that a host sends to all its readers together, and
	// thus the cost of many readers: 16 entries get one report every 100 ms each, 36 entries one
	// every 225 ms each.
	maxReportsPerSecond = 160
	// slowdownRenewal is the interval at which the load of a slow engine is sent even if it has not
	// changed: readers forget a slowdown after 2 s, and a slow engine may run no calls at all.
	slowdownRenewal = 500 * time.Millisecond
)

// peerShare is the share of the descriptors that entries and control replicas may use.
const peerShare = 1.0 / 2

// Daemon is the host process of one rank.
type Daemon struct {
	settings  *Settings
	logger    *slog.Logger
	ready     *telemetry.Ready
	host      *Host
	announcer *announcer
	server    *grpc.Server
	pool      *link.Pool
	// backups holds the second connections to other hosts.
	backups   *link.Pool
	listener  net.Listener
	resources *inbound.Resources
}

// New returns a daemon, which listens but does not serve before Run.
func New(settings *Settings, engine Engine, logger *slog.Logger) (*Daemon, error) {
	dial, err := link.DialOptions(settings.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options, err := link.ServerOptions(settings.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := link.Listen(context.Background(), settings.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "cannot listen on %s; choose a free address with -listen", settings.Listen)
	}
	pool := link.NewPool(dial...)
	backups := pool.Sibling()
	finder := replicas.New(pool, settings.Control)
	host := NewHost(Config{
		Engine: engine, MapReader: controlMapReader{finder}, Logger: logger,
		PollInterval: settings.PollInterval, CountInterval: settings.CountInterval,
		ReportSlowdown: settings.ReportSlowdown,
	})
	resources := settings.Inbound.Resources()
	server := grpc.NewServer(append(options, resources.PeerOptions()...)...)
	agentv1.RegisterAgentServer(server, &service{
		host: host, endpoint: settings.Endpoint, shared: sharing.NewHost(host.now, ratelimit.NewArbiter()),
		relay: &relay{call: hostClient{pool}.callGroup, backup: hostClient{backups}.callGroup, hedger: link.NewHedger(backups), logger: logger, inFlight: map[string]bool{}},
	})
	return &Daemon{
		settings: settings, logger: logger, ready: telemetry.NewReady(), host: host, server: server, pool: pool, backups: backups, resources: resources,
		listener:  resources.PeerListener(listener, "peers", peerShare, logger),
		announcer: &announcer{settings: settings, host: host, finder: finder, logger: logger, incarnation: rand.Uint64() | 1},
	}, nil
}

// Resources implements daemon.Daemon.
func (d *Daemon) Resources() *inbound.Resources { return d.resources }

// Ready returns the readiness of the daemon.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Reload applies the addresses of the control replicas; all other settings need a restart.
func (d *Daemon) Reload(settings *Settings) { d.announcer.finder.SetAddrs(settings.Control) }

// Run serves until ctx ends. It returns without draining, because no requests pass through it; a
// switch of maps that is in progress continues with the next process.
func (d *Daemon) Run(ctx context.Context) error {
	var tasks sync.WaitGroup
	tasks.Go(func() { d.host.Run(ctx) })
	tasks.Go(func() { d.announcer.run(ctx) })
	serveErr := make(chan error, 1)
	go func() { serveErr <- d.server.Serve(d.listener) }()
	d.ready.Set(true, "")
	d.logger.Info("serving", slog.String("listen", d.listener.Addr().String()), slog.String("endpoint", d.settings.Endpoint))
	<-ctx.Done()
	d.ready.Set(false, "stopping")
	d.server.Stop()
	tasks.Wait()
	return trace.NewAggregate(<-serveErr, d.pool.Close(), d.backups.Close())
}

// controlMapReader reads the records of expert maps from the control replicas. It implements
// MapReader.
type controlMapReader struct{ finder *replicas.Finder }

// ReadMap implements MapReader.
func (r controlMapReader) ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error) {
	err = r.finder.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		response, err := client.ReadMap(ctx, &controlv1.ReadMapRequest{Group: group})
		record, fence = response.GetRecord(), response.GetFence()
		return err
	})
	return record, fence, err
}

// service implements the methods of the Agent service that a rank needs.
type service struct {
	agentv1.UnimplementedAgentServer
	host     *Host
	relay    *relay
	endpoint string
	// readers counts the entries that subscribe to reports.
	readers atomic.Int32
	// shared holds the crash reports, suspicions and rate limits that entries share through this
	// host.
	shared *sharing.Host
}

// PublishCrashReports implements agentv1.AgentServer.
func (s *service) PublishCrashReports(_ context.Context, r *agentv1.PublishCrashReportsRequest) (*agentv1.PublishCrashReportsResponse, error) {
	s.shared.PublishCrashReports(r)
	return &agentv1.PublishCrashReportsResponse{}, nil
}

// PublishSuspicions implements agentv1.AgentServer.
func (s *service) PublishSuspicions(_ context.Context, r *agentv1.PublishSuspicionsRequest) (*agentv1.PublishSuspicionsResponse, error) {
	s.shared.PublishSuspicions(r)
	return &agentv1.PublishSuspicionsResponse{}, nil
}

// PublishDemand implements agentv1.AgentServer.
func (s *service) PublishDemand(_ context.Context, r *agentv1.PublishDemandRequest) (*agentv1.PublishDemandResponse, error) {
	return s.shared.PublishDemand(r), nil
}

// Permit implements agentv1.AgentServer.
func (s *service) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return s.shared.Permit(r), nil
}

// Group implements agentv1.AgentServer.
func (s *service) Group(ctx context.Context, r *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	round := s.relay.start(ctx, r)
	response, err := s.host.Group(ctx, r)
	if err != nil {
		return nil, err
	}
	round.finish(ctx, response)
	return response, nil
}

// hostClient calls the hosts of other ranks.
type hostClient struct{ pool *link.Pool }

func (c hostClient) callGroup(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	conn, err := c.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Group(ctx, request)
}

// Reports implements agentv1.AgentServer. It sends the engine's load when it has changed, without
// waiting for the interval when the engine's group has. The endpoint is identified by the engine's
// address.
func (s *service) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
	s.readers.Add(1)
	defer s.readers.Add(-1)
	reader := s.shared.NewReader(r)
	var sent *agentv1.Report
	var sentAt time.Time
	for {
		changed := s.host.Changed()
		status, readAt, ok := s.host.Status()
		report := s.buildReport(status)
		loadDue := ok && (!proto.Equal(report, sent) || renewsSlowdown(report, time.Since(sentAt)))
		if loadDue {
			sent, sentAt = proto.Clone(report).(*agentv1.Report), time.Now()
			report.GetLoads()[0].AgeMs = time.Since(readAt).Milliseconds()
		} else {
			// Shared state is sent even while there is no new status of the engine.
			report = &agentv1.Report{}
		}
		if hasShared := reader.Fill(report); loadDue || hasShared {
			if err := stream.Send(report); err != nil {
				return err
			}
		}
		timer := time.NewTimer(reportInterval(time.Duration(r.GetIntervalMs())*time.Millisecond, int(s.readers.Load())))
		select {
		case <-timer.C:
		case <-changed:
		case <-stream.Context().Done():
		}
		timer.Stop()
		if stream.Context().Err() != nil {
			return stream.Context().Err()
		}
	}
}

// renewsSlowdown reports whether an unchanged report must be sent again because the slowdown in it
// was last sent a while ago.
func renewsSlowdown(report *agentv1.Report, since time.Duration) bool {
	return since >= slowdownRenewal && !isNominal(report.GetLoads()[0].GetSlowdown())
}

// reportInterval returns the interval between reports to one reader, given the number of readers.
func reportInterval(requested time.Duration, readers int) time.Duration {
	if requested <= 0 {
		requested = defaultReportInterval
	}
	return max(requested, minReportInterval, time.Duration(readers)*time.Second/maxReportsPerSecond)
}

// buildReport returns a report of the engine's load, without its age.
func (s *service) buildReport(status Status) *agentv1.Report {
	return &agentv1.Report{Readers: s.readers.Load(), Loads: []*agentv1.LoadReport{{
		Endpoint: s.endpoint, Running: int32(status.Running), Waiting: int32(status.Waiting),
		Group: status.Group, Closed: status.Group != "" && !status.Open,
		Slowdown: reportedSlowdown(status, s.host.cfg.ReportSlowdown),
	}}}
}
