// Package replica implements the replicated log of lilackeel-control as a pure
// state machine based on Raft: elections with pre-vote and check-quorum,
// replication, linearizable reads, learners, single-step membership changes and
// snapshots. In addition it detects disks that have lost state and does not let
// them vote.
//
// A Node takes the time, messages and proposals as arguments and returns the
// resulting work as a Ready. It uses no goroutine, socket, file or clock. Times
// are durations since an arbitrary start and never decrease within a process.
//
// # Order of effects
//
// The caller handles a Ready in this order and then calls Advance; it must not
// call another method of the Node in between:
//
//  1. Ready.Early may be sent at any time, also during step 2.
//  2. Ready.HardState, Ready.Snapshot and Ready.Entries must be persisted, and
//     synced if Ready.Sync is set, before any later step.
//  3. Ready.Messages may be sent. They grant votes, acknowledge entries and
//     admit disks, and so rely on what step 2 stored.
//  4. Ready.Snapshot, then Ready.Committed, are applied to the state machine.
//  5. Ready.Reads are answered once the state machine has applied their index.
//
// If step 2 fails, the replica must stop without sending Ready.Messages.
//
// # Invariants
//
//   - A term has at most one leader: a vote is stored before it is sent.
//   - A leader counts its own copy of an entry only after Advance.
//   - A leader commits by counting only entries of its own term.
//   - A leader that has not heard from a quorum for an election timeout steps
//     down. It serves a read only after a round of heartbeats that began after
//     the read was requested.
//   - A membership is in force from the moment it is appended, differs from the
//     previous one by at most one voter, and follows a committed one.
//
// # Disks
//
// A voter must not forget what it has stored, so a membership names the disk of
// each member by a random identity. Every start of a replica increments the
// incarnation stored on its disk and draws a random boot nonce.
//
//   - A response counts towards a quorum only if the membership names the
//     sender's disk and its incarnation is the one registered here.
//   - A started replica neither votes nor acknowledges until it is admitted. It
//     sends register with its incarnation, term and last position to all
//     members. Each of them is a witness: it stores the incarnation and agrees,
//     or refuses because it has seen a later incarnation of that disk, another
//     boot of the same one, a higher term from it, or acknowledgements of
//     entries that it no longer has.
//   - One refusal fences the replica until it is started with a blank disk. The
//     replica is admitted when all other voters have agreed or, after
//     AdmissionWait, when those that agreed form a quorum together with it.
//     Always waiting for all voters would be safer, but a cluster with one host
//     down could then not survive the restart of another.
//   - The first membership that names a disk also names its incarnation, so a
//     new disk needs no registration until its first restart.
//   - Replicas that are not admitted answer register too, from what they have
//     stored, so all voters may start at once.
//
// An outdated copy of a disk is thus detected whenever a voter that knew the
// later state answers. It stays undetected in two cases only. First, if all
// answering voters were down or partitioned since the copy was made, which takes
// three simultaneous faults in a cluster of three. Second, if it was copied in
// the same incarnation and its witnesses have been restarted since, because they
// store the acknowledgements that they saw only with their next entries. Two
// processes that run on copies of one disk at the same time are told apart as
// soon as one voter receives messages from both, but not while they are
// partitioned from each other.
//
// # Blank disks
//
// A replica with a blank disk sends join. In a new cluster, the voter with the
// lowest id waits until all initial voters have answered from blank disks, and
// then creates the first membership (genesis). A voter that restarts before that
// may still create it if it has kept its disk, as the label of the disk says. One
// that has lost its disk only joins; a majority of the initial voters that have not
// is enough to create the membership, because what a minority stored was not
// committed. In an existing cluster, the
// leader assigns the blank disk to its member, as a learner, if the member has
// no disk yet or has been unresponsive for RepairAfter. A learner that replaces
// a voter is promoted when it has caught up. With Config.Voters the leader also
// adds unknown replicas. All other changes are up to the operator.
//
// # Removed replicas
//
// A replica may be replaced while it is down or partitioned, and it never receives
// the entry that removes it. It is informed in one of two ways. A replica that has
// not received a message from a leader for two election timeouts sends register to
// all replicas it knows, repeatedly; each member refuses a disk that its committed
// membership does not name. And the membership lists the replicas that were removed
// last, with their addresses; the leader notifies them until they have joined again,
// in case none of the replicas that they know runs any more.
//
// Either message fences the replica if its log lacks the membership entry that the
// message refers to. The length of its log does not matter: a deposed leader may
// have appended more than its successors. With Config.Voters the fenced replica
// starts over with a blank disk and joins.
package replica
