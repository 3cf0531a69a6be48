package agent

import (
	"errors"
	"os"
	"regexp"
	"strings"

	"sigs.k8s.io/yaml"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/setting"
)

// Values of Endpoint.Kind.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// maxSlots is the largest value of Endpoint.Slots that is accepted.
const maxSlots = 1 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// Endpoint is one endpoint of the host as described in the endpoints file.
type Endpoint struct {
	// ID is unique in the fleet.
	ID string `json:"id"`
	// Pool is the name of the pool that it belongs to.
	Pool string `json:"pool"`
	// Kind is KindEngine or KindService.
	Kind string `json:"kind"`
	// URL is the base URL at which it serves HTTP.
	URL string `json:"url"`
	// Model, Version, Role and Adapters describe what an engine serves.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Slots is the number of calls that it serves concurrently.
	Slots int32 `json:"slots"`
	// Group and Rank identify an engine that is a rank of a group.
	Group string `json:"group,omitempty"`
	Rank  int32  `json:"rank,omitempty"`
	// ChecksFencing is set if the engine itself rejects orders with an old fencing token.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// endpointsFile is the schema of the endpoints file.
type endpointsFile struct {
	Endpoints []Endpoint `json:"endpoints"`
}

// ReadEndpoints reads an endpoints file.
func ReadEndpoints(path string) ([]Endpoint, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fault.Newf(fault.Invalid, "set -endpoints to a readable file", "the endpoints file cannot be read").WithCause(err)
	}
	return DecodeEndpoints(data)
}

// DecodeEndpoints decodes and validates the YAML of an endpoints file. It rejects unknown and
// duplicate fields, and reports all errors that it finds, not only the first.
func DecodeEndpoints(data []byte) ([]Endpoint, error) {
	var file endpointsFile
	if err := yaml.UnmarshalStrict(data, &file); err != nil {
		return nil, fault.New(fault.Invalid, "the endpoints file is not valid", "correct the field or line that is named").WithCause(err)
	}
	if len(file.Endpoints) == 0 {
		return nil, fault.New(fault.Invalid, "the endpoints file lists no endpoint", "list at least one under endpoints:")
	}
	var faults []error
	seen := make(map[string]bool)
	for i, e := range file.Endpoints {
		for _, problem := range e.problems(seen[e.ID]) {
			faults = append(faults, fault.Newf(fault.Invalid, problem.remedy, "endpoint %d (%q): %s", i+1, e.ID, problem.text))
		}
		seen[e.ID] = true
	}
	return file.Endpoints, errors.Join(faults...)
}

// problem is one validation error of an endpoint and its remedy.
type problem struct{ text, remedy string }

func (e Endpoint) problems(duplicate bool) []problem {
	var found []problem
	require := func(ok bool, text, remedy string) {
		if !ok {
			found = append(found, problem{text, remedy})
		}
	}
	require(namePattern.MatchString(e.ID), "id is missing or malformed", "use lower-case letters, digits, dots and hyphens")
	require(!duplicate, "id is used twice", "give each endpoint a unique id")
	require(namePattern.MatchString(e.Pool), "pool is missing or malformed", "use lower-case letters, digits, dots and hyphens")
	require(e.Kind == KindEngine || e.Kind == KindService, "kind is unknown", "set it to engine or service")
	require(setting.IsURL(e.URL) && !strings.ContainsAny(e.URL, "?#"), "url is malformed", "set it to an http:// or https:// URL without a query or fragment")
	require(e.Slots > 0 && e.Slots <= maxSlots, "slots is out of range", "set it to the number of calls that the endpoint serves concurrently, at least 1")
	require(e.Rank >= 0, "rank is negative", "number the ranks of a group from 0")
	require(e.Group != "" || e.Rank == 0, "rank is set without a group", "set group")
	if e.Kind == KindEngine {
		require(e.Model != "", "model is missing", "set it to the model that the engine serves")
	}
	if e.Kind == KindService {
		require(e.Model == "" && e.Group == "" && len(e.Adapters) == 0, "a service must not have a model, adapters or a group", "remove them, or set kind to engine")
	}
	return found
}

// toProto returns the endpoint in the form in which the agent announces it.
func (e Endpoint) toProto(s *Settings) *fleetv1.Endpoint {
	kind := fleetv1.EndpointKind_ENDPOINT_KIND_SERVICE
	if e.Kind == KindEngine {
		kind = fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE
	}
	return &fleetv1.Endpoint{
		Id: e.ID, Host: s.Host, Zone: s.Zone, Region: s.Region,
		Pool: e.Pool, Kind: kind,
		State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING,
		Model: e.Model, Version: e.Version, Role: e.Role, Adapters: e.Adapters,
		Group: e.Group, Rank: e.Rank,
		Slots: e.Slots, ChecksFencing: e.ChecksFencing,
		Agent: s.Name,
	}
}

func gateEndpoints(endpoints []Endpoint) []gate.Endpoint {
	list := make([]gate.Endpoint, len(endpoints))
	for i, e := range endpoints {
		list[i] = gate.Endpoint{ID: e.ID, Slots: int(e.Slots)}
	}
	return list
}
