package contract

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Bounds of what is kept of claims.
const (
	// ClaimTTL is how long after its grant a claim is kept, in log time.
	// A key that comes again later is a new call.
	ClaimTTL = 24 * time.Hour
	// MaxClaims is how many claims are kept at most, and MaxWholeClaims how many
	// that are not retired; a further one is refused.
	MaxClaims          = 8 << 20
	MaxUnretiredClaims = 4 << 20
	// MaxAnswerBytes is the largest body that is recorded.
	MaxAnswerBytes = 64 << 10
	// MaxAnswerHeaderBytes is the most that is recorded of an answer's headers.
	MaxAnswerHeaderBytes = 8 << 10
	// MaxAnswers is how many answers are kept, and MaxRecordedBytes bounds their
	// headers and bodies. The oldest are given up first: of their claims only a
	// hash of the key, the digest and the status stay.
	MaxAnswers          = 512 << 10
	MaxTotalAnswerBytes = 256 << 20

	// expirePerApply bounds the work of one command. It is more than a command
	// can add, so that expired claims cannot pile up.
	expirePerApply = 64
	// maxSpent is how many used-up claim ids of one key are remembered.
	maxSpent = 16
	// overloadRetry is when a refused claim may be tried again.
	overloadRetry = time.Minute
)

// applyClaim grants a key to at most one claim until that one is settled as not
// run. A claim id that was used up is never granted again.
func (s *State) applyClaim(request *controlv1.ClaimRequest) *Result {
	if err := validateClaim(request); err != nil {
		return &Result{Err: err}
	}
	if retired := s.claims.retired.find(request.GetWorkspace(), request.GetKey(), s.logTime); retired != nil {
		return retired.answerTo(request)
	}
	holder := s.currentClaim(request.GetWorkspace(), request.GetKey())
	if holder != nil && !holder.free(request.GetClaimId()) {
		return holder.answerTo(request)
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

// currentClaim returns the claim that holds a key, after forgetting an expired
// one.
func (s *State) currentClaim(workspace, key string) *claimEntry {
	entry := s.claims.find(workspace, key)
	if entry != nil && entry.expires <= s.logTime {
		s.claims.remove(entry)
		return nil
	}
	return entry
}

// newClaim returns the claim to be granted, or why it must not be. before is the
// claim that holds the key and was not run, or nil.
func (s *State) newClaim(request *controlv1.ClaimRequest, before *claimEntry) (*claimEntry, *fault.Error) {
	agent, err := s.currentAgent(request.GetAgent(), request.GetIncarnation())
	if err != nil {
		return nil, err
	}
	endpoint, err := s.claimableEndpoint(request.GetEndpoint(), agent)
	if err != nil {
		return nil, err
	}
	if before == nil && s.claims.full() {
		return nil, fault.New(fault.Overloaded, "the table of claims is full",
			"try again when older claims have expired, or spread the keys over several quorums").After(overloadRetry)
	}
	entry := &claimEntry{
		claimKey: claimKey{s.internWorkspace(request.GetWorkspace()), request.GetKey()},
		digest:   [digestBytes]byte(request.GetDigest()),
		id:       request.GetClaimId(),
		// The strings of the tables are shared by all claims.
		endpoint: endpoint.announced.GetId(), agent: agent.name, agentAddr: agent.addr,
		incarnation: agent.incarnation,
		state:       controlv1.ClaimState_CLAIM_STATE_GRANTED,
		expires:     s.logTime + int64(ClaimTTL),
	}
	if before != nil {
		entry.spent = before.spentWith(before.id)
	}
	return entry, nil
}

// claimableEndpoint returns the endpoint if the agent gates it and may give it
// new work.
func (s *State) claimableEndpoint(id string, agent *agentEntry) (*endpointEntry, *fault.Error) {
	endpoint := s.endpoints[id]
	if endpoint == nil || endpoint.announced.GetAgent() != agent.name {
		return nil, fault.Newf(fault.Stale, "refresh the configuration and pick another endpoint",
			"agent %s does not gate endpoint %s", agent.name, id)
	}
	if endpoint.message.GetState() != fleetv1.EndpointState_ENDPOINT_STATE_SERVING {
		return nil, fault.Newf(fault.Leaving, "pick another endpoint", "endpoint %s takes no new work", id)
	}
	if !endpoint.live {
		return nil, fault.Newf(fault.Unavailable, "pick another endpoint", "the lease of endpoint %s has expired", id)
	}
	return endpoint, nil
}

// internWorkspace returns the table's own string for a workspace's name.
func (s *State) internWorkspace(name string) string {
	if entry := s.workspaces[name]; entry != nil {
		return entry.message.GetName()
	}
	return name
}

// free reports whether a claim with the given id may take the key over.
func (e *claimEntry) free(id string) bool {
	return e.state == controlv1.ClaimState_CLAIM_STATE_NOT_RUN &&
		e.id != id && !slices.Contains(e.spent, xxhash.Sum64String(id))
}

// spentWith returns the used-up ids of the key together with id.
func (e *claimEntry) spentWith(id string) []uint64 {
	return appendBounded(e.spent, xxhash.Sum64String(id), maxSpent)
}

// answerTo answers a request for a key that e holds.
func (e *claimEntry) answerTo(request *controlv1.ClaimRequest) *Result {
	if e.state != controlv1.ClaimState_CLAIM_STATE_NOT_RUN && e.digest != [digestBytes]byte(request.GetDigest()) {
		return &Result{Claim: e.message(), Err: keyReused(request)}
	}
	granted := e.id == request.GetClaimId() && e.state != controlv1.ClaimState_CLAIM_STATE_NOT_RUN
	return &Result{Claim: e.message(), Granted: granted}
}

// answerTo answers a request for a key whose claim is retired.
func (r *retiredClaim) answerTo(request *controlv1.ClaimRequest) *Result {
	claim := r.message(request.GetWorkspace(), request.GetKey(), request.GetClaimId())
	if r.digest != [digestBytes]byte(request.GetDigest()) {
		return &Result{Claim: claim, Err: keyReused(request)}
	}
	return &Result{Claim: claim, Granted: r.heldBy(request.GetClaimId())}
}

func keyReused(request *controlv1.ClaimRequest) *fault.Error {
	return fault.Newf(fault.KeyReused,
		"send a new idempotency key with a new request, or the same request with the old key",
		"the idempotency key %q of workspace %s was sent with another request", request.GetKey(), request.GetWorkspace())
}

// applySettle records how a claimed call ended. The first outcome stays, but
// for an unknown one that turns out to be answered; a settlement of a claim
// that does not hold the key changes nothing. The result carries the claim
// that holds the key.
func (s *State) applySettle(request *controlv1.SettleRequest) *Result {
	if retired := s.claims.retired.find(request.GetWorkspace(), request.GetKey(), s.logTime); retired != nil {
		claim := retired.message(request.GetWorkspace(), request.GetKey(), request.GetClaimId())
		return &Result{Claim: claim, Granted: retired.heldBy(request.GetClaimId())}
	}
	entry := s.currentClaim(request.GetWorkspace(), request.GetKey())
	if entry == nil {
		return &Result{Err: fault.Newf(fault.NotFound, "nothing is left to do; claims are kept for 24 h",
			"no claim is kept for key %q of workspace %s", request.GetKey(), request.GetWorkspace())}
	}
	if !settles(request.GetState()) {
		return &Result{Err: fault.New(fault.Invalid, "the outcome of a claim is missing",
			"settle a claim as answered, not run or unknown")}
	}
	if entry.id == request.GetClaimId() && entry.mayBecome(request.GetState()) {
		s.claims.settle(entry, request.GetState(), request.GetAnswer(), s.appliedIndex)
	}
	return &Result{Claim: entry.message(), Granted: entry.id == request.GetClaimId()}
}

func settles(state controlv1.ClaimState) bool {
	return state == controlv1.ClaimState_CLAIM_STATE_ANSWERED ||
		state == controlv1.ClaimState_CLAIM_STATE_NOT_RUN ||
		state == controlv1.ClaimState_CLAIM_STATE_UNKNOWN
}

// mayBecome gives the allowed transitions of a claim.
func (e *claimEntry) mayBecome(state controlv1.ClaimState) bool {
	switch e.state {
	case controlv1.ClaimState_CLAIM_STATE_GRANTED:
		return true
	case controlv1.ClaimState_CLAIM_STATE_UNKNOWN:
		return state == controlv1.ClaimState_CLAIM_STATE_ANSWERED
	}
	return false
}
