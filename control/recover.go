package control

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"

	"github.com/lilackeel/lilackeel/fault"
)

// Recover removes the cause of a replica's failure where that is safe, and reports whether the
// replica may be restarted in the same process.
//
// On a full disk the replica waits, because exiting would not free any space. A disk that the
// other replicas have refused (it is no longer a member, or is an old copy) is emptied if the
// cluster manages its voters automatically: its votes no longer count, and the blank disk joins
// like any other.
func (s *Settings) Recover(err error, logger *slog.Logger) bool {
	switch {
	case errors.Is(err, syscall.ENOSPC):
		logger.Warn("the disk is full; waiting for free space", slog.Any("error", err))
		return true
	case s.Voters > 0 && fault.Is(err, fault.Fenced):
		logger.Warn("the cluster refused this disk; emptying it and joining again", slog.Any("error", err))
		if err := emptyDir(s.DataDir); err != nil {
			logger.Error("cannot empty the data directory", slog.Any("error", err))
			return false
		}
		s.Join = true
		return true
	}
	return false
}

// emptyDir removes everything in a directory and makes the removal durable.
func emptyDir(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(path, entry.Name())); err != nil {
			return err
		}
	}
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
