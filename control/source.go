package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	replicav1 "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/wait"
)

// feedSource provides the replica's state to the feed.
type feedSource struct {
	*stateMachine
	lastRead quorumRead
	replicas knownReplicas
}

// membershipReader reads the current membership. *server.Server implements it.
type membershipReader interface{ Status() server.Status }

// knownReplicas holds the members' addresses as of the last read.
type knownReplicas struct {
	mu    sync.Mutex
	addrs []string
}

func (k *knownReplicas) set(addrs []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.addrs = addrs
}

func (k *knownReplicas) get() []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.addrs
}

// Replicas implements feed.ReplicaSource.
func (s *feedSource) Replicas() []string { return s.replicas.get() }

// updateReplicas reads the members' addresses, voters first.
func (s *feedSource) updateReplicas(log membershipReader) {
	var voters, others []string
	for _, member := range log.Status().Membership.GetMembers() {
		if member.GetRole() == replicav1.Role_ROLE_VOTER {
			voters = append(voters, member.GetAddr())
		} else {
			others = append(others, member.GetAddr())
		}
	}
	s.replicas.set(append(voters, others...))
}

// quorumRead is the latest revision that a quorum read confirmed.
type quorumRead struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time
	ok       bool
}

func (q *quorumRead) set(revision uint64, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.ok && !at.After(q.at) {
		return
	}
	q.revision, q.at, q.ok = revision, at, true
}

func (q *quorumRead) get() (revision uint64, at time.Time, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.revision, q.at, q.ok
}

func newFeedSource(m *stateMachine) *feedSource { return &feedSource{stateMachine: m} }

// Revision implements feed.Source.
func (s *feedSource) Revision() uint64 { return s.state.Revision() }

// Configuration implements feed.Source.
func (s *feedSource) Configuration() *fleetv1.Configuration { return s.state.Configuration() }

// DeltaSince implements feed.Source.
func (s *feedSource) DeltaSince(revision uint64) *fleetv1.Delta {
	delta, ok := s.state.DeltaSince(revision)
	if !ok {
		return nil
	}
	return delta
}

// Freshness implements feed.Source.
func (s *feedSource) Freshness() (revision uint64, at time.Time, ok bool) { return s.lastRead.get() }

// pollQuorum reads the revision through a quorum periodically until ctx ends. The time of a
// read is taken before it is requested, so that it is never later than the quorum's response.
func (s *feedSource) pollQuorum(ctx context.Context, log Log, interval time.Duration, logger *slog.Logger) {
	failing := false
	for ctx.Err() == nil {
		at := time.Now()
		_, err := log.ReadIndex(ctx)
		if err == nil {
			s.lastRead.set(s.state.Revision(), at)
			if reader, ok := log.(membershipReader); ok {
				s.updateReplicas(reader)
			}
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			logger.Info("quorum reads started or stopped working", "works", !failing, "error", err)
		}
		wait.For(ctx, interval-time.Since(at))
	}
}
