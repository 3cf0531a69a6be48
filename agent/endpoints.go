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

// Kinds of endpoint in the endpoints file.
const (
	KindEngine  = "engine"
	KindService = "service"
)

// maxSlots bounds the slots that an endpoint may state.
const maxSlots = 1 << 20

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]*$`)

// Endpoint describes one endpoint of the host.
type Endpoint struct {
	// ID is unique in the fleet.
	ID string `json:"id"`
	// Pool is the pool that it belongs to.
	Pool string `json:"pool"`
	// Kind is KindEngine or KindService.
	Kind string `json:"kind"`
	// URL is where it answers HTTP.
	URL string `json:"url"`
	// Model, Version, Role and Adapters are what an engine serves.
	Model    string   `json:"model,omitempty"`
	Version  string   `json:"version,omitempty"`
	Role     string   `json:"role,omitempty"`
	Adapters []string `json:"adapters,omitempty"`
	// Slots is the number of calls it serves at the same time.
	Slots int32 `json:"slots"`
	// Group and Rank place an engine in a group of ranks.
	Group string `json:"group,omitempty"`
	Rank  int32  `json:"rank,omitempty"`
	// ChecksFencing says that the engine itself refuses old orders.
	ChecksFencing bool `json:"checks_fencing,omitempty"`
}

// endpointsFile is the form of the endpoints file.
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

// DecodeEndpoints reads the YAML of an endpoints file. It refuses unknown and
// doubled fields, and reports every fault it finds.
func DecodeEndpoints(data []byte) ([]Endpoint, error) {
	var file endpointsFile
	if err := yaml.UnmarshalStrict(data, &file); err != nil {
		return nil, fault.New(fault.Invalid, "the endpoints file is not valid", "correct the field or line that is named").WithCause(err)
	}
	if len(file.Endpoints) == 0 {
		return nil, fault.New(fault.Invalid, "the endpoints file names no endpoint", "list at least one under endpoints:")
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

// problem is one thing wrong with an endpoint and what to do about it.
type problem struct{ text, remedy string }

func (e Endpoint) problems(doubled bool) []problem {
	var found []problem
	demand := func(ok bool, text, remedy string) {
		if !ok {
			found = append(found, problem{text, remedy})
		}
	}
	demand(namePattern.MatchString(e.ID), "id is missing or malformed", "use lower-case letters, digits, dots and hyphens")
	demand(!doubled, "id is used twice", "give each endpoint an id of its own")
	demand(namePattern.MatchString(e.Pool), "pool is missing or malformed", "use lower-case letters, digits, dots and hyphens")
	demand(e.Kind == KindEngine || e.Kind == KindService, "kind is unknown", "write engine or service")
	demand(setting.IsURL(e.URL) && !strings.ContainsAny(e.URL, "?#"), "url is malformed", "write an http:// or https:// URL without a query")
	demand(e.Slots > 0 && e.Slots <= maxSlots, "slots is out of range", "write how many calls it serves at the same time, at least 1")
	demand(e.Rank >= 0, "rank is negative", "number the ranks of a group from 0")
	demand(e.Group != "" || e.Rank == 0, "rank has no group", "name the group")
	if e.Kind == KindEngine {
		demand(e.Model != "", "model is missing", "name the model that the engine serves")
	}
	if e.Kind == KindService {
		demand(e.Model == "" && e.Group == "" && len(e.Adapters) == 0, "a service has no model, adapters or group", "remove them, or write kind: engine")
	}
	return found
}

// announced returns the endpoint as the agent announces it.
func (e Endpoint) announced(s *Settings) *fleetv1.Endpoint {
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

func gated(endpoints []Endpoint) []gate.Endpoint {
	list := make([]gate.Endpoint, len(endpoints))
	for i, e := range endpoints {
		list[i] = gate.Endpoint{ID: e.ID, Slots: int(e.Slots)}
	}
	return list
}
