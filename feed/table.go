package feed

import (
	"iter"

	"github.com/cespare/xxhash/v2"
)

// tableShards limits how much one change copies: about n/tableShards of the n
// records of a table for each changed record.
const tableShards = 256

// Table is an immutable map from names to records. A modified table shares all
// unmodified shards with the table that it was derived from. The zero Table is
// empty and ready for use. The records must not be modified.
type Table[V any] struct {
	shards *[tableShards]map[string]V
	size   int
}

// Get returns the record with the given name.
func (t Table[V]) Get(name string) (V, bool) {
	if t.shards == nil {
		var none V
		return none, false
	}
	record, ok := t.shards[shardOf(name)][name]
	return record, ok
}

// Len returns the number of records.
func (t Table[V]) Len() int { return t.size }

// All iterates over the names and records in no particular order.
func (t Table[V]) All() iter.Seq2[string, V] {
	return func(yield func(string, V) bool) {
		if t.shards == nil {
			return
		}
		for _, shard := range t.shards {
			for name, record := range shard {
				if !yield(name, record) {
					return
				}
			}
		}
	}
}

func shardOf(name string) uint64 { return xxhash.Sum64String(name) % tableShards }

// tableBuilder builds a modified copy of a table. It copies a shard on the first
// write to it and leaves the original table unchanged.
type tableBuilder[V any] struct {
	base   Table[V]
	shards *[tableShards]map[string]V
	copied [tableShards]bool
	size   int
}

func (t Table[V]) edit() *tableBuilder[V] {
	return &tableBuilder[V]{base: t, size: t.size}
}

func (b *tableBuilder[V]) shard(name string) map[string]V {
	if b.shards == nil {
		b.shards = new([tableShards]map[string]V)
		if b.base.shards != nil {
			*b.shards = *b.base.shards
		}
	}
	index := shardOf(name)
	if !b.copied[index] {
		clone := make(map[string]V, len(b.shards[index])+1)
		for key, record := range b.shards[index] {
			clone[key] = record
		}
		b.shards[index] = clone
		b.copied[index] = true
	}
	return b.shards[index]
}

// get returns a record with the changes made so far.
func (b *tableBuilder[V]) get(name string) (V, bool) {
	if b.shards == nil {
		return b.base.Get(name)
	}
	record, ok := b.shards[shardOf(name)][name]
	return record, ok
}

func (b *tableBuilder[V]) put(name string, record V) {
	shard := b.shard(name)
	if _, ok := shard[name]; !ok {
		b.size++
	}
	shard[name] = record
}

func (b *tableBuilder[V]) remove(name string) {
	shard := b.shard(name)
	if _, ok := shard[name]; ok {
		b.size--
		delete(shard, name)
	}
}

func (b *tableBuilder[V]) table() Table[V] {
	if b.shards == nil {
		return b.base
	}
	return Table[V]{shards: b.shards, size: b.size}
}
