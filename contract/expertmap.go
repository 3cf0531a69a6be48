package contract

import (
	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// maxMapBytes is the maximum size of an encoded expert map.
const maxMapBytes = 4 << 20

// applyMapBegin starts the switch of a group to its next epoch. A repeated command with
// the same map has the same result.
func (s *State) applyMapBegin(begin *contractv1.MapBegin) *Result {
	if err := validateMapBegin(begin); err != nil {
		return &Result{Err: err}
	}
	entry := s.maps[begin.GetGroup()]
	if entry == nil {
		entry = &mapEntry{record: &fleetv1.MapRecord{Group: begin.GetGroup()}}
	}
	if err := entry.checkFence(begin.GetFence()); err != nil {
		return &Result{Err: err, Map: entry.record}
	}
	if entry.isPending(begin) {
		entry.fence = begin.GetFence()
		return &Result{Map: entry.record}
	}
	if err := entry.checkBegin(begin.GetEpoch()); err != nil {
		return &Result{Err: err, Map: entry.record}
	}
	return s.storeMap(entry.nextRecord(begin), begin.GetFence())
}

// forDaemons returns the record without the maps, which are too large to be sent to every
// daemon at each switch. Only the ranks of the group need them; they read them or receive
// them from the coordinator.
func (e *mapEntry) forDaemons() *fleetv1.MapRecord {
	return &fleetv1.MapRecord{
		Group: e.record.GetGroup(), Epoch: e.record.GetEpoch(), State: e.record.GetState(), ActivateStep: e.record.GetActivateStep(),
		BaseEpoch: e.record.GetBaseEpoch(), Revision: e.record.GetRevision(),
	}
}

// checkFence returns a Fenced error for a coordinator that has been replaced by one with a
// higher fencing token.
func (e *mapEntry) checkFence(fence uint64) *fault.Error {
	if fence >= e.fence {
		return nil
	}
	return fault.Newf(fault.Fenced, "stop coordinating; the current leader continues the switch",
		"fencing token %d for group %s is older than token %d", fence, e.record.GetGroup(), e.fence)
}

// isPending reports whether the switch that begin requests is already in progress.
func (e *mapEntry) isPending(begin *contractv1.MapBegin) bool {
	return e.record.GetState() == fleetv1.MapState_MAP_STATE_PREPARING &&
		e.record.GetEpoch() == begin.GetEpoch() &&
		string(e.record.GetMap()) == string(begin.GetMap())
}

// checkBegin returns an error if a switch to epoch cannot begin now.
func (e *mapEntry) checkBegin(epoch uint64) *fault.Error {
	if e.record.GetState() == fleetv1.MapState_MAP_STATE_PREPARING {
		return fault.Newf(fault.Conflict, "commit or abort the pending epoch first",
			"the switch of group %s to epoch %d is still pending", e.record.GetGroup(), e.record.GetEpoch())
	}
	if epoch != e.record.GetEpoch()+1 {
		return fault.Newf(fault.Conflict, "read the record and begin with the epoch that follows it",
			"group %s is at epoch %d; a switch to epoch %d cannot begin", e.record.GetGroup(), e.record.GetEpoch(), epoch)
	}
	return nil
}

// nextRecord returns the record of the switch that begins.
func (e *mapEntry) nextRecord(begin *contractv1.MapBegin) *fleetv1.MapRecord {
	record := &fleetv1.MapRecord{
		Group: begin.GetGroup(), Epoch: begin.GetEpoch(), Map: begin.GetMap(),
		State:     fleetv1.MapState_MAP_STATE_PREPARING,
		BaseEpoch: e.record.GetBaseEpoch(), BaseMap: e.record.GetBaseMap(),
	}
	if e.record.GetState() == fleetv1.MapState_MAP_STATE_COMMITTED {
		record.BaseEpoch, record.BaseMap = e.record.GetEpoch(), e.record.GetMap()
	}
	return record
}

// applyMapDecide commits or aborts a pending switch. The first decision is final: a later
// one, equal or not, gets the decided record.
func (s *State) applyMapDecide(decide *contractv1.MapDecide) *Result {
	entry := s.maps[decide.GetGroup()]
	if entry == nil {
		return &Result{Err: fault.Newf(fault.NotFound, "begin a switch first", "group %s has no expert map", decide.GetGroup())}
	}
	if entry.record.GetEpoch() != decide.GetEpoch() {
		return &Result{Map: entry.record, Err: fault.Newf(fault.Conflict, "read the record of the group",
			"group %s is at epoch %d, not %d", decide.GetGroup(), entry.record.GetEpoch(), decide.GetEpoch())}
	}
	if entry.record.GetState() != fleetv1.MapState_MAP_STATE_PREPARING {
		return &Result{Map: entry.record}
	}
	if err := entry.checkFence(decide.GetFence()); err != nil {
		return &Result{Err: err, Map: entry.record}
	}
	record := &fleetv1.MapRecord{
		Group: decide.GetGroup(), Epoch: decide.GetEpoch(), Map: entry.record.GetMap(),
		State:     fleetv1.MapState_MAP_STATE_ABORTED,
		BaseEpoch: entry.record.GetBaseEpoch(), BaseMap: entry.record.GetBaseMap(),
	}
	if decide.GetCommit() {
		record.State = fleetv1.MapState_MAP_STATE_COMMITTED
		record.ActivateStep = decide.GetActivateStep()
	}
	return s.storeMap(record, decide.GetFence())
}

func (s *State) storeMap(record *fleetv1.MapRecord, fence uint64) *Result {
	record.Revision = s.revision + 1
	s.maps[record.GetGroup()] = &mapEntry{record: record, fence: fence}
	s.commit([]objectRef{{mapKind, record.GetGroup()}})
	return &Result{Map: record}
}
