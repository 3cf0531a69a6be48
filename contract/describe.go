package contract

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// Actions of a change in a plan.
const (
	actionCreate = "create"
	actionUpdate = "update"
	actionRemove = "remove"
)

// property is one property of an object with its value as text.
type property struct{ name, value string }

// isDefault reports whether the property has a value that need not be mentioned when an
// object is created.
func (p property) isDefault() bool {
	return p.value == unlimited || p.value == none || p.value == "0%"
}

// objectType holds the operations that planning needs for one kind of declared object.
type objectType[M any] struct {
	kind objectKind
	name func(*M) string
	// normalize returns a normalized copy with the given revision.
	normalize func(object *M, revision uint64) *M
	// equal compares what operators declare, not the revision.
	equal      func(a, b *M) bool
	properties func(*M) []property
}

var (
	workspaceType = objectType[fleetv1.Workspace]{workspaceKind, (*fleetv1.Workspace).GetName, workspaceAt, sameWorkspace, workspaceProperties}
	modelType     = objectType[fleetv1.Model]{modelKind, (*fleetv1.Model).GetName, modelAt, sameModel, modelProperties}
	serviceType   = objectType[fleetv1.Service]{serviceKind, (*fleetv1.Service).GetName, serviceAt, sameService, serviceProperties}
	policyType    = objectType[fleetv1.BalancePolicy]{policyKind, (*fleetv1.BalancePolicy).GetGroup, policyAt, samePolicy, policyProperties}
)

// Texts for values that are not limited or not set.
const (
	unlimited = "unlimited"
	none      = "none"
)

func workspaceProperties(w *fleetv1.Workspace) []property {
	return []property{
		{"importance", strconv.Itoa(int(w.GetImportance()))},
		{"guaranteed share", formatPercent(w.GetGuaranteedShare())},
		{"concurrent requests", formatLimit(float64(w.GetMaxConcurrent()))},
		{"requests per second", formatLimit(w.GetRequestsPerSecond())},
		{"tokens per second", formatLimit(w.GetTokensPerSecond())},
		{"queue", formatLimit(float64(w.GetMaxQueue()))},
		{"models", formatList(w.GetModels(), "all")},
		{"keys", formatKeyDigests(w.GetKeyDigests())},
	}
}

func modelProperties(m *fleetv1.Model) []property {
	return []property{
		{"pool", m.GetPool()},
		{"version", m.GetVersion()},
		{"adapters", formatList(m.GetAdapters(), none)},
	}
}

func serviceProperties(s *fleetv1.Service) []property {
	var routes []string
	for _, route := range s.GetRoutes() {
		routes = append(routes, formatRoute(route))
	}
	return []property{
		{"pool", s.GetPool()},
		{"path prefix", s.GetPathPrefix()},
		{"routes", formatList(routes, none)},
	}
}

func formatRoute(route *fleetv1.ServiceRoute) string {
	text := route.GetMethod()
	if text == "" {
		text = "any"
	}
	text += " " + route.GetPathPrefix()
	if route.GetIdempotent() {
		text += " idempotent"
	} else {
		text += " at most once"
	}
	if route.GetTimeoutMs() > 0 {
		text += " within " + formatMilliseconds(route.GetTimeoutMs())
	}
	return text
}

func policyProperties(p *fleetv1.BalancePolicy) []property {
	return []property{
		{"evenness", formatNumber(p.GetEvenness())},
		{"moves per switch", strconv.Itoa(int(p.GetMaxMoves()))},
		{"share of the store", formatPercent(p.GetStoreShare())},
	}
}

// describeChange describes the change of an object from the old to the next properties.
// old is nil for an object that is created.
func describeChange(ref objectRef, old, next []property) *controlv1.Change {
	result := &controlv1.Change{Kind: string(ref.kind), Name: ref.name, Action: actionUpdate}
	if old == nil {
		result.Action = actionCreate
	}
	var parts []string
	for i, p := range next {
		switch {
		case old == nil && p.isDefault():
		case old == nil:
			parts = append(parts, p.name+" "+p.value)
		case old[i].value != p.value:
			parts = append(parts, fmt.Sprintf("%s %s → %s", p.name, old[i].value, p.value))
		}
	}
	result.Text = fmt.Sprintf("%s %s: %s", ref.kind, ref.name, strings.Join(parts, ", "))
	return result
}

// describeRemoval describes the removal of an object.
func describeRemoval(ref objectRef) *controlv1.Change {
	return &controlv1.Change{
		Kind: string(ref.kind), Name: ref.name, Action: actionRemove,
		Text: fmt.Sprintf("%s %s is removed", ref.kind, ref.name),
	}
}

// describeEndpointChange describes the change of an endpoint's state and role.
func describeEndpointChange(old, next *endpointEntry) string {
	id := old.announced.GetId()
	var parts []string
	if old.wantedState != next.wantedState {
		parts = append(parts, describeState(next))
	} else if old.drainLimitMS != next.drainLimitMS {
		parts = append(parts, "drain limit "+formatDrainLimit(next.drainLimitMS))
	}
	if old.message.GetRole() != next.message.GetRole() {
		parts = append(parts, fmt.Sprintf("role %s → %s", orNone(old.message.GetRole()), orNone(next.message.GetRole())))
	} else if old.wantedRole != next.wantedRole {
		parts = append(parts, "role fixed to "+next.wantedRole)
	}
	return fmt.Sprintf("endpoint %s (pool %s, zone %s): %s", id,
		old.announced.GetPool(), old.announced.GetZone(), strings.Join(parts, ", "))
}

func describeState(next *endpointEntry) string {
	switch next.wantedState {
	case fleetv1.EndpointState_ENDPOINT_STATE_LEAVING:
		return "leaves: takes no new work, finishes what it has " + formatDrainLimit(next.drainLimitMS)
	case fleetv1.EndpointState_ENDPOINT_STATE_STOPPED:
		return "stops for good: takes no new work, finishes what it has " + formatDrainLimit(next.drainLimitMS)
	}
	return "joins: takes new work"
}

func formatDrainLimit(limitMS int64) string {
	if limitMS == 0 {
		return "without a time limit"
	}
	return "within " + formatMilliseconds(limitMS)
}

func formatPercent(share float64) string { return formatNumber(share*100) + "%" }

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 6, 64) }

func formatMilliseconds(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() }

func formatLimit(value float64) string {
	if value == 0 {
		return unlimited
	}
	return formatNumber(value)
}

func formatList(items []string, empty string) string {
	if len(items) == 0 {
		return empty
	}
	return strings.Join(items, " ")
}

// formatKeyDigests lists the first 8 characters of each key digest, which are enough to
// tell them apart.
func formatKeyDigests(digests []string) string {
	short := make([]string, len(digests))
	for i, digest := range digests {
		short[i] = digest[:min(8, len(digest))]
	}
	return formatList(short, none)
}

func orNone(text string) string {
	if text == "" {
		return none
	}
	return text
}

// sameWorkspace and the functions below compare what operators declare, not the
// revision.
func sameWorkspace(a, b *fleetv1.Workspace) bool {
	return proto.Equal(workspaceAt(a, 0), workspaceAt(b, 0))
}

func sameModel(a, b *fleetv1.Model) bool { return proto.Equal(modelAt(a, 0), modelAt(b, 0)) }

func sameService(a, b *fleetv1.Service) bool { return proto.Equal(serviceAt(a, 0), serviceAt(b, 0)) }

func samePolicy(a, b *fleetv1.BalancePolicy) bool { return proto.Equal(policyAt(a, 0), policyAt(b, 0)) }

// workspaceAt and the functions below return a normalized copy with the given revision.
func workspaceAt(w *fleetv1.Workspace, revision uint64) *fleetv1.Workspace {
	copied := proto.Clone(w).(*fleetv1.Workspace)
	copied.Models = sorted(w.GetModels())
	copied.KeyDigests = sorted(w.GetKeyDigests())
	copied.Revision = revision
	return copied
}

func modelAt(m *fleetv1.Model, revision uint64) *fleetv1.Model {
	copied := proto.Clone(m).(*fleetv1.Model)
	copied.Adapters = slices.Compact(sorted(m.GetAdapters()))
	copied.Revision = revision
	return copied
}

func serviceAt(s *fleetv1.Service, revision uint64) *fleetv1.Service {
	copied := proto.Clone(s).(*fleetv1.Service)
	copied.Revision = revision
	return copied
}

func policyAt(p *fleetv1.BalancePolicy, revision uint64) *fleetv1.BalancePolicy {
	copied := proto.Clone(p).(*fleetv1.BalancePolicy)
	copied.Revision = revision
	return copied
}
