package standin

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// orderHandler carries out orders, with or without checking their fencing tokens.
type orderHandler struct {
	faults      *faultState
	maps        *loadedMaps
	mapLoadTime time.Duration

	// held is the number of orders that Faults.HoldMaps blocks.
	held atomic.Int64

	mu            sync.Mutex
	checksFencing bool
	state         engineapi.State
}

func (o *orderHandler) get() engineapi.State {
	o.mu.Lock()
	defer o.mu.Unlock()
	state := o.state
	state.Adapters = slices.Clone(state.Adapters)
	return state
}

// adapters returns the loaded adapters, as an empty slice instead of nil if there are none.
func (o *orderHandler) adapters() []string { return append([]string{}, o.get().Adapters...) }

// serveHeld returns the number of orders that are blocked.
func (o *orderHandler) serveHeld(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, o.held.Load())
}

func (o *orderHandler) serve(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, o.get())
		return
	}
	var order engineapi.Order
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if order.Kind == engineapi.OrderLoadMap {
		time.Sleep(o.mapLoadTime)
		o.held.Add(1)
		for o.faults.get().HoldMaps {
			time.Sleep(stallPollInterval)
		}
		o.held.Add(-1)
	}
	writeJSON(w, o.execute(order), o.get())
}

func (o *orderHandler) execute(order engineapi.Order) (status int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	enforceFencing := o.checksFencing && !o.faults.get().IgnoreFencing
	if enforceFencing && order.Fence < o.state.Fence {
		return http.StatusConflict
	}
	switch order.Kind {
	case engineapi.OrderLoadModel:
		o.state.Model, o.state.Version = order.Model, order.Version
	case engineapi.OrderLoadAdapter:
		if !slices.Contains(o.state.Adapters, order.Adapter) {
			o.state.Adapters = append(o.state.Adapters, order.Adapter)
		}
	case engineapi.OrderUnloadAdapter:
		o.state.Adapters = slices.DeleteFunc(o.state.Adapters, func(a string) bool { return a == order.Adapter })
	case engineapi.OrderChangeRole:
		o.state.Role = order.Role
	case engineapi.OrderLoadMap:
		if status := o.maps.load(order); status != http.StatusOK {
			return status
		}
	default:
		return http.StatusBadRequest
	}
	o.state.Orders++
	if enforceFencing {
		o.state.Fence = order.Fence
	}
	return http.StatusOK
}
