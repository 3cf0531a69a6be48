package replica

import (
	"math/rand/v2"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Defaults of Config, for replicas about a millisecond of network latency apart.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendBytes    = 1 << 20
	DefaultMaxInflight       = 64
	DefaultTrailingEntries   = 1024
	DefaultTrailingBytes     = 4 << 20

	// initialHeartbeatIntervals is the wait for a leader, in heartbeat intervals,
	// of a replica that has not received a message from any leader since its start.
	// Campaigning although there is a leader, because its heartbeat was lost, is
	// harmless: the pre-vote is refused.
	initialHeartbeatIntervals = 1
	// repairTimeouts is the default of RepairAfter, in election timeouts.
	repairTimeouts = 10
	// admissionTimeouts is the default of AdmissionWait, in election timeouts.
	admissionTimeouts = 2
)

// Config holds the settings of a Node.
type Config struct {
	// ID identifies the replica in the membership. It must not be zero.
	ID uint64
	// Addr is the address at which the other replicas reach this one.
	Addr string
	// Disk is the label of the data directory, with the incarnation of this start.
	Disk *pb.DiskLabel
	// Boot is a random nonce drawn at this start.
	Boot uint64
	// Peers are the initial voters or, with Join, the replicas to send join
	// messages to.
	Peers map[uint64]string
	// Join prevents a replica with a blank disk from bootstrapping a new cluster, unless
	// the label of the disk says that it may.
	Join bool
	// ElectionTimeout is how long a follower waits for a message from its leader
	// before it campaigns. The actual timeout is randomized, up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// RepairAfter is how long a member must have been unresponsive before a replica
	// with a blank disk may replace it.
	RepairAfter time.Duration
	// Voters is the number of voters that the cluster maintains without an
	// operator, by adding unknown replicas with blank disks. Zero leaves membership
	// changes to the operator.
	Voters int
	// AdmissionWait is how long a started replica waits for the agreement of all
	// witnesses before that of a quorum is enough.
	AdmissionWait time.Duration
	// MaxAppendBytes limits the size of the entries in one append message.
	MaxAppendBytes int
	// MaxInflight limits the unacknowledged append messages to each member.
	MaxInflight int
	// TrailingEntries is the number of entries before a snapshot that stay in the
	// log, so that members that are slightly behind need no snapshot.
	TrailingEntries uint64
	// TrailingBytes limits the size of these entries. A member that needs more is
	// sent the snapshot.
	TrailingBytes int
	// Rand randomizes election timeouts and draws the cluster identity.
	Rand *rand.Rand
}

// Saved is the state that was read from the disk at the start.
type Saved struct {
	// HardState is the last persisted one, or nil.
	HardState *pb.HardState
	// Snapshot is the last persisted one, or nil.
	Snapshot *pb.Snapshot
	// Entries follow the snapshot without a gap.
	Entries []*pb.Entry
}

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTimeout, DefaultElectionTimeout)
	setDefault(&c.HeartbeatInterval, min(DefaultHeartbeatInterval, c.ElectionTimeout/5))
	setDefault(&c.RepairAfter, repairTimeouts*c.ElectionTimeout)
	setDefault(&c.AdmissionWait, admissionTimeouts*c.ElectionTimeout)
	setDefault(&c.MaxAppendBytes, DefaultMaxAppendBytes)
	setDefault(&c.MaxInflight, DefaultMaxInflight)
	setDefault(&c.TrailingEntries, DefaultTrailingEntries)
	setDefault(&c.TrailingBytes, DefaultTrailingBytes)
}

func setDefault[T comparable](setting *T, value T) {
	var zero T
	if *setting == zero {
		*setting = value
	}
}

func (c *Config) check() error {
	switch {
	case c.ID == 0:
		return fault.New(fault.Invalid, "the replica id is zero", "give each control replica its own id from 1 on")
	case c.Disk.GetIdentity() == 0 || c.Disk.GetIncarnation() == 0:
		return fault.New(fault.Invalid, "the disk label is empty", "open the data directory first")
	case c.Rand == nil:
		return fault.New(fault.Invalid, "no random source", "set Config.Rand")
	case c.HeartbeatInterval*2 > c.ElectionTimeout:
		return fault.Newf(fault.Invalid, "use an election timeout of at least twice the heartbeat interval",
			"heartbeat interval %v is too long for election timeout %v", c.HeartbeatInterval, c.ElectionTimeout)
	}
	return nil
}
