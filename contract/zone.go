package contract

import (
	"fmt"

	contractv1 "github.com/lilackeel/lilackeel/api/contract/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// zoneEntry is the last change of an availability zone by an operator.
type zoneEntry struct {
	evacuated bool
	revision  uint64
	// intent is the id of the intent that made the change, or empty.
	intent string
}

// EncodeEvacuateZone encodes a command that evacuates a zone or ends its evacuation.
func EncodeEvacuateZone(logTime int64, request *controlv1.EvacuateZoneRequest) ([]byte, error) {
	return encode(logTime, &contractv1.Command{Kind: &contractv1.Command_EvacuateZone{EvacuateZone: request}})
}

// EvacuatedZones returns the zones whose endpoints get no new work, sorted.
func (s *State) EvacuatedZones() []string {
	s.mu.RLock()
	defer s.mu.RUnlock()
	var zones []string
	for _, name := range sortedKeys(s.zones) {
		if s.zones[name].evacuated {
			zones = append(zones, name)
		}
	}
	return zones
}

// KnowsZone reports whether an endpoint or agent of a zone has been announced, or an operator
// has changed the zone.
func (s *State) KnowsZone(zone string) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.knowsZone(zone)
}

func (s *State) knowsZone(zone string) bool {
	if _, changed := s.zones[zone]; changed {
		return true
	}
	for _, entry := range s.endpoints {
		if entry.announced.GetZone() == zone {
			return true
		}
	}
	for _, agent := range s.agents {
		if agent.zone == zone {
			return true
		}
	}
	return false
}

func (s *State) isEvacuated(zone string) bool { return s.zones[zone].evacuated }

// applyEvacuateZone puts the state of a zone in force. A repeated command succeeds without
// any change.
func (s *State) applyEvacuateZone(request *controlv1.EvacuateZoneRequest) *Result {
	zone := request.GetZone()
	if err := checkName("zone", zone); err != nil {
		return &Result{Err: err}
	}
	if s.isEvacuated(zone) == request.GetEvacuated() {
		return &Result{Revision: s.zones[zone].revision}
	}
	s.commit(s.setZone(zone, request.GetEvacuated(), ""))
	return &Result{Revision: s.revision}
}

// setZone stores the state of a zone and updates its endpoints at the next revision. It
// returns the objects that change.
func (s *State) setZone(zone string, evacuated bool, intent string) []objectRef {
	s.zones[zone] = zoneEntry{evacuated: evacuated, revision: s.revision + 1, intent: intent}
	var refs []objectRef
	for _, id := range sortedKeys(s.endpoints) {
		if entry := s.endpoints[id]; entry.announced.GetZone() == zone {
			s.endpoints[id] = entry.withEvacuated(evacuated, s.revision+1)
			refs = append(refs, objectRef{endpointKind, id})
		}
	}
	return refs
}

// proposeZones adds the zones whose state an intent changes.
func (p *proposal) proposeZones() *fault.Error {
	for _, requested := range p.intent.GetZones() {
		zone := requested.GetZone()
		if !p.state.knowsZone(zone) {
			return fault.Newf(fault.NotFound, "use the zone of an endpoint in the output of lilackeelctl config", "there is no zone %s", zone)
		}
		if p.state.isEvacuated(zone) == requested.GetEvacuated() {
			continue
		}
		p.zones[zone] = requested.GetEvacuated()
		for id, entry := range p.state.endpoints {
			if entry.announced.GetZone() == zone {
				p.endpoints[id] = entry.withEvacuated(requested.GetEvacuated(), p.state.revision+1)
			}
		}
		p.addChange(&controlv1.Change{
			Kind: string(zoneKind), Name: zone, Action: actionUpdate,
			Text: fmt.Sprintf("zone %s: %s", zone, describeEvacuation(requested.GetEvacuated())), Drains: requested.GetEvacuated(),
		})
	}
	return nil
}

func describeEvacuation(evacuated bool) string {
	if evacuated {
		return "evacuated: its endpoints take no new work and finish what they have"
	}
	return "in use: its endpoints take new work"
}

// validateZones checks the zones of an intent. An endpoint and its zone cannot change in one
// intent, since their effects on the endpoint could contradict each other.
func validateZones(intent *controlv1.Intent) *fault.Error {
	for _, change := range intent.GetZones() {
		if err := checkName("zone", change.GetZone()); err != nil {
			return err
		}
	}
	if len(intent.GetZones()) > 0 && len(intent.GetEndpoints()) > 0 {
		return fault.New(fault.Invalid, "use one intent for the zones and another for the endpoints", "the intent changes both zones and endpoints")
	}
	return nil
}

func (e zoneEntry) record(zone string) *contractv1.ZoneRecord {
	return &contractv1.ZoneRecord{Zone: zone, Evacuated: e.evacuated, Revision: e.revision, IntentId: e.intent}
}
