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

// TestALineSaysWhereTheTimeOfASwitchWent notes the stages of a switch and the ranks that ended them.
func TestALineSaysWhereTheTimeOfASwitchWent(t *testing.T) {
	is := is.New(t)
	s := newStages(0)
	s.note(14*time.Millisecond, mapswitch.PhasePreparing, noRank)
	s.note(90*time.Millisecond, mapswitch.PhasePreparing, 3)
	s.note(120*time.Millisecond, mapswitch.PhasePromising, 169)
	s.note(160*time.Millisecond, mapswitch.PhaseDeciding, 92)
	s.note(168*time.Millisecond, mapswitch.PhaseIdle, noRank)
	var line bytes.Buffer
	slog.New(slog.NewJSONHandler(&line, nil)).Info("decided", slog.Any("stages", s))
	var said struct{ Stages map[string]int64 }
	is.NoErr(json.Unmarshal(line.Bytes(), &said))
	is.Equal(said.Stages, map[string]int64{
		"beginning": int64(14 * time.Millisecond), "preparing": int64(106 * time.Millisecond), "promising": int64(40 * time.Millisecond),
		"deciding": int64(8 * time.Millisecond), "last_prepared": 169, "last_promised": 92,
	})
	line.Reset()
	slog.New(slog.NewJSONHandler(&line, nil)).Info("decided", slog.Any("stages", (*stages)(nil)))
	is.True(json.Valid(line.Bytes()))
}
