package contract

import (
	"slices"
	"sync"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// State is the replicated state. The package documentation gives its locking.
type State struct {
	mu sync.RWMutex

	appliedIndex uint64
	appliedTerm  uint64
	logTime      int64
	revision     uint64
	fence        uint64

	workspaces map[string]*workspaceEntry
	models     map[string]*modelEntry
	services   map[string]*serviceEntry
	policies   map[string]*policyEntry
	endpoints  map[string]*endpointEntry
	agents     map[string]*agentEntry
	maps       map[string]*mapEntry
	// site is nil where none was published.
	site *siteEntry

	// maxGone is the bound of that name; tests set a smaller one.
	maxGone int

	// keyOwners names the workspace of each key digest.
	keyOwners map[string]string

	intents    intentTable
	claims     claimTable
	tombstones tombstoneTable
	changes    changeRing

	cache configurationCache
}

// NewState returns an empty state at revision zero.
func NewState() *State {
	s := &State{claims: claimTable{claimBounds: defaultBounds}, maxGone: maxGone}
	s.reset()
	return s
}

// reset empties the state. The caller holds mu or owns s.
func (s *State) reset() {
	s.appliedIndex, s.appliedTerm = 0, 0
	s.logTime, s.revision, s.fence = 0, 0, 0
	s.workspaces = make(map[string]*workspaceEntry)
	s.models = make(map[string]*modelEntry)
	s.services = make(map[string]*serviceEntry)
	s.policies = make(map[string]*policyEntry)
	s.endpoints = make(map[string]*endpointEntry)
	s.agents = make(map[string]*agentEntry)
	s.maps = make(map[string]*mapEntry)
	s.site = nil
	s.keyOwners = make(map[string]string)
	s.intents = newIntentTable()
	s.claims = newClaimTable(s.claims.claimBounds)
	s.tombstones = newTombstoneTable()
	s.changes = changeRing{}
	s.cache.clear()
}

// Apply carries out the committed command at index and returns a *Result.
// Empty data is the entry with which a leader opens its term; it changes
// nothing. An index that was applied before is refused and changes nothing.
func (s *State) Apply(index, term uint64, data []byte) any {
	command, err := decode(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.appliedIndex {
		return &Result{Err: fault.Newf(fault.Internal, "apply each log entry once, in order",
			"entry %d was applied before; the state is at %d", index, s.appliedIndex)}
	}
	s.appliedIndex, s.appliedTerm = index, term
	if err != nil {
		return &Result{Err: err}
	}
	if len(data) == 0 {
		return &Result{Revision: s.revision}
	}
	s.logTime = max(s.logTime, command.GetLogTimeNs())
	s.claims.expire(s.logTime)
	result := s.dispatch(command)
	if result.Revision == 0 {
		result.Revision = s.revision
	}
	return result
}

func (s *State) dispatch(command *contractv1.Command) *Result {
	switch kind := command.GetKind().(type) {
	case *contractv1.Command_Plan:
		return s.applyPlan(kind.Plan)
	case *contractv1.Command_Confirm:
		return s.applyConfirm(kind.Confirm)
	case *contractv1.Command_Cancel:
		return s.applyCancel(kind.Cancel)
	case *contractv1.Command_IntentDone:
		return s.applyIntentDone(kind.IntentDone)
	case *contractv1.Command_Announce:
		return s.applyAnnounce(kind.Announce)
	case *contractv1.Command_Expire:
		return s.applyExpire(kind.Expire)
	case *contractv1.Command_Drained:
		return s.applyDrained(kind.Drained)
	case *contractv1.Command_Observed:
		return s.applyObserved(kind.Observed)
	case *contractv1.Command_Claim:
		return s.applyClaim(kind.Claim)
	case *contractv1.Command_Settle:
		return s.applySettle(kind.Settle)
	case *contractv1.Command_MapBegin:
		return s.applyMapBegin(kind.MapBegin)
	case *contractv1.Command_MapDecide:
		return s.applyMapDecide(kind.MapDecide)
	case *contractv1.Command_IssueFence:
		return s.applyIssueFence()
	case *contractv1.Command_Publish:
		return s.applyPublish(kind.Publish)
	}
	return &Result{Err: fault.New(fault.Internal, "this version does not know a command of the log",
		"upgrade all control replicas before using new features")}
}

// applyIssueFence gives out a token above every earlier one. Tokens follow the
// log's index, so a token given out in a later term is always higher.
func (s *State) applyIssueFence() *Result {
	s.fence = max(s.fence+1, s.appliedIndex)
	return &Result{Fence: s.fence}
}

// Revision returns the revision of the present configuration.
func (s *State) Revision() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.revision
}

// LogTime returns the log time in nanoseconds.
func (s *State) LogTime() int64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.logTime
}

// Fence returns the highest fencing token given out.
func (s *State) Fence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fence
}

// Applied returns the index and term of the last command applied.
func (s *State) Applied() (index, term uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.appliedIndex, s.appliedTerm
}

// MapRecord returns the expert map record of a group, or nil.
func (s *State) MapRecord(group string) *fleetv1.MapRecord {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if entry := s.maps[group]; entry != nil {
		return entry.record
	}
	return nil
}

// FencedMapRecord returns the expert map record of a group, or nil, and the
// fencing token of the coordinator that wrote it last or adopted it.
func (s *State) FencedMapRecord(group string) (record *fleetv1.MapRecord, fence uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if entry := s.maps[group]; entry != nil {
		return entry.record, entry.fence
	}
	return nil, 0
}

// Endpoint returns the configured record of an endpoint, or nil.
func (s *State) Endpoint(id string) *fleetv1.Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if entry := s.endpoints[id]; entry != nil {
		return entry.message
	}
	return nil
}

// Endpoints returns the configured records of all endpoints, sorted by id.
func (s *State) Endpoints() []*fleetv1.Endpoint {
	s.mu.RLock()
	defer s.mu.RUnlock()
	endpoints := make([]*fleetv1.Endpoint, 0, len(s.endpoints))
	for _, id := range sortedKeys(s.endpoints) {
		endpoints = append(endpoints, s.endpoints[id].message)
	}
	return endpoints
}

// Agents returns every agent that has announced itself, by name.
func (s *State) Agents() []Agent {
	s.mu.RLock()
	defer s.mu.RUnlock()
	agents := make([]Agent, 0, len(s.agents))
	for _, name := range sortedKeys(s.agents) {
		agents = append(agents, s.agents[name].view())
	}
	return agents
}

// Agent returns one agent by name.
func (s *State) Agent(name string) (Agent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry := s.agents[name]
	if entry == nil {
		return Agent{}, false
	}
	return entry.view(), true
}

// Claim returns the record that holds a key, or nil.
func (s *State) Claim(workspace, key string) *controlv1.Claim {
	s.mu.RLock()
	defer s.mu.RUnlock()
	if retired := s.claims.retired.find(workspace, key, s.logTime); retired != nil {
		return retired.message(workspace, key, "")
	}
	entry := s.claims.find(workspace, key)
	if entry == nil || entry.expires <= s.logTime {
		return nil
	}
	return entry.message()
}

// ClaimCounts returns how many claims are kept and how they stand.
func (s *State) ClaimCounts() ClaimCounts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.claims.counts()
}

// sortedKeys returns the keys of a table in order.
func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// appendBounded returns a copy of values with one more, of which at most the
// last bound are kept.
func appendBounded(values []uint64, value uint64, bound int) []uint64 {
	longer := append(slices.Clone(values), value)
	return longer[max(0, len(longer)-bound):]
}
