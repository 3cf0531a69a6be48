package replica

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

const (
	simElection  = 100 * time.Millisecond
	simHeartbeat = 20 * time.Millisecond
	simSnapshot  = 8 // entries between two snapshots
	// simRepairAfter applies to hosts with the election timeout simElection.
	simRepairAfter = 4 * simElection
)

// disk is the state that survives a crash of a host.
type disk struct {
	label    pb.DiskLabel
	hard     *pb.HardState
	snapshot *pb.Snapshot
	entries  []*pb.Entry
}

func (d *disk) copy() *disk {
	copied := &disk{hard: d.hard, snapshot: d.snapshot, entries: slices.Clone(d.entries)}
	copied.label.Identity, copied.label.Incarnation, copied.label.Founder = d.label.Identity, d.label.Incarnation, d.label.Founder
	return copied
}

func (d *disk) save(ready Ready, entries int) {
	if ready.HardState != nil {
		d.hard = ready.HardState
	}
	if ready.Snapshot != nil {
		d.snapshot, d.entries = ready.Snapshot, nil
	}
	for _, entry := range ready.Entries[:entries] {
		d.entries = append(d.entries[:entry.Index-d.snapshot.GetIndex()-1:entry.Index-d.snapshot.GetIndex()-1], entry)
	}
}

func (d *disk) saveSnapshot(snapshot *pb.Snapshot) {
	d.entries = slices.Clone(d.entries[snapshot.Index-d.snapshot.GetIndex():])
	d.snapshot = snapshot
}

// host runs one node on one disk.
type host struct {
	sim     *sim
	id      uint64
	join    bool
	peers   map[uint64]string // from its settings; those of the simulation if nil
	disk    *disk
	node    *Node
	frozen  bool
	inbox   []*pb.Message
	applied uint64
	value   uint64 // of the register
	digest  uint64 // of all entries applied
	writes  map[uint64]*operation
	reads   map[uint64]*operation
	ready   []*operation // reads that wait until their index is applied
	boots   int
	clock   time.Duration // offset from the simulation's time
}

func (h *host) now() time.Duration { return h.sim.now + h.clock }

type event struct {
	at    time.Duration
	order int
	run   func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// sim simulates a set of hosts and their network in virtual time.
type sim struct {
	t          testing.TB
	seed       uint64
	election   time.Duration
	heartbeat  time.Duration
	rand       *rand.Rand
	now        time.Duration
	events     events
	eventCount int
	hosts      map[uint64]*host
	peers      map[uint64]string
	cuts       map[[2]uint64]bool // from, to
	drop       float64
	duplicate  float64
	delay      time.Duration // upper bound per message
	crash      float64       // probability at each step of handling a Ready
	leaders    map[uint64]uint64
	digests    map[uint64]uint64 // of the entries up to an index, once applied by any host
	terms      map[uint64]uint64 // of the entry applied at an index
	history    []*operation
	nextValue  uint64
	voters     int                    // Config.Voters
	intercept  func(*pb.Message) bool // drops the message if it returns true
}

func newSim(t testing.TB, seed uint64, voters int) *sim {
	return newTimedSim(t, seed, voters, simElection, simHeartbeat)
}

func newTimedSim(t testing.TB, seed uint64, voters int, election, heartbeat time.Duration) *sim {
	s := &sim{
		election: election, heartbeat: heartbeat,
		t: t, seed: seed, rand: rand.New(rand.NewPCG(seed, 1)), hosts: map[uint64]*host{}, peers: map[uint64]string{},
		cuts: map[[2]uint64]bool{}, delay: 2 * time.Millisecond, leaders: map[uint64]uint64{},
		digests: map[uint64]uint64{}, terms: map[uint64]uint64{},
	}
	for id := uint64(1); id <= uint64(voters); id++ {
		s.peers[id] = fmt.Sprint("host-", id)
	}
	for id := uint64(1); id <= uint64(voters); id++ {
		s.add(id, false)
	}
	return s
}

func (s *sim) fatalf(format string, args ...any) {
	s.t.Helper()
	s.t.Fatalf("seed %d at %v: %s", s.seed, s.now, fmt.Sprintf(format, args...))
}

func (s *sim) add(id uint64, join bool) *host {
	h := &host{sim: s, id: id, join: join, disk: s.blankDisk()}
	s.hosts[id] = h
	h.start()
	s.schedule(time.Duration(s.rand.Int64N(int64(s.heartbeat/2))), func() { s.scheduleTick(h) })
	return h
}

func (s *sim) blankDisk() *disk {
	d := &disk{}
	d.label.Identity = s.rand.Uint64() | 1
	return d
}

func (s *sim) scheduleTick(h *host) {
	s.schedule(s.heartbeat/2, func() {
		if h.node != nil && !h.frozen {
			h.node.Tick(h.now())
			h.processReady()
		}
		s.scheduleTick(h)
	})
}

func (s *sim) schedule(pause time.Duration, run func()) {
	s.eventCount++
	heap.Push(&s.events, event{s.now + pause, s.eventCount, run})
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.events) > 0 && s.events[0].at <= end {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
	s.now = end
}

// until advances the time until ok returns true, and fails the test if that takes
// longer than limit.
func (s *sim) until(limit time.Duration, what string, ok func() bool) {
	s.t.Helper()
	for end := s.now + limit; !ok(); s.run(simHeartbeat / 4) {
		if s.now > end {
			s.fatalf("not within %v: %s", limit, what)
		}
	}
}

func (s *sim) send(messages []*pb.Message) {
	for _, m := range messages {
		if !s.hosts[m.GetFrom()].canAddress(m) {
			continue
		}
		copies := 1
		if s.rand.Float64() < s.duplicate {
			copies = 2
		}
		for range copies {
			if s.rand.Float64() < s.drop {
				continue
			}
			s.schedule(time.Duration(s.rand.Int64N(int64(s.delay))), func() { s.deliver(m) })
		}
	}
}

func (s *sim) deliver(m *pb.Message) {
	h := s.hosts[m.To]
	if h == nil || h.node == nil || s.cuts[[2]uint64{m.From, m.To}] || s.intercept != nil && s.intercept(m) {
		return
	}
	if h.frozen {
		h.inbox = append(h.inbox, m)
		return
	}
	h.node.Step(h.now(), m)
	h.processReady()
}

// canAddress reports whether the host knows the address of a message's recipient. A
// forwarded join message is sent by another host, which needs no address from this one.
func (h *host) canAddress(m *pb.Message) bool {
	if h == nil || h.node == nil || m.GetForwarded() {
		return true
	}
	return h.node.Peers()[m.GetTo()] != ""
}

// start starts the host's node on its disk, with the next incarnation.
func (h *host) start() {
	h.disk.label.Incarnation++
	h.boots++
	saved := Saved{HardState: h.disk.hard, Snapshot: h.disk.snapshot, Entries: slices.Clone(h.disk.entries)}
	if h.disk.label.Incarnation == 1 {
		h.disk.label.Founder = !h.join
	}
	label := &pb.DiskLabel{Identity: h.disk.label.Identity, Incarnation: h.disk.label.Incarnation, Founder: h.disk.label.Founder}
	peers := h.sim.peers
	if h.peers != nil {
		peers = h.peers
	}
	node, err := New(Config{
		ID: h.id, Addr: fmt.Sprint("host-", h.id), Disk: label, Boot: h.sim.rand.Uint64(), Peers: peers, Join: h.join,
		ElectionTimeout: h.sim.election, HeartbeatInterval: h.sim.heartbeat, RepairAfter: 4 * h.sim.election, TrailingEntries: 3, Voters: h.sim.voters,
		MaxInflight: 4, MaxAppendBytes: 200, Rand: rand.New(rand.NewPCG(h.sim.rand.Uint64(), 2)),
	}, saved, h.now())
	if err != nil {
		h.sim.fatalf("start of %d: %v", h.id, err)
	}
	h.node, h.frozen, h.inbox = node, false, nil
	h.writes, h.reads, h.ready = map[uint64]*operation{}, map[uint64]*operation{}, nil
	h.restore(h.disk.snapshot)
	h.processReady()
}

func (h *host) restore(snapshot *pb.Snapshot) {
	h.applied, h.value, h.digest = 0, 0, 0
	if snapshot != nil {
		h.applied = snapshot.Index
		h.value = binary.LittleEndian.Uint64(snapshot.Data)
		h.digest = binary.LittleEndian.Uint64(snapshot.Data[8:])
	}
}

// kill stops the host, which loses everything that is not on its disk.
func (h *host) kill() { h.node, h.frozen = nil, false }

// replace starts the host on another disk.
func (h *host) replace(d *disk) {
	h.disk = d
	h.start()
}

// resume unfreezes a host, which then handles the messages that have queued up.
func (h *host) resume() {
	inbox := h.inbox
	h.frozen, h.inbox = false, nil
	for _, m := range inbox {
		if h.node != nil {
			h.node.Step(h.now(), m)
			h.processReady()
		}
	}
}

// crashes kills the host with the probability sim.crash and reports whether it did.
func (h *host) crashes() bool {
	if h.sim.rand.Float64() >= h.sim.crash {
		return false
	}
	h.kill()
	return true
}

// processReady handles the node's Readys. The host may crash at each step.
func (h *host) processReady() {
	for h.node != nil && h.node.HasReady() {
		ready := h.node.Ready()
		for _, m := range ready.Early {
			if m.Term > h.disk.hard.GetTerm() {
				h.sim.fatalf("host %d sends term %d before it is stored", h.id, m.Term)
			}
			if countsInQuorum(m.Kind) {
				h.sim.fatalf("host %d sends %v before its state is stored", h.id, m.Kind)
			}
		}
		h.sim.send(ready.Early)
		if h.crashes() {
			return
		}
		if h.sim.rand.Float64() < h.sim.crash {
			h.disk.save(Ready{HardState: ready.HardState, Snapshot: ready.Snapshot, Entries: ready.Entries}, h.sim.rand.IntN(len(ready.Entries)+1))
			h.kill()
			return
		}
		h.disk.save(ready, len(ready.Entries))
		if h.crashes() {
			return
		}
		h.sim.send(ready.Messages)
		if ready.Snapshot != nil {
			h.restore(ready.Snapshot)
		}
		for _, entry := range ready.Committed {
			h.apply(entry)
		}
		h.node.Advance()
		h.finishReads(ready.Reads)
		h.maybeSnapshot()
		h.checkLeader()
	}
}

// apply applies an entry and checks that all hosts apply the same entries.
func (h *host) apply(entry *pb.Entry) {
	s := h.sim
	if entry.Index != h.applied+1 {
		s.fatalf("host %d applies %d after %d", h.id, entry.Index, h.applied)
	}
	h.applied = entry.Index
	hash := fnv.New64a()
	fmt.Fprint(hash, h.digest, entry.Term, entry.Kind, entry.Data)
	h.digest = hash.Sum64()
	if known, ok := s.digests[entry.Index]; ok && known != h.digest {
		s.fatalf("host %d applies entry %d of term %d, another applied one of term %d", h.id, entry.Index, entry.Term, s.terms[entry.Index])
	}
	s.digests[entry.Index], s.terms[entry.Index] = h.digest, entry.Term
	if entry.Kind == pb.EntryKind_ENTRY_KIND_DATA {
		h.value = binary.LittleEndian.Uint64(entry.Data)
	}
	if op := h.writes[entry.Index]; op != nil {
		delete(h.writes, entry.Index)
		if op.term == entry.Term {
			op.finish(s.now)
		}
	}
}

func (h *host) maybeSnapshot() {
	if h.applied < h.disk.snapshot.GetIndex()+simSnapshot {
		return
	}
	membership, membershipIndex := h.node.MembershipAt(h.applied)
	data := binary.LittleEndian.AppendUint64(nil, h.value)
	snapshot := &pb.Snapshot{
		Index: h.applied, Term: h.node.TermAt(h.applied), Membership: membership, MembershipIndex: membershipIndex,
		Data: binary.LittleEndian.AppendUint64(data, h.digest),
	}
	h.disk.saveSnapshot(snapshot)
	h.node.Compact(snapshot)
}

// checkLeader checks that a term has at most one leader.
func (h *host) checkLeader() {
	if id, term, self := h.node.Leader(); self {
		if known, ok := h.sim.leaders[term]; ok && known != id {
			h.sim.fatalf("term %d has leaders %d and %d", term, known, id)
		}
		h.sim.leaders[term] = id
	}
}

// leader returns the host that leads in the highest term, or nil.
func (s *sim) leader() *host {
	var found *host
	for id := uint64(1); id <= uint64(len(s.hosts)); id++ {
		h := s.hosts[id]
		if h.node == nil || h.frozen || h.node.role != Leader {
			continue
		}
		if found == nil || h.node.term > found.node.term {
			found = h
		}
	}
	return found
}

// isolate cuts a host off from all others in both directions.
func (s *sim) isolate(id uint64) {
	for other := range s.hosts {
		s.cuts[[2]uint64{id, other}] = true
		s.cuts[[2]uint64{other, id}] = true
	}
}

func (s *sim) heal() { clear(s.cuts) }
