package prefix

import (
	"slices"
	"sync"
	"time"
)

// Defaults of Config.
const (
	// DefaultEntries is the default of Config.Entries.
	DefaultEntries = 1 << 18
	// DefaultHoldTime is the default of Config.HoldTime.
	DefaultHoldTime = 250 * time.Millisecond
	// DefaultHoldEvents is the default of Config.HoldEvents.
	DefaultHoldEvents = 32
	// DefaultSentTTL is the default of Config.SentTTL.
	DefaultSentTTL = 2 * time.Second
)

// Config configures an Index. The zero value selects the defaults.
type Config struct {
	// Entries is the capacity in (endpoint, block) pairs, rounded up to a power
	// of two. Memory is 16 bytes per entry, allocated by New. When the index is
	// full, the least recently refreshed entries are evicted first.
	Entries int
	// HoldTime and HoldEvents are the maximum time and the maximum number of
	// held events for which the index waits for an out-of-order event to fill a
	// gap. After that, the gap invalidates the endpoint's earlier entries.
	HoldTime   time.Duration
	HoldEvents int
	// SentTTL is the minimum time for which a dispatched prompt is assumed to be
	// cached without an event that confirms it; the maximum is twice as long.
	// Negative: dispatched prompts are not assumed to be cached.
	SentTTL time.Duration
}

func (c Config) withDefaults() Config {
	if c.Entries <= 0 {
		c.Entries = DefaultEntries
	}
	if c.HoldTime <= 0 {
		c.HoldTime = DefaultHoldTime
	}
	if c.HoldEvents <= 0 {
		c.HoldEvents = DefaultHoldEvents
	}
	if c.SentTTL == 0 {
		c.SentTTL = DefaultSentTTL
	}
	return c
}

// Index maps prompt prefixes to the endpoints that are expected to cache them.
type Index struct {
	mu      sync.RWMutex
	config  Config
	streams map[string]*stream
	// ids maps a stream number to its endpoint id; empty if the number is free.
	ids       []string
	free      []uint16
	saltCount uint64
	present   *pairSet
	holders   *holderMap
	stats     Stats
}

// Stats holds the counters of an index since its creation.
type Stats struct {
	// Events is the number of events received, Ignored the number of those that
	// were late or duplicates, Gaps the number of gaps that invalidated an
	// endpoint's entries.
	Events, Ignored, Gaps uint64
}

// New returns an empty index.
func New(cfg Config) *Index {
	cfg = cfg.withDefaults()
	return &Index{
		config:  cfg,
		streams: map[string]*stream{},
		present: newPairSet(cfg.Entries),
		holders: newHolderMap(cfg.Entries / 2),
	}
}

// Apply processes a cache event. Events may arrive late, out of order, more than
// once or not at all.
func (x *Index) Apply(now time.Duration, e Event) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.stats.Events++
	s := x.stream(e.Endpoint)
	if e.Incarnation < s.incarnation {
		x.stats.Ignored++
		return
	}
	if e.Incarnation > s.incarnation {
		x.restart(s, e)
	}
	x.receive(now, s, e)
}

// Sent records that a prompt was dispatched to the endpoint, whose cache is
// assumed to contain it before the corresponding event arrives.
func (x *Index) Sent(now time.Duration, id string, blocks []uint64) {
	if x.config.SentTTL < 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.stream(id)
	salt := s.sentSalt(x.period(now))
	for _, block := range blocks {
		x.present.insert(pairKey(salt, block))
		x.holders.insert(block, s.number)
	}
}

// Match returns the number of leading blocks that are expected to be cached at
// the endpoint. Its cost is logarithmic in the number of blocks.
func (x *Index) Match(now time.Duration, id string, blocks []uint64) int {
	if len(blocks) == 0 {
		return 0
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	s := x.streams[id]
	if s == nil {
		return 0
	}
	return x.match(now, s, blocks)
}

// Holders appends to out the ids of up to limit endpoints that are expected to
// cache a prefix of blocks, those with the longest prefix first.
func (x *Index) Holders(now time.Duration, blocks []uint64, limit int, out []string) []string {
	if len(blocks) == 0 || limit <= 0 {
		return out
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	start := len(out)
	deepest := x.deepest(blocks)
	for _, depth := range [...]int{deepest, deepest / 2, 1} {
		if depth < 1 {
			continue
		}
		for _, number := range x.holders.find(blocks[depth-1]) {
			id := x.holderID(now, number, blocks[depth-1])
			if id == "" || slices.Contains(out[start:], id) {
				continue
			}
			out = append(out, id)
			if len(out)-start == limit {
				return out
			}
		}
	}
	return out
}

// Forget discards the state of an endpoint that has left the table.
func (x *Index) Forget(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	s := x.streams[id]
	if s == nil {
		return
	}
	delete(x.streams, id)
	if s.number == noHolder {
		return
	}
	x.ids[s.number] = ""
	x.free = append(x.free, s.number)
}

// Stats returns the counters.
func (x *Index) Stats() Stats {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.stats
}

// Bytes returns the memory used by the entries, which is constant.
func (x *Index) Bytes() int64 { return x.present.bytes() + x.holders.bytes() }

// match finds the last block that the endpoint has by binary search, which works
// because a cache that contains a block contains all blocks before it.
func (x *Index) match(now time.Duration, s *stream, blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if x.has(now, s, blocks[middle-1]) {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// deepest finds the last block that any endpoint has by binary search.
func (x *Index) deepest(blocks []uint64) int {
	low, high := 0, len(blocks)
	for low < high {
		middle := (low + high + 1) / 2
		if len(x.holders.find(blocks[middle-1])) > 0 {
			low = middle
		} else {
			high = middle - 1
		}
	}
	return low
}

// has reports whether the endpoint is expected to cache the block.
func (x *Index) has(now time.Duration, s *stream, block uint64) bool {
	if !s.gapOpen() && x.present.contains(pairKey(s.salt, block)) {
		return true
	}
	if x.config.SentTTL < 0 {
		return false
	}
	period := x.period(now)
	if x.present.contains(pairKey(s.sentSalt(period), block)) {
		return true
	}
	return period > 0 && x.present.contains(pairKey(s.sentSalt(period-1), block))
}

// holderID returns the endpoint id of the stream number if the endpoint still has
// the block, otherwise the empty string.
func (x *Index) holderID(now time.Duration, number uint16, block uint64) string {
	if int(number) >= len(x.ids) {
		return ""
	}
	id := x.ids[number]
	if id == "" || !x.has(now, x.streams[id], block) {
		return ""
	}
	return id
}

// period returns the number of the SentTTL interval that now falls in.
// Dispatched prompts expire by interval.
func (x *Index) period(now time.Duration) uint64 {
	return uint64(max(now, 0) / x.config.SentTTL)
}

// stream returns the state of the endpoint's events, creating it if necessary.
func (x *Index) stream(id string) *stream {
	if s := x.streams[id]; s != nil {
		return s
	}
	s := &stream{number: x.number(id)}
	s.base = x.newSalt()
	s.salt = x.newSalt()
	x.streams[id] = s
	return s
}

// number assigns the endpoint a 16-bit number, by which blockHolders refers to
// it. An endpoint for which no number is left is found by Match but not by Holders.
func (x *Index) number(id string) uint16 {
	if n := len(x.free); n > 0 {
		number := x.free[n-1]
		x.free = x.free[:n-1]
		x.ids[number] = id
		return number
	}
	if len(x.ids) == int(noHolder) {
		return noHolder
	}
	x.ids = append(x.ids, id)
	return uint16(len(x.ids) - 1)
}

// newSalt returns a salt that has not been used before. Entries stored under an
// older salt can no longer be found, so changing the salt invalidates them all
// at once.
func (x *Index) newSalt() uint64 {
	x.saltCount++
	return mix(x.saltCount)
}
