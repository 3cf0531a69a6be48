package balance

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against slowdowns that no engine can have, and against values that are kept after their
// rank has fallen silent.
func TestSlowdownsAreNormalizedAndExpire(t *testing.T) {
	for _, c := range []struct {
		name         string
		stated, want float64
	}{
		{"absent", 0, 1}, {"negative", -3, 1}, {"not a number", math.NaN(), 1}, {"infinite", math.Inf(1), 1},
		{"near nominal", 1.1, 1}, {"a little fast", 0.9, 1}, {"slow", 1.6, 1.6}, {"very slow", 12, 12},
		{"huge", 1e9, 64}, {"tiny", 1e-9, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := NewRankSpeeds(3)
			s.Record(time.Second, 1, c.stated)
			s.Record(time.Second, 3, 2) // no such rank
			s.Record(time.Second, -1, 2)
			is.Equal(s.Costs(4*time.Second), []float64{1, c.want, 1})
			is.Equal(s.Costs(4*time.Second+1), ones(3)) // not renewed for 3 s
		})
	}
}

// Guards against a new map at each change of a value that flips or varies a little.
func TestCostsDoNotFollowFlappingSlowdowns(t *testing.T) {
	is := is.New(t)
	// changes counts how often the cost of a rank changes in 30 s of reports.
	changes := func(every time.Duration, slowdown func(report int) float64) (count int) {
		s, last := NewRankSpeeds(1), 1.0
		for report := range int(30 * time.Second / every) {
			now := time.Duration(report) * every
			s.Record(now, 0, slowdown(report))
			if cost := s.Costs(now)[0]; cost != last {
				last, count = cost, count+1
			}
		}
		return count
	}
	flip := func(reports int) func(int) float64 {
		return func(n int) float64 { return []float64{2.26, 1}[n/reports%2] }
	}
	is.Equal(changes(150*time.Millisecond, flip(1)), 1)
	is.Equal(changes(300*time.Millisecond, flip(1)), 1)    // each second poll asks the rank
	is.True(changes(150*time.Millisecond, flip(8)) <= 7)   // every 1.2 s
	is.Equal(changes(150*time.Millisecond, flip(1000)), 1) // constant
	is.Equal(changes(150*time.Millisecond, func(n int) float64 { return 2 + 0.19*float64(n%2) }), 1)
}

// Guards against a recovery that is noticed late or never, and a slowdown that is noticed late.
func TestCostsFollowSlowdownAndRecovery(t *testing.T) {
	is := is.New(t)
	s := NewRankSpeeds(1)
	var costs []float64
	for now := time.Duration(0); now < 10*time.Second; now += 150 * time.Millisecond {
		slowdown := 1.0
		if now >= time.Second && now < 9*time.Second {
			slowdown = 1.6
		}
		s.Record(now, 0, slowdown)
		costs = append(costs, s.Costs(now)[0])
	}
	is.Equal(slices.Index(costs, 1.6), 7) // the first report from 1 s on
	recovered := slices.Index(costs[7:], 1) + 7
	is.True(recovered >= 60 && recovered <= 64) // within 600 ms of the recovery at 9 s
	is.Equal(costs[len(costs)-1], 1.0)
}
