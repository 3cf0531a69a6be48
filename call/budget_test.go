package call

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSharedBudgetIsIndependentOfEntryCount guards against the total of retries growing
// with the number of entries: 3, 14 and 60 entries without traffic retry as often as they
// may for ten seconds.
func TestSharedBudgetIsIndependentOfEntryCount(t *testing.T) {
	for _, entries := range []int{3, 14, 60} {
		is := is.New(t)
		retries := 0
		for range entries {
			b := NewBudget(BudgetConfig{Ratio: 0.1, MinPerSecond: 1, Burst: 50})
			b.ShareAmong(entries)
			for now := time.Duration(0); now < 10*time.Second; now += 100 * time.Millisecond {
				for b.Withdraw(now) {
					retries++
				}
			}
		}
		is.True(retries <= 50+10+entries) // each entry always has a burst of at least one retry
		is.True(retries >= 40)
	}
}
