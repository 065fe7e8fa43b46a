package placer

import "apricotwinch"

// noRoom is the room of a host that gets no tasks: not even an empty need fits in it.
var noRoom = apricotwinch.NewResources(-1, -1, -1)

// index is a binary tree over the hosts of a data centre. Each node holds the maximum,
// resource by resource, of the room below it, so that a search skips subtrees in which no
// host can hold the need.
type index struct {
	leaves int
	nodes  []apricotwinch.Resources
}

// set stores the room of one leaf and updates its ancestors.
func (x *index) set(leaf int, room apricotwinch.Resources) {
	if leaf >= x.leaves {
		x.grow(leaf + 1)
	}
	node := x.leaves + leaf
	x.nodes[node] = room
	for node > 1 {
		node /= 2
		maximum := componentMax(x.nodes[2*node], x.nodes[2*node+1])
		if x.nodes[node] == maximum {
			return
		}
		x.nodes[node] = maximum
	}
}

func (x *index) grow(leaves int) {
	size := max(1, x.leaves)
	for size < leaves {
		size *= 2
	}
	nodes := make([]apricotwinch.Resources, 2*size)
	for i := range nodes {
		nodes[i] = noRoom
	}
	copy(nodes[size:], x.nodes[x.leaves:])
	for i := size - 1; i > 0; i-- {
		nodes[i] = componentMax(nodes[2*i], nodes[2*i+1])
	}
	x.leaves, x.nodes = size, nodes
}

// mayFit reports whether some leaf may have room for need. Since the root holds each
// resource's maximum, the resources may be on different hosts.
func (x *index) mayFit(need apricotwinch.Resources) bool {
	return x.leaves > 0 && need.Fits(x.nodes[1])
}

// search is one search of an index that visits at most budget nodes.
type search struct {
	index  *index
	need   apricotwinch.Resources
	budget int
}

// find returns the first leaf with room, in order from start and wrapping around, or -1
// when it found none within the budget.
func (s *search) find(start int) int {
	if leaf := s.walk(1, 0, s.index.leaves, start, s.index.leaves); leaf >= 0 {
		return leaf
	}
	return s.walk(1, 0, s.index.leaves, 0, start)
}

// walk searches the leaves in [from, to) below node, which covers those in [low, high).
func (s *search) walk(node, low, high, from, to int) int {
	if high <= from || low >= to || s.budget <= 0 {
		return -1
	}
	s.budget--
	if !s.need.Fits(s.index.nodes[node]) {
		return -1
	}
	if high-low == 1 {
		return low
	}
	middle := (low + high) / 2
	if leaf := s.walk(2*node, low, middle, from, to); leaf >= 0 {
		return leaf
	}
	return s.walk(2*node+1, middle, high, from, to)
}

// componentMax returns the maximum of a and b resource by resource.
func componentMax(a, b apricotwinch.Resources) apricotwinch.Resources {
	return apricotwinch.NewResources(
		max(a.ProcessorMillis(), b.ProcessorMillis()),
		max(a.MemoryBytes(), b.MemoryBytes()),
		max(a.Accelerators(), b.Accelerators()),
	)
}
