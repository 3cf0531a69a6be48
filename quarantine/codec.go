package quarantine

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/call"
)

// ToProto encodes reports, converting their times to ages at now.
func ToProto(now time.Duration, reports []CrashReport) []*agentv1.CrashReport {
	messages := make([]*agentv1.CrashReport, 0, len(reports))
	for _, report := range reports {
		messages = append(messages, &agentv1.CrashReport{
			Request: report.Request[:], Run: report.Run, AgeMs: max(now-report.At, 0).Milliseconds(), Cleared: report.Cleared,
		})
	}
	return messages
}

// FromProto decodes reports, converting their ages to times on the local clock. Malformed reports
// are omitted.
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

// Publish evicts stale reports and stores those of an entry.
func (r *Registry) Publish(now time.Duration, messages []*agentv1.CrashReport) {
	r.EvictStale(now)
	r.Add(FromProto(now, messages)...)
}

// Read is like Since, with the reports encoded for a remote reader.
func (r *Registry) Read(now time.Duration, position uint64) ([]*agentv1.CrashReport, uint64) {
	reports, next := r.Since(position)
	return ToProto(now, reports), next
}
