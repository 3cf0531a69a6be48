// Package load estimates how long a new call would wait at each endpoint.
//
// Endpoints report their load with a lag. The Tracker ages each report by the
// lag, adds what this entry has sent since the report was taken, and never
// believes that an endpoint runs less than what this entry itself has in
// flight there. What first tokens show beyond the estimate, the prediction error
// called surprise here, is remembered per endpoint, so that an endpoint that reports too little load is found out.
//
// Times are time.Duration since an arbitrary start, monotonic. All methods are
// safe for concurrent use; the lock is held while no other lock is taken.
package load

import "time"

// Report is what an endpoint says of its load.
type Report struct {
	// Age is the time since the report was taken.
	Age time.Duration
	// Running is the number of requests that produce tokens (or, at a service,
	// the calls being served).
	Running int
	// Waiting is the number of requests that have not started.
	Waiting int
	// PrefillTokens is the number of prompt tokens accepted and not yet computed.
	// Zero while calls wait: not known, taken to be those of as many usual calls.
	PrefillTokens int
	// PrefillRate is the prompt tokens computed per second, zero if not known.
	PrefillRate float64
	// StepTime is the mean time of a step of the endpoint's group; for a
	// service, the mean service time.
	StepTime time.Duration
	// OwnStep is the rank's own compute time in a step, without the time that it
	// waits for the other ranks; zero if not known. It is what outlier.Sample
	// takes as Latency for an engine: of a group, compared within the group,
	// else within the pool. An engine that reports it is not to be judged by the
	// time of calls as well, which is not comparable with it.
	OwnStep time.Duration
	// Adapters are the adapters resident in the engine's memory.
	Adapters []string
}

// Work is the size of one call.
type Work struct {
	// PromptTokens is the part of the prompt that has to be computed.
	PromptTokens int
	// MaxTokens is the number of tokens that the call may produce.
	MaxTokens int
}

// Call is one call in flight. The Tracker hands it out in Sent and takes it
// back in FirstToken and Done.
type Call struct {
	// ID is the endpoint.
	ID string
	// SentAt is the time of dispatch.
	SentAt time.Duration
	// Work is the size of the call.
	Work Work
	// Expected is the time to the first token foreseen at dispatch.
	ExpectedFirstToken time.Duration
	// surprise is the part of Expected that comes from earlier first tokens.
	surprise time.Duration
	// started is true once FirstToken has been called.
	started bool
}

// Result says how a call ended.
type Result struct {
	// Failed is true when the endpoint did not give the whole answer.
	Failed bool
	// Tokens is the number of tokens produced.
	Tokens int
}

// Estimate is what the Tracker believes of one endpoint at one moment.
type Estimate struct {
	// Wait is the time before the endpoint would start on a new call.
	Wait time.Duration
	// Spread is the standard deviation of Wait: how little a lagged report tells.
	WaitStdDev time.Duration
	// PrefillRate is the prompt tokens computed per second.
	PrefillRate float64
	// StepTime is the time of one step, and StepSpread its standard deviation.
	StepTime, StepTimeStdDev time.Duration
	// Running is the number of requests running and waiting.
	Running float64
	// GroupRunning, GroupMean and GroupPeak are the sum, the mean and the
	// highest of Running among the ranks of the endpoint's group.
	GroupRunning, GroupMean, GroupPeak float64
	// AnswerTokens is the mean number of tokens of an answer.
	OutputTokens float64
	// Age is the time since the last report was taken; Silent if there is none.
	Age time.Duration
}

// Silent is the Age of an endpoint that has not reported.
const NeverReported = time.Duration(1<<63 - 1)
