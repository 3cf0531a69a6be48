package rankhost

import (
	"io"
	"log/slog"
	"math"
	"testing"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// Guards against slowdowns that no engine can have, and against one that is reported although it
// cannot be attributed to a run of the engine.
func TestReportedSlowdown(t *testing.T) {
	for _, c := range []struct {
		name    string
		stated  float64
		started uint64
		mode    string
		want    float64
	}{
		{"stated", 2.26, 7, SlowdownAuto, 2.26},
		{"no start", 2.26, 0, SlowdownAuto, 0},
		{"no start, on", 2.26, 0, SlowdownOn, 2.26},
		{"off", 2.26, 7, SlowdownOff, 0},
		{"default mode", 2.26, 7, "", 2.26},
		{"absent", 0, 7, SlowdownAuto, 0},
		{"negative", -2, 7, SlowdownAuto, 0},
		{"not a number", math.NaN(), 7, SlowdownAuto, 0},
		{"infinite", math.Inf(1), 7, SlowdownAuto, 0},
		{"huge", 1e9, 7, SlowdownAuto, 64},
		{"tiny", 1e-9, 7, SlowdownAuto, 0.25},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(reportedSlowdown(Status{Slowdown: c.stated, Started: c.started}, c.mode), c.want)
		})
	}
}

// Guards against a nominal rank in the loads, and a slow one that is missing from them.
func TestLoadsCarryTheSlowdown(t *testing.T) {
	is := is.New(t)
	h := NewHost(Config{Logger: slog.New(slog.NewJSONHandler(io.Discard, nil))})
	loads := []*agentv1.ExpertLoad{{Rank: 5}}
	h.status = Status{Started: 1, Slowdown: 1.05}
	h.addSlowdown(loads)
	is.Equal(len(loads[0].GetSlowdowns()), 0)
	h.status.Slowdown = 1.6
	h.addSlowdown(loads)
	is.Equal(loads[0].GetSlowdowns()[0].GetRank(), int32(5))
	is.Equal(loads[0].GetSlowdowns()[0].GetSlowdown(), 1.6)
}
