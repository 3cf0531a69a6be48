package contract

import (
	"cmp"
	"slices"
	"sync/atomic"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// objectKind is the kind of an object of the configuration. The values are part of
// plans and of stored state and must not change.
type objectKind string

const (
	workspaceKind objectKind = "workspace"
	modelKind     objectKind = "model"
	serviceKind   objectKind = "service"
	endpointKind  objectKind = "endpoint"
	policyKind    objectKind = "policy"
	mapKind       objectKind = "map"
	siteKind      objectKind = "site"
	zoneKind      objectKind = "zone"
)

// objectRef identifies one object of the configuration.
type objectRef struct {
	kind objectKind
	name string
}

func compareRefs(a, b objectRef) int {
	return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
}

// changeRingSize is the number of past revisions from which DeltaSince can compute a
// delta.
const changeRingSize = 4096

// changeRing is a ring buffer of the objects that each of the latest revisions
// changed. It is not part of a snapshot: after restoring one, a replica sends watchers
// of older revisions the whole configuration.
type changeRing struct {
	// changed holds the objects of revision r at index r modulo changeRingSize.
	changed [changeRingSize][]objectRef
	// oldest is the first revision in the ring, or zero if the ring is empty.
	oldest uint64
}

func (r *changeRing) add(revision uint64, refs []objectRef) {
	r.changed[revision%changeRingSize] = refs
	if r.oldest == 0 {
		r.oldest = revision
	}
	if revision-r.oldest >= changeRingSize {
		r.oldest = revision - changeRingSize + 1
	}
}

// commit creates a new revision from changed objects, which the caller has already
// stored with the revision s.revision+1. The caller must hold mu.
func (s *State) commit(refs []objectRef) {
	s.revision++
	s.changes.add(s.revision, refs)
}

// DeltaSince returns the changes between the configuration at revision and the current
// one. It returns false if revision is too old or in the future; the caller then needs
// the whole Configuration.
func (s *State) DeltaSince(revision uint64) (*fleetv1.Delta, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if revision > s.revision {
		return nil, false
	}
	delta := &fleetv1.Delta{FromRevision: revision, ToRevision: s.revision}
	if revision == s.revision {
		return delta, true
	}
	if s.changes.oldest == 0 || revision+1 < s.changes.oldest {
		return nil, false
	}
	var refs []objectRef
	for r := revision + 1; r <= s.revision; r++ {
		refs = append(refs, s.changes.changed[r%changeRingSize]...)
	}
	slices.SortFunc(refs, compareRefs)
	for _, ref := range slices.Compact(refs) {
		s.addToDelta(delta, ref)
	}
	return delta, true
}

// addToDelta adds the current record of an object, or its removal, to delta. Maps
// and policies are never removed.
func (s *State) addToDelta(delta *fleetv1.Delta, ref objectRef) {
	switch ref.kind {
	case workspaceKind:
		if entry := s.workspaces[ref.name]; entry != nil {
			delta.Workspaces = append(delta.Workspaces, entry.message)
		} else {
			delta.RemovedWorkspaces = append(delta.RemovedWorkspaces, ref.name)
		}
	case modelKind:
		if entry := s.models[ref.name]; entry != nil {
			delta.Models = append(delta.Models, entry.message)
		} else {
			delta.RemovedModels = append(delta.RemovedModels, ref.name)
		}
	case serviceKind:
		if entry := s.services[ref.name]; entry != nil {
			delta.Services = append(delta.Services, entry.message)
		} else {
			delta.RemovedServices = append(delta.RemovedServices, ref.name)
		}
	case endpointKind:
		if entry := s.endpoints[ref.name]; entry != nil {
			delta.Endpoints = append(delta.Endpoints, entry.message)
		} else {
			delta.RemovedEndpoints = append(delta.RemovedEndpoints, ref.name)
		}
	case policyKind:
		delta.Policies = append(delta.Policies, s.policies[ref.name].message)
	case mapKind:
		delta.Maps = append(delta.Maps, s.maps[ref.name].forDaemons())
	case siteKind:
		delta.Site = s.site.forDaemons()
	}
}

// configurationCache holds the configuration that was built last.
type configurationCache struct {
	latest atomic.Pointer[fleetv1.Configuration]
}

func (c *configurationCache) clear() { c.latest.Store(nil) }

// Configuration returns the whole accepted configuration with every list sorted.
func (s *State) Configuration() *fleetv1.Configuration {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if cached := s.cache.latest.Load(); cached != nil && cached.GetRevision() == s.revision {
		return cached
	}
	built := s.buildConfiguration()
	s.cache.latest.Store(built)
	return built
}

func (s *State) buildConfiguration() *fleetv1.Configuration {
	configuration := &fleetv1.Configuration{Revision: s.revision}
	for _, name := range sortedKeys(s.workspaces) {
		configuration.Workspaces = append(configuration.Workspaces, s.workspaces[name].message)
	}
	for _, name := range sortedKeys(s.models) {
		configuration.Models = append(configuration.Models, s.models[name].message)
	}
	for _, name := range sortedKeys(s.services) {
		configuration.Services = append(configuration.Services, s.services[name].message)
	}
	for _, id := range sortedKeys(s.endpoints) {
		configuration.Endpoints = append(configuration.Endpoints, s.endpoints[id].message)
	}
	for _, group := range sortedKeys(s.policies) {
		configuration.Policies = append(configuration.Policies, s.policies[group].message)
	}
	for _, group := range sortedKeys(s.maps) {
		configuration.Maps = append(configuration.Maps, s.maps[group].forDaemons())
	}
	configuration.Site = s.site.forDaemons()
	return configuration
}
