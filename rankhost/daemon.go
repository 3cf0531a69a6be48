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
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/link/replicas"
	"github.com/lilackeel/lilackeel/ratelimit"
	"github.com/lilackeel/lilackeel/sharing"
	"github.com/lilackeel/lilackeel/telemetry"
)

const (
	// defaultReport is the time between two reports of a reader that states none.
	defaultReport = 250 * time.Millisecond
	// leastReport is the shortest such time.
	leastReport = 20 * time.Millisecond
	// reportBudget is how many reports a second a host sends to all its readers: 16 entries
	// get one each 100 ms, 36 each 225 ms. It bounds what many readers cost the host.
	reportBudget = 160
)

// Daemon serves one rank.
type Daemon struct {
	settings  *Settings
	logger    *slog.Logger
	ready     *telemetry.Ready
	host      *Host
	announcer *announcer
	server    *grpc.Server
	pool      *link.Pool
	listener  net.Listener
}

// New assembles a daemon, which does nothing before Run.
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
	finder := replicas.New(pool, settings.Control)
	host := NewHost(Config{
		Engine: engine, Control: recordReader{finder}, Logger: logger,
		PollInterval: settings.PollInterval, CountInterval: settings.CountInterval,
	})
	server := grpc.NewServer(options...)
	agentv1.RegisterAgentServer(server, &service{
		host: host, endpoint: settings.Endpoint, shared: sharing.NewHost(host.now, ratelimit.NewArbiter()), relay: &relay{call: hostCaller{pool}.group, logger: logger, calling: map[string]bool{}},
	})
	return &Daemon{
		settings: settings, logger: logger, ready: telemetry.NewReady(), host: host, server: server, pool: pool, listener: listener,
		announcer: &announcer{settings: settings, host: host, finder: finder, logger: logger, incarnation: rand.Uint64() | 1},
	}, nil
}

// Ready says whether the daemon serves.
func (d *Daemon) Ready() *telemetry.Ready { return d.ready }

// Reload puts other control replicas in force.
func (d *Daemon) Reload(fresh *Settings) { d.announcer.finder.SetAddrs(fresh.Control) }

// Run serves until ctx ends. It carries nothing of any request, so that it ends
// at once; a switch that it takes part in waits for the next process.
func (d *Daemon) Run(ctx context.Context) error {
	var group sync.WaitGroup
	group.Go(func() { d.host.Run(ctx) })
	group.Go(func() { d.announcer.run(ctx) })
	served := make(chan error, 1)
	go func() { served <- d.server.Serve(d.listener) }()
	d.ready.Set(true, "")
	d.logger.Info("serving", slog.String("listen", d.listener.Addr().String()), slog.String("endpoint", d.settings.Endpoint))
	<-ctx.Done()
	d.ready.Set(false, "stopping")
	d.server.Stop()
	group.Wait()
	return trace.NewAggregate(<-served, d.pool.Close())
}

// recordReader reads the records of expert maps. It is a Control.
type recordReader struct{ finder *replicas.Finder }

// ReadMap implements Control.
func (r recordReader) ReadMap(ctx context.Context, group string) (record *fleetv1.MapRecord, fence uint64, err error) {
	err = r.finder.Call(ctx, func(ctx context.Context, client controlv1.ControlClient) error {
		response, err := client.ReadMap(ctx, &controlv1.ReadMapRequest{Group: group})
		record, fence = response.GetRecord(), response.GetFence()
		return err
	})
	return record, fence, err
}

// service is the part of the Agent service that a rank needs.
type service struct {
	agentv1.UnimplementedAgentServer
	host     *Host
	relay    *relay
	endpoint string
	// readers is how many entries read the reports.
	readers atomic.Int32
	// shared is what entries share.
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

// Permit implements agentv1.AgentServer.
func (s *service) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return s.shared.Permit(r), nil
}

// Group implements agentv1.AgentServer.
func (s *service) Group(ctx context.Context, r *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	round := s.relay.begin(ctx, r)
	response, err := s.host.Group(ctx, r)
	if err != nil {
		return nil, err
	}
	round.end(ctx, response)
	return response, nil
}

// hostCaller calls other hosts of ranks.
type hostCaller struct{ pool *link.Pool }

func (c hostCaller) group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	conn, err := c.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(conn).Group(ctx, request)
}

// Reports implements agentv1.AgentServer: it sends the engine's load when it has changed, and
// at once when its group has. The endpoint is named by its address.
func (s *service) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
	s.readers.Add(1)
	defer s.readers.Add(-1)
	reader := s.shared.NewReader(r)
	var sent *agentv1.Report
	for {
		changed := s.host.Changed()
		status, at, ok := s.host.Status()
		report := s.report(status)
		fresh := ok && !proto.Equal(report, sent)
		if fresh {
			sent = proto.Clone(report).(*agentv1.Report)
			report.GetLoads()[0].AgeMs = time.Since(at).Milliseconds()
		} else {
			// What entries share goes out also while the engine says nothing.
			report = &agentv1.Report{}
		}
		if news := reader.Fill(report); fresh || news {
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

// reportInterval is the time between two reports to one reader, of several.
func reportInterval(asked time.Duration, readers int) time.Duration {
	if asked <= 0 {
		asked = defaultReport
	}
	return max(asked, leastReport, time.Duration(readers)*time.Second/reportBudget)
}

// report is what is said of the engine, but for its age.
func (s *service) report(status Status) *agentv1.Report {
	return &agentv1.Report{Readers: s.readers.Load(), Loads: []*agentv1.LoadReport{{
		Endpoint: s.endpoint, Running: int32(status.Running), Waiting: int32(status.Waiting),
		Group: status.Group, Closed: status.Group != "" && !status.Open,
	}}}
}
