package control

import (
	"context"
	"log/slog"
	"sync"
	"time"

	replicav1 "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/replica"
	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/wait"
)

// driver does background work for the duration of a leadership. It returns when ctx ends.
type driver func(ctx context.Context, l *leadership)

// termManager begins a leadership for each term that this replica leads.
type termManager struct {
	log     Log
	state   *contract.State
	lease   time.Duration
	logger  *slog.Logger
	drivers []driver

	mu     sync.Mutex
	active *leadership
}

// current implements leadershipSource.
func (t *termManager) current() *leadership {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active
}

func (t *termManager) set(l *leadership) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active = l
}

// run begins and ends leaderships until ctx ends.
func (t *termManager) run(ctx context.Context) {
	for ctx.Err() == nil {
		changed := t.log.LeaderChanged()
		_, _, term, self := t.log.Leader()
		if self {
			t.lead(ctx, term, changed)
			continue
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// lead does the leader's work until the leader or the term changes. It returns only after all
// drivers have returned.
func (t *termManager) lead(ctx context.Context, term uint64, changed <-chan struct{}) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l, err := beginLeadership(ctx, t.log, t.state, term, t.lease, t.logger.With("term", term))
	if err != nil {
		t.logger.Info("beginning the leadership of a term failed", "term", term, "error", err)
		wait.For(ctx, leaderRetry)
		return
	}
	t.set(l)
	defer t.set(nil)
	termsLed.Inc()
	t.logger.Info("leading", "term", term, "fence", l.fence, "revision", t.state.Revision())
	var group sync.WaitGroup
	group.Go(func() { l.expireLeases(ctx) })
	for _, drive := range t.drivers {
		group.Go(func() { drive(ctx, l) })
	}
	select {
	case <-changed:
	case <-ctx.Done():
	}
	t.set(nil)
	cancel()
	group.Wait()
	t.logger.Info("no longer leading", "term", term)
}

// isVoter reports whether the replica is a voter in the membership.
func isVoter(status server.Status, id uint64) bool {
	return replica.FindMember(status.Membership, id).GetRole() == replicav1.Role_ROLE_VOTER
}
