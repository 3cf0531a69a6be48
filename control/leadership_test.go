package control

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/wait"
)

// fakeLog commits immediately and takes readDelay for a quorum read.
type fakeLog struct {
	state     *contract.State
	readDelay time.Duration
	// leaderless is for how long no leader has been known.
	leaderless time.Duration

	mu    sync.Mutex
	index uint64
}

func (l *fakeLog) Propose(_ context.Context, data []byte) (any, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.index++
	return l.state.Apply(l.index, 1, data), nil
}

func (l *fakeLog) ReadIndex(ctx context.Context) (uint64, error) {
	wait.For(ctx, l.readDelay)
	return l.Applied(), ctx.Err()
}

func (l *fakeLog) Leader() (uint64, string, uint64, bool) { return 1, "", 1, true }
func (l *fakeLog) LeaderChanged() <-chan struct{}         { return nil }
func (l *fakeLog) LeaderlessFor() time.Duration           { return l.leaderless }

func (l *fakeLog) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// beginTestLeadership begins a leadership and checks its leases until it ends.
func beginTestLeadership(t *testing.T, log *fakeLog) (l *leadership, end func()) {
	t.Helper()
	l, err := beginLeadership(t.Context(), log, log.state, 1, 5*time.Second, slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.expireLeases(ctx)
	return l, cancel
}

// Renewals are not logged, an agent that stops renewing loses its lease, and a new leader
// grants every agent a full lease before it expires any.
func TestLeasesSurviveLeaderChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		log := &fakeLog{state: contract.NewState()}
		first, endFirst := beginTestLeadership(t, log)
		request := announcement("agent-1", 1, "engine-1")
		_, err := first.announce(t.Context(), request)
		is.NoErr(err)
		before := log.Applied()
		for range 30 {
			time.Sleep(time.Second)
			response, err := first.announce(t.Context(), &controlv1.AnnounceRequest{Agent: "agent-1", Incarnation: 1})
			is.NoErr(err)
			is.True(!response.GetSendFull())
		}
		is.Equal(log.Applied(), before) // renewals are not logged
		live := func() bool { agent, _ := log.state.Agent("agent-1"); return agent.Live }
		time.Sleep(4 * time.Second)
		endFirst()
		second, _ := beginTestLeadership(t, log) // 4 s after the last renewal
		time.Sleep(4 * time.Second)
		is.True(live()) // the new leader has granted a full lease
		time.Sleep(2 * time.Second)
		is.True(!live())
		response, err := second.announce(t.Context(), &controlv1.AnnounceRequest{Agent: "agent-1", Incarnation: 1})
		is.NoErr(err)
		is.True(response.GetSendFull())
		_, err = second.announce(t.Context(), request)
		is.NoErr(err)
		is.True(live())
	})
}

// A process that was paused for longer than a lease finds every lease overdue. It must not
// expire an agent whose announcements waited in the socket buffers, and must expire a failed
// agent after it has listened for the rest of a lease.
func TestPausedLeaderExpiresNoLiveAgent(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Freeze}, Step: "leader paused for longer than a lease",
		Guard: "the time of a pause is not counted against leases"}.Log(t)
	is := is.New(t)
	const lease = 5 * time.Second
	live, failed := contract.AgentRef{Name: "here", Incarnation: 1}, contract.AgentRef{Name: "gone", Incarnation: 1}
	l := newLeases(0, lease, nil)
	now := time.Duration(0)
	l.renew(now, live)
	l.renew(now, failed)
	now += l.checkInterval()
	is.Equal(len(l.expired(now)), 0)
	now += 2 * lease
	is.Equal(len(l.expired(now)), 0)
	for range checksPerLease {
		now += l.checkInterval()
		l.renew(now, live)
		if expired := l.expired(now); len(expired) > 0 {
			is.Equal(expired, []contract.AgentRef{failed})
			return
		}
	}
	t.Fatal("the lease of the failed agent did not expire")
}

// The age of a slow quorum read counts from when the read was requested.
func TestReplicaDoesNotOverstateItsFreshness(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.DelayedMessages}, Step: "slow quorum read",
		Guard: "the time of a read is taken before it is requested"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newStateMachine()
		s := newFeedSource(m)
		log := &fakeLog{state: m.state, readDelay: 3 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		requested := time.Now()
		go s.pollQuorum(ctx, log, 100*time.Millisecond, slog.New(slog.DiscardHandler))
		time.Sleep(time.Second)
		_, _, ok := s.Freshness()
		is.True(!ok)
		time.Sleep(2500 * time.Millisecond)
		_, at, ok := s.Freshness()
		is.True(ok)
		is.Equal(at, requested)
	})
}

// The rate of the renewals that a leader asks for stays bounded for any number of agents, and a
// lease still spans several renewals.
func TestRenewalRateIsBounded(t *testing.T) {
	is := is.New(t)
	const lease = 5 * time.Second
	for _, agents := range []int{3, 312, 2_500} {
		l := newLeases(0, lease, nil)
		for i := range agents {
			l.renew(0, contract.AgentRef{Name: fmt.Sprint("agent-", i), Incarnation: 1})
		}
		interval := max(l.renewInterval(), 500*time.Millisecond) // between two renewals of one agent
		t.Logf("%d agents: a lease of %v, renewed each %v", agents, l.effectiveDuration(), l.renewInterval())
		is.True(time.Duration(agents)*time.Second <= maxRenewalsPerSecond*interval)
		is.True(l.effectiveDuration() >= lease)
		is.True(l.effectiveDuration() >= renewalsPerLease*l.renewInterval())
	}
}
