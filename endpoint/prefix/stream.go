package prefix

import (
	"cmp"
	"slices"
	"time"
)

// stream is the state of one endpoint's cache events.
type stream struct {
	number uint16
	// base is the salt for dispatched prompts; salt is the one for entries learned
	// from events.
	base, salt  uint64
	incarnation uint64
	// nextSeq is the next expected sequence number, zero before the first event.
	nextSeq uint64
	// held contains the events after a gap, ordered by Seq. While it is not empty,
	// the entries learned from events are not used.
	held      []Event
	heldSince time.Duration
}

// gapOpen reports whether events are missing that may still arrive.
func (s *stream) gapOpen() bool { return len(s.held) > 0 }

// sentSalt returns the salt of the prompts dispatched in the period.
func (s *stream) sentSalt(period uint64) uint64 { return mix(s.base ^ mix(period+1)) }

// restart invalidates all entries of an endpoint that has restarted with an empty
// cache. The first event received of the new incarnation is taken as its start.
func (x *Index) restart(s *stream, e Event) {
	s.incarnation = e.Incarnation
	s.base = x.newSalt()
	s.salt = x.newSalt()
	s.held = nil
	s.nextSeq = e.Seq
}

// receive processes the event, or holds it if an earlier one is missing.
func (x *Index) receive(now time.Duration, s *stream, e Event) {
	if s.nextSeq == 0 {
		s.nextSeq = e.Seq
	}
	switch {
	case e.Seq < s.nextSeq:
		x.stats.Ignored++
	case e.Seq == s.nextSeq:
		x.process(s, e)
		x.drain(s)
	default:
		x.hold(now, s, e)
	}
	if s.gapOpen() && x.gapExpired(now, s) {
		x.invalidate(now, s)
	}
}

// hold buffers an event that arrived out of order.
func (x *Index) hold(now time.Duration, s *stream, e Event) {
	if !s.gapOpen() {
		s.heldSince = now
	}
	at, found := slices.BinarySearchFunc(s.held, e.Seq, func(h Event, seq uint64) int {
		return cmp.Compare(h.Seq, seq)
	})
	if found {
		x.stats.Ignored++
		return
	}
	s.held = slices.Insert(s.held, at, e)
}

// gapExpired reports whether the limits for waiting for the missing events are
// exceeded.
func (x *Index) gapExpired(now time.Duration, s *stream) bool {
	return len(s.held) > x.config.HoldEvents || now-s.heldSince > x.config.HoldTime
}

// invalidate discards the entries learned before the gap and resumes after it.
func (x *Index) invalidate(now time.Duration, s *stream) {
	x.stats.Gaps++
	s.salt = x.newSalt()
	s.nextSeq = s.held[0].Seq
	s.heldSince = now
	x.drain(s)
}

// drain processes the held events that are next in sequence.
func (x *Index) drain(s *stream) {
	processed := 0
	for processed < len(s.held) && s.held[processed].Seq == s.nextSeq {
		x.process(s, s.held[processed])
		processed++
	}
	s.held = slices.Delete(s.held, 0, processed)
}

// process applies an event that is next in sequence to the index.
func (x *Index) process(s *stream, e Event) {
	s.nextSeq = e.Seq + 1
	if e.Cleared {
		s.salt = x.newSalt()
	}
	for _, block := range e.Removed {
		x.present.remove(pairKey(s.salt, block))
	}
	for _, block := range e.Stored {
		x.present.insert(pairKey(s.salt, block))
		x.holders.insert(block, s.number)
	}
}
