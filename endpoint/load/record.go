package load

import (
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
)

// record is the state that this entry keeps for one endpoint.
type record struct {
	// endpoint is the table record from which peers and group were derived.
	endpoint *endpoint.Endpoint
	peers    *peerStats
	group    *group

	reported bool
	report   Report
	// reportTime is when the last report was taken at the endpoint.
	reportTime time.Duration
	history    reportHistory
	// step is the mean of the step times that the endpoint reported.
	step mean
	// ownStep is true once a report has included Report.OwnStep.
	ownStep bool

	// inFlight is the number of this entry's calls that have not ended.
	inFlight int
	// sent are this entry's calls since the last report was taken.
	sent []sentCall

	// predictionError is the mean prediction error of first tokens: the time by
	// which they arrived later than predicted.
	predictionError      time.Duration
	predictionErrorSetAt time.Duration
}

// sentCall is one dispatch.
type sentCall struct {
	at     time.Duration
	tokens int
}

// invalidateGroup marks the cached sums of the group as outdated.
func (r *record) invalidateGroup() {
	if r.group != nil {
		r.group.sumsValid = false
	}
}

// applyReport replaces the report and drops the calls that it already includes.
func (r *record) applyReport(now, taken time.Duration, report Report) {
	r.updatePeerStats(taken, &report)
	r.report, r.reportTime, r.reported = report, taken, true
	r.ownStep = r.ownStep || report.OwnStep > 0
	r.history.add(pastReport{
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

// updatePeerStats adds a report to the statistics of comparable endpoints.
func (r *record) updatePeerStats(taken time.Duration, report *Report) {
	stats := r.peers
	window := stats.window()
	waiting, step := float64(report.PrefillTokens), float64(report.StepTime)
	stats.waiting.add(waiting, window)
	stats.running.add(report.calls(), window)
	if report.PrefillRate > 0 {
		stats.rate.add(report.PrefillRate, window)
	}
	if step > 0 {
		stats.step.add(step, window)
		r.step.add(step, stepWindow)
	}
	old := r.history.latestAt(taken)
	if old == nil {
		return
	}
	span := taken - old.taken
	stats.waiting.addPair(waiting, old.prefill, span, window)
	stats.running.addPair(report.calls(), old.running, span, window)
	if step > 0 && old.step > 0 {
		stats.step.addPair(step, old.step, span, window)
	}
}

// stepWindow is the number of reports that the mean step time of one endpoint
// spans.
const stepWindow = 12

// calls returns the number of calls at the endpoint.
func (r *Report) calls() float64 { return float64(r.Running + r.Waiting) }

// historySize is the number of reports of an endpoint that are kept.
const historySize = 16

// pastReport holds the values of an earlier report that decayModel uses.
type pastReport struct {
	arrived, taken         time.Duration
	running, prefill, step float64
}

// reportHistory is a ring buffer of the latest reports of an endpoint.
type reportHistory struct {
	reports [historySize]pastReport
	count   int
}

func (p *reportHistory) add(r pastReport) {
	p.reports[p.count%historySize] = r
	p.count++
}

// latestAt returns the newest report that had arrived by the given time, or nil.
func (p *reportHistory) latestAt(at time.Duration) *pastReport {
	for back := 1; back <= min(p.count, historySize); back++ {
		r := &p.reports[(p.count-back)%historySize]
		if r.arrived <= at {
			return r
		}
	}
	return nil
}

// maxSentCalls bounds the memory for calls since the last report, in case
// reports cease.
const maxSentCalls = 256

// addCall records a dispatched call.
func (r *record) addCall(now time.Duration, w Work) {
	r.inFlight++
	if len(r.sent) == maxSentCalls {
		r.sent = append(r.sent[:0], r.sent[1:]...)
	}
	r.sent = append(r.sent, sentCall{at: now, tokens: w.PromptTokens})
}

// markPrefilled records that a call's prompt has been computed.
func (r *record) markPrefilled(c *Call) {
	if i := r.sentIndex(c.SentAt); i >= 0 {
		r.sent[i].tokens = 0
	}
}

// removeCall records that a call has ended.
func (r *record) removeCall(c *Call) {
	r.inFlight = max(r.inFlight-1, 0)
	if i := r.sentIndex(c.SentAt); i >= 0 {
		r.sent = slices.Delete(r.sent, i, i+1)
	}
}

// sentIndex returns the index in r.sent of the call sent at the given time; -1
// if the call was sent before the last report.
func (r *record) sentIndex(at time.Duration) int {
	return slices.IndexFunc(r.sent, func(s sentCall) bool { return s.at == at })
}

// predictionErrorWeight is the weight of a new observation in the exponentially
// weighted moving average of the prediction error.
const predictionErrorWeight = 0.3

// updatePredictionError adds the difference between the observed time to first
// token and the one predicted without the prediction error.
func (r *record) updatePredictionError(now, observed, predicted time.Duration) {
	r.predictionError += time.Duration(predictionErrorWeight * float64(observed-predicted-r.predictionError))
	r.predictionErrorSetAt = now
}

// decayedPredictionError returns the prediction error, which decays linearly to
// zero within ttl of its last observation; it is never negative.
func (r *record) decayedPredictionError(now, ttl time.Duration) time.Duration {
	if r.predictionError <= 0 || ttl <= 0 {
		return 0
	}
	remaining := 1 - float64(now-r.predictionErrorSetAt)/float64(ttl)
	return time.Duration(max(0, remaining) * float64(r.predictionError))
}
