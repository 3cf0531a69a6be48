package contract

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Limits on stored claims.
const (
	// ClaimTTL is how long a claim is kept after its grant, in log time. A key
	// that is used again later is treated as a new call.
	ClaimTTL = 24 * time.Hour
	// MaxClaims is the maximum number of claims, and MaxUnretiredClaims the maximum
	// number that are not retired. Further claims are refused.
	MaxClaims          = 8 << 20
	MaxUnretiredClaims = 4 << 20
	// MaxAnswerBytes is the size of the largest body that is recorded.
	MaxAnswerBytes = 64 << 10
	// MaxAnswerHeaderBytes is the maximum size of the recorded headers of an answer.
	MaxAnswerHeaderBytes = 8 << 10
	// MaxAnswers is the maximum number of recorded answers, and MaxTotalAnswerBytes
	// the maximum total size of their headers and bodies. Beyond these limits the
	// claims with the oldest answers are retired: only the hashes of the key and the
	// claim id, the request digest, the expiry and the status are kept.
	MaxAnswers          = 512 << 10
	MaxTotalAnswerBytes = 256 << 20

	// maxExpirePerApply limits the claims that one command expires, to bound its
	// work. It is more than a command can add, so expired claims cannot accumulate.
	maxExpirePerApply = 64
	// maxUsedClaimIDs is how many used claim ids are kept for each key.
	maxUsedClaimIDs = 16
	// overloadRetryAfter is the retry delay returned when the claim table is full.
	overloadRetryAfter = time.Minute
)

// applyClaim grants a key to at most one claim until that claim is settled as not
// run. A claim id that was settled as not run is never granted the key again.
func (s *State) applyClaim(request *controlv1.ClaimRequest) *Result {
	if err := validateClaim(request); err != nil {
		return &Result{Err: err}
	}
	if retired := s.claims.retired.find(request.GetWorkspace(), request.GetKey(), s.logTime); retired != nil {
		return retired.resultFor(request)
	}
	holder := s.currentClaim(request.GetWorkspace(), request.GetKey())
	if holder != nil && !holder.claimableBy(request.GetClaimId()) {
		return holder.resultFor(request)
	}
	entry, err := s.newClaim(request, holder)
	if err != nil {
		return &Result{Err: err}
	}
	if holder != nil {
		s.claims.remove(holder)
	}
	s.claims.add(entry)
	return &Result{Claim: entry.message(), Granted: true}
}

// currentClaim returns the claim that holds a key, or nil. It removes the claim if
// it has expired.
func (s *State) currentClaim(workspace, key string) *claimEntry {
	entry := s.claims.find(workspace, key)
	if entry != nil && entry.expires <= s.logTime {
		s.claims.remove(entry)
		return nil
	}
	return entry
}

// newClaim returns the claim to grant, or the reason why it cannot be granted.
// previous is the claim that holds the key and was not run, or nil.
func (s *State) newClaim(request *controlv1.ClaimRequest, previous *claimEntry) (*claimEntry, *fault.Error) {
	agent, err := s.currentAgent(request.GetAgent(), request.GetIncarnation())
	if err != nil {
		return nil, err
	}
	endpoint, err := s.claimableEndpoint(request.GetEndpoint(), agent)
	if err != nil {
		return nil, err
	}
	if previous == nil && s.claims.full() {
		return nil, fault.New(fault.Overloaded, "the claim table is full",
			"retry when older claims have expired, or distribute the keys over several quorums").RetryIn(overloadRetryAfter)
	}
	entry := &claimEntry{
		claimKey: claimKey{s.internWorkspace(request.GetWorkspace()), request.GetKey()},
		digest:   [digestBytes]byte(request.GetDigest()),
		id:       request.GetClaimId(),
		// All claims share the strings of the endpoint and agent tables.
		endpoint: endpoint.announced.GetId(), agent: agent.name, agentAddr: agent.addr,
		incarnation: agent.incarnation,
		state:       controlv1.ClaimState_CLAIM_STATE_GRANTED,
		expires:     s.logTime + int64(ClaimTTL),
	}
	if previous != nil {
		entry.usedClaimIDs = previous.usedClaimIDsWith(previous.id)
	}
	return entry, nil
}

// claimableEndpoint returns the endpoint if the agent manages it and it accepts new
// work.
func (s *State) claimableEndpoint(id string, agent *agentEntry) (*endpointEntry, *fault.Error) {
	endpoint := s.endpoints[id]
	if endpoint == nil || endpoint.announced.GetAgent() != agent.name {
		return nil, fault.Newf(fault.Stale, "refresh the configuration and select another endpoint",
			"agent %s does not manage endpoint %s", agent.name, id)
	}
	if endpoint.message.GetState() != fleetv1.EndpointState_ENDPOINT_STATE_SERVING {
		return nil, fault.Newf(fault.Leaving, "select another endpoint", "endpoint %s accepts no new work", id)
	}
	if !endpoint.live {
		return nil, fault.Newf(fault.Unavailable, "select another endpoint", "the lease of endpoint %s has expired", id)
	}
	return endpoint, nil
}

// internWorkspace returns the string of the workspace table for a workspace's name, so
// that claims share it.
func (s *State) internWorkspace(name string) string {
	if entry := s.workspaces[name]; entry != nil {
		return entry.message.GetName()
	}
	return name
}

// claimableBy reports whether a claim with the given id may take over the key.
func (e *claimEntry) claimableBy(id string) bool {
	return e.state == controlv1.ClaimState_CLAIM_STATE_NOT_RUN &&
		e.id != id && !slices.Contains(e.usedClaimIDs, xxhash.Sum64String(id))
}

// usedClaimIDsWith returns the hashes of the key's used claim ids with that of id added.
func (e *claimEntry) usedClaimIDsWith(id string) []uint64 {
	return appendBounded(e.usedClaimIDs, xxhash.Sum64String(id), maxUsedClaimIDs)
}

// resultFor returns the result of a request for a key that e holds.
func (e *claimEntry) resultFor(request *controlv1.ClaimRequest) *Result {
	if e.state != controlv1.ClaimState_CLAIM_STATE_NOT_RUN && e.digest != [digestBytes]byte(request.GetDigest()) {
		return &Result{Claim: e.message(), Err: keyReusedError(request)}
	}
	granted := e.id == request.GetClaimId() && e.state != controlv1.ClaimState_CLAIM_STATE_NOT_RUN
	return &Result{Claim: e.message(), Granted: granted}
}

// resultFor returns the result of a request for a key whose claim is retired.
func (r *retiredClaim) resultFor(request *controlv1.ClaimRequest) *Result {
	claim := r.message(request.GetWorkspace(), request.GetKey(), request.GetClaimId())
	if r.digest != [digestBytes]byte(request.GetDigest()) {
		return &Result{Claim: claim, Err: keyReusedError(request)}
	}
	return &Result{Claim: claim, Granted: r.heldBy(request.GetClaimId())}
}

func keyReusedError(request *controlv1.ClaimRequest) *fault.Error {
	return fault.Newf(fault.KeyReused,
		"use a new idempotency key for a new request, or retry the original request with this key",
		"the idempotency key %q of workspace %s was already used for a different request", request.GetKey(), request.GetWorkspace())
}

// applySettle records the outcome of a claimed call. The first outcome is final,
// except that an unknown one may become answered. A settlement of a claim that does
// not hold the key changes nothing. The result has the claim that holds the key.
func (s *State) applySettle(request *controlv1.SettleRequest) *Result {
	if retired := s.claims.retired.find(request.GetWorkspace(), request.GetKey(), s.logTime); retired != nil {
		claim := retired.message(request.GetWorkspace(), request.GetKey(), request.GetClaimId())
		return &Result{Claim: claim, Granted: retired.heldBy(request.GetClaimId())}
	}
	entry := s.currentClaim(request.GetWorkspace(), request.GetKey())
	if entry == nil {
		return &Result{Err: fault.Newf(fault.NotFound, "no action is needed; claims are kept for 24 h",
			"no claim found for key %q of workspace %s", request.GetKey(), request.GetWorkspace())}
	}
	if !isOutcome(request.GetState()) {
		return &Result{Err: fault.New(fault.Invalid, "the settlement has no outcome",
			"settle a claim as answered, not run or unknown")}
	}
	if entry.id == request.GetClaimId() && entry.canTransitionTo(request.GetState()) {
		s.claims.settle(entry, request.GetState(), request.GetAnswer(), s.appliedIndex)
	}
	return &Result{Claim: entry.message(), Granted: entry.id == request.GetClaimId()}
}

func isOutcome(state controlv1.ClaimState) bool {
	return state == controlv1.ClaimState_CLAIM_STATE_ANSWERED ||
		state == controlv1.ClaimState_CLAIM_STATE_NOT_RUN ||
		state == controlv1.ClaimState_CLAIM_STATE_UNKNOWN
}

// canTransitionTo reports whether a claim may change from its current state to state.
func (e *claimEntry) canTransitionTo(state controlv1.ClaimState) bool {
	switch e.state {
	case controlv1.ClaimState_CLAIM_STATE_GRANTED:
		return true
	case controlv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return state == controlv1.ClaimState_CLAIM_STATE_ANSWERED
	}
	return false
}
