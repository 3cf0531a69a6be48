package mapswitch

import "github.com/lilackeel/lilackeel/fault"

// Record is the decided state of one group in the replicated log.
type Record struct {
	// Revision counts the entries applied to the record; higher is newer.
	Revision uint64
	// Token is the fencing token of the coordinator that wrote last. Entries
	// and orders that carry a lower one are refused.
	Token uint64
	// Epoch is the epoch of the map in force from step FromStep on, Digest the digest
	// of that map.
	Epoch, Digest uint64
	// FromStep is the first step that uses Epoch.
	FromStep uint64
	// PreviousEpoch and PreviousDigest identify the map of the steps before FromStep.
	PreviousEpoch, PreviousDigest uint64
	// PendingEpoch and PendingDigest identify the map of a switch that is begun and
	// not decided; zero if there is none.
	PendingEpoch, PendingDigest uint64
	// LastEpoch is the highest epoch ever begun. Aborted epochs are not reused.
	LastEpoch uint64
}

// EpochAt returns the epoch that the given step must use, as far as is decided.
func (r Record) EpochAt(step uint64) uint64 {
	if step < r.FromStep {
		return r.PreviousEpoch
	}
	return r.Epoch
}

// DigestOf returns the digest of an epoch that the record refers to, or zero.
func (r Record) DigestOf(epoch uint64) uint64 {
	switch epoch {
	case r.Epoch:
		return r.Digest
	case r.PreviousEpoch:
		return r.PreviousDigest
	case r.PendingEpoch:
		return r.PendingDigest
	}
	return 0
}

// EntryKind is the kind of a log entry.
type EntryKind uint8

// The kinds of log entries.
const (
	// EntryCreate sets the first map of a new group: epoch 1, in force from step 0.
	EntryCreate EntryKind = iota + 1
	// EntryBegin makes a new epoch pending.
	EntryBegin
	// EntryAdopt transfers a pending epoch to a new coordinator.
	EntryAdopt
	// EntryCommit puts the pending epoch in force from a step on.
	EntryCommit
	// EntryAbort drops the pending epoch.
	EntryAbort
)

// Entry is a change of a Record, to be committed in the replicated log.
type Entry struct {
	// Kind determines which of the other fields are used.
	Kind EntryKind
	// Group is the name of the group.
	Group string
	// Token is the fencing token of the coordinator that proposes the entry.
	Token uint64
	// Epoch is the epoch begun, adopted or decided.
	Epoch uint64
	// Digest identifies the map of a Create or Begin. The map itself is stored
	// beside the entry.
	Digest uint64
	// Step is the first step of a committed epoch.
	Step uint64
}

// Apply returns the record after a committed entry. It is deterministic: every
// replica accepts and refuses the same entries. A refused entry leaves the
// record as it was.
func (r Record) Apply(e Entry) (Record, error) {
	if e.Token < r.Token {
		return r, fault.Newf(fault.Fenced, "stop: another coordinator has taken over",
			"entry of group %s has fencing token %d, the record has %d", e.Group, e.Token, r.Token)
	}
	next := r
	next.Revision++
	next.Token = e.Token
	switch e.Kind {
	case EntryCreate:
		return applyCreate(r, next, e)
	case EntryBegin:
		return applyBegin(r, next, e)
	case EntryAdopt:
		return applyAdopt(r, next, e)
	case EntryCommit, EntryAbort:
		return applyDecision(r, next, e)
	}
	return r, fault.Newf(fault.Invalid, "upgrade this replica", "log entry has unknown kind %d", e.Kind)
}

func applyCreate(old, next Record, e Entry) (Record, error) {
	if old.Epoch != 0 {
		return old, fault.Newf(fault.Conflict, "propose a switch instead", "group %s already has a map", e.Group)
	}
	next.Epoch, next.Digest, next.LastEpoch = 1, e.Digest, 1
	return next, nil
}

func applyBegin(old, next Record, e Entry) (Record, error) {
	if old.PendingEpoch != 0 || e.Epoch != old.LastEpoch+1 {
		return old, fault.Newf(fault.Conflict, "read the record and propose again",
			"group %s cannot begin epoch %d: last epoch is %d, pending epoch is %d", e.Group, e.Epoch, old.LastEpoch, old.PendingEpoch)
	}
	next.PendingEpoch, next.PendingDigest, next.LastEpoch = e.Epoch, e.Digest, e.Epoch
	return next, nil
}

func applyAdopt(old, next Record, e Entry) (Record, error) {
	if e.Epoch != old.PendingEpoch || e.Token == old.Token {
		return old, fault.Newf(fault.Conflict, "read the record again", "group %s cannot adopt epoch %d: it is not pending or this coordinator already owns it", e.Group, e.Epoch)
	}
	return next, nil
}

func applyDecision(old, next Record, e Entry) (Record, error) {
	if e.Epoch == 0 || e.Epoch != old.PendingEpoch || e.Token != old.Token {
		return old, fault.Newf(fault.Conflict, "read the record again", "epoch %d of group %s is not pending or belongs to another coordinator", e.Epoch, e.Group)
	}
	next.PendingEpoch, next.PendingDigest = 0, 0
	if e.Kind == EntryAbort {
		return next, nil
	}
	next.PreviousEpoch, next.PreviousDigest = old.Epoch, old.Digest
	next.Epoch, next.Digest, next.FromStep = e.Epoch, old.PendingDigest, e.Step
	return next, nil
}
