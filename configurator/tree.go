package configurator

import (
	"maps"

	"github.com/cespare/xxhash/v2"
)

// shardCount is the number of shards of a tree; a change after a freeze copies
// one shard only.
const shardCount = 256

// tree is a map in shards that can be frozen cheaply.
type tree[V any] struct {
	shards [shardCount]shard[V]
}

type shard[V any] struct {
	values map[string]V
	frozen bool
}

func shardIndex(key string) int { return int(xxhash.Sum64String(key) % shardCount) }

// get returns the value of key in the shard of shardKey.
func (t *tree[V]) get(shardKey, key string) (V, bool) {
	value, ok := t.shards[shardIndex(shardKey)].values[key]
	return value, ok
}

func (t *tree[V]) set(shardKey, key string, value V) {
	s := t.writable(shardKey)
	if s.values == nil {
		s.values = make(map[string]V)
	}
	s.values[key] = value
}

func (t *tree[V]) remove(shardKey, key string) {
	delete(t.writable(shardKey).values, key)
}

// writable returns the shard of shardKey, copied when a frozen tree shares it.
func (t *tree[V]) writable(shardKey string) *shard[V] {
	s := &t.shards[shardIndex(shardKey)]
	if s.frozen {
		s.values = maps.Clone(s.values)
		s.frozen = false
	}
	return s
}

// freeze returns a copy that later changes of t leave as it is.
func (t *tree[V]) freeze() tree[V] {
	for i := range t.shards {
		t.shards[i].frozen = true
	}
	return *t
}
