package following

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestMapsFollowDemandAtAnySize plays demand of which half changes every 3.4 s, as on the
// played days, on the shapes that deployments publish. The first map alone leaves a skew of
// 2.6 to 3.5 and makes streams late all the time. What is in force stays near what a
// planner reaches that knows demand at once and is bound by the link like any other.
func TestMapsFollowDemandAtAnySize(t *testing.T) {
	for _, site := range Deployments() {
		is := is.New(t)
		never := Run(Policy{}, site, 1, 20*time.Second)
		following := Run(site.LeaderPolicy(), site, 1, 20*time.Second)
		bound := Run(site.OraclePolicy(), site, 1, 20*time.Second)
		t.Logf("%s: skew %.2f first map, %.2f in force, %.2f bound; late %.2f %.2f %.2f", site.Name,
			never.Skew, following.Skew, bound.Skew, never.LateShare, following.LateShare, bound.LateShare)
		is.Equal(never.SwitchesPerSecond, 0.0)
		is.True(never.Skew > 2.4)
		is.True(following.Skew < 1.65)
		is.True(following.LateShare < 0.16)
		is.True(following.Skew < bound.Skew+0.35)
		is.True(bound.StepTime <= following.StepTime*1.01) // seeing sooner does not harm
	}
}

// TestALargeGroupIsFollowedByBranches plays demand of which half changes every 3.4 s on a group of
// 192 ranks, as the leader followed it by calling each rank (a look each 0.77 s, the orders
// of a switch 1.15 s at the median) and as it follows it in branches (a look each 0.15 s, orders
// 0.35 s). A skew of 2.4 makes streams late; the first map leaves 3.4.
func TestALargeGroupIsFollowedByBranches(t *testing.T) {
	is := is.New(t)
	singly, branches := LargeDeployment(1150*time.Millisecond), LargeDeployment(350*time.Millisecond)
	slow := singly.LeaderPolicy()
	slow.Interval = 770 * time.Millisecond
	before := Run(slow, singly, 1, 20*time.Second)
	after := Run(branches.LeaderPolicy(), branches, 1, 20*time.Second)
	t.Logf("skew %.2f singly, %.2f in branches; late %.2f and %.2f", before.Skew, after.Skew, before.LateShare, after.LateShare)
	is.True(after.Skew < 2)
	is.True(after.Skew < before.Skew-0.5)
	is.True(after.LateShare < before.LateShare/2)
}

// TestACalmGroupCopiesWhatCallersNeed plays the demand above at two loads, in which a pass of
// even ranks takes two fifths of the promised pause and four fifths. Where it is calm no pass
// exceeds the pause either way, and half of the copies do; where it is not, as many passes
// are within it as without looking at the pace.
func TestACalmGroupCopiesWhatCallersNeed(t *testing.T) {
	for _, site := range Deployments() {
		is := is.New(t)
		calm, busy := site.WithLoad(0.4), site.WithLoad(0.8)
		before, after := Run(calm.LeaderPolicy(), calm, 1, 20*time.Second), Run(calm.PauseAwarePolicy(), calm, 1, 20*time.Second)
		t.Logf("%s: copies a second %.1f and %.1f by the pace, beyond %.3f and %.3f", site.Name, before.CopiesPerSecond, after.CopiesPerSecond, before.OverPauseShare, after.OverPauseShare)
		is.True(after.CopiesPerSecond < 0.6*before.CopiesPerSecond)
		is.True(after.OverPauseShare <= before.OverPauseShare+0.005)
		before, after = Run(busy.LeaderPolicy(), busy, 1, 20*time.Second), Run(busy.PauseAwarePolicy(), busy, 1, 20*time.Second)
		is.True(after.OverPauseShare <= before.OverPauseShare+0.02)
	}
}
