package feed

import (
	"sync"

	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// maxCachedUpdates bounds the number of encoded updates in the cache.
const maxCachedUpdates = 64

// update is an encoded snapshot or delta that updates a daemon to a revision.
type update struct {
	prepared *grpc.PreparedMsg
	revision uint64
}

// encoder encodes each update once for all watchers that need the same one. It
// caches only updates to the latest revision.
type encoder struct {
	mu       sync.Mutex
	revision uint64
	cache    map[uint64]*update
}

// update returns the update that takes a daemon from the given revision to the
// latest one; nil if there is none.
func (e *encoder) update(stream watchStream, source Source, from uint64) (*update, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	latest := source.Revision()
	if latest <= from {
		return nil, nil
	}
	if e.revision != latest {
		e.revision = latest
		e.cache = map[uint64]*update{}
	}
	if cached, ok := e.cache[from]; ok {
		return cached, nil
	}
	delta := deltaSince(source, from)
	if delta == nil {
		return e.snapshot(stream, source)
	}
	response := &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Delta{Delta: delta}}
	return e.encode(stream, response, from, delta.GetToRevision())
}

// snapshot returns an update with the complete latest configuration.
func (e *encoder) snapshot(stream watchStream, source Source) (*update, error) {
	if cached, ok := e.cache[0]; ok {
		return cached, nil
	}
	configuration := source.Configuration()
	if configuration == nil {
		return nil, nil
	}
	response := &controlv1.WatchResponse{Kind: &controlv1.WatchResponse_Snapshot{Snapshot: configuration}}
	return e.encode(stream, response, 0, configuration.GetRevision())
}

func (e *encoder) encode(stream watchStream, response *controlv1.WatchResponse, from, to uint64) (*update, error) {
	encoded := &update{prepared: &grpc.PreparedMsg{}, revision: to}
	if err := encoded.prepared.Encode(stream, response); err != nil {
		return nil, err
	}
	if len(e.cache) < maxCachedUpdates {
		e.cache[from] = encoded
	}
	return encoded, nil
}

// deltaSince returns nil if the daemon needs a snapshot.
func deltaSince(source Source, from uint64) *fleetv1.Delta {
	if from == 0 {
		return nil
	}
	return source.DeltaSince(from)
}
