package feed

import (
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// journal keeps the latest deltas in order and merges those that a watcher has
// not received. It is bounded by the number of records in the deltas.
type journal struct {
	deltas  []*fleetv1.Delta
	records int
	limit   int
}

// add appends a delta that covers all changes since the last one or since an
// earlier revision. If there is a gap, the previous deltas are discarded.
func (j *journal) add(delta *fleetv1.Delta) {
	if n := len(j.deltas); n > 0 && j.deltas[n-1].GetToRevision() < delta.GetFromRevision() {
		j.clear()
	}
	j.deltas = append(j.deltas, delta)
	j.records += deltaRecords(delta)
	for len(j.deltas) > 1 && j.records > j.limit {
		j.records -= deltaRecords(j.deltas[0])
		j.deltas = j.deltas[1:]
	}
}

// clear discards all deltas.
func (j *journal) clear() { j.deltas, j.records = nil, 0 }

// since merges all deltas after the revision. It returns nil if the journal does
// not reach back that far or there are none.
func (j *journal) since(revision uint64) *fleetv1.Delta {
	if len(j.deltas) == 0 || j.deltas[0].GetFromRevision() > revision {
		return nil
	}
	first := len(j.deltas)
	for first > 0 && j.deltas[first-1].GetToRevision() > revision {
		first--
	}
	pending := j.deltas[first:]
	if len(pending) == 0 {
		return nil
	}
	if len(pending) == 1 {
		return pending[0]
	}
	return merge(pending)
}

func deltaRecords(d *fleetv1.Delta) int {
	return 1 + len(d.GetWorkspaces()) + len(d.GetModels()) + len(d.GetServices()) + len(d.GetEndpoints()) +
		len(d.GetPolicies()) + len(d.GetMaps()) + len(d.GetRemovedWorkspaces()) + len(d.GetRemovedModels()) +
		len(d.GetRemovedServices()) + len(d.GetRemovedEndpoints())
}

// merge joins consecutive deltas into one.
func merge(deltas []*fleetv1.Delta) *fleetv1.Delta {
	var (
		workspaces = newMerger((*fleetv1.Workspace).GetName)
		models     = newMerger((*fleetv1.Model).GetName)
		services   = newMerger((*fleetv1.Service).GetName)
		endpoints  = newMerger((*fleetv1.Endpoint).GetId)
		policies   = newMerger((*fleetv1.BalancePolicy).GetGroup)
		maps       = newMerger((*fleetv1.MapRecord).GetGroup)
	)
	for _, d := range deltas {
		workspaces.add(d.GetWorkspaces(), d.GetRemovedWorkspaces())
		models.add(d.GetModels(), d.GetRemovedModels())
		services.add(d.GetServices(), d.GetRemovedServices())
		endpoints.add(d.GetEndpoints(), d.GetRemovedEndpoints())
		policies.add(d.GetPolicies(), nil)
		maps.add(d.GetMaps(), nil)
	}
	merged := &fleetv1.Delta{
		FromRevision: deltas[0].GetFromRevision(),
		ToRevision:   deltas[len(deltas)-1].GetToRevision(),
	}
	merged.Workspaces, merged.RemovedWorkspaces = workspaces.result()
	merged.Models, merged.RemovedModels = models.result()
	merged.Services, merged.RemovedServices = services.result()
	merged.Endpoints, merged.RemovedEndpoints = endpoints.result()
	merged.Policies, _ = policies.result()
	merged.Maps, _ = maps.result()
	return merged
}

// merger keeps the latest state of each name.
type merger[V any] struct {
	name    func(V) string
	changed map[string]V
	removed map[string]struct{}
}

func newMerger[V any](name func(V) string) *merger[V] {
	return &merger[V]{name: name, changed: map[string]V{}, removed: map[string]struct{}{}}
}

func (m *merger[V]) add(records []V, removed []string) {
	for _, name := range removed {
		delete(m.changed, name)
		m.removed[name] = struct{}{}
	}
	for _, record := range records {
		name := m.name(record)
		delete(m.removed, name)
		m.changed[name] = record
	}
}

func (m *merger[V]) result() (records []V, removed []string) {
	for _, record := range m.changed {
		records = append(records, record)
	}
	for name := range m.removed {
		removed = append(removed, name)
	}
	return records, removed
}
