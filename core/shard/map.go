// Package shard provides a map that is divided into shards, each under its own lock.
package shard

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Map is a map divided into shards. It is safe for concurrent use. A callback must not call a method of the same Map:
// no goroutine may hold two shard locks, so that shards cannot deadlock with each other.
type Map[K comparable, V any] struct {
	hash   func(K) uint64
	shards []mapShard[K, V]
}

type mapShard[K comparable, V any] struct {
	// mu guards entries. Callbacks run under it, so that a check and the change that depends on it are atomic.
	mu      sync.Mutex
	entries map[K]V
}

// NewMap returns a Map with n shards; hash picks the shard of a key.
func NewMap[K comparable, V any](n int, hash func(K) uint64) *Map[K, V] {
	m := &Map[K, V]{hash: hash, shards: make([]mapShard[K, V], n)}
	for i := range m.shards {
		m.shards[i].entries = make(map[K]V)
	}
	return m
}

// NewStringMap returns a Map with n shards for keys of a string type.
func NewStringMap[K ~string, V any](n int) *Map[K, V] {
	return NewMap[K, V](n, func(k K) uint64 { return xxhash.Sum64String(string(k)) })
}

// WithShard runs f on the entries of the shard of key, under the lock of that shard. f must not block.
func (m *Map[K, V]) WithShard(key K, f func(entries map[K]V)) {
	s := &m.shards[m.hash(key)%uint64(len(m.shards))]
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s.entries)
}

// ForEachShard runs f on each shard in turn, under the lock of that shard only. f must not block.
func (m *Map[K, V]) ForEachShard(f func(entries map[K]V)) {
	for i := range m.shards {
		s := &m.shards[i]
		s.mu.Lock()
		f(s.entries)
		s.mu.Unlock()
	}
}

// Get returns the value of key, and whether there is one.
func (m *Map[K, V]) Get(key K) (V, bool) {
	var (
		v  V
		ok bool
	)
	m.WithShard(key, func(entries map[K]V) { v, ok = entries[key] })
	return v, ok
}

// Set stores v under key.
func (m *Map[K, V]) Set(key K, v V) {
	m.WithShard(key, func(entries map[K]V) { entries[key] = v })
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	m.WithShard(key, func(entries map[K]V) { delete(entries, key) })
}

// Len returns the number of entries. It counts shard by shard, so that the sum is no consistent snapshot under
// concurrent changes.
func (m *Map[K, V]) Len() int {
	n := 0
	m.ForEachShard(func(entries map[K]V) { n += len(entries) })
	return n
}
