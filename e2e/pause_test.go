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

// pauseTime is longer than the default lease of an agent.
const pauseTime = 7 * time.Second

// The only control replica of a small site is paused for longer than a lease.
// The agents were there all the time: none of their endpoints may leave.
func TestPausedSingleReplicaExpiresNoLease(t *testing.T) {
	t.Parallel() // it mostly waits
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "the only control replica, longer than a lease", SeparateProcesses: true,
		Guard: "the time of a pause is not counted against leases"}.Log(t)
	is := is.New(t)
	s := allocate(t, 1)
	s.startAll(t)
	before := s.configuration(t).GetRevision()
	s.controls[0].signal(syscall.SIGSTOP)
	time.Sleep(pauseTime)
	s.controls[0].signal(syscall.SIGCONT)
	s.awaitServing(t)
	eventually(t, "the agents announce themselves again", func() error {
		return s.daemonActsOn(t, "agent-0", before)
	})
	is.Equal(s.metric(t, s.controlAdmin[0], "lilackeel_control_leases_expired_total"), "0")
	is.Equal(s.configuration(t).GetRevision(), before) // nothing left, nothing came back
}

// The leader and one host's endpoints are paused together, each for longer than
// those wait that watch them. Nothing has gone: no endpoint leaves the table.
func TestPausedLeaderAndEndpointsStayInTable(t *testing.T) {
	t.Parallel() // it mostly waits
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "the leader and one host's endpoints, longer than a lease", Combined: true, SeparateProcesses: true}.Log(t)
	is := is.New(t)
	s := newSite(t)
	before := s.configuration(t).GetRevision()
	leader := s.leader(t)
	paused := []*process{s.controls[leader], s.standins[0]}
	for _, p := range paused {
		p.signal(syscall.SIGSTOP)
	}
	time.Sleep(pauseTime)
	for _, p := range paused {
		p.signal(syscall.SIGCONT)
	}
	eventually(t, "another leads, the paused one follows", func() error {
		if s.leader(t) == leader {
			return fmt.Errorf("replica %d leads", leader+1)
		}
		return ready(s.controlAdmin[leader])
	})
	s.awaitServing(t)
	is.Equal(s.configuration(t).GetRevision(), before)
}

// leader returns the position of the replica that leads.
func (s *site) leader(t *testing.T) int {
	t.Helper()
	found := 0
	s.ask(t, "who leads", func(ctx context.Context, c controlv1.ControlClient) error {
		status, err := c.Status(ctx, &controlv1.StatusRequest{})
		if err == nil && status.GetLeader() == 0 {
			err = errors.New("no leader is known")
		}
		found = int(status.GetLeader()) - 1
		return err
	})
	return found
}
