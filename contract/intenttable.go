package contract

import (
	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// Limits on the history of intents and removals.
const (
	// MaxIntents is the maximum number of intents. The oldest ones are evicted first,
	// except confirmed ones that are not done.
	MaxIntents = 4096
	// MaxIntentBytes is the maximum total size of the encoded intents and plans.
	MaxIntentBytes = 64 << 20
	// maxTombstones is the maximum number of tombstones of removed objects.
	maxTombstones = 4096
)

// intentTable holds the intents by id and by age. Records are modified in place under the
// state's lock and are never returned to callers.
type intentTable struct {
	byID  map[string]*contractv1.IntentRecord
	order []*contractv1.IntentRecord
	bytes int
}

func newIntentTable() intentTable {
	return intentTable{byID: make(map[string]*contractv1.IntentRecord)}
}

func (t *intentTable) find(id string) *contractv1.IntentRecord { return t.byID[id] }

// push appends a record without enforcing the limits.
func (t *intentTable) push(record *contractv1.IntentRecord) {
	t.byID[record.GetIntent().GetId()] = record
	t.order = append(t.order, record)
	t.bytes += recordBytes(record)
}

// add appends a new record and evicts old ones beyond the limits.
func (t *intentTable) add(record *contractv1.IntentRecord) {
	t.push(record)
	for t.overLimit() && t.evictOldest() {
	}
}

// recordBytes returns the size of the immutable parts of a record. Only these are counted,
// so that a restored table has the same size as the original.
func recordBytes(record *contractv1.IntentRecord) int {
	return proto.Size(record.GetIntent()) + proto.Size(record.GetPlan())
}

func (t *intentTable) overLimit() bool {
	return len(t.order) > MaxIntents || t.bytes > MaxIntentBytes
}

// evictOldest removes the oldest intent that is not confirmed and pending. It returns false
// if there is no such intent besides the newest.
func (t *intentTable) evictOldest() bool {
	for i, record := range t.order[:len(t.order)-1] {
		if record.GetState() == controlv1.IntentState_INTENT_STATE_CONFIRMED {
			continue
		}
		delete(t.byID, record.GetIntent().GetId())
		t.bytes -= recordBytes(record)
		t.order = append(t.order[:i], t.order[i+1:]...)
		return true
	}
	return false
}

// copies returns copies of the records that share their immutable parts.
func (t *intentTable) copies() []*contractv1.IntentRecord {
	copied := make([]*contractv1.IntentRecord, len(t.order))
	for i, record := range t.order {
		copied[i] = &contractv1.IntentRecord{
			Intent: record.GetIntent(), BodyDigest: record.GetBodyDigest(), Plan: record.GetPlan(),
			State: record.GetState(), Revision: record.GetRevision(), ConfirmedBy: record.GetConfirmedBy(),
			PlannedRevision: record.GetPlannedRevision(), Touched: record.GetTouched(),
		}
	}
	return copied
}

// historyEntry returns a record as it is shown to operators.
func historyEntry(record *contractv1.IntentRecord) *controlv1.HistoryEntry {
	return &controlv1.HistoryEntry{
		Intent: record.GetIntent(), Plan: record.GetPlan(),
		State: record.GetState(), Revision: record.GetRevision(),
		ConfirmedBy: record.GetConfirmedBy(),
	}
}

// Intent returns one intent with its plan and state, or nil.
func (s *State) Intent(id string) *controlv1.HistoryEntry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	record := s.intents.find(id)
	if record == nil {
		return nil
	}
	return historyEntry(record)
}

// History returns the intents with the newest first, at most limit of them (all if limit is
// zero or negative). If id is not empty, only the intent with that id is returned.
func (s *State) History(limit int, id string) []*controlv1.HistoryEntry {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if limit <= 0 {
		limit = len(s.intents.order)
	}
	var entries []*controlv1.HistoryEntry
	for i := len(s.intents.order) - 1; i >= 0 && len(entries) < limit; i-- {
		record := s.intents.order[i]
		if id == "" || record.GetIntent().GetId() == id {
			entries = append(entries, historyEntry(record))
		}
	}
	return entries
}

// tombstoneTable holds tombstones of the objects that operators removed, oldest first.
type tombstoneTable struct {
	order []*contractv1.Tombstone
	byRef map[objectRef]*contractv1.Tombstone
	// floor is the highest revision of an evicted tombstone. Removals up to it may be
	// missing from the table.
	floor uint64
}

func newTombstoneTable() tombstoneTable {
	return tombstoneTable{byRef: make(map[objectRef]*contractv1.Tombstone)}
}

func (t *tombstoneTable) find(ref objectRef) *contractv1.Tombstone { return t.byRef[ref] }

func (t *tombstoneTable) add(ref objectRef, revision uint64, intentID string) {
	t.push(&contractv1.Tombstone{Kind: string(ref.kind), Name: ref.name, Revision: revision, IntentId: intentID})
}

func (t *tombstoneTable) push(tombstone *contractv1.Tombstone) {
	t.order = append(t.order, tombstone)
	t.byRef[tombstoneRef(tombstone)] = tombstone
	if len(t.order) <= maxTombstones {
		return
	}
	oldest := t.order[0]
	t.order = t.order[1:]
	t.floor = oldest.GetRevision()
	if ref := tombstoneRef(oldest); t.byRef[ref] == oldest {
		delete(t.byRef, ref)
	}
}

func tombstoneRef(tombstone *contractv1.Tombstone) objectRef {
	return objectRef{objectKind(tombstone.GetKind()), tombstone.GetName()}
}
