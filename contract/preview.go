package contract

import (
	"google.golang.org/protobuf/proto"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Preview plans an intent against a configuration locally, for operators who want to see its
// effects. Nothing is recorded, and the plan has no digest, so it cannot be confirmed.
func Preview(configuration *fleetv1.Configuration, intent *controlv1.Intent) (*controlv1.Plan, error) {
	if err := validateIntent(intent); err != nil {
		return nil, err
	}
	s := stateFromConfiguration(configuration)
	plan, err := s.buildPlan(intent)
	if err != nil {
		return nil, err
	}
	return plan, nil
}

// previewEndpoint returns the entry of a configured endpoint. A leaving or stopped state is
// taken as requested by operators, because the configuration does not tell whether an
// operator or the agent set it.
func previewEndpoint(endpoint *fleetv1.Endpoint) *endpointEntry {
	announced := proto.Clone(endpoint).(*fleetv1.Endpoint)
	announced.State = fleetv1.EndpointState_ENDPOINT_STATE_SERVING
	return &endpointEntry{
		announced: announced, message: endpoint, live: endpoint.GetLive(),
		wantedState: toWantedState(endpoint.GetState()),
	}
}

// stateFromConfiguration returns a state with the given configuration.
func stateFromConfiguration(configuration *fleetv1.Configuration) *State {
	s := NewState()
	s.revision = configuration.GetRevision()
	for _, workspace := range configuration.GetWorkspaces() {
		s.addWorkspace(workspace, "")
	}
	for _, model := range configuration.GetModels() {
		s.models[model.GetName()] = &modelEntry{message: model}
	}
	for _, service := range configuration.GetServices() {
		s.services[service.GetName()] = &serviceEntry{message: service}
	}
	for _, policy := range configuration.GetPolicies() {
		s.policies[policy.GetGroup()] = &policyEntry{message: policy}
	}
	for _, endpoint := range configuration.GetEndpoints() {
		s.endpoints[endpoint.GetId()] = previewEndpoint(endpoint)
	}
	return s
}
