package control

import (
	"context"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// Log is the part of the replicated log that the daemon uses. *server.Server implements it.
type Log interface {
	// Propose commits a command and returns the result of applying it.
	Propose(ctx context.Context, data []byte) (any, error)
	// ReadIndex returns once everything committed before the call is applied.
	ReadIndex(ctx context.Context) (uint64, error)
	// Leader returns the leader and its term as far as this replica knows, and whether it is
	// this replica.
	Leader() (id uint64, addr string, term uint64, self bool)
	// LeaderlessFor returns for how long this replica has known no leader; zero if it knows one.
	LeaderlessFor() time.Duration
	// LeaderChanged returns a channel that is closed when the leader or the term changes.
	LeaderChanged() <-chan struct{}
	// Applied returns the index up to which the state is applied.
	Applied() uint64
}

// stateMachine is the replicated state, to which the log applies commands. It notifies watchers
// of new revisions.
type stateMachine struct {
	state *contract.State

	mu       sync.Mutex
	revision uint64
	changed  chan struct{}
}

func newStateMachine() *stateMachine {
	return &stateMachine{state: contract.NewState(), changed: make(chan struct{})}
}

// Apply implements server.StateMachine.
func (m *stateMachine) Apply(index, term uint64, data []byte) any {
	result := m.state.Apply(index, term, data)
	m.notifyWatchers()
	return result
}

// Snapshot implements server.StateMachine.
func (m *stateMachine) Snapshot() ([]byte, error) { return m.state.Snapshot() }

// Capture implements server.Capturer.
func (m *stateMachine) Capture() func() ([]byte, error) { return m.state.Capture() }

// Restore implements server.StateMachine.
func (m *stateMachine) Restore(data []byte) error {
	err := m.state.Restore(data)
	m.notifyWatchers()
	return err
}

// notifyWatchers wakes the watchers if there is a new revision.
func (m *stateMachine) notifyWatchers() {
	revision := m.state.Revision()
	m.mu.Lock()
	defer m.mu.Unlock()
	if revision == m.revision {
		return
	}
	m.revision = revision
	close(m.changed)
	m.changed = make(chan struct{})
}

// Changed returns a channel that is closed at the next new revision.
func (m *stateMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

// propose commits a command and returns its result. The error is that of the log, or the one
// with which the state rejected the command.
func propose(ctx context.Context, log Log, data []byte, err error) (*contract.Result, error) {
	if err != nil {
		return nil, err
	}
	applied, err := log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, ok := applied.(*contract.Result)
	if !ok {
		return nil, fault.Newf(fault.Internal, "report this as a defect", "the log returned an unexpected result of type %T", applied)
	}
	if result.Err != nil {
		return result, result.Err
	}
	return result, nil
}
