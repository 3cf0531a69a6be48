package wal

import (
	"errors"
	"syscall"
)

const (
	reserveName = "reserve"
	// reserveChunkSize is the number of bytes of the reserve that are written at once.
	reserveChunkSize = 1 << 20
)

// reserve is a file whose space is given up when the disk is full, so that a snapshot can be
// written and the files that it replaces removed. It contains data instead of a mere length,
// which would not occupy any space.
type reserve struct {
	// size is that of the file in bytes, zero if there is none.
	size int64
	// snapshotSize is the size of the last snapshot in bytes.
	snapshotSize int64
	// missing is true from when the space was given up, or could not be occupied, until it is
	// occupied again. It is also true for a stored log whose reserve is missing.
	missing bool
}

// ReserveMissing reports whether no room is kept free for the next snapshot. New commands should then
// be refused and a snapshot be saved, after which RemoveObsolete occupies the room again.
func (l *Log) ReserveMissing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reserve.missing
}

// loadReserve reads the size of the reserve and of the snapshot.
func (l *Log) loadReserve(isNew bool) {
	// A file that does not exist has the size zero.
	l.reserve.size, _ = l.options.FS.Size(l.path(reserveName))
	l.reserve.missing = l.options.Reserve > 0 && l.reserve.size == 0 && !isNew
	if l.snapshotIndex > 0 {
		l.reserve.snapshotSize, _ = l.options.FS.Size(l.path(snapshotName(l.snapshotIndex)))
	}
}

// wantedReserve returns the size that the reserve should have, in steps so that it isn't extended
// after each snapshot.
func (l *Log) wantedReserve() int64 {
	step := max(l.options.Reserve/4, 1)
	wanted := 2*l.reserve.snapshotSize + l.options.Reserve
	return (wanted + step - 1) / step * step
}

// occupyReserve extends the reserve if it is smaller than it should be. A full disk is no failure of
// the log. The caller holds removeMu.
func (l *Log) occupyReserve() error {
	if l.options.Reserve == 0 {
		return nil
	}
	l.mu.Lock()
	size, wanted, missing := l.reserve.size, l.wantedReserve(), l.reserve.missing
	l.mu.Unlock()
	if size >= wanted {
		return nil
	}
	err := l.extendReserve(size, wanted)
	if missing && err == nil {
		err = l.checkLogRoom(wanted)
	}
	isFull := errors.Is(err, syscall.ENOSPC)
	if isFull {
		wanted, err = 0, l.options.FS.Remove(l.path(reserveName))
	}
	if err != nil {
		return l.fail("writing the reserve", err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reserve.size, l.reserve.missing = wanted, isFull
	return nil
}

func (l *Log) extendReserve(size, wanted int64) error {
	file, err := l.openReserve(size)
	if err != nil {
		return err
	}
	chunk := make([]byte, min(wanted-size, reserveChunkSize))
	for ; err == nil && size < wanted; size += int64(len(chunk)) {
		chunk = chunk[:min(wanted-size, reserveChunkSize)]
		if _, err = file.Write(chunk); err == nil {
			err = file.Sync()
		}
	}
	return errors.Join(err, file.Close())
}

// checkLogRoom fails if a disk that was full has no room for the log up to the next snapshot either:
// the first command would then fill it again.
func (l *Log) checkLogRoom(size int64) error {
	if err := l.extendReserve(size, size+l.options.Reserve); err != nil {
		return err
	}
	file, err := l.openReserve(size) // truncates
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

func (l *Log) openReserve(size int64) (File, error) {
	if size == 0 {
		return l.options.FS.Create(l.path(reserveName))
	}
	return l.options.FS.Append(l.path(reserveName), size)
}

// releaseReserve gives up the space of the reserve. It reports whether there was any.
func (l *Log) releaseReserve() bool {
	l.removeMu.Lock()
	defer l.removeMu.Unlock()
	l.mu.Lock()
	size := l.reserve.size
	l.reserve.size, l.reserve.missing = 0, l.reserve.missing || size > 0
	l.mu.Unlock()
	return size > 0 && l.options.FS.Remove(l.path(reserveName)) == nil
}

// withReserve calls write, and again with the space of the reserve if the disk is full.
func (l *Log) withReserve(write func() error) error {
	err := write()
	if errors.Is(err, syscall.ENOSPC) && l.releaseReserve() {
		return write()
	}
	return err
}
