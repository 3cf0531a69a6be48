package contract

import (
	"fmt"
	"math"
	"slices"
	"sort"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

const (
	// shareScale is the factor by which guaranteed shares are scaled to integers. Sums
	// of integers are exact, so every replica computes the same sum in any order.
	shareScale = 1_000_000
	// maxShareWarnings is the maximum number of reduced guarantees listed individually.
	maxShareWarnings = 10
)

// buildPlan plans an intent against the current state. The plan has no digest yet.
func (s *State) buildPlan(intent *controlv1.Intent) (*controlv1.Plan, *fault.Error) {
	p, err := s.propose(intent)
	if err != nil {
		return nil, err
	}
	for _, check := range []func() *fault.Error{p.checkKeys, p.checkPrefixes, p.checkShares} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	p.estimateLoads()
	before, after := p.capacities()
	return &controlv1.Plan{
		IntentId: intent.GetId(), BaseRevision: s.revision,
		Changes:        p.changes,
		CapacityBefore: totalSlots(before), CapacityAfter: totalSlots(after),
		Warnings: p.warnings(before, after),
	}, nil
}

// applyIntent applies an intent whose plan has been checked by checkPlanCurrent.
func (s *State) applyIntent(record *contractv1.IntentRecord) {
	p, err := s.propose(record.GetIntent())
	if err != nil {
		// checkPlanCurrent has planned the same intent against the same state.
		panic("contract: applying an outdated plan: " + err.Error())
	}
	p.commit()
}

// checkKeys returns an error if a key would belong to two workspaces.
func (p *proposal) checkKeys() *fault.Error {
	owners := make(map[string]string)
	for _, name := range sortedKeys(p.workspaces) {
		for _, digest := range p.workspaces[name].GetKeyDigests() {
			owner, taken := owners[digest]
			if !taken {
				owner = p.keyOwner(digest, name)
			}
			if owner != name {
				return fault.Newf(fault.Invalid, "use different keys for each workspace",
					"workspaces %s and %s have the same key %s", owner, name, digest[:8])
			}
			owners[digest] = name
		}
	}
	return nil
}

// keyOwner returns the other workspace that would have a key besides the claimant, or the
// claimant if there is none.
func (p *proposal) keyOwner(digest, claimant string) string {
	owner, taken := p.state.keyOwners[digest]
	if !taken || !slices.Contains(p.workspace(owner).GetKeyDigests(), digest) {
		return claimant
	}
	return owner
}

// checkPrefixes returns an error if two services would have the same path prefix.
func (p *proposal) checkPrefixes() *fault.Error {
	if len(p.services) == 0 {
		return nil
	}
	owners := make(map[string]string)
	for _, name := range proposedNames(p.state.services, p.services) {
		prefix := p.service(name).GetPathPrefix()
		if other, taken := owners[prefix]; taken {
			return fault.Newf(fault.Invalid, "use a different path prefix for each service",
				"services %s and %s both have the path prefix %s", other, name, prefix)
		}
		owners[prefix] = name
	}
	return nil
}

// checkShares returns an error if the guaranteed shares of a pool would exceed 100%.
func (p *proposal) checkShares() *fault.Error {
	if !p.affectsShareSums() {
		return nil
	}
	sums := shareSums{byPool: make(map[string]int64)}
	for name, entry := range p.state.workspaces {
		if _, changed := p.workspaces[name]; !changed {
			sums.add(p, entry.message)
		}
	}
	for _, workspace := range p.workspaces {
		sums.add(p, workspace)
	}
	return sums.check()
}

// affectsShareSums reports whether the sum of the guaranteed shares of any pool may
// increase.
func (p *proposal) affectsShareSums() bool {
	for name, next := range p.workspaces {
		var old *fleetv1.Workspace
		if entry := p.state.workspaces[name]; entry != nil {
			old = entry.message
		}
		sameShare := old.GetGuaranteedShare() == next.GetGuaranteedShare()
		if !sameShare || (next.GetGuaranteedShare() > 0 && !slices.Equal(old.GetModels(), next.GetModels())) {
			return true
		}
	}
	return len(p.models) > 0 || len(p.services) > 0
}

// shareSums holds sums of guaranteed shares in units of 1/shareScale: those that apply to
// all pools, and those of each pool.
type shareSums struct {
	allPools int64
	byPool   map[string]int64
}

func (s *shareSums) add(p *proposal, workspace *fleetv1.Workspace) {
	if workspace.GetGuaranteedShare() == 0 {
		return
	}
	if len(workspace.GetModels()) == 0 {
		s.allPools += scaledShare(workspace)
	}
	for _, pool := range p.poolsOf(workspace) {
		s.byPool[pool] += scaledShare(workspace)
	}
}

func (s *shareSums) check() *fault.Error {
	if s.allPools > shareScale {
		return shareSumError("every pool", s.allPools)
	}
	for _, pool := range sortedKeys(s.byPool) {
		if sum := s.allPools + s.byPool[pool]; sum > shareScale {
			return shareSumError("pool "+pool, sum)
		}
	}
	return nil
}

func shareSumError(where string, sum int64) *fault.Error {
	return fault.Newf(fault.Invalid, "lower the guaranteed shares until their sum is at most 100%",
		"the guaranteed shares of %s add up to %s", where, formatPercent(float64(sum)/shareScale))
}

func scaledShare(workspace *fleetv1.Workspace) int64 {
	return int64(math.Round(workspace.GetGuaranteedShare() * shareScale))
}

// poolsOf returns the pools that a workspace names through models or services or directly.
// It returns none for a workspace that may call all pools.
func (p *proposal) poolsOf(workspace *fleetv1.Workspace) []string {
	var pools []string
	for _, name := range workspace.GetModels() {
		pool := name
		if model := p.model(name); model != nil {
			pool = model.GetPool()
		} else if service := p.service(name); service != nil {
			pool = service.GetPool()
		}
		if !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// capacities returns the number of concurrent requests that each pool accepts before and
// after the proposal.
func (p *proposal) capacities() (before, after map[string]int64) {
	before = make(map[string]int64)
	after = make(map[string]int64)
	for id, entry := range p.state.endpoints {
		pool := entry.announced.GetPool()
		if entry.serves() {
			before[pool] += entry.slots()
		}
		if next := p.endpoint(id); next.serves() {
			after[pool] += next.slots()
		}
	}
	return before, after
}

func totalSlots(byPool map[string]int64) int64 {
	sum := int64(0)
	for _, slots := range byPool {
		sum += slots
	}
	return sum
}

// warnings returns the warnings to show to an operator before the plan is confirmed.
func (p *proposal) warnings(before, after map[string]int64) []string {
	var warnings []string
	for _, pool := range sortedKeys(before) {
		if before[pool] > 0 && after[pool] == 0 {
			warnings = append(warnings, fmt.Sprintf("no endpoint of pool %s would take work: its requests are refused", pool))
		}
	}
	warnings = append(warnings, p.stoppedRankWarnings()...)
	warnings = append(warnings, p.emptyPoolWarnings(after)...)
	warnings = append(warnings, p.reducedGuaranteeWarnings(before, after)...)
	warnings = append(warnings, p.unresolvedNameWarnings()...)
	return warnings
}

// stoppedRankWarnings warns about groups that could not step any more: a leaving rank still
// steps with its group, a stopped one does not.
func (p *proposal) stoppedRankWarnings() []string {
	var warnings []string
	for _, id := range sortedKeys(p.endpoints) {
		announced := p.endpoints[id].announced
		isStopped := p.endpoints[id].wantedState == fleetv1.EndpointState_ENDPOINT_STATE_STOPPED
		if isStopped && announced.GetGroup() != "" {
			warnings = append(warnings, fmt.Sprintf("endpoint %s is rank %d of group %s, which cannot step without it",
				id, announced.GetRank(), announced.GetGroup()))
		}
	}
	return warnings
}

// emptyPoolWarnings warns about models and services whose pool would have no capacity.
func (p *proposal) emptyPoolWarnings(after map[string]int64) []string {
	var warnings []string
	for _, name := range sortedKeys(p.models) {
		if model := p.models[name]; model != nil && after[model.GetPool()] == 0 {
			warnings = append(warnings, fmt.Sprintf("model %s: pool %s has no endpoint that takes work", name, model.GetPool()))
		}
	}
	for _, name := range sortedKeys(p.services) {
		if service := p.services[name]; service != nil && after[service.GetPool()] == 0 {
			warnings = append(warnings, fmt.Sprintf("service %s: pool %s has no endpoint that takes work", name, service.GetPool()))
		}
	}
	return warnings
}

// guaranteeReduction is the reduction of a workspace's guarantee in a pool, in slots.
type guaranteeReduction struct {
	workspace, pool string
	before, after   int64
}

// reducedGuaranteeWarnings warns about workspaces that would be guaranteed fewer concurrent
// requests than now, the largest reduction first.
func (p *proposal) reducedGuaranteeWarnings(before, after map[string]int64) []string {
	var reducedPools []string
	for _, pool := range sortedKeys(before) {
		if after[pool] < before[pool] {
			reducedPools = append(reducedPools, pool)
		}
	}
	if len(reducedPools) == 0 {
		return nil
	}
	var reductions []guaranteeReduction
	for _, name := range proposedNames(p.state.workspaces, p.workspaces) {
		workspace := p.workspace(name)
		if workspace.GetGuaranteedShare() == 0 {
			continue
		}
		pools := p.poolsOf(workspace)
		for _, pool := range reducedPools {
			reduction := guaranteeReduction{name, pool, guaranteedSlots(workspace, before[pool]), guaranteedSlots(workspace, after[pool])}
			mayCall := len(workspace.GetModels()) == 0 || slices.Contains(pools, pool)
			if mayCall && reduction.after < reduction.before {
				reductions = append(reductions, reduction)
			}
		}
	}
	return formatGuaranteeReductions(reductions)
}

// guaranteedSlots returns how many of a pool's slots are guaranteed to a workspace.
func guaranteedSlots(workspace *fleetv1.Workspace, slots int64) int64 {
	return slots * scaledShare(workspace) / shareScale
}

func formatGuaranteeReductions(reductions []guaranteeReduction) []string {
	sort.SliceStable(reductions, func(i, j int) bool {
		return reductions[i].before-reductions[i].after > reductions[j].before-reductions[j].after
	})
	var texts []string
	for i, reduction := range reductions {
		if i == maxShareWarnings {
			texts = append(texts, fmt.Sprintf("%d more guarantees would fall", len(reductions)-i))
			break
		}
		texts = append(texts, fmt.Sprintf("workspace %s: its guarantee in pool %s falls from %d to %d requests at a time",
			reduction.workspace, reduction.pool, reduction.before, reduction.after))
	}
	return texts
}

// unresolvedNameWarnings warns about names in workspaces for which there is no model,
// service or pool.
func (p *proposal) unresolvedNameWarnings() []string {
	pools := make(map[string]bool)
	for _, entry := range p.state.endpoints {
		pools[entry.announced.GetPool()] = true
	}
	for _, name := range proposedNames(p.state.models, p.models) {
		pools[p.model(name).GetPool()] = true
	}
	var warnings []string
	for _, name := range sortedKeys(p.workspaces) {
		for _, called := range p.workspaces[name].GetModels() {
			if p.model(called) == nil && p.service(called) == nil && !pools[called] {
				warnings = append(warnings, fmt.Sprintf("workspace %s may call %s, but there is no such model, service or pool", name, called))
			}
		}
	}
	for _, removed := range p.intent.GetRemoveModels() {
		if count := p.countWorkspacesNaming(removed); count > 0 {
			warnings = append(warnings, fmt.Sprintf("model %s is removed, but %d workspaces name it", removed, count))
		}
	}
	return warnings
}

func (p *proposal) countWorkspacesNaming(model string) int {
	count := 0
	for _, name := range proposedNames(p.state.workspaces, p.workspaces) {
		if slices.Contains(p.workspace(name).GetModels(), model) {
			count++
		}
	}
	return count
}
