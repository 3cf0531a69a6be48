package contract

import (
	"encoding/hex"
	"math"
	"slices"
	"strings"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Maximum lengths of texts in requests, in bytes.
const (
	maxNameBytes    = 128
	maxKeyBytes     = 512
	maxCommentBytes = 4096
)

const nameRemedy = "use 1 to 128 letters, digits and any of . _ - : / @, beginning with a letter or digit"

// checkName returns an error for a name with characters that operators or tools could
// misread, or with an invalid length.
func checkName(what, name string) *fault.Error {
	if validName(name) {
		return nil
	}
	return fault.Newf(fault.Invalid, nameRemedy, "%q is not a valid name for a %s", name, what)
}

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes || strings.ContainsRune("._-:/@", rune(name[0])) {
		return false
	}
	for _, char := range []byte(name) {
		if !isNameByte(char) {
			return false
		}
	}
	return true
}

func isNameByte(char byte) bool {
	switch {
	case char >= 'a' && char <= 'z', char >= 'A' && char <= 'Z', char >= '0' && char <= '9':
		return true
	}
	return strings.IndexByte("._-:/@", char) >= 0
}

// ValidateIntent runs the checks of an intent that do not need the state. The error is a
// *fault.Error of kind Invalid.
func ValidateIntent(intent *controlv1.Intent) error {
	if err := validateIntent(intent); err != nil {
		return err
	}
	return nil
}

func validateIntent(intent *controlv1.Intent) *fault.Error {
	if err := checkName("intent", intent.GetId()); err != nil {
		return err
	}
	if err := checkName("operator", intent.GetOperator()); err != nil {
		return err
	}
	if len(intent.GetComment()) > maxCommentBytes {
		return fault.Newf(fault.Invalid, "shorten the comment", "the comment is longer than %d bytes", maxCommentBytes)
	}
	checks := []func(*controlv1.Intent) *fault.Error{
		validateWorkspaces, validateModels, validateServices, validateEndpointChanges, validatePolicies, validateZones, validateUnique,
	}
	for _, check := range checks {
		if err := check(intent); err != nil {
			return err
		}
	}
	return nil
}

// validateUnique returns an error if an intent is empty or names an object twice.
func validateUnique(intent *controlv1.Intent) *fault.Error {
	refs := intentRefs(intent)
	if len(refs) == 0 {
		return fault.Newf(fault.Invalid, "name at least one workspace, model, service, endpoint, policy or zone",
			"intent %s contains no changes", intent.GetId())
	}
	slices.SortFunc(refs, compareRefs)
	for i := 1; i < len(refs); i++ {
		if refs[i] == refs[i-1] {
			return fault.Newf(fault.Invalid, "name each object once in an intent",
				"%s %s is named twice", refs[i].kind, refs[i].name)
		}
	}
	return nil
}

func validateWorkspaces(intent *controlv1.Intent) *fault.Error {
	for _, workspace := range intent.GetWorkspaces() {
		if err := checkName("workspace", workspace.GetName()); err != nil {
			return err
		}
		if err := validateWorkspace(workspace); err != nil {
			return err
		}
	}
	return nil
}

func validateWorkspace(workspace *fleetv1.Workspace) *fault.Error {
	if workspace.GetImportance() < 1 {
		return fault.Newf(fault.Invalid, "set an importance of 1 or more",
			"workspace %s has importance %d", workspace.GetName(), workspace.GetImportance())
	}
	if !isShare(workspace.GetGuaranteedShare()) {
		return fault.Newf(fault.Invalid, "set a share from 0 to 1",
			"workspace %s has a guaranteed share of %v", workspace.GetName(), workspace.GetGuaranteedShare())
	}
	limits := []float64{
		float64(workspace.GetMaxConcurrent()), float64(workspace.GetMaxQueue()),
		workspace.GetRequestsPerSecond(), workspace.GetTokensPerSecond(),
	}
	for _, limit := range limits {
		if math.IsNaN(limit) || math.IsInf(limit, 0) || limit < 0 {
			return fault.Newf(fault.Invalid, "set a limit of 0 (no limit) or more",
				"workspace %s has a limit of %v", workspace.GetName(), limit)
		}
	}
	for _, digest := range workspace.GetKeyDigests() {
		if !isHexDigest(digest) {
			return fault.Newf(fault.Invalid, "set the lower-case hex SHA-256 of the key, not the key itself",
				"workspace %s has an invalid key digest", workspace.GetName())
		}
	}
	return nil
}

func isShare(share float64) bool { return share >= 0 && share <= 1 }

func isHexDigest(text string) bool {
	decoded, err := hex.DecodeString(text)
	return err == nil && len(decoded) == digestBytes && strings.ToLower(text) == text
}

func validateModels(intent *controlv1.Intent) *fault.Error {
	for _, model := range intent.GetModels() {
		namedFields := []struct{ what, name string }{
			{"model", model.GetName()}, {"pool", model.GetPool()}, {"version", model.GetVersion()},
		}
		for _, adapter := range model.GetAdapters() {
			namedFields = append(namedFields, struct{ what, name string }{"adapter", adapter})
		}
		for _, field := range namedFields {
			if err := checkName(field.what, field.name); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateServices(intent *controlv1.Intent) *fault.Error {
	for _, service := range intent.GetServices() {
		if err := checkName("service", service.GetName()); err != nil {
			return err
		}
		if err := checkName("pool", service.GetPool()); err != nil {
			return err
		}
		if !strings.HasPrefix(service.GetPathPrefix(), "/") {
			return fault.Newf(fault.Invalid, "use a path prefix that begins with /",
				"service %s has the path prefix %q", service.GetName(), service.GetPathPrefix())
		}
		for _, route := range service.GetRoutes() {
			if err := validateRoute(service.GetName(), route); err != nil {
				return err
			}
		}
	}
	return nil
}

func validateRoute(service string, route *fleetv1.ServiceRoute) *fault.Error {
	if !strings.HasPrefix(route.GetPathPrefix(), "/") {
		return fault.Newf(fault.Invalid, "use a path prefix that begins with /",
			"service %s has a route with the path prefix %q", service, route.GetPathPrefix())
	}
	if strings.ToUpper(route.GetMethod()) != route.GetMethod() {
		return fault.Newf(fault.Invalid, "write methods in upper case",
			"service %s has a route with the method %q", service, route.GetMethod())
	}
	if route.GetTimeoutMs() < 0 {
		return fault.Newf(fault.Invalid, "set a timeout of 0 (the entry's default) or more",
			"service %s has a route with a timeout of %d ms", service, route.GetTimeoutMs())
	}
	return nil
}

func validateEndpointChanges(intent *controlv1.Intent) *fault.Error {
	for _, change := range intent.GetEndpoints() {
		if err := checkName("endpoint", change.GetId()); err != nil {
			return err
		}
		if change.GetRole() != "" {
			if err := checkName("role", change.GetRole()); err != nil {
				return err
			}
		}
		if _, known := fleetv1.EndpointState_name[int32(change.GetState())]; !known {
			return fault.Newf(fault.Invalid, "request serving, leaving or stopped", "endpoint %s has an unknown state", change.GetId())
		}
		if change.GetState() == 0 && change.GetRole() == "" {
			return fault.Newf(fault.Invalid, "set a state or a role", "the change of endpoint %s requests nothing", change.GetId())
		}
		if change.GetDrainLimitMs() < 0 {
			return fault.Newf(fault.Invalid, "set a drain limit of 0 (no limit) or more",
				"endpoint %s has a drain limit of %d ms", change.GetId(), change.GetDrainLimitMs())
		}
	}
	return nil
}

func validatePolicies(intent *controlv1.Intent) *fault.Error {
	for _, policy := range intent.GetPolicies() {
		if err := checkName("group", policy.GetGroup()); err != nil {
			return err
		}
		if !isShare(policy.GetEvenness()) || !isShare(policy.GetStoreShare()) {
			return fault.Newf(fault.Invalid, "set evenness and store share from 0 to 1",
				"the policy of group %s has an evenness or store share out of range", policy.GetGroup())
		}
		if policy.GetMaxMoves() < 0 {
			return fault.Newf(fault.Invalid, "set 0 or more moves",
				"the policy of group %s allows %d moves", policy.GetGroup(), policy.GetMaxMoves())
		}
	}
	return nil
}

func validateAnnouncement(request *controlv1.AnnounceRequest) *fault.Error {
	if err := checkName("agent", request.GetAgent()); err != nil {
		return err
	}
	if request.GetIncarnation() == 0 {
		return fault.Newf(fault.Invalid, "choose a new incarnation at every start", "agent %s announced no incarnation", request.GetAgent())
	}
	seen := make(map[string]bool, len(request.GetEndpoints()))
	for _, endpoint := range request.GetEndpoints() {
		if err := checkName("endpoint", endpoint.GetId()); err != nil {
			return err
		}
		if err := checkName("pool", endpoint.GetPool()); err != nil {
			return err
		}
		if _, known := fleetv1.EndpointState_name[int32(endpoint.GetState())]; !known {
			return fault.Newf(fault.Invalid, "announce a valid state", "endpoint %s has an unknown state", endpoint.GetId())
		}
		if seen[endpoint.GetId()] {
			return fault.Newf(fault.Invalid, "announce each endpoint once", "endpoint %s is announced twice", endpoint.GetId())
		}
		seen[endpoint.GetId()] = true
	}
	return nil
}

func validateClaim(request *controlv1.ClaimRequest) *fault.Error {
	fields := []struct {
		what, text string
		limit      int
	}{
		{"workspace", request.GetWorkspace(), maxNameBytes},
		{"key", request.GetKey(), maxKeyBytes},
		{"claim id", request.GetClaimId(), maxNameBytes},
	}
	for _, field := range fields {
		if field.text == "" || len(field.text) > field.limit {
			return fault.Newf(fault.Invalid, "send a "+field.what+" of valid length",
				"a claim has a %s of %d bytes; allowed are 1 to %d", field.what, len(field.text), field.limit)
		}
	}
	if len(request.GetDigest()) != digestBytes {
		return fault.New(fault.Invalid, "a claim has no request digest", "send the SHA-256 of method, path and body")
	}
	return nil
}

func validateMapBegin(begin *contractv1.MapBegin) *fault.Error {
	if err := checkName("group", begin.GetGroup()); err != nil {
		return err
	}
	if len(begin.GetMap()) == 0 || len(begin.GetMap()) > maxMapBytes {
		return fault.Newf(fault.Invalid, "send the encoded map",
			"the expert map of group %s has %d bytes; allowed are 1 to %d", begin.GetGroup(), len(begin.GetMap()), maxMapBytes)
	}
	return nil
}
