package daemon

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/lilackeel/lilackeel/setting"
)

// filePollInterval is the interval at which the settings file is checked for changes, which may
// come without a signal.
const filePollInterval = time.Second

// reloader reads the settings again on SIGHUP or when their file has changed.
type reloader struct {
	program Program
	file    string
	logger  *slog.Logger
	hangup  <-chan os.Signal
	// lastState is the file's state at the last reload.
	lastState fileState
}

// fileState distinguishes versions of a file.
type fileState struct {
	modTime time.Time
	size    int64
}

func statFile(path string) fileState {
	info, err := os.Stat(path)
	if path == "" || err != nil {
		// A file that is being replaced is checked again at the next poll.
		return fileState{}
	}
	return fileState{modTime: info.ModTime(), size: info.Size()}
}

// run handles reloads until ctx ends.
func (r *reloader) run(ctx context.Context, d Daemon) {
	r.lastState = statFile(r.file)
	ticker := time.NewTicker(filePollInterval)
	defer ticker.Stop()
	for {
		reason := "SIGHUP"
		select {
		case <-ctx.Done():
			return
		case <-r.hangup:
		case <-ticker.C:
			reason = "the settings file has changed"
			if state := statFile(r.file); state == r.lastState || state == (fileState{}) {
				continue
			}
		}
		r.lastState = statFile(r.file)
		r.reload(d, reason)
	}
}

// reload reads the settings and applies those that may change. On error nothing changes.
func (r *reloader) reload(d Daemon, reason string) {
	if r.program.Reload == nil {
		r.logger.Info("reload ignored: no setting of this daemon can change while it runs", slog.String("reason", reason))
		return
	}
	err := r.program.Reload(d, func(set *setting.Set) error {
		_, err := set.Parse(r.program.Args, os.Environ())
		return err
	})
	if err != nil {
		r.logger.Warn("reload failed; the previous settings remain in force", slog.String("reason", reason), slog.Any("error", err))
		return
	}
	r.logger.Info("reloaded the settings", slog.String("reason", reason))
}
