package ratelimit

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// ToProto encodes a limit with its ages at now.
func ToProto(now time.Duration, n EndpointLimit) *agentv1.RateLimit {
	message := &agentv1.RateLimit{
		Endpoint: n.Endpoint, SentAgeMs: max(now-n.Limit.SentAt, 0).Milliseconds(), AgeMs: max(now-n.Limit.ReceivedAt, 0).Milliseconds(),
	}
	if n.Limit.Limited() {
		message.Rate = &n.Limit.Rate
	}
	return message
}

// FromProto decodes a limit by the reader's own clock. ok is false for one that is malformed.
func FromProto(now time.Duration, m *agentv1.RateLimit) (n EndpointLimit, ok bool) {
	if m.GetEndpoint() == "" || m.GetAgeMs() < 0 || m.GetSentAgeMs() < m.GetAgeMs() || !(m.GetRate() >= 0) {
		return EndpointLimit{}, false
	}
	limit := Limit{
		Rate:       Unlimited,
		SentAt:     now - time.Duration(m.GetSentAgeMs())*time.Millisecond,
		ReceivedAt: now - time.Duration(m.GetAgeMs())*time.Millisecond,
	}
	if m.Rate != nil {
		limit.Rate = m.GetRate()
	}
	return EndpointLimit{Endpoint: m.GetEndpoint(), Limit: limit}, true
}
