// Package wal persists the state of one replica in one data directory: a label
// that identifies the disk, a write-ahead log of checksummed records in segment
// files, and snapshot files.
//
// # Files
//
//	LOCK                    locked with flock while a process uses the directory
//	label                   identity and incarnation of the disk
//	0000000000000001.wal    segments, named by their sequence number (hexadecimal)
//	00000000000000c8.snap   snapshots, named by their log index (hexadecimal)
//
// # Durability
//
// If the caller requested a sync, Save returns nil only after everything written
// so far has been synced. The first write or sync that fails is fatal: the log
// is closed permanently and every later call returns the same error, because
// after a failed fsync the kernel may have dropped the dirty pages and a repeated
// fsync that succeeds would prove nothing.
//
// A snapshot becomes part of the state in two steps. WriteSnapshot makes its file
// durable and may run concurrently with the log. InstallSnapshot then syncs a
// mark record that refers to the file, and only after that RemoveObsolete removes
// the files that it replaces, oldest first. A crash in between leaves a snapshot
// that no mark refers to, which Open removes, or obsolete segments, which the
// next snapshot replaces again.
//
// # Corruption
//
// A frame that is truncated by the end of the last segment, or that contains a
// sector which the disk never wrote, is a torn write that was never acknowledged:
// Open truncates it. Any other mismatch is corruption: Open fails with
// fault.Corrupt naming the file, the offset and the remedy. A last segment that
// lost complete acknowledged frames cannot be distinguished from a torn one here;
// the witnesses of package replica detect that case.
package wal
