package control

import (
	"errors"
	"log/slog"
	"syscall"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/wal"
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
		if err := wal.Discard(wal.Options{Dir: s.DataDir}); err != nil {
			logger.Error("cannot empty the data directory", slog.Any("error", err))
			return false
		}
		s.Join = true
		return true
	}
	return false
}
