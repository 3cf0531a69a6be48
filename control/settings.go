package control

import (
	"encoding/binary"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/control/expertmap"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/rankhost"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Settings are the validated settings of the daemon.
type Settings struct {
	// ID identifies this replica in the cluster.
	ID uint64
	// Host and Zone are the host that the replica runs on and its availability zone.
	Host, Zone string
	// Zones are the availability zones of the deployment; empty if they are known from
	// announcements only.
	Zones []string
	// Listen is the address of the replica's services. Peers are the addresses by which the
	// replicas reach each other, by replica ID and including this replica.
	Listen string
	Peers  map[uint64]string
	// Seeds are addresses of some replicas, as an alternative to Peers.
	Seeds []string
	// Bootstrap permits a new cluster to be bootstrapped from the Seeds.
	Bootstrap bool
	// DataDir is the directory of the replicated log.
	DataDir string
	// Join keeps a replica with a blank disk from bootstrapping a new cluster.
	Join bool

	// ElectionTimeout is how long a replica waits for a leader.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of the leader.
	HeartbeatInterval time.Duration
	// RepairAfter is how long a voter must be silent before a replica with a blank disk
	// replaces it as a learner; ten election timeouts if zero.
	RepairAfter time.Duration
	// Voters is the number of voters that the cluster maintains automatically; zero leaves the
	// membership to the operator.
	Voters int
	// SnapshotEvery is the number of log entries between two snapshots.
	SnapshotEvery int
	// SnapshotLogRatio is the size of the log since the last snapshot, relative to the state, above
	// which a snapshot is taken earlier.
	SnapshotLogRatio float64

	// Lease is how long an agent counts as live without an announcement.
	Lease time.Duration
	// ReadInterval is the time between two quorum reads.
	ReadInterval time.Duration
	// CopyPrice is the cost of copying one gigabyte of experts between ranks, expressed as an
	// equivalent amount of the group's step time.
	CopyPrice time.Duration
	// RegularJumps is expertmap.FollowingProposer.RegularJumps.
	RegularJumps bool
	// StopLimit bounds the graceful shutdown.
	StopLimit time.Duration
	// Loads bounds the concurrent loads through the weight store.
	Loads int
	// LoadShare bounds the share of a pool's endpoints that load concurrently.
	LoadShare float64
	// GroupsFile is the path of the groups file, which describes the groups of ranks. Groups is
	// its content.
	GroupsFile string
	Groups     expertmap.Groups

	// Engine returns a client for the engine at an address, for engines that hold their steps
	// themselves; nil if there are none. With it the leader can act for a rank whose host is
	// unresponsive.
	Engine func(address string) rankhost.Engine

	// Inbound limits what the clients of the HTTP and gRPC listeners may hold.
	Inbound inbound.ResourceConfig
	// Link secures the connections. Telemetry configures logs, metrics and traces.
	Link      link.Config
	Telemetry telemetry.Config
}

// defaultAdminListen differs from the defaults of the other daemons, so that all can share a
// host.
const defaultAdminListen = "127.0.0.1:9093"

// Register registers the settings with their defaults and checks.
func (s *Settings) Register(set *setting.Set) {
	var id int
	var peers []string
	set.Int(&id, "id", 0, "number of this replica, unique in the cluster; derived from -listen if -seeds is set", setting.Min(0))
	set.String(&s.Host, "host", "", "name of the host; control-<id> if empty", setting.Name)
	set.String(&s.Zone, "zone", "", "availability zone of the host", setting.Name)
	set.List(&s.Zones, "zones", nil, "availability zones of the deployment; empty accepts those of announced endpoints only", setting.Name)
	set.String(&s.Listen, "listen", "127.0.0.1:7300", "address of the services", setting.Required, setting.HostPort)
	set.List(&peers, "peers", nil, "the initial voters, including this replica, as id=host:port; with -join the replicas to contact")
	set.List(&s.Seeds, "seeds", nil, "addresses of some replicas, instead of -peers; ids are then derived from addresses", setting.HostPort)
	set.Bool(&s.Bootstrap, "bootstrap", false, "bootstrap a new cluster from the replicas in -seeds, which must all have blank disks; without it a replica with a blank disk only joins an existing cluster")
	set.String(&s.DataDir, "data-dir", "", "directory of the replicated log, on a disk of its own", setting.Required)
	set.Bool(&s.Join, "join", false, "join an existing cluster with a blank disk")
	s.registerDurations(set)
	set.Int(&s.Voters, "voters", 0, "number of voters that the cluster maintains automatically, replacing failed voters by replicas with blank disks; 0 leaves the membership to the operator", setting.Min(0))
	set.Int(&s.SnapshotEvery, "snapshot-every", server.DefaultSnapshotEvery, "log entries between two snapshots", setting.Min(1))
	set.Float(&s.SnapshotLogRatio, "snapshot-log-ratio", server.DefaultSnapshotLogRatio, "size of the log since the last snapshot, relative to the state, above which a snapshot is taken earlier", setting.Min(0.1))
	set.Int(&s.Loads, "loads", defaultLoads, "maximum number of concurrent loads through the weight store", setting.Min(1))
	set.Float(&s.LoadShare, "load-share", defaultLoadShare, "maximum share of a pool's endpoints that load concurrently; one always may", setting.Min(0.0), setting.Max(1.0))
	set.String(&s.GroupsFile, "groups", "", "YAML file that describes the groups of ranks, the same at every replica; empty for none")
	s.Telemetry.AdminListen = defaultAdminListen
	inbound.RegisterSettings(set, &s.Inbound)
	link.Settings(set, &s.Link)
	telemetry.RegisterSettings(set, &s.Telemetry)
	set.Check(func() error { return s.Link.CheckListen(s.Listen) })
	set.Check(func() error { return s.resolve(id, peers) })
	set.Check(s.readGroups)
}

func (s *Settings) registerDurations(set *setting.Set) {
	millisecond := setting.Min(time.Millisecond)
	set.Duration(&s.ElectionTimeout, "election-timeout", replica.DefaultElectionTimeout, "how long a replica waits for a leader", millisecond)
	set.Duration(&s.HeartbeatInterval, "heartbeat-interval", replica.DefaultHeartbeatInterval, "time between two heartbeats of the leader", millisecond)
	set.Duration(&s.RepairAfter, "repair-after", 0, "how long a voter must be silent before a replica with a blank disk replaces it; 0 for ten election timeouts", setting.Min(time.Duration(0)))
	set.Duration(&s.Lease, "lease", 5*time.Second, "how long an agent counts as live without an announcement", setting.Min(100*time.Millisecond))
	set.Duration(&s.CopyPrice, "copy-price", time.Millisecond, "cost of copying a gigabyte of experts between the ranks of a group, as an equivalent amount of step time", setting.Min(time.Duration(0)))
	set.Bool(&s.RegularJumps, "regular-jumps", false, "under high load, expect the demand for experts to change again after the time that it took before, if that was regular; saves copies")
	set.Duration(&s.ReadInterval, "read-interval", 150*time.Millisecond, "time between two quorum reads, which determine the freshness of the feed", millisecond)
	set.Duration(&s.StopLimit, "stop-limit", 10*time.Second, "limit on the duration of a graceful shutdown", millisecond)
}

// resolve derives the settings that follow from others.
func (s *Settings) resolve(id int, peers []string) error {
	s.ID = uint64(id)
	if s.Host == "" {
		s.Host = "control-" + strconv.Itoa(id)
	}
	s.Telemetry.Host = s.Host
	s.Peers = map[uint64]string{}
	if len(s.Seeds) > 0 {
		return s.resolveSeeds(id, peers)
	}
	if id == 0 {
		return fault.New(fault.Invalid, "neither -id nor -seeds is set", "set -id or -seeds")
	}
	for _, peer := range peers {
		if err := s.addPeer(peer); err != nil {
			return err
		}
	}
	if len(s.Peers) == 0 && !s.Join {
		s.Peers[s.ID] = s.Listen
	}
	if _, listed := s.Peers[s.ID]; !listed {
		return fault.Newf(fault.Invalid, "add "+strconv.Itoa(id)+"=host:port, the address at which the others reach this replica", "-peers does not list this replica, %d", id)
	}
	return nil
}

// resolveSeeds derives the settings that follow from the seeds. A replica that is not a seed,
// or may not bootstrap a cluster, joins one.
func (s *Settings) resolveSeeds(id int, peers []string) error {
	if id != 0 || len(peers) > 0 || s.Join {
		return fault.New(fault.Invalid, "-seeds cannot be combined with -id, -peers or -join", "set either -seeds and -bootstrap, or the others")
	}
	var err error
	if s.ID, err = ReplicaID(s.Listen); err != nil {
		return err
	}
	s.Host = "control-" + strconv.FormatUint(s.ID, 36)
	s.Telemetry.Host = s.Host
	for _, seed := range s.Seeds {
		number, err := ReplicaID(seed)
		if err != nil {
			return err
		}
		s.Peers[number] = seed
	}
	_, isSeed := s.Peers[s.ID]
	s.Join = !s.Bootstrap || !isSeed
	return nil
}

// ReplicaID derives the ID of a replica from its address, an IPv4 address and a port, so that
// all processes derive the same one.
func ReplicaID(address string) (uint64, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || !parsed.Addr().Is4() {
		return 0, fault.Newf(fault.Invalid, "write an IPv4 address and a port, for example 10.0.0.1:7300", "cannot derive a replica ID from %q", address)
	}
	host := parsed.Addr().As4()
	return uint64(binary.BigEndian.Uint32(host[:]))<<16 | uint64(parsed.Port()), nil
}

func (s *Settings) readGroups() error {
	if s.GroupsFile == "" {
		return nil
	}
	groups, err := expertmap.ReadGroups(s.GroupsFile)
	s.Groups = groups
	return err
}

func (s *Settings) addPeer(peer string) error {
	number, addr, found := strings.Cut(peer, "=")
	id, err := strconv.ParseUint(number, 10, 64)
	if !found || err != nil || id == 0 || !strings.Contains(addr, ":") {
		return fault.Newf(fault.Invalid, "write id=host:port, for example 1=10.0.0.1:7300", "malformed item %q of -peers", peer)
	}
	if _, duplicate := s.Peers[id]; duplicate {
		return fault.Newf(fault.Invalid, "give each replica one address", "-peers lists replica %d twice", id)
	}
	s.Peers[id] = addr
	return nil
}

// Default limits on the loads of models and adapters.
const (
	defaultLoads     = 2
	defaultLoadShare = 0.25
)
