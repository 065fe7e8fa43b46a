package configurator

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a map. The first change of a shard after a freeze copies
// only that shard.
const shardCount = 256

// shardedMap is a map divided into shards, which makes immutable copies cheap.
type shardedMap[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	values map[string]V
	frozen bool
}

func shardIndex(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// get returns the value of key in the shard that shardKey selects.
func (m *shardedMap[V]) get(shardKey, key string) (V, bool) {
	value, ok := m.shards[shardIndex(shardKey)].values[key]
	return value, ok
}

func (m *shardedMap[V]) set(shardKey, key string, value V) {
	s := m.writable(shardKey)
	if s.values == nil {
		s.values = make(map[string]V)
	}
	s.values[key] = value
}

func (m *shardedMap[V]) remove(shardKey, key string) {
	delete(m.writable(shardKey).values, key)
}

// writable returns the shard that shardKey selects. A shard that is shared with a frozen copy is
// copied first.
func (m *shardedMap[V]) writable(shardKey string) *shard[V] {
	s := &m.shards[shardIndex(shardKey)]
	if s.frozen {
		s.values = maps.Clone(s.values)
		s.frozen = false
	}
	return s
}

// freeze returns a copy of m that later changes of m do not affect. The copy must not be changed.
func (m *shardedMap[V]) freeze() shardedMap[V] {
	for i := range m.shards {
		m.shards[i].frozen = true
	}
	return *m
}
