package replica

import (
	"math/rand/v2"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Defaults of Config, chosen for replicas about a millisecond apart.
const (
	DefaultElectionTimeout   = time.Second
	DefaultHeartbeatInterval = 100 * time.Millisecond
	DefaultMaxAppendBytes    = 1 << 20
	DefaultMaxInflight       = 64
	DefaultTrailingEntries   = 1024

	// firstHeartbeats is how many heartbeats a start that has heard of no leader
	// waits for one. A start that campaigns although there is a leader, whose
	// heartbeat was lost, does no harm: the pre-vote is refused.
	firstHeartbeats = 1
	// repairTimeouts is the default of RepairAfter in election timeouts.
	repairTimeouts = 10
	// admissionTimeouts is the default of AdmissionWait in election timeouts.
	admissionTimeouts = 2
)

// Config are the settings of a Node.
type Config struct {
	// ID identifies the replica in the membership; not zero.
	ID uint64
	// Addr is the address under which the others reach this replica.
	Addr string
	// Disk is the label of the data folder, with the incarnation of this start.
	Disk *pb.DiskLabel
	// Boot is a random nonce of this start.
	Boot uint64
	// Peers are the initial voters, or with Join the replicas to announce to.
	Peers map[uint64]string
	// Join keeps a blank disk from bootstrapping a new cluster.
	Join bool
	// ElectionTimeout is how long a follower waits for a leader that it has heard.
	// The actual wait is random, up to twice as long.
	ElectionTimeout time.Duration
	// HeartbeatInterval is the pause between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// RepairAfter is how long a member must be silent before a blank disk may
	// take its place.
	RepairAfter time.Duration
	// Voters is the number of voters that the cluster keeps by itself, taking
	// unknown replicas with blank disks in; zero leaves members to the operator.
	Voters int
	// AdmissionWait is how long a started replica waits for all witnesses before
	// it makes do with a quorum.
	AdmissionWait time.Duration
	// MaxAppendBytes bounds the entries of one append message.
	MaxAppendBytes int
	// MaxInflight bounds the unacknowledged append messages for each member.
	MaxInflight int
	// Trailing is the number of entries kept behind a snapshot for members that
	// are a little behind.
	TrailingEntries uint64
	// Rand spreads election timeouts and draws the cluster identity.
	Rand *rand.Rand
}

// Saved is what the disk held at the start.
type Saved struct {
	// HardState is the last one persisted; nil for none.
	HardState *pb.HardState
	// Snapshot is the last one persisted; nil for none.
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
		return fault.New(fault.Invalid, "the disk label is empty", "open the data folder first")
	case c.Rand == nil:
		return fault.New(fault.Invalid, "no random source", "set Config.Rand")
	case c.HeartbeatInterval*2 > c.ElectionTimeout:
		return fault.Newf(fault.Invalid, "use an election timeout of at least twice the heartbeat interval",
			"heartbeat interval %v is too long for election timeout %v", c.HeartbeatInterval, c.ElectionTimeout)
	}
	return nil
}
