package contract

import (
	"slices"
	"sync"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// State is the replicated state. The package documentation describes its locking.
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
	// zones holds the zones that operators have changed.
	zones map[string]zoneEntry
	// site is nil if none was published.
	site *siteEntry

	// maxExpiredEndpoints is the limit in use; tests set a smaller one than the constant.
	maxExpiredEndpoints int
	withdrawals         withdrawalTable

	// keyOwners maps each key digest to the name of its workspace.
	keyOwners map[string]string

	intents    intentTable
	claims     claimTable
	tombstones tombstoneTable
	changes    changeRing

	cache configurationCache
}

// NewState returns an empty state at revision zero.
func NewState() *State {
	s := &State{claims: claimTable{claimBounds: defaultClaimBounds}, maxExpiredEndpoints: maxExpiredEndpoints}
	s.withdrawals.limit = maxWithdrawals
	s.reset()
	return s
}

// reset empties the state. The caller must hold mu or be the only user of s.
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
	s.zones = make(map[string]zoneEntry)
	s.site = nil
	s.keyOwners = make(map[string]string)
	s.intents = newIntentTable()
	s.claims = newClaimTable(s.claims.claimBounds)
	s.tombstones = newTombstoneTable()
	s.withdrawals = newWithdrawalTable(s.withdrawals.limit)
	s.changes = changeRing{}
	s.cache.clear()
}

// Apply applies the committed command at index and returns a *Result. Empty data is the
// entry that a leader writes at the start of its term; it changes nothing. An index that was
// already applied is refused and changes nothing.
func (s *State) Apply(index, term uint64, data []byte) any {
	command, err := decode(data)
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.appliedIndex {
		return &Result{Err: fault.Newf(fault.Internal, "apply each log entry once, in order",
			"log entry %d was already applied; the state is at entry %d", index, s.appliedIndex)}
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
	case *contractv1.Command_EvacuateZone:
		return s.applyEvacuateZone(kind.EvacuateZone)
	case *contractv1.Command_Withdraw:
		return s.applyWithdraw(kind.Withdraw)
	}
	return &Result{Err: fault.New(fault.Internal, "the log has a command that this version does not support",
		"upgrade all control replicas before using new features")}
}

// applyIssueFence issues a fencing token higher than all earlier ones. Tokens follow the log
// index, so a token issued in a later term is always higher.
func (s *State) applyIssueFence() *Result {
	s.fence = max(s.fence+1, s.appliedIndex)
	return &Result{Fence: s.fence}
}

// Revision returns the revision of the current configuration.
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

// Fence returns the highest fencing token that was issued.
func (s *State) Fence() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fence
}

// Applied returns the index and term of the last applied command.
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

// FencedMapRecord returns the expert map record of a group, or nil, and the fencing token of
// the coordinator that last wrote it or took over its switch.
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

// Agents returns every agent that has announced itself, sorted by name.
func (s *State) Agents() []Agent {
	s.mu.RLock()
	defer s.mu.RUnlock()
	agents := make([]Agent, 0, len(s.agents))
	for _, name := range sortedKeys(s.agents) {
		agents = append(agents, s.agents[name].toAgent())
	}
	return agents
}

// Agent returns the agent with the given name, and whether it exists.
func (s *State) Agent(name string) (Agent, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	entry := s.agents[name]
	if entry == nil {
		return Agent{}, false
	}
	return entry.toAgent(), true
}

// Claim returns the claim that holds a key, or nil.
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

// ClaimCounts returns the number of claims by state.
func (s *State) ClaimCounts() ClaimCounts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.claims.counts()
}

// sortedKeys returns the keys of a table in sorted order.
func sortedKeys[V any](table map[string]V) []string {
	keys := make([]string, 0, len(table))
	for key := range table {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// appendBounded returns a copy of values with value appended, limited to the last bound
// elements.
func appendBounded(values []uint64, value uint64, bound int) []uint64 {
	longer := append(slices.Clone(values), value)
	return longer[max(0, len(longer)-bound):]
}
