package suspicion

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// ToProto encodes reports, converting their times to ages at now.
func ToProto(now time.Duration, reports []Report) []*agentv1.Suspicion {
	messages := make([]*agentv1.Suspicion, 0, len(reports))
	for _, r := range reports {
		messages = append(messages, &agentv1.Suspicion{
			Endpoint: r.Endpoint, Reporter: r.Reporter, AgeMs: max(now-r.At, 0).Milliseconds(), Answers: r.Responsive,
		})
	}
	return messages
}

// FromProto decodes reports, converting their ages to times on the local clock. Malformed reports are
// omitted.
func FromProto(now time.Duration, messages []*agentv1.Suspicion) []Report {
	reports := make([]Report, 0, len(messages))
	for _, m := range messages {
		if m.GetEndpoint() == "" || m.GetAgeMs() < 0 {
			continue
		}
		reports = append(reports, Report{
			Endpoint: m.GetEndpoint(), Reporter: m.GetReporter(), At: now - time.Duration(m.GetAgeMs())*time.Millisecond, Responsive: m.GetAnswers(),
		})
	}
	return reports
}
