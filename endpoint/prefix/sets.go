package prefix

import (
	"math/bits"
	"unsafe"
)

const (
	// pairWays is the number of keys in a bucket of a pairSet: one cache line.
	pairWays = 8
	// holderWays is the number of blocks in a bucket of a holderMap.
	holderWays = 4 // with four holders each: one cache line
	// holdersPerBlock is the number of endpoints stored per block.
	holdersPerBlock = 4
	// noHolder marks an unused slot among the holders of a block. It is also the
	// number of any endpoint for which no 16-bit number was left.
	noHolder = ^uint16(0)
)

// mix is the finalizer of SplitMix64, a bijection in which every input bit
// affects all output bits.
func mix(v uint64) uint64 {
	v ^= v >> 30
	v *= 0xbf58476d1ce4e5b9
	v ^= v >> 27
	v *= 0x94d049bb133111eb
	return v ^ v>>31
}

// pairKey returns the key of the pair of a salt and a block; it is never zero.
func pairKey(salt, block uint64) uint64 { return mix(salt^block) | 1 }

// powerOfTwo returns the least power of two that is at least n.
func powerOfTwo(n int) int {
	if n <= 1 {
		return 1
	}
	return 1 << bits.Len(uint(n-1))
}

// pairSet is a fixed-size set of keys, organized as a set-associative cache: each
// key maps to one bucket of pairWays keys, which evicts the least recently
// inserted one.
type pairSet struct {
	buckets [][pairWays]uint64
}

func newPairSet(entries int) *pairSet {
	return &pairSet{buckets: make([][pairWays]uint64, powerOfTwo(entries/pairWays))}
}

func (p *pairSet) bytes() int64 {
	return int64(len(p.buckets)) * int64(unsafe.Sizeof(p.buckets[0]))
}

func (p *pairSet) bucket(key uint64) *[pairWays]uint64 {
	return &p.buckets[(key>>1)&uint64(len(p.buckets)-1)]
}

func (p *pairSet) contains(key uint64) bool {
	for _, stored := range p.bucket(key) {
		if stored == key {
			return true
		}
	}
	return false
}

// insert moves the key to the front of its bucket, adding it if necessary.
func (p *pairSet) insert(key uint64) {
	b := p.bucket(key)
	last := pairWays - 1
	for i, stored := range b {
		if stored == key {
			last = i
			break
		}
	}
	copy(b[1:last+1], b[:last])
	b[0] = key
}

func (p *pairSet) remove(key uint64) {
	b := p.bucket(key)
	for i, stored := range b {
		if stored == key {
			copy(b[i:], b[i+1:])
			b[pairWays-1] = 0
			return
		}
	}
}

// blockHolders lists the endpoints that most recently stored a block, latest
// first. The list may be outdated: the pairSet determines whether an endpoint
// still has the block.
type blockHolders struct {
	block   uint64
	holders [holdersPerBlock]uint16
}

// holderMap maps blocks to holders, with a fixed size like a pairSet.
type holderMap struct {
	buckets [][holderWays]blockHolders
}

func newHolderMap(blocks int) *holderMap {
	return &holderMap{buckets: make([][holderWays]blockHolders, powerOfTwo(blocks/holderWays))}
}

func (h *holderMap) bytes() int64 {
	return int64(len(h.buckets)) * int64(unsafe.Sizeof(h.buckets[0]))
}

func (h *holderMap) bucket(block uint64) *[holderWays]blockHolders {
	return &h.buckets[mix(block)&uint64(len(h.buckets)-1)]
}

// find returns the holders of the block, latest first.
func (h *holderMap) find(block uint64) []uint16 {
	b := h.bucket(block)
	for i := range b {
		if b[i].block == block {
			return b[i].used()
		}
	}
	return nil
}

// insert records that the endpoint stored the block.
func (h *holderMap) insert(block uint64, number uint16) {
	if number == noHolder {
		return
	}
	b := h.bucket(block)
	if b[0].block == block && b[0].holders[0] == number {
		return
	}
	last := holderWays - 1
	entry := blockHolders{block: block, holders: [holdersPerBlock]uint16{noHolder, noHolder, noHolder, noHolder}}
	for i := range b {
		if b[i].block == block {
			last = i
			entry = b[i]
			break
		}
	}
	entry.add(number)
	copy(b[1:last+1], b[:last])
	b[0] = entry
}

// used returns the slots in use.
func (b *blockHolders) used() []uint16 {
	n := 0
	for n < holdersPerBlock && b.holders[n] != noHolder {
		n++
	}
	return b.holders[:n]
}

// add moves the endpoint to the front of the holders, adding it if necessary.
func (b *blockHolders) add(number uint16) {
	last := holdersPerBlock - 1
	for i, stored := range b.holders {
		if stored == number {
			last = i
			break
		}
	}
	copy(b.holders[1:last+1], b.holders[:last])
	b.holders[0] = number
}
