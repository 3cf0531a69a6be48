package operator

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	yaml "sigs.k8s.io/yaml/goyaml.v2"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// maxIntentFileBytes is the maximum size of an intent file.
const maxIntentFileBytes = 16 << 20

// intentFile is the format of an intent file, in YAML or JSON. Unknown and
// duplicate fields are rejected.
type intentFile struct {
	Intent           string          `yaml:"intent"`
	BaseRevision     uint64          `yaml:"base_revision"`
	Operator         string          `yaml:"operator"`
	Comment          string          `yaml:"comment"`
	Workspaces       []workspaceSpec `yaml:"workspaces"`
	RemoveWorkspaces []string        `yaml:"remove_workspaces"`
	Models           []modelSpec     `yaml:"models"`
	RemoveModels     []string        `yaml:"remove_models"`
	Services         []serviceSpec   `yaml:"services"`
	RemoveServices   []string        `yaml:"remove_services"`
	Endpoints        []endpointSpec  `yaml:"endpoints"`
	Policies         []policySpec    `yaml:"policies"`
	Zones            []zoneSpec      `yaml:"zones"`
}

// workspaceSpec is an item of workspaces; its fields are those of fleetv1.Workspace.
type workspaceSpec struct {
	Name              string   `yaml:"name"`
	Importance        int32    `yaml:"importance"`
	GuaranteedShare   float64  `yaml:"guaranteed_share"`
	MaxConcurrent     int32    `yaml:"max_concurrent"`
	RequestsPerSecond float64  `yaml:"requests_per_second"`
	TokensPerSecond   float64  `yaml:"tokens_per_second"`
	MaxQueue          int32    `yaml:"max_queue"`
	Models            []string `yaml:"models"`
	KeyDigests        []string `yaml:"key_digests"`
}

func (w workspaceSpec) toProto() *fleetv1.Workspace {
	return &fleetv1.Workspace{
		Name: w.Name, Importance: w.Importance, GuaranteedShare: w.GuaranteedShare,
		MaxConcurrent: w.MaxConcurrent, RequestsPerSecond: w.RequestsPerSecond,
		TokensPerSecond: w.TokensPerSecond, MaxQueue: w.MaxQueue,
		Models: w.Models, KeyDigests: w.KeyDigests,
	}
}

// modelSpec is an item of models; its fields are those of fleetv1.Model.
type modelSpec struct {
	Name     string   `yaml:"name"`
	Pool     string   `yaml:"pool"`
	Version  string   `yaml:"version"`
	Adapters []string `yaml:"adapters"`
}

func (m modelSpec) toProto() *fleetv1.Model {
	return &fleetv1.Model{Name: m.Name, Pool: m.Pool, Version: m.Version, Adapters: m.Adapters}
}

// serviceSpec is an item of services.
type serviceSpec struct {
	Name       string      `yaml:"name"`
	Pool       string      `yaml:"pool"`
	PathPrefix string      `yaml:"path_prefix"`
	Routes     []routeSpec `yaml:"routes"`
}

// routeSpec is a route of a service.
type routeSpec struct {
	Method     string   `yaml:"method"`
	PathPrefix string   `yaml:"path_prefix"`
	Idempotent bool     `yaml:"idempotent"`
	Timeout    duration `yaml:"timeout"`
}

func (s serviceSpec) toProto() *fleetv1.Service {
	service := &fleetv1.Service{Name: s.Name, Pool: s.Pool, PathPrefix: s.PathPrefix}
	for _, route := range s.Routes {
		service.Routes = append(service.Routes, &fleetv1.ServiceRoute{
			Method: route.Method, PathPrefix: route.PathPrefix,
			Idempotent: route.Idempotent, TimeoutMs: route.Timeout.milliseconds(),
		})
	}
	return service
}

// endpointSpec is an item of endpoints: the desired state of an endpoint.
type endpointSpec struct {
	ID         string        `yaml:"id"`
	State      endpointState `yaml:"state"`
	Role       string        `yaml:"role"`
	DrainLimit duration      `yaml:"drain_limit"`
}

func (e endpointSpec) toProto() *controlv1.EndpointChange {
	return &controlv1.EndpointChange{
		Id: e.ID, State: fleetv1.EndpointState(e.State), Role: e.Role, DrainLimitMs: e.DrainLimit.milliseconds(),
	}
}

// policySpec is an item of policies: how the expert maps of a group are balanced.
type policySpec struct {
	Group      string  `yaml:"group"`
	Evenness   float64 `yaml:"evenness"`
	MaxMoves   int32   `yaml:"max_moves"`
	StoreShare float64 `yaml:"store_share"`
}

func (p policySpec) toProto() *fleetv1.BalancePolicy {
	return &fleetv1.BalancePolicy{Group: p.Group, Evenness: p.Evenness, MaxMoves: p.MaxMoves, StoreShare: p.StoreShare}
}

// zoneSpec is an item of zones: whether an availability zone is evacuated.
type zoneSpec struct {
	Zone      string `yaml:"zone"`
	Evacuated bool   `yaml:"evacuated"`
}

func (z zoneSpec) toProto() *controlv1.ZoneChange {
	return &controlv1.ZoneChange{Zone: z.Zone, Evacuated: z.Evacuated}
}

// duration is a duration in an intent file, written with its unit, such as 1500ms or
// 30s.
type duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
func (d *duration) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	parsed, err := time.ParseDuration(text)
	if err != nil || parsed%time.Millisecond != 0 {
		return fmt.Errorf("%q is not a duration of whole milliseconds, such as 1500ms or 30s", text)
	}
	*d = duration(parsed)
	return nil
}

func (d duration) milliseconds() int64 { return time.Duration(d).Milliseconds() }

// endpointState is the state of an endpoint in an intent file, written as serving,
// leaving or stopped.
type endpointState fleetv1.EndpointState

var endpointStates = map[string]fleetv1.EndpointState{
	"serving": fleetv1.EndpointState_ENDPOINT_STATE_SERVING,
	"leaving": fleetv1.EndpointState_ENDPOINT_STATE_LEAVING,
	"stopped": fleetv1.EndpointState_ENDPOINT_STATE_STOPPED,
}

// UnmarshalYAML implements yaml.Unmarshaler.
func (s *endpointState) UnmarshalYAML(unmarshal func(any) error) error {
	var text string
	if err := unmarshal(&text); err != nil {
		return err
	}
	state, known := endpointStates[text]
	if !known {
		return fmt.Errorf("%q is not a state: write serving, leaving or stopped", text)
	}
	*s = endpointState(state)
	return nil
}

// ParseIntent parses and validates an intent file. operator is the default for the
// field operator. The error is a *fault.Error of kind Invalid, with the line number
// if it is known.
func ParseIntent(data []byte, operator string) (*controlv1.Intent, error) {
	if len(data) > maxIntentFileBytes {
		return nil, fault.Newf(fault.Invalid, "split the intent into several", "the intent file is larger than %d bytes", maxIntentFileBytes)
	}
	var file intentFile
	if err := unmarshalStrict(data, &file); err != nil {
		return nil, decodeError(err)
	}
	intent := file.toProto()
	if intent.Operator == "" {
		intent.Operator = operator
	}
	if intent.Operator == "" {
		return nil, fault.New(fault.Invalid, "the intent has no operator", "set -operator, LILACKEEL_OPERATOR or the field operator")
	}
	if intent.Id == "" {
		return nil, fault.New(fault.Invalid, "the intent has no id", "set the field intent, for example intent: raise-ops-2026-06-01")
	}
	if err := contract.ValidateIntent(intent); err != nil {
		return nil, err
	}
	return intent, nil
}

// unmarshalStrict decodes a file and converts a panic of the decoder to an error,
// because the files are written by hand.
func unmarshalStrict(data []byte, file *intentFile) (err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			err = fmt.Errorf("yaml: %v", recovered)
		}
	}()
	return yaml.UnmarshalStrict(data, file)
}

func (f *intentFile) toProto() *controlv1.Intent {
	return &controlv1.Intent{
		Id: f.Intent, BaseRevision: f.BaseRevision, Operator: f.Operator, Comment: f.Comment,
		Workspaces: convertAll(f.Workspaces, workspaceSpec.toProto), RemoveWorkspaces: f.RemoveWorkspaces,
		Models: convertAll(f.Models, modelSpec.toProto), RemoveModels: f.RemoveModels,
		Services: convertAll(f.Services, serviceSpec.toProto), RemoveServices: f.RemoveServices,
		Endpoints: convertAll(f.Endpoints, endpointSpec.toProto),
		Policies:  convertAll(f.Policies, policySpec.toProto),
		Zones:     convertAll(f.Zones, zoneSpec.toProto),
	}
}

func convertAll[S, M any](specs []S, convert func(S) M) []M {
	var result []M
	for _, spec := range specs {
		result = append(result, convert(spec))
	}
	return result
}

// unknownFieldPattern matches the decoder's message about a field that a type lacks.
var unknownFieldPattern = regexp.MustCompile(`field (\S+) not found in type operator\.(\w+)`)

// decodeError converts the decoder's messages, each with its line number, to an error
// for the user.
func decodeError(err error) *fault.Error {
	messages := []string{strings.TrimPrefix(err.Error(), "yaml: ")}
	var typeError *yaml.TypeError
	if errors.As(err, &typeError) {
		messages = typeError.Errors
	}
	remedy := "correct the line"
	for i, message := range messages {
		match := unknownFieldPattern.FindStringSubmatch(message)
		if match == nil {
			continue
		}
		messages[i] = strings.Replace(message, match[0], "unknown field "+match[1], 1)
		remedy = "remove it, or write one of " + strings.Join(fieldNamesByType[match[2]], ", ")
	}
	return fault.Newf(fault.Invalid, remedy, "the intent file cannot be read: %s", strings.Join(messages, "; "))
}
