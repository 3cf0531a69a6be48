package load

import (
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// record is what one entry knows of one endpoint.
type record struct {
	// endpoint is the record in the table that fleet and group come from.
	endpoint *endpoint.Endpoint
	fleet    *fleet
	group    *group

	reported bool
	report   Report
	// taken is when the last report was taken at the endpoint.
	taken time.Duration
	past  past
	// step is the endpoint's own mean step time.
	step mean
	// ownStep is true once a report has held the own step time.
	ownStep bool

	// inFlight is the number of this entry's calls that have not ended.
	inFlight int
	// sent are this entry's calls since the last report was taken.
	sent []sentCall

	// surprise is the mean prediction error of first tokens: the time by which
	// they came later than foreseen.
	surprise    time.Duration
	surprisedAt time.Duration
}

// sentCall is one dispatch.
type sentCall struct {
	at     time.Duration
	tokens int
}

// touch notes that the sums of the group have to be computed again.
func (r *record) touch() {
	if r.group != nil {
		r.group.fresh = false
	}
}

// take replaces the report and drops the calls that it includes.
func (r *record) take(now, taken time.Duration, report Report) {
	r.learnReport(taken, &report)
	r.report, r.taken, r.reported = report, taken, true
	r.ownStep = r.ownStep || report.OwnStep > 0
	r.past.add(pastReport{
		arrived: now, taken: taken, running: report.calls(),
		prefill: float64(report.PrefillTokens), step: float64(report.StepTime),
	})
	kept := r.sent[:0]
	for _, s := range r.sent {
		if s.at > taken {
			kept = append(kept, s)
		}
	}
	r.sent = kept
}

// learnReport adds a report to what is usual among alike endpoints.
func (r *record) learnReport(taken time.Duration, report *Report) {
	f := r.fleet
	window := f.window()
	waiting, step := float64(report.PrefillTokens), float64(report.StepTime)
	f.waiting.add(waiting, window)
	f.running.add(report.calls(), window)
	if report.PrefillRate > 0 {
		f.rate.add(report.PrefillRate, window)
	}
	if step > 0 {
		f.step.add(step, window)
		r.step.add(step, stepWindow)
	}
	old := r.past.believedAt(taken)
	if old == nil {
		return
	}
	span := taken - old.taken
	f.waiting.compare(waiting, old.prefill, span, window)
	f.running.compare(report.calls(), old.running, span, window)
	if step > 0 && old.step > 0 {
		f.step.compare(step, old.step, span, window)
	}
}

// stepWindow is the number of reports that an endpoint's own mean step time
// spans.
const stepWindow = 12

// calls is the number of calls at the endpoint.
func (r *Report) calls() float64 { return float64(r.Running + r.Waiting) }

// pastReports is the number of reports of an endpoint that are kept.
const pastReports = 16

// pastReport is what persistence needs of an earlier report.
type pastReport struct {
	arrived, taken         time.Duration
	running, prefill, step float64
}

// past keeps the latest reports of an endpoint.
type past struct {
	reports [pastReports]pastReport
	count   int
}

func (p *past) add(r pastReport) {
	p.reports[p.count%pastReports] = r
	p.count++
}

// believedAt returns the newest report that was at hand at the time, or nil.
func (p *past) believedAt(at time.Duration) *pastReport {
	for back := 1; back <= min(p.count, pastReports); back++ {
		r := &p.reports[(p.count-back)%pastReports]
		if r.arrived <= at {
			return r
		}
	}
	return nil
}

// maxSentCalls bounds the memory for calls since the last report, in case no
// report comes any more.
const maxSentCalls = 256

// send notes a dispatch.
func (r *record) send(now time.Duration, w Work) {
	r.inFlight++
	if len(r.sent) == maxSentCalls {
		r.sent = append(r.sent[:0], r.sent[1:]...)
	}
	r.sent = append(r.sent, sentCall{at: now, tokens: w.PromptTokens})
}

// started notes that a call's prompt has been computed.
func (r *record) started(c *Call) {
	if i := r.sentIndex(c.SentAt); i >= 0 {
		r.sent[i].tokens = 0
	}
}

// ended notes that a call is over.
func (r *record) ended(c *Call) {
	r.inFlight = max(r.inFlight-1, 0)
	if i := r.sentIndex(c.SentAt); i >= 0 {
		r.sent = slices.Delete(r.sent, i, i+1)
	}
}

// sentIndex finds a call since the last report; -1 when it was sent before.
func (r *record) sentIndex(at time.Duration) int {
	return slices.IndexFunc(r.sent, func(s sentCall) bool { return s.at == at })
}

// surpriseWeight is the weight of a new observation in the surprise, an
// exponentially weighted moving average of the prediction error.
const surpriseWeight = 0.3

// learn compares the time to a first token with what was foreseen without the
// surprise.
func (r *record) learn(now, observed, foreseen time.Duration) {
	r.surprise += time.Duration(surpriseWeight * float64(observed-foreseen-r.surprise))
	r.surprisedAt = now
}

// surpriseAt is the surprise, which fades when it is not observed again.
func (r *record) surpriseAt(now, ttl time.Duration) time.Duration {
	if r.surprise <= 0 || ttl <= 0 {
		return 0
	}
	left := 1 - float64(now-r.surprisedAt)/float64(ttl)
	return time.Duration(max(0, left) * float64(r.surprise))
}
