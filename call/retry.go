package call

import (
	"math/rand/v2"
	"sync"
	"time"
)

// BudgetConfig configures a retry budget.
type BudgetConfig struct {
	// Ratio is the number of retries allowed per request, 0 to 1.
	Ratio float64
	// MinPerSecond is the number of retries per second that are always allowed, so that
	// retries are possible at all under low traffic.
	MinPerSecond float64
	// Burst is the maximum number of saved retries. Burst and MinPerSecond apply to all
	// entries that share a budget together, see ShareAmong.
	Burst float64
}

// DefaultBudget allows one retry per five requests.
var DefaultBudget = BudgetConfig{Ratio: 0.2, MinPerSecond: 1, Burst: 50}

// Budget bounds retries to a fraction of the traffic, so that an outage cannot multiply
// the load. It is a token bucket: each request adds Ratio tokens, each retry takes one.
// It is safe for concurrent use; no other lock is taken while its lock is held.
type Budget struct {
	mu     sync.Mutex
	config BudgetConfig
	// sharers is the number of budgets that share config.
	sharers    float64
	tokens     float64
	refilledAt time.Duration
}

// NewBudget returns a budget that holds Burst tokens.
func NewBudget(cfg BudgetConfig) *Budget { return &Budget{config: cfg, sharers: 1, tokens: cfg.Burst} }

// ShareAmong sets the number of entries that share Burst and MinPerSecond. If each entry
// had these bounds for itself, the allowed retries would grow with the number of entries,
// but the capacity of the endpoints would not.
func (b *Budget) ShareAmong(entries int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sharers = float64(max(entries, 1))
	b.tokens = min(b.tokens, b.burst())
}

// burst returns the part of Burst that belongs to this budget, at least one retry. The
// lock must be held.
func (b *Budget) burst() float64 { return max(b.config.Burst/b.sharers, 1) }

// Deposit adds the tokens of one request.
func (b *Budget) Deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.config.Ratio, b.burst())
}

// Withdraw takes one retry out of the budget; it returns false if none is left.
func (b *Budget) Withdraw(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if elapsed := now - b.refilledAt; elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.config.MinPerSecond/b.sharers, b.burst())
		b.refilledAt = now
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

// Delay returns a random delay before retry n, counted from 0: between zero and Base
// doubled n times, at most Max.
func (b Backoff) Delay(rng *rand.Rand, n int) time.Duration {
	ceiling := min(b.Base<<min(n, maxDoublings), b.Max)
	if ceiling <= 0 {
		return 0
	}
	return time.Duration(rng.Int64N(int64(ceiling) + 1))
}
