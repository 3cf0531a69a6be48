package following

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/balance"
)

var (
	shape  = group.Shape{Layers: 4, Experts: 64, Ranks: 16, Slots: 5}
	config = balance.FollowConfig{
		Shape: shape, Reach: balance.Reach{Spare: 2, Copies: 3}, Fixed: 0.6, CopySeconds: 0.11, CopySlow: 0.15, OrderSeconds: 0.09,
		StallSeconds: 0.03, MoveSeconds: 0.005, HoldSeconds: 2, Smoothing: 0.3, Jump: 0.12,
	}
)

// TestFollowingStaysAheadOfTheFirstMap bounds what the settings in force reach on
// one trace, and that they stay well below a group that never switches.
func TestFollowingStaysAheadOfTheFirstMap(t *testing.T) {
	is := is.New(t)
	never := Run(Policy{}, shape, config.Fixed, config.CopySlow, 1, 20*time.Second)
	following := Run(Policy{Config: &config, Interval: 150 * time.Millisecond, Delay: 80 * time.Millisecond, Blind: true}, shape, config.Fixed, config.CopySlow, 1, 20*time.Second)
	knowing := Run(Policy{Config: &config, Interval: 10 * time.Millisecond, Knowing: true}, shape, config.Fixed, config.CopySlow, 1, 20*time.Second)
	is.Equal(never.Switches, 0.0)
	is.True(never.Step > 2.3)
	is.True(following.Step < 1.45)
	is.True(following.Late < 0.16)
	is.True(knowing.Step < following.Step) // what is left to win by seeing sooner
}
