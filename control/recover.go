package control

import (
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"syscall"

	"github.com/lilackeel/lilackeel/fault"
)

// Recover removes the cause of a replica's failure, as far as that is safe, and
// reports whether it may start again in the same process.
//
// A full disk is waited for: ending would not free any space. A disk that the
// other replicas have refused (it is no longer a member, or is an old copy) is
// emptied if the cluster keeps its voters by itself: its votes count no more, and
// the blank disk joins as any other.
func (s *Settings) Recover(err error, logger *slog.Logger) bool {
	switch {
	case errors.Is(err, syscall.ENOSPC):
		logger.Warn("the disk is full; the replica waits for space", slog.Any("error", err))
		return true
	case s.Voters > 0 && fault.Is(err, fault.Fenced):
		logger.Warn("the disk was refused; it is emptied and the replica joins anew", slog.Any("error", err))
		if err := emptyFolder(s.DataDir); err != nil {
			logger.Error("the data folder cannot be emptied", slog.Any("error", err))
			return false
		}
		s.Join = true
		return true
	}
	return false
}

// emptyFolder removes everything in a folder and makes the removal durable.
func emptyFolder(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil {
		return err
	}
	for _, entry := range entries {
		if err := os.RemoveAll(filepath.Join(path, entry.Name())); err != nil {
			return err
		}
	}
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(folder.Sync(), folder.Close())
}
