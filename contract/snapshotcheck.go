package contract

import (
	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// checkSnapshot returns an error if a snapshot has records that State.load cannot restore:
// records without a name, with a duplicate name or with a reference to a missing record, and
// malformed claims.
func checkSnapshot(message *contractv1.Snapshot) *fault.Error {
	checks := []*fault.Error{
		checkUniqueNames("workspace", message.GetWorkspaces(), func(r *contractv1.WorkspaceRecord) string { return r.GetWorkspace().GetName() }),
		checkUniqueNames("model", message.GetModels(), func(r *contractv1.ModelRecord) string { return r.GetModel().GetName() }),
		checkUniqueNames("service", message.GetServices(), func(r *contractv1.ServiceRecord) string { return r.GetService().GetName() }),
		checkUniqueNames("policy", message.GetPolicies(), func(r *contractv1.PolicyRecord) string { return r.GetPolicy().GetGroup() }),
		checkUniqueNames("endpoint", message.GetEndpoints(), func(r *contractv1.EndpointRecord) string { return r.GetAnnounced().GetId() }),
		checkUniqueNames("agent", message.GetAgents(), (*contractv1.AgentRecord).GetName),
		checkUniqueNames("intent", message.GetIntents(), func(r *contractv1.IntentRecord) string { return r.GetIntent().GetId() }),
		checkUniqueNames("map", message.GetMaps(), func(r *contractv1.MapEntry) string { return r.GetRecord().GetGroup() }),
		checkUniqueNames("zone", message.GetZones(), (*contractv1.ZoneRecord).GetZone),
		checkUniqueNames("claim", message.GetClaims(), claimName),
		checkClaims(message.GetClaims()),
		checkRetiredClaims(message),
		checkAgentReferences(message),
	}
	for _, err := range checks {
		if err != nil {
			return err
		}
	}
	return nil
}

// malformed returns the error for one record; decodeSnapshot adds the remedy.
func malformed(what string) *fault.Error { return fault.New(fault.Corrupt, what, "") }

func checkUniqueNames[R any](what string, records []R, name func(R) string) *fault.Error {
	seen := make(map[string]bool, len(records))
	for _, record := range records {
		text := name(record)
		if text == "" {
			return malformed("a record of kind " + what + " has no name")
		}
		if seen[text] {
			return malformed(what + " " + text + " appears twice")
		}
		seen[text] = true
	}
	return nil
}

// claimName returns workspace and key as one name, or an empty string if there is no key.
func claimName(record *contractv1.ClaimRecord) string {
	claim := record.GetClaim()
	if claim.GetKey() == "" {
		return ""
	}
	return claim.GetWorkspace() + "\x00" + claim.GetKey()
}

func checkClaims(records []*contractv1.ClaimRecord) *fault.Error {
	for _, record := range records {
		claim := record.GetClaim()
		_, known := controlv1.ClaimState_name[int32(claim.GetState())]
		if len(claim.GetDigest()) != digestBytes || !known {
			return malformed("the claim of key " + claim.GetKey() + " has no valid digest or state")
		}
	}
	return nil
}

func checkRetiredClaims(message *contractv1.Snapshot) *fault.Error {
	if len(message.GetRetiredClaims())%retiredBytes != 0 {
		return malformed("the last retired claim is truncated")
	}
	return nil
}

func checkAgentReferences(message *contractv1.Snapshot) *fault.Error {
	agents := make(map[string]bool, len(message.GetAgents()))
	for _, record := range message.GetAgents() {
		agents[record.GetName()] = true
	}
	for _, record := range message.GetEndpoints() {
		holder := record.GetAnnounced().GetAgent()
		if holder != "" && !agents[holder] {
			return malformed("the agent " + holder + " of endpoint " + record.GetAnnounced().GetId() + " is missing")
		}
	}
	return nil
}
