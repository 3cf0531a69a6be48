package contract

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// A snapshot consists of snapshotMagic, the big-endian xxhash64 of the rest, and the
// deterministic encoding of contractv1.Snapshot.
const (
	snapshotMagic  = "lilackeel-state-1\n"
	checksumBytes  = 8
	snapshotHeader = len(snapshotMagic) + checksumBytes
)

// Snapshot returns the encoded state. Equal states have equal encodings.
func (s *State) Snapshot() ([]byte, error) { return s.Capture()() }

// Capture copies references to the whole state under the lock and returns a function that
// encodes it. The encoding, which takes most of the time, may run concurrently with later
// commands.
func (s *State) Capture() func() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	message := s.snapshotMessage()
	retired := s.claims.retired.capture()
	return func() ([]byte, error) {
		message.RetiredClaims = encodeRetired(retired)
		return encodeSnapshot(message)
	}
}

func encodeSnapshot(message *contractv1.Snapshot) ([]byte, error) {
	data := make([]byte, snapshotHeader)
	copy(data, snapshotMagic)
	data, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(data, message)
	if err != nil {
		return nil, fault.New(fault.Internal, "the state cannot be encoded", "report this defect").WithCause(err)
	}
	binary.BigEndian.PutUint64(data[len(snapshotMagic):], xxhash.Sum64(data[snapshotHeader:]))
	return data, nil
}

// Restore replaces the state with a snapshot. A corrupt snapshot, or one that is older than
// the state, is refused and changes nothing.
func (s *State) Restore(data []byte) error {
	message, err := decodeSnapshot(data)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if message.GetAppliedIndex() < s.appliedIndex {
		return fault.Newf(fault.Stale, "keep the current state", "the snapshot ends at log entry %d, the state is at entry %d",
			message.GetAppliedIndex(), s.appliedIndex)
	}
	s.reset()
	s.load(message)
	return nil
}

func decodeSnapshot(data []byte) (*contractv1.Snapshot, error) {
	const remedy = "fetch the snapshot again from another replica"
	if len(data) < snapshotHeader || string(data[:len(snapshotMagic)]) != snapshotMagic {
		return nil, fault.New(fault.Corrupt, "the data is not a snapshot of the control state", remedy)
	}
	sum := binary.BigEndian.Uint64(data[len(snapshotMagic):])
	if sum != xxhash.Sum64(data[snapshotHeader:]) {
		return nil, fault.New(fault.Corrupt, "the snapshot of the control state fails its checksum", remedy)
	}
	message := &contractv1.Snapshot{}
	if err := proto.Unmarshal(data[snapshotHeader:], message); err != nil {
		return nil, fault.New(fault.Corrupt, "the snapshot of the control state cannot be decoded", remedy).WithCause(err)
	}
	if err := checkSnapshot(message); err != nil {
		return nil, fault.New(fault.Corrupt, "the snapshot of the control state is inconsistent", remedy).WithCause(err)
	}
	return message, nil
}

// snapshotMessage builds the snapshot from immutable messages and from copies of those that
// are modified in place. The tombstones need no copy, because their list is only appended to
// and truncated at its front.
func (s *State) snapshotMessage() *contractv1.Snapshot {
	message := &contractv1.Snapshot{
		AppliedIndex: s.appliedIndex, AppliedTerm: s.appliedTerm,
		LogTimeNs: s.logTime, Revision: s.revision, Fence: s.fence,
		Intents:    s.intents.copies(),
		Tombstones: s.tombstones.order, TombstoneFloor: s.tombstones.floor,
		Site: s.site.message(), Withdrawals: s.withdrawals.messages(),
	}
	for _, name := range sortedKeys(s.workspaces) {
		entry := s.workspaces[name]
		message.Workspaces = append(message.Workspaces, &contractv1.WorkspaceRecord{Workspace: entry.message, IntentId: entry.intent})
	}
	for _, name := range sortedKeys(s.models) {
		entry := s.models[name]
		message.Models = append(message.Models, &contractv1.ModelRecord{Model: entry.message, IntentId: entry.intent})
	}
	for _, name := range sortedKeys(s.services) {
		entry := s.services[name]
		message.Services = append(message.Services, &contractv1.ServiceRecord{Service: entry.message, IntentId: entry.intent})
	}
	for _, group := range sortedKeys(s.policies) {
		entry := s.policies[group]
		message.Policies = append(message.Policies, &contractv1.PolicyRecord{Policy: entry.message, IntentId: entry.intent})
	}
	for _, id := range sortedKeys(s.endpoints) {
		message.Endpoints = append(message.Endpoints, s.endpoints[id].record())
	}
	for _, name := range sortedKeys(s.agents) {
		message.Agents = append(message.Agents, s.agents[name].record())
	}
	for _, group := range sortedKeys(s.maps) {
		entry := s.maps[group]
		message.Maps = append(message.Maps, &contractv1.MapEntry{Record: entry.record, Fence: entry.fence})
	}
	for _, zone := range sortedKeys(s.zones) {
		message.Zones = append(message.Zones, s.zones[zone].record(zone))
	}
	for entry := s.claims.grants.head; entry != nil; entry = entry.links[grantOrder].next {
		message.Claims = append(message.Claims, entry.record())
	}
	return message
}

func (e *endpointEntry) record() *contractv1.EndpointRecord {
	return &contractv1.EndpointRecord{
		Announced: e.announced, WantedState: e.wantedState, WantedRole: e.wantedRole,
		DrainLimitMs: e.drainLimitMS, IntentId: e.intent, Drained: e.drained,
		Revision: e.message.GetRevision(), WantedRevision: e.wantedRevision, Live: e.live,
	}
}

func (e *agentEntry) record() *contractv1.AgentRecord {
	return &contractv1.AgentRecord{
		Name: e.name, Host: e.host, Zone: e.zone, Region: e.region, Addr: e.addr,
		Incarnation: e.incarnation, Live: e.live, Superseded: e.superseded,
	}
}

func (e *claimEntry) record() *contractv1.ClaimRecord {
	return &contractv1.ClaimRecord{Claim: e.message(), Spent: e.usedClaimIDs, AnswerSeq: e.answerSeq}
}

// load loads a checked snapshot into an empty state.
func (s *State) load(message *contractv1.Snapshot) {
	s.appliedIndex, s.appliedTerm = message.GetAppliedIndex(), message.GetAppliedTerm()
	s.logTime, s.revision, s.fence = message.GetLogTimeNs(), message.GetRevision(), message.GetFence()
	for _, record := range message.GetWorkspaces() {
		s.addWorkspace(record.GetWorkspace(), record.GetIntentId())
	}
	for _, record := range message.GetModels() {
		s.models[record.GetModel().GetName()] = &modelEntry{message: record.GetModel(), intent: record.GetIntentId()}
	}
	for _, record := range message.GetServices() {
		s.services[record.GetService().GetName()] = &serviceEntry{message: record.GetService(), intent: record.GetIntentId()}
	}
	for _, record := range message.GetPolicies() {
		s.policies[record.GetPolicy().GetGroup()] = &policyEntry{message: record.GetPolicy(), intent: record.GetIntentId()}
	}
	for _, record := range message.GetMaps() {
		s.maps[record.GetRecord().GetGroup()] = &mapEntry{record: record.GetRecord(), fence: record.GetFence()}
	}
	for _, record := range message.GetZones() {
		s.zones[record.GetZone()] = zoneEntry{evacuated: record.GetEvacuated(), revision: record.GetRevision(), intent: record.GetIntentId()}
	}
	for _, ref := range message.GetWithdrawals() {
		s.withdrawals.add(AgentRef{ref.GetAgent(), ref.GetIncarnation()})
	}
	s.site = newSiteEntry(message.GetSite())
	s.loadEndpoints(message)
	s.loadIntents(message)
	s.loadClaims(message)
}

// addWorkspace stores a new workspace and indexes its keys.
func (s *State) addWorkspace(workspace *fleetv1.Workspace, intent string) {
	s.workspaces[workspace.GetName()] = &workspaceEntry{message: workspace, intent: intent}
	for _, digest := range workspace.GetKeyDigests() {
		s.keyOwners[digest] = workspace.GetName()
	}
}

func (s *State) loadEndpoints(message *contractv1.Snapshot) {
	for _, record := range message.GetAgents() {
		s.agents[record.GetName()] = &agentEntry{
			name: record.GetName(), host: record.GetHost(), zone: record.GetZone(),
			region: record.GetRegion(), addr: record.GetAddr(),
			incarnation: record.GetIncarnation(), live: record.GetLive(), superseded: record.GetSuperseded(),
		}
	}
	for _, record := range message.GetEndpoints() {
		entry := &endpointEntry{
			announced: record.GetAnnounced(), live: record.GetLive(),
			wantedState: record.GetWantedState(), wantedRole: record.GetWantedRole(),
			drainLimitMS: record.GetDrainLimitMs(), intent: record.GetIntentId(),
			wantedRevision: record.GetWantedRevision(), drained: record.GetDrained(),
			evacuated: s.isEvacuated(record.GetAnnounced().GetZone()),
		}
		entry.compose(record.GetRevision())
		id := entry.announced.GetId()
		s.endpoints[id] = entry
		if holder := s.agents[entry.announced.GetAgent()]; holder != nil {
			holder.endpointIDs = append(holder.endpointIDs, id)
		}
	}
	for _, agent := range s.agents {
		slices.Sort(agent.endpointIDs)
	}
}

func (s *State) loadIntents(message *contractv1.Snapshot) {
	for _, record := range message.GetIntents() {
		s.intents.push(record)
	}
	for _, tombstone := range message.GetTombstones() {
		s.tombstones.push(tombstone)
	}
	s.tombstones.floor = message.GetTombstoneFloor()
}

func (s *State) loadClaims(message *contractv1.Snapshot) {
	s.claims.retired.decode(message.GetRetiredClaims())
	var answers []*claimEntry
	interned := make(interner)
	for _, record := range message.GetClaims() {
		entry := s.claimFromRecord(record, interned)
		s.claims.add(entry)
		if entry.answerSeq > 0 {
			answers = append(answers, entry)
		}
	}
	slices.SortFunc(answers, func(a, b *claimEntry) int { return cmp.Compare(a.answerSeq, b.answerSeq) })
	for _, entry := range answers {
		s.claims.pushAnswer(entry)
	}
}

// interner holds one copy of each string that many claims share.
type interner map[string]string

func (i interner) intern(text string) string {
	if known, found := i[text]; found {
		return known
	}
	i[text] = text
	return text
}

func (s *State) claimFromRecord(record *contractv1.ClaimRecord, interned interner) *claimEntry {
	claim := record.GetClaim()
	return &claimEntry{
		claimKey: claimKey{interned.intern(claim.GetWorkspace()), claim.GetKey()},
		digest:   [digestBytes]byte(claim.GetDigest()),
		id:       claim.GetClaimId(), endpoint: interned.intern(claim.GetEndpoint()),
		agent: interned.intern(claim.GetAgent()), agentAddr: interned.intern(claim.GetAgentAddr()), incarnation: claim.GetIncarnation(),
		state: claim.GetState(), answer: claim.GetAnswer(), expires: claim.GetExpiresNs(),
		usedClaimIDs: record.GetSpent(), answerSeq: record.GetAnswerSeq(),
	}
}
