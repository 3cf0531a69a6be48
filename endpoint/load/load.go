// Package load estimates how long a new call would wait at each endpoint.
//
// Load reports arrive with a lag. The Tracker discounts each report by its age,
// adds the calls that this entry has sent since the report was taken, and never
// estimates fewer running calls at an endpoint than this entry itself has in
// flight there. The amount by which first tokens arrive later than estimated (the
// prediction error) is kept per endpoint and added to later estimates, so that an
// endpoint that under-reports its load is detected.
//
// Times are monotonic, expressed as time.Duration since an arbitrary start. All
// methods are safe for concurrent use; no other lock but that of Config.Speeds is
// acquired while the tracker's lock is held.
package load

import "time"

// Report is a load report of an endpoint.
type Report struct {
	// Age is the time since the report was taken at the endpoint.
	Age time.Duration
	// Running is the number of requests that produce tokens (or, at a service,
	// the calls being served).
	Running int
	// Waiting is the number of requests that have not started.
	Waiting int
	// PrefillTokens is the number of prompt tokens accepted and not yet computed.
	// If it is zero while calls wait, the value is unknown and is estimated as
	// the number of waiting calls times the mean prompt size.
	PrefillTokens int
	// PrefillRate is the number of prompt tokens computed per second; zero if unknown.
	PrefillRate float64
	// StepTime is the mean time of a step of the endpoint's group; for a
	// service, the mean service time.
	StepTime time.Duration
	// OwnStep is the rank's own compute time in a step, excluding the time spent
	// waiting for the other ranks; zero if unknown. It is the Latency of an
	// engine's outlier.Sample: a rank of a group is compared within the group, any
	// other engine within the pool. An engine that reports it must not be judged
	// by call latency as well, since the two are not comparable.
	OwnStep time.Duration
	// Slowdown is the factor by which the endpoint states that it works slower than
	// nominal; zero if unknown.
	Slowdown float64
	// Adapters are the adapters resident in the engine's memory.
	Adapters []string
}

// Work is the size of one call.
type Work struct {
	// PromptTokens is the number of prompt tokens to compute.
	PromptTokens int
	// MaxTokens is the maximum number of tokens that the call may produce.
	MaxTokens int
}

// Call is one call in flight. Tracker.Sent returns it; FirstToken and Done take
// it as an argument.
type Call struct {
	// ID is the endpoint's id.
	ID string
	// SentAt is the time of dispatch.
	SentAt time.Duration
	// Work is the size of the call.
	Work Work
	// ExpectedFirstToken is the time to first token predicted at dispatch.
	ExpectedFirstToken time.Duration
	// predictionError is the part of ExpectedFirstToken that stems from the
	// prediction error of earlier calls.
	predictionError time.Duration
	// started is true once FirstToken or Done has been called.
	started bool
}

// Result is the outcome of a call.
type Result struct {
	// Failed is true if the endpoint did not return a complete response.
	Failed bool
	// Tokens is the number of tokens produced.
	Tokens int
}

// Estimate is the Tracker's estimate of an endpoint's load at one moment.
type Estimate struct {
	// Wait is the time before the endpoint would start a new call.
	Wait time.Duration
	// WaitStdDev is the standard deviation of Wait: the uncertainty due to the
	// lag of reports.
	WaitStdDev time.Duration
	// PrefillRate is the number of prompt tokens computed per second.
	PrefillRate float64
	// StepTime is the time of one step, and StepTimeStdDev its standard deviation.
	StepTime, StepTimeStdDev time.Duration
	// Running is the number of requests running and waiting.
	Running float64
	// GroupRunning, GroupMean and GroupPeak are the sum, the mean and the
	// highest of Running among the ranks of the endpoint's group.
	GroupRunning, GroupMean, GroupPeak float64
	// OutputTokens is the mean number of output tokens of a call.
	OutputTokens float64
	// Age is the time since the last report was taken; NeverReported if there is none.
	Age time.Duration
}

// NeverReported is the Age of an endpoint that has sent no report.
const NeverReported = time.Duration(1<<63 - 1)
