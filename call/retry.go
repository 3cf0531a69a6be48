package call

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BudgetConfig sets a retry budget up.
type BudgetConfig struct {
	// Ratio is the share of live traffic that may be repeated, 0 to 1.
	Ratio float64
	// MinPerSecond is the number of retries a second that are always allowed,
	// so that a fleet with little traffic can repeat at all.
	MinPerSecond float64
	// Burst is the number of retries that can be saved up. It and MinPerSecond hold for
	// all that share a budget, see Share.
	Burst float64
}

// DefaultBudget lets one request in five be repeated.
var DefaultBudget = BudgetConfig{Ratio: 0.2, MinPerSecond: 1, Burst: 50}

// Budget bounds retries to a share of live traffic, so that an outage cannot
// multiply the load. It is a token bucket: each request puts Ratio of a token
// in, each retry takes one out. It is safe for concurrent use; the lock is held
// while no other lock is taken.
type Budget struct {
	mu     sync.Mutex
	config BudgetConfig
	// sharers is the number of budgets that config is shared among.
	sharers float64
	tokens  float64
	last    time.Duration
}

// NewBudget returns a budget that holds Burst tokens.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{config: cfg, sharers: 1, tokens: cfg.Burst} }

// Share sets how many entries share what the configuration allows beside the ratio: a
// bound for each entry would grow with their number, and the endpoints' does not.
func (b *Budget) ShareAmong(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = float64(max(entries, 1))
	b.tokens = min(b.tokens, b.burst())
}

// burst is the part of Burst that is for this budget, and never less than one retry; the
// lock is held.
func (b *Budget) burst() float64 { return max(b.config.Burst/b.sharers, 1) }

// Deposit notes one request of live traffic.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.burst())
}

// Withdraw takes one retry out of the budget; false means that there is none.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now - b.last; elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.config.MinPerSecond/b.sharers, b.burst())
		b.last = now
	}
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Backoff is an exponential delay with full jitter.
type Backoff struct {
	// Base bounds the first delay.
	Base time.Duration
	// Max bounds every delay.
	Max time.Duration
}

// maxDoublings keeps the shift in Delay from overflowing.
const maxDoublings = 30

// Delay returns the wait before retry n, counted from 0: between zero and Base
// doubled n times, at most Max.
func (b Backoff) Delay(rng *rand.Rand, n int) time.Duration {
	ceiling := min(b.Base<<min(n, maxDoublings), b.Max)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}
