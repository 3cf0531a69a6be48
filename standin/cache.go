package standin

import (
	"container/list"
	"encoding/binary"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// BlockBytes is the number of prompt bytes that one cache block covers.
const BlockBytes = 64

// blockTokens is the number of prompt tokens in one block.
const blockTokens = BlockBytes / 4

// maxCacheEvents bounds the number of cache events kept for readers.
const maxCacheEvents = 4096

// queuedEvent is a change of the prefix cache. Readers see it once cache.delay has passed since
// at.
type queuedEvent struct {
	engineapi.CacheEvent
	at time.Time
}

// PromptBlocks returns the chained hashes of the full blocks of a prompt. A trailing partial
// block is left out.
func PromptBlocks(prompt string) []uint64 {
	var blocks []uint64
	var previous uint64
	for ; len(prompt) >= BlockBytes; prompt = prompt[BlockBytes:] {
		text := binary.LittleEndian.AppendUint64(nil, previous)
		previous = xxhash.Sum64(append(text, prompt[:BlockBytes]...))
		blocks = append(blocks, previous)
	}
	return blocks
}

// cache is a prefix cache with LRU eviction.
type cache struct {
	mu       sync.Mutex
	run      string
	capacity int
	lru      *list.List
	blocks   map[uint64]*list.Element
	seq      uint64
	events   []queuedEvent
	// delay is the time after which an event becomes visible to readers. Every gapEvery-th
	// event is dropped; none if zero.
	delay    time.Duration
	gapEvery int
}

func newCache(capacity int, delay time.Duration, gapEvery int) *cache {
	run := strconv.FormatUint(rand.Uint64(), 16)
	return &cache{run: run, capacity: capacity, lru: list.New(), blocks: map[uint64]*list.Element{}, delay: delay, gapEvery: gapEvery}
}

// lookup marks the blocks of a prompt as used, adds those that are missing and returns the
// number of hits.
func (c *cache) lookup(blocks []uint64) (hits int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	ev := queuedEvent{at: time.Now()}
	for _, block := range blocks {
		if element, ok := c.blocks[block]; ok {
			hits++
			c.lru.MoveToBack(element)
			continue
		}
		c.blocks[block] = c.lru.PushBack(block)
		ev.Stored = append(ev.Stored, block)
	}
	for len(c.blocks) > c.capacity {
		oldest := c.lru.Remove(c.lru.Front()).(uint64)
		delete(c.blocks, oldest)
		ev.Removed = append(ev.Removed, oldest)
	}
	if len(ev.Stored)+len(ev.Removed) > 0 {
		c.publish(ev)
	}
	return hits
}

func (c *cache) clear() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lru.Init()
	clear(c.blocks)
	c.publish(queuedEvent{at: time.Now(), CacheEvent: engineapi.CacheEvent{Cleared: true}})
}

func (c *cache) publish(ev queuedEvent) {
	c.seq++
	ev.Seq = c.seq
	if c.gapEvery > 0 && c.seq%uint64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, ev)
	if len(c.events) > maxCacheEvents {
		c.events = append([]queuedEvent(nil), c.events[maxCacheEvents/2:]...)
	}
}

// eventsAfter returns the events with a sequence number above seq that are visible at the given
// time.
func (c *cache) eventsAfter(seq uint64, now time.Time) engineapi.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	due := engineapi.CacheEvents{Run: c.run, Events: []engineapi.CacheEvent{}}
	for _, ev := range c.events {
		if ev.Seq > seq && now.Sub(ev.at) >= c.delay {
			due.Events = append(due.Events, ev.CacheEvent)
		}
	}
	return due
}

// utilization returns the fraction of the cache that is in use.
func (c *cache) utilization() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.capacity == 0 {
		return 0
	}
	return float64(len(c.blocks)) / float64(c.capacity)
}
