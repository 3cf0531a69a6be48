package contract

import (
	"fmt"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Progress returns, for every confirmed intent that is not done, what it is waiting for
// according to the state. A leader adds the daemons that have not yet acknowledged the
// intent's revision.
func (s *State) Progress() []*controlv1.IntentProgress {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var progress []*controlv1.IntentProgress
	for _, record := range s.intents.order {
		if record.GetState() != controlv1.IntentState_INTENT_STATE_CONFIRMED {
			continue
		}
		progress = append(progress, &controlv1.IntentProgress{
			IntentId: record.GetIntent().GetId(), State: record.GetState(),
			Revision: record.GetRevision(), WaitingFor: s.waitingFor(record),
		})
	}
	return progress
}

// waitingFor lists what a confirmed intent is waiting for. Objects that a later intent has
// changed since are left to that intent.
func (s *State) waitingFor(record *contractv1.IntentRecord) []string {
	var waiting []string
	id := record.GetIntent().GetId()
	for _, change := range record.GetPlan().GetChanges() {
		switch objectKind(change.GetKind()) {
		case modelKind:
			if entry := s.models[change.GetName()]; entry != nil && entry.intent == id {
				waiting = append(waiting, s.waitingForModel(entry.message)...)
			}
		case endpointKind:
			if entry := s.endpoints[change.GetName()]; entry != nil && entry.intent == id {
				waiting = append(waiting, waitingForEndpoint(entry)...)
			}
		}
	}
	return waiting
}

func (s *State) waitingForModel(model *fleetv1.Model) []string {
	var waiting []string
	serving := 0
	for _, target := range s.poolTargets(model.GetPool()) {
		if target.model.GetName() != model.GetName() {
			continue
		}
		serving++
		if diff := diffLoaded(target.engine, model); diff.modelMismatch || len(diff.missingAdapters)+len(diff.extraAdapters) > 0 {
			waiting = append(waiting, fmt.Sprintf("endpoint %s to load model %s %s with adapters %s (has %s %s, %s)",
				target.engine.announced.GetId(), model.GetName(), model.GetVersion(), formatList(model.GetAdapters(), "none"),
				orNone(target.engine.announced.GetModel()), target.engine.announced.GetVersion(),
				formatList(target.engine.announced.GetAdapters(), "none")))
		}
	}
	if serving == 0 {
		return []string{fmt.Sprintf("an endpoint of pool %s that can take model %s", model.GetPool(), model.GetName())}
	}
	return waiting
}

func waitingForEndpoint(entry *endpointEntry) []string {
	var waiting []string
	id := entry.announced.GetId()
	if entry.wantedState != fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED && !entry.drained && entry.announced.GetAgent() != "" {
		text := fmt.Sprintf("endpoint %s to finish its work", id)
		if !entry.live {
			text += fmt.Sprintf(" (its agent %s is not heard)", entry.announced.GetAgent())
		}
		waiting = append(waiting, text)
	}
	if entry.wantedRole != "" && entry.announced.GetRole() != entry.wantedRole && entry.serves() {
		waiting = append(waiting, fmt.Sprintf("endpoint %s to change its role to %s", id, entry.wantedRole))
	}
	return waiting
}

// Drain is an endpoint that operators set leaving or stopped and that is not known to have
// finished its work.
type Drain struct {
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Agent manages the endpoint; its name is empty if no agent does any more.
	Agent AgentRef
	// Revision is the configuration revision that made the endpoint leave.
	Revision uint64
	// Limit is the maximum drain time that the intent allows; zero means no limit.
	Limit time.Duration
	// Live is whether the agent's lease is current.
	Live bool
}

// Draining returns the endpoints that are draining, sorted by id.
func (s *State) Draining() []Drain {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var drains []Drain
	for _, id := range sortedKeys(s.endpoints) {
		entry := s.endpoints[id]
		if entry.wantedState == fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED || entry.drained {
			continue
		}
		drains = append(drains, Drain{
			Endpoint: id,
			Agent:    AgentRef{Name: entry.announced.GetAgent(), Incarnation: entry.announced.GetIncarnation()},
			Revision: entry.wantedRevision,
			Limit:    time.Duration(entry.drainLimitMS) * time.Millisecond,
			Live:     entry.live,
		})
	}
	return drains
}

// modelTarget is the model that an engine should have loaded.
type modelTarget struct {
	engine *endpointEntry
	model  *fleetv1.Model
}

// poolTargets returns the model targets of the serving engines of a pool, or of all pools
// if pool is empty, sorted by endpoint within each pool.
func (s *State) poolTargets(pool string) []modelTarget {
	models := make(map[string][]*fleetv1.Model)
	for _, name := range sortedKeys(s.models) {
		model := s.models[name].message
		if pool == "" || model.GetPool() == pool {
			models[model.GetPool()] = append(models[model.GetPool()], model)
		}
	}
	engines := make(map[string][]*endpointEntry)
	for _, id := range sortedKeys(s.endpoints) {
		entry := s.endpoints[id]
		if entry.serves() && isEngine(entry) && len(models[entry.announced.GetPool()]) > 0 {
			engines[entry.announced.GetPool()] = append(engines[entry.announced.GetPool()], entry)
		}
	}
	var targets []modelTarget
	for _, poolName := range sortedKeys(engines) {
		assigned := assignModels(engines[poolName], models[poolName])
		for _, engine := range engines[poolName] {
			targets = append(targets, modelTarget{engine, assigned[engine.announced.GetId()]})
		}
	}
	return targets
}

// Order is an order that an agent carries out on one of its endpoints.
type Order struct {
	// Agent is the agent incarnation that manages the endpoint.
	Agent AgentRef
	// Addr is the agent's gRPC address, host:port.
	Addr string
	// Request is complete except for the fencing token and the order id.
	Request *agentv1.OrderRequest
}

// Orders returns the orders that move the serving endpoints toward the accepted
// configuration, at most one for each endpoint: first its model, then its adapters, then its
// role. An interrupted order may have been carried out, so a read-back (EncodeObserved) must
// follow before it is sent again.
func (s *State) Orders() []Order {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var orders []Order
	ordered := make(map[string]bool)
	for _, target := range s.poolTargets("") {
		if request := nextLoadOrder(target.engine, target.model); request != nil {
			orders = append(orders, newOrder(target.engine, request))
			ordered[target.engine.announced.GetId()] = true
		}
	}
	for _, id := range sortedKeys(s.endpoints) {
		entry := s.endpoints[id]
		if ordered[id] || !entry.serves() || entry.wantedRole == "" || entry.wantedRole == entry.announced.GetRole() {
			continue
		}
		orders = append(orders, newOrder(entry, &agentv1.OrderRequest{
			Kind: agentv1.OrderKind_ORDER_KIND_CHANGE_ROLE, Role: entry.wantedRole,
		}))
	}
	return orders
}

// nextLoadOrder returns the next order that an engine needs to have its target model and
// adapters loaded, or nil.
func nextLoadOrder(engine *endpointEntry, model *fleetv1.Model) *agentv1.OrderRequest {
	request := &agentv1.OrderRequest{Model: model.GetName(), Version: model.GetVersion()}
	diff := diffLoaded(engine, model)
	switch {
	case diff.modelMismatch:
		request.Kind = agentv1.OrderKind_ORDER_KIND_LOAD_MODEL
	case len(diff.missingAdapters) > 0:
		request.Kind = agentv1.OrderKind_ORDER_KIND_LOAD_ADAPTER
		request.Adapter = diff.missingAdapters[0]
	case len(diff.extraAdapters) > 0:
		request.Kind = agentv1.OrderKind_ORDER_KIND_UNLOAD_ADAPTER
		request.Adapter = diff.extraAdapters[0]
	default:
		return nil
	}
	return request
}

func newOrder(entry *endpointEntry, request *agentv1.OrderRequest) Order {
	request.Endpoint = entry.announced.GetId()
	request.Incarnation = entry.announced.GetIncarnation()
	return Order{
		Agent:   AgentRef{Name: entry.announced.GetAgent(), Incarnation: entry.announced.GetIncarnation()},
		Addr:    entry.announced.GetAgentAddr(),
		Request: request,
	}
}
