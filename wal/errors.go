package wal

import (
	"errors"

	"github.com/lilackeel/lilackeel/fault"
)

var (
	errUnknownKind = errors.New("unknown record kind")
	errTooLarge    = errors.New("the record is over the limit of 2 GiB")
)

// remedyCorrupt is the same for all damage: the copy of this disk is no longer
// worth a vote, the other replicas hold the state.
const remedyCorrupt = "set the data folder aside and start with an empty one: the replica rejoins as a learner and is promoted once caught up"

func corrupt(file string, offset int, reason string) *fault.Error {
	return fault.Newf(fault.Corrupt, remedyCorrupt, "%s at offset %d: %s", file, offset, reason)
}

func failed(operation string, cause error) *fault.Error {
	return fault.Newf(fault.Internal,
		"free or replace the disk, then restart the replica; nothing unsynced was acknowledged",
		"data folder: %s failed", operation).WithCause(cause)
}
