package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// loaded knows what each engine of the host has loaded, as read back from the
// engines themselves. It takes the place of what the endpoints file says, which
// is out of date once an order has been carried out.
type loadedState struct {
	mu       sync.Mutex
	byEngine map[string]engineapi.State
	// changes counts how often any engine's state was found changed.
	changes uint64
}

func newLoadedState() *loadedState { return &loadedState{byEngine: make(map[string]engineapi.State)} }

// note takes in what an engine was read back to have.
func (l *loadedState) record(engine string, state engineapi.State) {
	slices.Sort(state.Adapters)
	l.mu.Lock()
	defer l.mu.Unlock()
	old, known := l.byEngine[engine]
	l.byEngine[engine] = state
	if !known || !sameState(old, state) {
		l.changes++
	}
}

// changed returns a number that grows with every change.
func (l *loadedState) changeCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// apply overwrites what the endpoints file says of an engine.
func (l *loadedState) apply(e *fleetv1.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	state, known := l.byEngine[e.GetId()]
	if !known {
		return
	}
	e.Model, e.Version, e.Role = state.Model, state.Version, state.Role
	e.Adapters = slices.Clone(state.Adapters)
}

func sameState(a, b engineapi.State) bool {
	return a.Model == b.Model && a.Version == b.Version && a.Role == b.Role && slices.Equal(a.Adapters, b.Adapters)
}

// readLoaded reads back what an engine has loaded. Status is the engine's
// answer; an engine without orders answers 404.
func (c *endpointClient) readLoaded(ctx context.Context, e Endpoint, l *loadedState) (state engineapi.State, status int, err error) {
	status, err = c.exchange(ctx, http.MethodGet, e, engineapi.PathOrders, nil, &state)
	if err == nil && status == http.StatusOK {
		l.record(e.ID, state)
	}
	return state, status, err
}
