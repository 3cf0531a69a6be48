package control

import (
	"log/slog"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/control/reconcile"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/replica/server"
)

// newLog opens the replicated log in the data directory.
func newLog(s *Settings, m *stateMachine, dial []grpc.DialOption, logger *slog.Logger) (*server.Server, error) {
	log, err := server.Open(server.Config{
		ID:                s.ID,
		DataDir:           s.DataDir,
		Peers:             s.Peers,
		Join:              s.Join,
		Addr:              s.Listen,
		ElectionTimeout:   s.ElectionTimeout,
		HeartbeatInterval: s.HeartbeatInterval,
		RepairAfter:       s.RepairAfter,
		Voters:            s.Voters,
		SnapshotEvery:     uint64(s.SnapshotEvery),
		SnapshotLogRatio:  s.SnapshotLogRatio,
		Logger:            logger,
		DialOptions:       dial,
	}, m)
	if err != nil {
		return nil, trace.Wrap(err, "cannot open the replicated log in %s", s.DataDir)
	}
	return log, nil
}

func newState(m *stateMachine) *contract.State { return m.state }

func newDialOptions(s *Settings) ([]grpc.DialOption, error) {
	options, err := link.DialOptions(s.Link)
	return options, trace.Wrap(err)
}

func newPool(dial []grpc.DialOption) *link.Pool { return link.NewPool(dial...) }

func newFeed(s *feedSource) *feed.Server { return feed.NewServer(s) }

func newStatusCollector(s *Settings, log *server.Server, state *contract.State, published *feed.Server, pool *link.Pool) *statusCollector {
	return &statusCollector{id: s.ID, log: log, members: log, state: state, daemons: published.Daemons(), pool: pool}
}

func newTermManager(s *Settings, log Log, state *contract.State, drivers []driver, logger *slog.Logger) *termManager {
	return &termManager{log: log, state: state, lease: s.Lease, drivers: drivers, logger: logger}
}

// newDrivers returns the leader's background work.
func newDrivers(s *Settings, log Log, state *contract.State, pool *link.Pool, collector *statusCollector, logger *slog.Logger) []driver {
	limits := reconcile.Limits{
		MaxLoads:       s.Loads,
		MaxLoadShare:   s.LoadShare,
		InitialBackoff: reconcile.DefaultInitialBackoff,
		MaxBackoff:     reconcile.DefaultMaxBackoff,
		AuditInterval:  reconcile.DefaultAuditInterval,
	}
	orders := &orderDriver{state: state, log: log, pool: pool, limits: limits, logger: logger}
	finish := &intentFinisher{state: state, log: log, status: collector, logger: logger}
	maps := &mapDriver{state: state, log: log, pool: pool, groups: s.Groups, engine: s.Engine, copyPrice: s.CopyPrice, regularJumps: s.RegularJumps, logger: logger}
	return []driver{orders.drive, finish.drive, maps.drive}
}

func newService(s *Settings, log *server.Server, state *contract.State, t *termManager, pool *link.Pool, collector *statusCollector, published *feedSource) *service {
	return &service{log: log, state: state, leadership: t, pool: pool, members: membershipService{log: log}, status: collector, feedSource: published, zones: s.Zones}
}

func newCallTracker() *callTracker { return &callTracker{} }

func newResources(s *Settings) *inbound.Resources { return s.Inbound.Resources() }

// newServer returns the gRPC server with all services of a control replica.
func newServer(s *Settings, resources *inbound.Resources, log *server.Server, control *service, published *feed.Server, c *callTracker) (*grpc.Server, error) {
	options, err := link.ServerOptions(s.Link)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	options = append(options, resources.PeerOptions()...)
	options = append(options, grpc.ChainUnaryInterceptor(c.count))
	g := grpc.NewServer(options...)
	controlv1.RegisterControlServer(g, control)
	published.Register(g)
	log.Register(g)
	return g, nil
}
