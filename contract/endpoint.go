package contract

import (
	"slices"

	"google.golang.org/protobuf/proto"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
)

// endpointEntry combines the announcement of an endpoint with the state and role that
// operators requested for it. Stored entries are replaced, never modified.
type endpointEntry struct {
	// announced is the endpoint as its agent announced it; its revision and live
	// fields are unused. Its agent is empty when no agent manages the endpoint any
	// more.
	announced *fleetv1.Endpoint
	// live is whether the agent's lease is current.
	live bool
	// wantedState is Leaving, Stopped or, if operators requested neither,
	// unspecified: the announced state then applies. wantedRole is empty if the
	// announced role applies.
	wantedState  fleetv1.EndpointState
	wantedRole   string
	drainLimitMS int64
	// intent is the id of the intent that last changed the wanted fields, at
	// wantedRevision.
	intent         string
	wantedRevision uint64
	// drained is whether the endpoint has finished all work since operators set it
	// leaving or stopped.
	drained bool
	// evacuated is whether operators have evacuated the endpoint's zone.
	evacuated bool
	// message is the record that is sent to daemons.
	message *fleetv1.Endpoint
}

// compose builds the record that is sent to daemons, at the given revision.
func (e *endpointEntry) compose(revision uint64) {
	message := proto.Clone(e.announced).(*fleetv1.Endpoint)
	message.State = max(announcedState(e.announced), e.wantedState)
	if e.evacuated {
		message.State = max(message.State, fleetv1.EndpointState_ENDPOINT_STATE_LEAVING)
	}
	if e.wantedRole != "" {
		message.Role = e.wantedRole
	}
	message.Live = e.live
	message.Revision = revision
	e.message = message
}

// announcedState returns the state that the agent announced: Leaving while its host is
// stopping, otherwise Serving.
func announcedState(announced *fleetv1.Endpoint) fleetv1.EndpointState {
	return max(announced.GetState(), fleetv1.EndpointState_ENDPOINT_STATE_SERVING)
}

// hasOperatorSettings reports whether operators have set the state or role of the
// endpoint. Its record must then outlive its announcement.
func (e *endpointEntry) hasOperatorSettings() bool {
	return e.wantedState != fleetv1.EndpointState_ENDPOINT_STATE_UNSPECIFIED || e.wantedRole != ""
}

// serves reports whether the endpoint accepts new work.
func (e *endpointEntry) serves() bool {
	return e.live && e.message.GetState() == fleetv1.EndpointState_ENDPOINT_STATE_SERVING
}

// slots returns how many concurrent requests the endpoint accepts, at least one.
func (e *endpointEntry) slots() int64 { return max(1, int64(e.announced.GetSlots())) }

// withLive returns a copy with the given lease status at a new revision.
func (e *endpointEntry) withLive(live bool, revision uint64) *endpointEntry {
	next := *e
	next.live = live
	next.compose(revision)
	return &next
}

// withEvacuated returns a copy in a zone that is, or is no longer, evacuated. An endpoint that
// has had no work for a while counts as cold when its zone is used again, until its next
// announcement.
func (e *endpointEntry) withEvacuated(evacuated bool, revision uint64) *endpointEntry {
	next := *e
	next.evacuated = evacuated
	if !evacuated && e.announced.GetAddr() != "" {
		next.announced = proto.Clone(e.announced).(*fleetv1.Endpoint)
		next.announced.Cold = true
	}
	next.compose(revision)
	return &next
}

// withAnnounced returns a copy with a new announcement and a current lease. evacuated is
// whether the announced zone is evacuated.
func (e *endpointEntry) withAnnounced(announced *fleetv1.Endpoint, evacuated bool, revision uint64) *endpointEntry {
	next := *e
	next.announced = announced
	next.evacuated = evacuated
	next.live = true
	next.compose(revision)
	return &next
}

// orphaned returns a copy without an agent and with no current lease.
func (e *endpointEntry) orphaned(revision uint64) *endpointEntry {
	next := *e
	next.announced = proto.Clone(e.announced).(*fleetv1.Endpoint)
	next.announced.Agent = ""
	next.announced.AgentAddr = ""
	next.announced.Incarnation = 0
	next.live = false
	next.compose(revision)
	return &next
}

// sameLoadedModel reports whether two records have the same model, version, role and
// adapters.
func sameLoadedModel(a, b *fleetv1.Endpoint) bool {
	return a.GetModel() == b.GetModel() &&
		a.GetVersion() == b.GetVersion() &&
		a.GetRole() == b.GetRole() &&
		slices.Equal(a.GetAdapters(), b.GetAdapters())
}

// sorted returns a sorted copy of names.
func sorted(names []string) []string {
	copied := slices.Clone(names)
	slices.Sort(copied)
	return copied
}
