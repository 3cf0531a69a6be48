package expertmap

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// The log of a switch contains the duration of each phase and the ranks that ended them.
func TestSwitchLogReportsPhaseTimes(t *testing.T) {
	is := is.New(t)
	s := newPhaseTimes(0)
	s.record(14*time.Millisecond, mapswitch.PhasePreparing, noRank)
	s.record(90*time.Millisecond, mapswitch.PhasePreparing, 3)
	s.record(120*time.Millisecond, mapswitch.PhasePromising, 169)
	s.record(160*time.Millisecond, mapswitch.PhaseDeciding, 92)
	s.record(168*time.Millisecond, mapswitch.PhaseIdle, noRank)
	var line bytes.Buffer
	slog.New(slog.NewJSONHandler(&line, nil)).Info("decided", slog.Any("stages", s))
	var logged struct{ Stages map[string]int64 }
	is.NoErr(json.Unmarshal(line.Bytes(), &logged))
	is.Equal(logged.Stages, map[string]int64{
		"beginning": int64(14 * time.Millisecond), "preparing": int64(106 * time.Millisecond), "promising": int64(40 * time.Millisecond),
		"deciding": int64(8 * time.Millisecond), "last_prepared": 169, "last_promised": 92,
	})
	line.Reset()
	slog.New(slog.NewJSONHandler(&line, nil)).Info("decided", slog.Any("stages", (*phaseTimes)(nil)))
	is.True(json.Valid(line.Bytes()))
}
