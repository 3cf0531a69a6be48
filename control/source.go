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

// source publishes the replica's state on the feed.
type source struct {
	*machine
	confirmed confirmed
	replicas  knownReplicas
}

// membershipReader reads the present membership; *server.Server is one.
type membershipReader interface{ Status() server.Status }

// knownReplicas are the addresses of the members, as they were last read.
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
func (s *source) Replicas() []string { return s.replicas.get() }

// readMembers reads the membership, voters first.
func (s *source) readMembers(log membershipReader) {
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

// confirmed is the latest reading that a quorum confirmed.
type confirmed struct {
	mu       sync.Mutex
	revision uint64
	at       time.Time
	ok       bool
}

func (c *confirmed) set(revision uint64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ok && !at.After(c.at) {
		return
	}
	c.revision, c.at, c.ok = revision, at, true
}

func (c *confirmed) get() (revision uint64, at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision, c.at, c.ok
}

func newSource(m *machine) *source { return &source{machine: m} }

// Revision implements feed.Source.
func (s *source) Revision() uint64 { return s.state.Revision() }

// Configuration implements feed.Source.
func (s *source) Configuration() *fleetv1.Configuration { return s.state.Configuration() }

// DeltaSince implements feed.Source.
func (s *source) DeltaSince(revision uint64) *fleetv1.Delta {
	delta, ok := s.state.DeltaSince(revision)
	if !ok {
		return nil
	}
	return delta
}

// Freshness implements feed.Source.
func (s *source) Freshness() (revision uint64, at time.Time, ok bool) { return s.confirmed.get() }

// confirm reads the revision through a quorum again and again until ctx ends.
// The time of a reading is taken before it is asked for, so that it is never
// later than the quorum's answer.
func (s *source) confirm(ctx context.Context, log Log, interval time.Duration, logger *slog.Logger) {
	failing := false
	for ctx.Err() == nil {
		at := time.Now()
		_, err := log.ReadIndex(ctx)
		if err == nil {
			s.confirmed.set(s.state.Revision(), at)
			if reader, ok := log.(membershipReader); ok {
				s.readMembers(reader)
			}
		}
		if (err != nil) != failing && ctx.Err() == nil {
			failing = err != nil
			logger.Info("reading through a quorum", "works", !failing, "error", err)
		}
		wait.For(ctx, interval-time.Since(at))
	}
}
