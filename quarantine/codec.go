package quarantine

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
)

// ToProto encodes reports with their ages at now.
func ToProto(now time.Duration, reports []CrashReport) []*agentv1.CrashReport {
	messages := make([]*agentv1.CrashReport, 0, len(reports))
	for _, s := range reports {
		messages = append(messages, &agentv1.CrashReport{
			Request: s.Request[:], Run: s.Run, AgeMs: max(now-s.At, 0).Milliseconds(), Cleared: s.Cleared,
		})
	}
	return messages
}

// FromProto decodes reports by the reader's own clock. What is malformed is left out.
func FromProto(now time.Duration, messages []*agentv1.CrashReport) []CrashReport {
	reports := make([]CrashReport, 0, len(messages))
	for _, m := range messages {
		if len(m.GetRequest()) != len(call.Fingerprint{}) || m.GetAgeMs() < 0 {
			continue
		}
		reports = append(reports, CrashReport{
			Request: call.Fingerprint(m.GetRequest()), Run: m.GetRun(),
			At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Cleared: m.GetCleared(),
		})
	}
	return reports
}

// Publish stores the reports of an entry.
func (r *Registry) Publish(now time.Duration, messages []*agentv1.CrashReport) {
	r.EvictStale(now)
	r.Add(FromProto(now, messages)...)
}

// Read is Since for a reader elsewhere.
func (r *Registry) Read(now time.Duration, position uint64) ([]*agentv1.CrashReport, uint64) {
	found, next := r.Since(position)
	return ToProto(now, found), next
}
