package wal

import (
	"errors"

	"github.com/lilackeel/lilackeel/fault"
)

var (
	errUnknownKind    = errors.New("unknown record kind")
	errRecordTooLarge = errors.New("record exceeds the limit of 2 GiB")
)

// remedyCorrupt is the same for all corruption: this copy of the state can no
// longer count towards a quorum, but the other replicas hold the state.
const remedyCorrupt = "set the data directory aside and start with an empty one: the replica rejoins as a learner and is promoted once caught up"

// corruptError returns the error for a corrupt file.
func corruptError(file string, offset int, reason string) *fault.Error {
	return fault.Newf(fault.Corrupt, remedyCorrupt, "%s at offset %d: %s", file, offset, reason)
}

// ioError returns the error for a failed file operation.
func ioError(operation string, cause error) *fault.Error {
	return fault.Newf(fault.Internal,
		"free space on the disk or replace it, then restart the replica; no unsynced write was acknowledged",
		"data directory: %s failed", operation).WithCause(cause)
}
