package standin

import (
	"net/http"
	"slices"
	"sync"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/group"
)

// loadedMaps holds the expert maps whose weights an engine has loaded.
type loadedMaps struct {
	mu     sync.Mutex
	loaded []loadedMap
}

type loadedMap struct {
	engineapi.LoadedMap
	expertMap group.Map
}

// load loads the map of an order and unloads those that the order does not list to be kept.
func (l *loadedMaps) load(order engineapi.Order) (status int) {
	if order.Map == nil {
		return http.StatusBadRequest
	}
	m := group.Map{Layers: order.Map.Layers, Ranks: order.Map.Ranks, SlotsPerRank: order.Map.SlotsPerRank, Slots: order.Map.Slots}
	if m.Digest() != order.Digest || len(m.Slots) != m.Layers*m.Ranks*m.SlotsPerRank {
		return http.StatusBadRequest
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loaded = slices.DeleteFunc(l.loaded, func(old loadedMap) bool {
		return old.Epoch == order.Epoch || !slices.Contains(order.Keep, old.Epoch)
	})
	l.loaded = append(l.loaded, loadedMap{engineapi.LoadedMap{Epoch: order.Epoch, Digest: order.Digest}, m})
	return http.StatusOK
}

func (l *loadedMaps) list() []engineapi.LoadedMap {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []engineapi.LoadedMap
	for _, loaded := range l.loaded {
		list = append(list, loaded.LoadedMap)
	}
	return list
}

func (l *loadedMaps) get(epoch uint64) (group.Map, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, loaded := range l.loaded {
		if loaded.Epoch == epoch {
			return loaded.expertMap, true
		}
	}
	return group.Map{}, false
}
