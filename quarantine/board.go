package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// maxPosted bounds the sightings that a board holds.
	maxPosted = 1024
	// maxRead bounds the sightings that are read at once.
	maxRead = 64
)

// Board holds sightings for those who read it, each from where it has read to. It is safe for
// concurrent use; its lock is a leaf.
type Board struct {
	mu sync.Mutex
	// posted are the newest, in order; next numbers the one after the last.
	posted []post
	next   uint64
	// present finds the number of what is posted.
	present map[sighted]uint64
	changed chan struct{}
}

type post struct {
	Sighting
	number uint64
}

// sighted is what makes two sightings the same.
type sighted struct {
	request call.Fingerprint
	run     uint64
	cleared bool
}

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{present: map[sighted]uint64{}, next: 1, changed: make(chan struct{}, 1)}
}

// Add posts sightings that are not there yet. A clearing replaces what it clears of.
func (b *Board) Add(sightings ...Sighting) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range sightings {
		b.add(s)
	}
}

func (b *Board) add(s Sighting) {
	key := sighted{s.Request, s.Run, s.Cleared}
	_, same := b.present[key]
	_, cleared := b.present[sighted{s.Request, s.Run, true}]
	if same || cleared {
		return
	}
	if s.Cleared {
		b.remove(sighted{s.Request, s.Run, false})
	}
	if len(b.posted) >= maxPosted {
		b.remove(b.posted[0].key())
	}
	b.posted = append(b.posted, post{s, b.next})
	b.present[key] = b.next
	b.next++
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

func (p *post) key() sighted { return sighted{p.Request, p.Run, p.Cleared} }

func (b *Board) remove(key sighted) {
	number, there := b.present[key]
	if !there {
		return
	}
	delete(b.present, key)
	i, _ := slices.BinarySearchFunc(b.posted, number, func(p post, n uint64) int {
		if p.number < n {
			return -1
		}
		return int(min(p.number-n, 1))
	})
	b.posted = slices.Delete(b.posted, i, i+1)
}

// Since returns the sightings after a position that a reader has read to, zero for the
// beginning, and the next position. Of many it returns a part.
func (b *Board) Since(position uint64) ([]Sighting, uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []Sighting
	for _, p := range b.posted {
		if p.number <= position {
			continue
		}
		if len(found) == maxRead {
			return found, position
		}
		found, position = append(found, p.Sighting), p.number
	}
	return found, position
}

// Changed receives after sightings were posted. One receiver is told.
func (b *Board) Changed() <-chan struct{} { return b.changed }

// Forget drops what has been posted for long.
func (b *Board) Forget(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.posted = slices.DeleteFunc(b.posted, func(p post) bool {
		if now-p.At <= memory {
			return false
		}
		delete(b.present, p.key())
		return true
	})
}
