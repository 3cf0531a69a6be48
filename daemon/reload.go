package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/lilackeel/lilackeel/setting"
)

// filePoll is the time between two looks at the file of settings, which may
// change without a signal.
const filePoll = time.Second

// reloader reads the settings again on a signal, or when their file has
// changed.
type reloader struct {
	program Program
	file    string
	logger  *slog.Logger
	hangup  <-chan os.Signal
	// seen is the file's state at the last reload.
	seen fileState
}

// fileState tells two versions of a file apart.
type fileState struct {
	changed time.Time
	size    int64
}

func stateOf(path string) fileState {
	info, err := os.Stat(path)
	if path == "" || err != nil {
		// A file that is being replaced is looked at again later.
		return fileState{}
	}
	return fileState{changed: info.ModTime(), size: info.Size()}
}

// run reloads until ctx ends.
func (r *reloader) run(ctx context.Context, d Daemon) {
	r.seen = stateOf(r.file)
	ticker := time.NewTicker(filePoll)
	defer ticker.Stop()
	for {
		reason := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
		case <-ticker.C:
			reason = "the file of settings has changed"
			if now := stateOf(r.file); now == r.seen || now == (fileState{}) {
				continue
			}
		}
		r.seen = stateOf(r.file)
		r.reload(d, reason)
	}
}

// reload reads the settings and puts in force what may change. With an error
// everything stays as it was.
func (r *reloader) reload(d Daemon, reason string) {
	if r.program.Reload == nil {
		r.logger.Info("reload: no setting of this daemon can change while it runs", slog.String("reason", reason))
		return
	}
	err := r.program.Reload(d, func(set *setting.Set) error {
		_, err := set.Parse(r.program.Args, os.Environ())
		return err
	})
	if err != nil {
		r.logger.Warn("reload failed, the settings stay as they were", slog.String("reason", reason), slog.Any("error", err))
		return
	}
	r.logger.Info("reloaded the settings", slog.String("reason", reason))
}
