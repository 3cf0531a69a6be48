package contract

import (
	"cmp"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// maxSuperseded is how many earlier incarnations are kept for each agent. They
// allow a delayed process to be told that it has been replaced.
const maxSuperseded = 32

// agentEntry is the stored record of an agent that has announced itself.
type agentEntry struct {
	name, host, zone, region, addr string
	incarnation                    uint64
	live                           bool
	superseded                     []uint64
	// endpointIDs are the ids of the endpoints that the agent manages, sorted.
	endpointIDs []string
}

func (e *agentEntry) toAgent() Agent {
	return Agent{
		AgentRef: AgentRef{Name: e.name, Incarnation: e.incarnation},
		Host:     e.host, Zone: e.zone, Region: e.region, Addr: e.addr,
		Live: e.live,
	}
}

// announcement is the set of changes that an accepted Announce command makes.
type announcement struct {
	agent    *agentEntry
	upserts  []*endpointEntry
	removals []string
	refused  []*fault.Error
	// agentUnchanged is set when the agent's own record does not change.
	agentUnchanged bool
}

// changes reports whether the announcement must be written to the log.
func (a *announcement) changes() bool {
	return !a.agentUnchanged || len(a.upserts) > 0 || len(a.removals) > 0
}

// AnnounceChanges reports whether an announcement changes the state and must
// therefore be logged; one without changes only renews the lease. refused has one
// error for each endpoint whose lease another agent holds. err is the error that
// applying the announcement would return.
func (s *State) AnnounceChanges(request *controlv1.AnnounceRequest) (changes bool, refused []*fault.Error, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pending, refusal := s.prepareAnnouncement(request)
	if refusal != nil {
		return false, nil, refusal
	}
	return pending.changes(), pending.refused, nil
}

func (s *State) applyAnnounce(request *controlv1.AnnounceRequest) *Result {
	pending, err := s.prepareAnnouncement(request)
	if err != nil {
		return &Result{Err: err}
	}
	s.agents[pending.agent.name] = pending.agent
	var refs []objectRef
	for _, entry := range pending.upserts {
		id := entry.announced.GetId()
		s.releaseFromPreviousAgent(id, pending.agent.name)
		s.endpoints[id] = entry
		refs = append(refs, objectRef{endpointKind, id})
		if announcedItself(entry.announced) {
			s.withdrawals.bind(AgentRef{id, entry.announced.GetIncarnation()})
		}
	}
	for _, id := range pending.removals {
		s.removeEndpoint(id)
		refs = append(refs, objectRef{endpointKind, id})
	}
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{Refused: pending.refused}
}

// prepareAnnouncement computes the changes that an announcement makes, without
// modifying the state.
func (s *State) prepareAnnouncement(request *controlv1.AnnounceRequest) (*announcement, *fault.Error) {
	if err := validateAnnouncement(request); err != nil {
		return nil, err
	}
	old := s.agents[request.GetAgent()]
	agent, err := nextAgent(old, request)
	if err != nil {
		return nil, err
	}
	pending := &announcement{agent: agent}
	for _, endpoint := range request.GetEndpoints() {
		s.prepareEndpoint(pending, normalizeAnnounced(endpoint, request))
	}
	slices.Sort(agent.endpointIDs)
	if old != nil {
		for _, id := range old.endpointIDs {
			if _, stillAnnounced := slices.BinarySearch(agent.endpointIDs, id); !stillAnnounced {
				pending.removals = append(pending.removals, id)
			}
		}
		pending.agentUnchanged = agent.toAgent() == old.toAgent()
	}
	return pending, nil
}

// nextAgent returns the agent's record after an announcement. It returns a Fenced
// error for an incarnation that has been superseded.
func nextAgent(old *agentEntry, request *controlv1.AnnounceRequest) (*agentEntry, *fault.Error) {
	next := &agentEntry{
		name: request.GetAgent(), host: request.GetHost(), zone: request.GetZone(),
		region: request.GetRegion(), addr: request.GetAddr(),
		incarnation: request.GetIncarnation(),
		live:        true,
	}
	if old == nil {
		return next, nil
	}
	if isSelfAnnouncement(request) {
		return acceptNewerStart(old, next)
	}
	if slices.Contains(old.superseded, next.incarnation) {
		return nil, fencedError(old, next.incarnation)
	}
	next.superseded = old.superseded
	if old.incarnation != next.incarnation {
		next.superseded = appendBounded(old.superseded, old.incarnation, maxSuperseded)
	}
	return next, nil
}

// isSelfAnnouncement reports whether an endpoint without an agent sent the
// announcement. Such an endpoint uses its own id as the agent name.
func isSelfAnnouncement(request *controlv1.AnnounceRequest) bool {
	return len(request.GetEndpoints()) == 1 && request.GetEndpoints()[0].GetAddr() != ""
}

// acceptNewerStart decides between two incarnations of an endpoint that announces
// itself; its incarnations are start times. A later start replaces the current one. An
// earlier start is refused as a delayed message while the current incarnation renews its
// lease. Once that lease has expired the earlier start is accepted, because the process
// may have started on a clock that was set back.
func acceptNewerStart(old, next *agentEntry) (*agentEntry, *fault.Error) {
	if next.incarnation < old.incarnation && old.live {
		return nil, fencedError(old, next.incarnation)
	}
	return next, nil
}

// fencedError returns the error for an incarnation other than the current one.
func fencedError(current *agentEntry, incarnation uint64) *fault.Error {
	return fault.Newf(fault.Fenced, "stop this process, or give each agent a unique name if two agents share one",
		"incarnation %d of agent %s is superseded by incarnation %d", incarnation, current.name, current.incarnation)
}

// normalizeAnnounced returns a copy of an announced endpoint with the fields that
// come from its agent filled in.
func normalizeAnnounced(endpoint *fleetv1.Endpoint, request *controlv1.AnnounceRequest) *fleetv1.Endpoint {
	announced := proto.Clone(endpoint).(*fleetv1.Endpoint)
	announced.Agent = request.GetAgent()
	announced.AgentAddr = request.GetAddr()
	announced.Incarnation = request.GetIncarnation()
	announced.Adapters = sorted(endpoint.GetAdapters())
	announced.State = announcedState(endpoint)
	announced.Revision = 0
	announced.Live = false
	if request.GetStopping() {
		announced.State = max(announced.State, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
	}
	if announced.Host == "" {
		announced.Host = request.GetHost()
	}
	if announced.Zone == "" {
		announced.Zone = request.GetZone()
	}
	if announced.Region == "" {
		announced.Region = request.GetRegion()
	}
	return announced
}

// prepareEndpoint adds one announced endpoint to pending, or refuses it if another
// agent holds its lease.
func (s *State) prepareEndpoint(pending *announcement, announced *fleetv1.Endpoint) {
	id := announced.GetId()
	entry := s.endpoints[id]
	if entry == nil {
		entry = &endpointEntry{}
	}
	if hasAnnouncedLeaving(entry, announced) {
		announced.State = entry.announced.GetState()
	}
	if announcedItself(announced) && s.withdrawals.includes(AgentRef{id, announced.GetIncarnation()}) {
		announced.State = max(announced.State, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
	}
	holder := entry.announced.GetAgent()
	if entry.live && holder != pending.agent.name {
		pending.refused = append(pending.refused, fault.Newf(fault.Conflict,
			"give the endpoint a different id, or stop the agent that holds its lease",
			"endpoint %s announced by agent %s is leased to agent %s", id, pending.agent.name, holder))
		return
	}
	pending.agent.endpointIDs = append(pending.agent.endpointIDs, id)
	if entry.live && proto.Equal(entry.announced, announced) {
		return
	}
	pending.upserts = append(pending.upserts, entry.withAnnounced(announced, s.isEvacuated(announced.GetZone()), s.revision+1))
}

// hasAnnouncedLeaving reports whether a self-announced endpoint has already announced,
// in the same incarnation, that it is leaving. A later announcement to the contrary was
// delayed and must not undo it.
func hasAnnouncedLeaving(entry *endpointEntry, announced *fleetv1.Endpoint) bool {
	previous := entry.announced
	return announced.GetAddr() != "" && previous.GetIncarnation() == announced.GetIncarnation() &&
		previous.GetState() >= fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
}

// releaseFromPreviousAgent removes an endpoint from the agent that held its lease
// until the lease expired, unless that is newHolder.
func (s *State) releaseFromPreviousAgent(id, newHolder string) {
	entry := s.endpoints[id]
	if entry == nil {
		return
	}
	holder := s.agents[entry.announced.GetAgent()]
	if holder == nil || holder.name == newHolder {
		return
	}
	holder.endpointIDs = slices.DeleteFunc(slices.Clone(holder.endpointIDs), func(held string) bool { return held == id })
}

// removeEndpoint removes an endpoint that its agent no longer announces from the
// configuration. If operators have set its state or role, the record is kept
// without an agent.
func (s *State) removeEndpoint(id string) {
	entry := s.endpoints[id]
	if entry.hasOperatorSettings() {
		s.endpoints[id] = entry.orphaned(s.revision + 1)
		return
	}
	delete(s.endpoints, id)
}

func (s *State) applyExpire(expire *contractv1.Expire) *Result {
	var refs []objectRef
	for _, ref := range expire.GetAgents() {
		agent := s.agents[ref.GetAgent()]
		if agent == nil || agent.incarnation != ref.GetIncarnation() || !agent.live {
			continue
		}
		agent.live = false
		for _, id := range agent.endpointIDs {
			s.endpoints[id] = s.endpoints[id].withLive(false, s.revision+1)
			refs = append(refs, objectRef{endpointKind, id})
		}
	}
	refs = append(refs, s.evictExpired()...)
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{}
}

// maxExpiredEndpoints is how many self-announced endpoints with an expired lease are
// kept. Such an endpoint has a new id at each start, so without a bound the records
// would grow indefinitely. An endpoint with an expired lease may also be healthy and only
// partitioned, and its record must then be kept. The bound, at 813 bytes a record, is
// therefore above three times the number of endpoints of the largest site that the design
// covers and above three weeks of restarts there.
const maxExpiredEndpoints = 8192

// evictExpired removes the self-announced endpoints whose leases expired first until at
// most maxExpiredEndpoints remain, and returns references to the removed objects.
func (s *State) evictExpired() []objectRef {
	var expired []*fleetv1.Endpoint
	for _, entry := range s.endpoints {
		if entry.announced.GetAddr() != "" && !entry.live && !entry.hasOperatorSettings() {
			expired = append(expired, entry.message)
		}
	}
	if len(expired) <= s.maxExpiredEndpoints {
		return nil
	}
	slices.SortFunc(expired, func(a, b *fleetv1.Endpoint) int {
		return cmp.Or(cmp.Compare(a.GetRevision(), b.GetRevision()), strings.Compare(a.GetId(), b.GetId()))
	})
	var refs []objectRef
	for _, endpoint := range expired[:len(expired)-s.maxExpiredEndpoints] {
		s.removeEndpoint(endpoint.GetId())
		s.evictAgent(endpoint)
		refs = append(refs, objectRef{endpointKind, endpoint.GetId()})
	}
	return refs
}

// evictAgent removes the agent record of an evicted endpoint, unless the agent has other
// endpoints.
func (s *State) evictAgent(endpoint *fleetv1.Endpoint) {
	agent := s.agents[endpoint.GetAgent()]
	if agent == nil {
		return
	}
	agent.endpointIDs = slices.DeleteFunc(slices.Clone(agent.endpointIDs), func(id string) bool { return id == endpoint.GetId() })
	if len(agent.endpointIDs) == 0 {
		delete(s.agents, agent.name)
	}
}

// currentAgent returns the named agent if incarnation is its current one.
func (s *State) currentAgent(name string, incarnation uint64) (*agentEntry, *fault.Error) {
	agent := s.agents[name]
	if agent == nil {
		return nil, fault.Newf(fault.NotFound, "announce the agent first", "agent %s is unknown", name)
	}
	if agent.incarnation != incarnation {
		return nil, fencedError(agent, incarnation)
	}
	return agent, nil
}

func (s *State) applyDrained(drained *contractv1.Drained) *Result {
	agent, err := s.currentAgent(drained.GetAgent().GetAgent(), drained.GetAgent().GetIncarnation())
	if err != nil {
		return &Result{Err: err}
	}
	for _, id := range drained.GetEndpoints() {
		entry := s.endpoints[id]
		if entry == nil || entry.announced.GetAgent() != agent.name {
			continue
		}
		if entry.wantedState == fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED || entry.drained {
			continue
		}
		next := *entry
		next.drained = true
		s.endpoints[id] = &next
	}
	return &Result{}
}

func (s *State) applyObserved(observed *contractv1.Observed) *Result {
	agent, err := s.currentAgent(observed.GetAgent().GetAgent(), observed.GetAgent().GetIncarnation())
	if err != nil {
		return &Result{Err: err}
	}
	var refs []objectRef
	for _, reported := range observed.GetEndpoints() {
		entry := s.endpoints[reported.GetId()]
		if entry == nil || entry.announced.GetAgent() != agent.name {
			continue
		}
		announced := proto.Clone(entry.announced).(*fleetv1.Endpoint)
		announced.Model, announced.Version, announced.Role = reported.GetModel(), reported.GetVersion(), reported.GetRole()
		announced.Adapters = sorted(reported.GetAdapters())
		if sameLoadedModel(announced, entry.announced) {
			continue
		}
		next := *entry
		next.announced = announced
		next.compose(s.revision + 1)
		s.endpoints[reported.GetId()] = &next
		refs = append(refs, objectRef{endpointKind, reported.GetId()})
	}
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{}
}
