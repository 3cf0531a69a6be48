package workspace

import "time"

// Limits configures what a workspace may use. The zero value has the lowest importance,
// no guaranteed share and no upper bounds.
type Limits struct {
	// Importance is the weight of the workspace when slots are scarce; values
	// below 1 count as 1.
	Importance int
	// GuaranteedShare is the share of all slots, 0 to 1, that the workspace gets whenever
	// it needs them. If the shares of all workspaces add up to more than 1, they are
	// scaled down proportionally.
	GuaranteedShare float64
	// MaxConcurrent bounds the requests in flight; 0 means no bound.
	MaxConcurrent int
	// RequestsPerSecond bounds the rate at which requests start; 0 means no bound.
	RequestsPerSecond float64
	// TokensPerSecond bounds the rate of tokens, see Request.ExpectedTokens; 0 means no
	// bound.
	TokensPerSecond float64
	// MaxQueue bounds the number of queued requests; 0 means Config.DefaultQueue.
	MaxQueue int
}

// weight returns the importance as a positive number.
func (l Limits) weight() float64 { return float64(max(l.Importance, 1)) }

// Config is the policy of an Admission. Zero fields get the defaults below.
type Config struct {
	// Default applies to workspaces that Configure has not named. Its GuaranteedShare is
	// ignored.
	Default Limits
	// DefaultQueue bounds the queue of a workspace that sets no bound itself.
	DefaultQueue int
	// MaxQueued bounds the number of queued requests over all workspaces. Beyond it, the
	// workspace whose queue is longest in relation to its importance has a request
	// refused.
	MaxQueued int
	// MaxWait bounds the time that a request may be queued, whatever its deadline.
	MaxWait time.Duration
	// ReclaimWithin is the time within which lent slots must be available again to the
	// workspaces that they are guaranteed to. Slots that would not be released in time,
	// judged by the measured hold times, are not lent. A negative value removes this
	// restriction.
	ReclaimWithin time.Duration
	// InitialHoldTime is the hold time that is assumed before any has been measured.
	InitialHoldTime time.Duration
	// MaxRetryAfter bounds the Retry-After of refusals.
	MaxRetryAfter time.Duration
	// Levels orders the requests of all workspaces by Request.Level first. Reserved slots are then
	// lent without regard to ReclaimWithin, since an idle slot that is reserved for a workspace of a
	// lower-priority level would delay a higher-priority request. Admission.SetLevels changes it.
	Levels bool
	// LeastShare is the share of the granted slots, 0 to 1, that each level gets while it has requests,
	// whatever is queued of higher-priority levels; half of the slots for all levels together at
	// most. It has an effect if Levels is set.
	LeastShare float64
}

// Defaults of Config.
const (
	defaultQueue           = 256
	defaultMaxQueued       = 8192
	defaultMaxWait         = 10 * time.Second
	defaultReclaimWithin   = time.Second
	defaultInitialHoldTime = time.Second
	defaultMaxRetryAfter   = 60 * time.Second
)

// withDefaults replaces zero fields by the defaults.
func (c Config) withDefaults() Config {
	c.Default.GuaranteedShare = 0
	c.DefaultQueue = orDefault(c.DefaultQueue, defaultQueue)
	c.MaxQueued = orDefault(c.MaxQueued, defaultMaxQueued)
	c.MaxWait = orDefault(c.MaxWait, defaultMaxWait)
	c.ReclaimWithin = orDefault(c.ReclaimWithin, defaultReclaimWithin)
	c.InitialHoldTime = orDefault(c.InitialHoldTime, defaultInitialHoldTime)
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
