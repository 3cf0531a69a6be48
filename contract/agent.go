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

// maxSuperseded is how many earlier incarnations of an agent are remembered, so
// that a process that wakes up late learns that it was replaced.
const maxSuperseded = 32

// agentEntry is an agent that has announced itself.
type agentEntry struct {
	name, host, zone, region, addr string
	incarnation                    uint64
	live                           bool
	superseded                     []uint64
	// holds are the endpoints that the agent gates, sorted.
	holds []string
}

func (e *agentEntry) view() Agent {
	return Agent{
		AgentRef: AgentRef{Name: e.name, Incarnation: e.incarnation},
		Host:     e.host, Zone: e.zone, Region: e.region, Addr: e.addr,
		Live: e.live,
	}
}

// announcement is what an accepted Announce command will change.
type announcement struct {
	agent   *agentEntry
	store   []*endpointEntry
	drop    []string
	refused []*fault.Error
	// sameAgent is set when the agent's own record stays as it is.
	sameAgent bool
}

// changes reports whether the announcement must go through the log.
func (a *announcement) changes() bool {
	return !a.sameAgent || len(a.store) > 0 || len(a.drop) > 0
}

// AnnounceChanges reports whether an announcement changes the state and so must
// be logged; an unchanged one only renews the lease. refused lists the endpoints
// that another agent holds. The error is the one that applying it would give.
func (s *State) AnnounceChanges(request *controlv1.AnnounceRequest) (changes bool, refused []*fault.Error, err error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	next, refusal := s.prepareAnnouncement(request)
	if refusal != nil {
		return false, nil, refusal
	}
	return next.changes(), next.refused, nil
}

func (s *State) applyAnnounce(request *controlv1.AnnounceRequest) *Result {
	next, err := s.prepareAnnouncement(request)
	if err != nil {
		return &Result{Err: err}
	}
	s.agents[next.agent.name] = next.agent
	var refs []objectRef
	for _, entry := range next.store {
		id := entry.announced.GetId()
		s.releaseFromOther(id, next.agent.name)
		s.endpoints[id] = entry
		refs = append(refs, objectRef{endpointKind, id})
	}
	for _, id := range next.drop {
		s.dropEndpoint(id)
		refs = append(refs, objectRef{endpointKind, id})
	}
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{Refused: next.refused}
}

// prepareAnnouncement works out what an announcement changes, without changing
// it.
func (s *State) prepareAnnouncement(request *controlv1.AnnounceRequest) (*announcement, *fault.Error) {
	if err := validateAnnouncement(request); err != nil {
		return nil, err
	}
	old := s.agents[request.GetAgent()]
	agent, err := nextAgent(old, request)
	if err != nil {
		return nil, err
	}
	next := &announcement{agent: agent}
	for _, endpoint := range request.GetEndpoints() {
		s.prepareEndpoint(next, normalizeAnnounced(endpoint, request))
	}
	slices.Sort(agent.holds)
	if old != nil {
		for _, id := range old.holds {
			if _, still := slices.BinarySearch(agent.holds, id); !still {
				next.drop = append(next.drop, id)
			}
		}
		next.sameAgent = agent.view() == old.view()
	}
	return next, nil
}

// nextAgent returns the agent's record after an announcement. An incarnation
// that was replaced before is fenced.
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
	if announcesItself(request) {
		return laterStart(old, next)
	}
	if slices.Contains(old.superseded, next.incarnation) {
		return nil, fencedAgent(old, next.incarnation)
	}
	next.superseded = old.superseded
	if old.incarnation != next.incarnation {
		next.superseded = appendBounded(old.superseded, old.incarnation, maxSuperseded)
	}
	return next, nil
}

// announcesItself reports whether an announcement is of an endpoint without an agent,
// whose name is its own id.
func announcesItself(request *controlv1.AnnounceRequest) bool {
	return len(request.GetEndpoints()) == 1 && request.GetEndpoints()[0].GetAddr() != ""
}

// laterStart orders the incarnations of an endpoint that announces itself, which are the
// times of its starts. A later start is the present one. An earlier one is late, and
// says nothing, as long as the present one renews; once that is silent the earlier one
// may have been started by a clock that was set back, and is taken.
func laterStart(old, next *agentEntry) (*agentEntry, *fault.Error) {
	if next.incarnation < old.incarnation && old.live {
		return nil, fencedAgent(old, next.incarnation)
	}
	return next, nil
}

// fencedAgent is the refusal of an incarnation that is not the present one.
func fencedAgent(present *agentEntry, incarnation uint64) *fault.Error {
	return fault.Newf(fault.Fenced, "stop this process, or give it a name of its own if two agents share one",
		"incarnation %d of agent %s is superseded by incarnation %d", incarnation, present.name, present.incarnation)
}

// normalizeAnnounced fills in what an endpoint has from its agent.
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

// prepareEndpoint adds one announced endpoint to next, or refuses it because
// another agent holds its lease.
func (s *State) prepareEndpoint(next *announcement, announced *fleetv1.Endpoint) {
	id := announced.GetId()
	entry := s.endpoints[id]
	if entry == nil {
		entry = &endpointEntry{}
	}
	if left(entry, announced) {
		announced.State = entry.announced.GetState()
	}
	holder := entry.announced.GetAgent()
	if entry.live && holder != next.agent.name {
		next.refused = append(next.refused, fault.Newf(fault.Conflict,
			"give the endpoint another id, or stop the agent that holds it",
			"endpoint %s, announced by agent %s, is held by agent %s", id, next.agent.name, holder))
		return
	}
	next.agent.holds = append(next.agent.holds, id)
	if entry.live && proto.Equal(entry.announced, announced) {
		return
	}
	next.store = append(next.store, entry.withAnnounced(announced, s.revision+1))
}

// left reports whether an endpoint that announces itself has said before, in the same
// incarnation, that it leaves. What says otherwise is late.
func left(entry *endpointEntry, announced *fleetv1.Endpoint) bool {
	before := entry.announced
	return announced.GetAddr() != "" && before.GetIncarnation() == announced.GetIncarnation() &&
		before.GetState() >= fleetv1.EndpointState_ENDPOINT_STATE_LEAVING
}

// releaseFromOther takes an endpoint away from the agent that held it before
// its lease expired.
func (s *State) releaseFromOther(id, newHolder string) {
	entry := s.endpoints[id]
	if entry == nil {
		return
	}
	holder := s.agents[entry.announced.GetAgent()]
	if holder == nil || holder.name == newHolder {
		return
	}
	holder.holds = slices.DeleteFunc(slices.Clone(holder.holds), func(held string) bool { return held == id })
}

// dropEndpoint takes an endpoint that its agent no longer announces out of the
// configuration, unless operators have decided something about it.
func (s *State) dropEndpoint(id string) {
	entry := s.endpoints[id]
	if entry.kept() {
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
		for _, id := range agent.holds {
			s.endpoints[id] = s.endpoints[id].withLive(false, s.revision+1)
			refs = append(refs, objectRef{endpointKind, id})
		}
	}
	refs = append(refs, s.forgetGone()...)
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{}
}

// maxGone is how many endpoints that announced themselves and do not renew any
// more are remembered. Such an endpoint has a new id at each start, so that the
// records would grow without end; it may also be well and only cut off, and is then
// not to be forgotten. So the bound is above three times the endpoints of the
// largest site designed for, at 813 bytes each, and three weeks of restarts there.
const maxGone = 8192

// forgetGone drops the endpoints that announced themselves and were silent first,
// beyond maxGone, and returns what has changed.
func (s *State) forgetGone() []objectRef {
	var gone []*fleetv1.Endpoint
	for _, entry := range s.endpoints {
		if entry.announced.GetAddr() != "" && !entry.live && !entry.kept() {
			gone = append(gone, entry.message)
		}
	}
	if len(gone) <= s.maxGone {
		return nil
	}
	slices.SortFunc(gone, func(a, b *fleetv1.Endpoint) int {
		return cmp.Or(cmp.Compare(a.GetRevision(), b.GetRevision()), strings.Compare(a.GetId(), b.GetId()))
	})
	var refs []objectRef
	for _, endpoint := range gone[:len(gone)-s.maxGone] {
		s.dropEndpoint(endpoint.GetId())
		s.forgetAgent(endpoint)
		refs = append(refs, objectRef{endpointKind, endpoint.GetId()})
	}
	return refs
}

// forgetAgent drops what is known of the announcer of an endpoint that is dropped,
// unless it announces others.
func (s *State) forgetAgent(endpoint *fleetv1.Endpoint) {
	agent := s.agents[endpoint.GetAgent()]
	if agent == nil {
		return
	}
	agent.holds = slices.DeleteFunc(slices.Clone(agent.holds), func(id string) bool { return id == endpoint.GetId() })
	if len(agent.holds) == 0 {
		delete(s.agents, agent.name)
	}
}

// currentAgent returns the agent if ref is its present incarnation.
func (s *State) currentAgent(name string, incarnation uint64) (*agentEntry, *fault.Error) {
	agent := s.agents[name]
	if agent == nil {
		return nil, fault.Newf(fault.NotFound, "let the agent announce itself first", "agent %s is not known", name)
	}
	if agent.incarnation != incarnation {
		return nil, fencedAgent(agent, incarnation)
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
	for _, seen := range observed.GetEndpoints() {
		entry := s.endpoints[seen.GetId()]
		if entry == nil || entry.announced.GetAgent() != agent.name {
			continue
		}
		announced := proto.Clone(entry.announced).(*fleetv1.Endpoint)
		announced.Model, announced.Version, announced.Role = seen.GetModel(), seen.GetVersion(), seen.GetRole()
		announced.Adapters = sorted(seen.GetAdapters())
		if sameLoaded(announced, entry.announced) {
			continue
		}
		next := *entry
		next.announced = announced
		next.compose(s.revision + 1)
		s.endpoints[seen.GetId()] = &next
		refs = append(refs, objectRef{endpointKind, seen.GetId()})
	}
	if len(refs) > 0 {
		s.commit(refs)
	}
	return &Result{}
}
