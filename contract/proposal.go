package contract

import (
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// proposal is the state as it would be if an intent were accepted: the changes of the intent
// as an overlay on the current state. A nil value means that the object is removed.
type proposal struct {
	state      *State
	intent     *controlv1.Intent
	workspaces map[string]*fleetv1.Workspace
	models     map[string]*fleetv1.Model
	services   map[string]*fleetv1.Service
	policies   map[string]*fleetv1.BalancePolicy
	endpoints  map[string]*endpointEntry
	// zones holds whether each changed zone is evacuated.
	zones   map[string]bool
	changes []*controlv1.Change
}

// propose computes the changes that an intent makes; objects that it declares as they
// already are do not count. Messages in the proposal have the next revision.
func (s *State) propose(intent *controlv1.Intent) (*proposal, *fault.Error) {
	p := &proposal{
		state: s, intent: intent,
		workspaces: make(map[string]*fleetv1.Workspace),
		models:     make(map[string]*fleetv1.Model),
		services:   make(map[string]*fleetv1.Service),
		policies:   make(map[string]*fleetv1.BalancePolicy),
		endpoints:  make(map[string]*endpointEntry),
		zones:      make(map[string]bool),
	}
	proposeDeclared(p, workspaceType, intent.GetWorkspaces(), s.workspaces, p.workspaces)
	proposeDeclared(p, modelType, intent.GetModels(), s.models, p.models)
	proposeDeclared(p, serviceType, intent.GetServices(), s.services, p.services)
	proposeDeclared(p, policyType, intent.GetPolicies(), s.policies, p.policies)
	for _, step := range []func() *fault.Error{p.proposeRemovals, p.proposeEndpoints, p.proposeZones} {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return p, nil
}

func (p *proposal) addChange(change *controlv1.Change) { p.changes = append(p.changes, change) }

// proposeDeclared adds the objects of one type that an intent creates or changes. Objects
// declared as they already are are skipped.
func proposeDeclared[M any](p *proposal, t objectType[M], declared []*M, current map[string]*declaredEntry[M], next map[string]*M) {
	for _, object := range declared {
		name := t.name(object)
		proposed := t.normalize(object, p.state.revision+1)
		var old []property
		if entry := current[name]; entry != nil {
			if t.equal(entry.message, proposed) {
				continue
			}
			old = t.properties(entry.message)
		}
		next[name] = proposed
		p.addChange(describeChange(objectRef{t.kind, name}, old, t.properties(proposed)))
	}
}

func (p *proposal) proposeRemovals() *fault.Error {
	s, intent := p.state, p.intent
	if err := proposeRemoved(p, workspaceKind, intent.GetRemoveWorkspaces(), s.workspaces, p.workspaces); err != nil {
		return err
	}
	if err := proposeRemoved(p, modelKind, intent.GetRemoveModels(), s.models, p.models); err != nil {
		return err
	}
	return proposeRemoved(p, serviceKind, intent.GetRemoveServices(), s.services, p.services)
}

// proposeRemoved adds the removal of objects of one kind, which must exist.
func proposeRemoved[M any](p *proposal, kind objectKind, removed []string, current map[string]*declaredEntry[M], next map[string]*M) *fault.Error {
	for _, name := range removed {
		ref := objectRef{kind, name}
		if current[name] == nil {
			return notFoundError(ref)
		}
		next[name] = nil
		p.addChange(describeRemoval(ref))
	}
	return nil
}

func notFoundError(ref objectRef) *fault.Error {
	return fault.Newf(fault.NotFound, "check the name in the output of lilackeelctl config", "there is no %s %s", ref.kind, ref.name)
}

func (p *proposal) proposeEndpoints() *fault.Error {
	for _, requested := range p.intent.GetEndpoints() {
		old := p.state.endpoints[requested.GetId()]
		if old == nil {
			return notFoundError(objectRef{endpointKind, requested.GetId()})
		}
		next := p.nextEndpoint(old, requested)
		if next == nil {
			continue
		}
		p.endpoints[requested.GetId()] = next
		p.addChange(&controlv1.Change{
			Kind: string(endpointKind), Name: requested.GetId(), Action: actionUpdate,
			Text:   describeEndpointChange(old, next),
			Drains: old.wantedState == 0 && next.wantedState != 0,
		})
	}
	return nil
}

// nextEndpoint returns the endpoint with the requested state and role, or nil if the request
// changes nothing.
func (p *proposal) nextEndpoint(old *endpointEntry, requested *controlv1.EndpointChange) *endpointEntry {
	next := *old
	if requested.GetState() != fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED {
		next.wantedState = toWantedState(requested.GetState())
		next.drainLimitMS = requested.GetDrainLimitMs()
	}
	if requested.GetRole() != "" {
		next.wantedRole = requested.GetRole()
	}
	if next.wantedState == old.wantedState && next.wantedRole == old.wantedRole && next.drainLimitMS == old.drainLimitMS {
		return nil
	}
	if old.wantedState == fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED {
		next.drained = false
	}
	next.intent = p.intent.GetId()
	next.wantedRevision = p.state.revision + 1
	next.compose(p.state.revision + 1)
	return &next
}

// toWantedState returns the wanted state to store for a requested state. For Serving it is
// unspecified, so that the announced state applies.
func toWantedState(requested fleetv1.EndpointState) fleetv1.EndpointState {
	if requested == fleetv1.EndpointState_ENDPOINT_STATE_SERVING {
		return fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED
	}
	return requested
}

// commit applies the proposal to the state in one new revision. A proposal without changes
// creates no revision.
func (p *proposal) commit() {
	s := p.state
	id := p.intent.GetId()
	for _, change := range p.changes {
		ref := objectRef{objectKind(change.GetKind()), change.GetName()}
		switch ref.kind {
		case workspaceKind:
			p.storeWorkspace(ref.name)
		case modelKind:
			s.models[ref.name] = &modelEntry{message: p.models[ref.name], intent: id}
		case serviceKind:
			s.services[ref.name] = &serviceEntry{message: p.services[ref.name], intent: id}
		case policyKind:
			s.policies[ref.name] = &policyEntry{message: p.policies[ref.name], intent: id}
		case endpointKind:
			s.endpoints[ref.name] = p.endpoints[ref.name]
		}
		if change.GetAction() == actionRemove {
			s.removeObject(ref)
			s.tombstones.add(ref, s.revision+1, id)
		}
	}
	s.indexKeys(p)
	if len(p.changes) == 0 {
		return
	}
	var refs []objectRef
	for _, change := range p.changes {
		ref := objectRef{objectKind(change.GetKind()), change.GetName()}
		if ref.kind == zoneKind {
			refs = append(refs, s.setZone(ref.name, p.zones[ref.name], id)...)
			continue
		}
		refs = append(refs, ref)
	}
	s.commit(refs)
}

func (p *proposal) storeWorkspace(name string) {
	s := p.state
	if old := s.workspaces[name]; old != nil {
		for _, digest := range old.message.GetKeyDigests() {
			delete(s.keyOwners, digest)
		}
	}
	s.workspaces[name] = &workspaceEntry{message: p.workspaces[name], intent: p.intent.GetId()}
}

func (s *State) removeObject(ref objectRef) {
	switch ref.kind {
	case workspaceKind:
		delete(s.workspaces, ref.name)
	case modelKind:
		delete(s.models, ref.name)
	case serviceKind:
		delete(s.services, ref.name)
	}
}

// indexKeys records the owners of the keys in a proposal, after the keys of all workspaces
// that it changes were released.
func (s *State) indexKeys(p *proposal) {
	for name, workspace := range p.workspaces {
		for _, digest := range workspace.GetKeyDigests() {
			s.keyOwners[digest] = name
		}
	}
}

// workspace returns a workspace as proposed, or nil.
func (p *proposal) workspace(name string) *fleetv1.Workspace {
	return proposedOrCurrent(p.workspaces, p.state.workspaces, name)
}

// model returns a model as proposed, or nil.
func (p *proposal) model(name string) *fleetv1.Model {
	return proposedOrCurrent(p.models, p.state.models, name)
}

// service returns a service as proposed, or nil.
func (p *proposal) service(name string) *fleetv1.Service {
	return proposedOrCurrent(p.services, p.state.services, name)
}

// proposedOrCurrent returns the proposed object if the proposal changes it, otherwise the
// current one, or nil.
func proposedOrCurrent[M any](proposed map[string]*M, current map[string]*declaredEntry[M], name string) *M {
	if next, changed := proposed[name]; changed {
		return next
	}
	if entry := current[name]; entry != nil {
		return entry.message
	}
	return nil
}

// endpoint returns an endpoint as proposed, or nil.
func (p *proposal) endpoint(id string) *endpointEntry {
	if next, changed := p.endpoints[id]; changed {
		return next
	}
	return p.state.endpoints[id]
}

// proposedNames returns the sorted names of all objects of one kind as proposed.
func proposedNames[E, M any](current map[string]E, proposed map[string]*M) []string {
	union := make(map[string]bool, len(current))
	for name := range current {
		union[name] = true
	}
	for name, next := range proposed {
		union[name] = next != nil
		if next == nil {
			delete(union, name)
		}
	}
	return sortedKeys(union)
}
