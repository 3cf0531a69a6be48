package quarantine

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
)

// ToProto encodes sightings with their ages at now.
func ToProto(now time.Duration, sightings []Sighting) []*agentv1.Sighting {
	messages := make([]*agentv1.Sighting, 0, len(sightings))
	for _, s := range sightings {
		messages = append(messages, &agentv1.Sighting{
			Request: s.Request[:], Run: s.Run, AgeMs: max(now-s.At, 0).Milliseconds(), Cleared: s.Cleared,
		})
	}
	return messages
}

// FromProto decodes sightings by the reader's own clock. What is malformed is left out.
func FromProto(now time.Duration, messages []*agentv1.Sighting) []Sighting {
	sightings := make([]Sighting, 0, len(messages))
	for _, m := range messages {
		if len(m.GetRequest()) != len(call.Fingerprint{}) || m.GetAgeMs() < 0 {
			continue
		}
		sightings = append(sightings, Sighting{
			Request: call.Fingerprint(m.GetRequest()), Run: m.GetRun(),
			At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Cleared: m.GetCleared(),
		})
	}
	return sightings
}

// Post takes in what an entry tells at now.
func (b *Board) Post(now time.Duration, messages []*agentv1.Sighting) {
	b.Forget(now)
	b.Add(FromProto(now, messages)...)
}

// Read is Since for a reader elsewhere.
func (b *Board) Read(now time.Duration, position uint64) ([]*agentv1.Sighting, uint64) {
	found, next := b.Since(position)
	return ToProto(now, found), next
}
