package workspace

import "time"

// Limits is what a workspace may use. The zero value has the least importance,
// no guaranteed share and no upper bounds.
type Limits struct {
	// Importance is the weight of the workspace when slots are scarce; values
	// below 1 count as 1.
	Importance int
	// GuaranteedShare is the share of all slots, 0 to 1, that the workspace gets
	// whenever it needs them. If the shares of all workspaces add up to more
	// than 1, each is scaled down in proportion.
	GuaranteedShare float64
	// MaxConcurrent bounds the requests in flight; 0 means no bound.
	MaxConcurrent int
	// RequestsPerSecond bounds the rate of starts; 0 means no bound.
	RequestsPerSecond float64
	// TokensPerSecond bounds the rate of Request.Cost; 0 means no bound.
	TokensPerSecond float64
	// MaxQueue bounds the requests that wait; 0 means Config.DefaultQueue.
	MaxQueue int
}

// weight returns the importance as a positive number.
func (l Limits) weight() float64 { return float64(max(l.Importance, 1)) }

// Config is the policy of an Admission. Zero fields get the defaults below.
type Config struct {
	// Default applies to workspaces that Configure has not named. Its
	// GuaranteedShare is ignored.
	Default Limits
	// DefaultQueue bounds the queue of a workspace that sets no bound.
	DefaultQueue int
	// MaxQueued bounds the requests that wait over all workspaces. Beyond it the
	// workspace with the longest queue for its importance loses a request.
	MaxQueued int
	// MaxWait bounds the time that a request may wait, whatever its deadline.
	MaxWait time.Duration
	// ReclaimWithin is how soon lent slots must be had back by the workspaces
	// that they are guaranteed to. Slots that the measured run times would not
	// free in time are not lent. A negative value lends without this limit.
	ReclaimWithin time.Duration
	// InitialHold is the run time that is assumed before any was measured.
	InitialHoldTime time.Duration
	// MaxRetryAfter bounds the Retry-After of refusals.
	MaxRetryAfter time.Duration
}

// The defaults of Config.
const (
	defaultQueue         = 256
	defaultMaxQueued     = 8192
	defaultMaxWait       = 10 * time.Second
	defaultReclaimWithin = time.Second
	defaultInitialHold   = time.Second
	defaultMaxRetryAfter = 60 * time.Second
)

// withDefaults replaces zero fields by the defaults.
func (c Config) withDefaults() Config {
	c.Default.GuaranteedShare = 0
	c.DefaultQueue = orDefault(c.DefaultQueue, defaultQueue)
	c.MaxQueued = orDefault(c.MaxQueued, defaultMaxQueued)
	c.MaxWait = orDefault(c.MaxWait, defaultMaxWait)
	c.ReclaimWithin = orDefault(c.ReclaimWithin, defaultReclaimWithin)
	c.InitialHoldTime = orDefault(c.InitialHoldTime, defaultInitialHold)
	c.MaxRetryAfter = orDefault(c.MaxRetryAfter, defaultMaxRetryAfter)
	return c
}

func orDefault[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}
