package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// loadedState holds what each engine of the host has loaded, as read back from the engines
// themselves. It overrides the endpoints file, which is out of date once an order has been carried
// out.
type loadedState struct {
	mu       sync.Mutex
	byEngine map[string]engineapi.State
	// changes is the number of times that the state of any engine was found to have changed.
	changes uint64
}

func newLoadedState() *loadedState { return &loadedState{byEngine: make(map[string]engineapi.State)} }

// record stores the state that was read back from an engine.
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

// changeCount returns a counter that is incremented by every change of state.
func (l *loadedState) changeCount() uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changes
}

// apply overwrites the fields of e that come from the endpoints file with the state read back, if
// there is one.
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

// readLoaded reads back what an engine has loaded and records it in l. Status is the HTTP status of
// the engine's response: 404 from an engine that does not support orders.
func (c *endpointClient) readLoaded(ctx context.Context, e Endpoint, l *loadedState) (state engineapi.State, status int, err error) {
	status, err = c.exchange(ctx, http.MethodGet, e, engineapi.PathOrders, nil, &state)
	if err == nil && status == http.StatusOK {
		l.record(e.ID, state)
	}
	return state, status, err
}
