package ratelimit

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// ToProto encodes a limit, converting its times to ages at now.
func ToProto(now time.Duration, l EndpointLimit) *agentv1.RateLimit {
	message := &agentv1.RateLimit{
		Endpoint: l.Endpoint, SentAgeMs: max(now-l.Limit.SentAt, 0).Milliseconds(), AgeMs: max(now-l.Limit.ReceivedAt, 0).Milliseconds(),
	}
	if l.Limit.Limited() {
		message.Rate = &l.Limit.Rate
	}
	return message
}

// FromProto decodes a limit, converting its ages to times on the local clock. ok is false if it is
// malformed.
func FromProto(now time.Duration, m *agentv1.RateLimit) (l EndpointLimit, ok bool) {
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
