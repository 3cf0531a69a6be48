package e2e

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/proof"
)

// pauseDuration is longer than the default lease of an agent.
const pauseDuration = 7 * time.Second

// The only control replica of a small site is paused for longer than a lease. The agents were
// available throughout, so none of their endpoints may leave.
func TestPausedSingleReplicaExpiresNoLease(t *testing.T) {
	t.Parallel() // mostly waiting
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "the only control replica, longer than a lease", SeparateProcesses: true,
		Guard: "the time of a pause is not counted against leases"}.Log(t)
	is := is.New(t)
	s := newStoppedSite(t, 1)
	s.startAll(t)
	before := s.configuration(t).GetRevision()
	s.controlProcs[0].signal(syscall.SIGSTOP)
	time.Sleep(pauseDuration)
	s.controlProcs[0].signal(syscall.SIGCONT)
	s.awaitServing(t)
	eventually(t, "the agents announce themselves again", func() error {
		return s.daemonAtRevision(t, "agent-0", before)
	})
	is.Equal(s.readMetric(t, s.controlAdminAddrs[0], "lilackeel_control_leases_expired_total"), "0")
	is.Equal(s.configuration(t).GetRevision(), before) // no endpoint left or rejoined
}

// The leader and one host's endpoints are paused together, for longer than the timeouts of the
// daemons that watch them. Nothing has failed permanently, so no endpoint may leave the table.
func TestPausedLeaderAndEndpointsStayInTable(t *testing.T) {
	t.Parallel() // mostly waiting
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "the leader and one host's endpoints, longer than a lease", Combined: true, SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	before := s.configuration(t).GetRevision()
	leader := s.leader(t)
	paused := []*process{s.controlProcs[leader], s.standinProcs[0]}
	for _, p := range paused {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseDuration)
	for _, p := range paused {
		p.signal(syscall.SIGCONT)
	}
	eventually(t, "another replica leads and the paused one is ready", func() error {
		if s.leader(t) == leader {
			return fmt.Errorf("replica %d still leads", leader+1)
		}
		return checkReady(s.controlAdminAddrs[leader])
	})
	s.awaitServing(t)
	is.Equal(s.configuration(t).GetRevision(), before)
}

// leader returns the index of the replica that leads.
func (s *site) leader(t *testing.T) int {
	t.Helper()
	found := 0
	s.callControl(t, "read the leader", func(ctx context.Context, c controlv1.ControlClient) error {
		status, err := c.Status(ctx, &controlv1.StatusRequest{})
		if err == nil && status.GetLeader() == 0 {
			err = errors.New("no known leader")
		}
		found = int(status.GetLeader()) - 1
		return err
	})
	return found
}
