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

// fakeLog commits at once and takes readDelay for a reading.
type fakeLog struct {
	state     *contract.State
	readDelay time.Duration

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

func (l *fakeLog) Applied() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.index
}

// beginTestLeadership begins a leadership whose leases are watched until it ends.
func beginTestLeadership(t *testing.T, log *fakeLog) (l *leadership, end func()) {
	t.Helper()
	l, err := beginLeadership(t.Context(), log, log.state, 1, 5*time.Second, slog.New(slog.DiscardHandler))
	is.New(t).NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go l.expire(ctx)
	return l, cancel
}

// Renewals stay out of the log, silence ends a lease, and a new leader gives
// every agent a full lease before it expires any.
func TestLeasesOutliveTheLeader(t *testing.T) {
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
		is.Equal(log.Applied(), before) // renewals cost nothing in the log
		live := func() bool { agent, _ := log.state.Agent("agent-1"); return agent.Live }
		time.Sleep(4 * time.Second)
		endFirst()
		second, _ := beginTestLeadership(t, log) // 4 s after the last renewal
		time.Sleep(4 * time.Second)
		is.True(live()) // the successor has granted a full lease
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

// A process that was paused for longer than a lease finds every lease overdue. It
// ends none of an agent whose announcements waited in the sockets, and that of an
// agent that is gone after it has listened for the rest of a lease.
func TestPausedLeaderExpiresNoLiveAgent(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Freeze}, Step: "leader paused for longer than a lease",
		Guard: "the time of a pause is not counted against leases"}.Log(t)
	is := is.New(t)
	const lease = 5 * time.Second
	here, gone := contract.AgentRef{Name: "here", Incarnation: 1}, contract.AgentRef{Name: "gone", Incarnation: 1}
	l := newLeases(0, lease, nil)
	now := time.Duration(0)
	l.renew(now, here)
	l.renew(now, gone)
	now += l.interval()
	is.Equal(len(l.expired(now)), 0)
	now += 2 * lease
	is.Equal(len(l.expired(now)), 0)
	for range leaseChecks {
		now += l.interval()
		l.renew(now, here)
		if ended := l.expired(now); len(ended) > 0 {
			is.Equal(ended, []contract.AgentRef{gone})
			return
		}
	}
	t.Fatal("the lease of an agent that is gone goes on")
}

// A slow reading through a quorum counts from when it was asked for.
func TestReplicaDoesNotOverstateItsFreshness(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.Late}, Step: "reading through a quorum that takes long",
		Guard: "the time of a reading is taken before it is asked for"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := newMachine()
		s := newSource(m)
		log := &fakeLog{state: m.state, readDelay: 3 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		asked := time.Now()
		go s.confirm(ctx, log, 100*time.Millisecond, slog.New(slog.DiscardHandler))
		time.Sleep(time.Second)
		_, _, ok := s.Freshness()
		is.True(!ok)
		time.Sleep(2500 * time.Millisecond)
		_, at, ok := s.Freshness()
		is.True(ok)
		is.Equal(at, asked)
	})
}

// The renewals that a leader asks for stay below a bound however many agents
// there are, and a lease still spans several of them.
func TestRenewalsStayBounded(t *testing.T) {
	is := is.New(t)
	const lease = 5 * time.Second
	for _, agents := range []int{3, 312, 2_500} {
		l := newLeases(0, lease, nil)
		for i := range agents {
			l.renew(0, contract.AgentRef{Name: fmt.Sprint("agent-", i), Incarnation: 1})
		}
		pause := max(l.pace(), 500*time.Millisecond) // between two renewals of one agent
		t.Logf("%d agents: a lease of %v, renewed each %v", agents, l.full(), l.pace())
		is.True(time.Duration(agents)*time.Second <= maxRenewals*pause)
		is.True(l.full() >= lease)
		is.True(l.full() >= renewalsPerLease*l.pace())
	}
}
