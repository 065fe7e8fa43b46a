package placer

import "apricotwinch"

// nothing fits nowhere: it is the room of a host that gets no task.
var nothing = apricotwinch.NewResources(-1, -1, -1)

// index is a binary tree over the hosts of a data centre. Each node holds the
// greatest room below it, resource by resource, so that a search skips the
// subtrees in which no host can hold the need.
type index struct {
	leaves int
	nodes  []apricotwinch.Resources
}

// set stores the room of one leaf and refreshes its ancestors.
func (x *index) set(leaf int, room apricotwinch.Resources) {
	if leaf >= x.leaves {
		x.grow(leaf + 1)
	}
	node := x.leaves + leaf
	x.nodes[node] = room
	for node > 1 {
		node /= 2
		top := greatest(x.nodes[2*node], x.nodes[2*node+1])
		if x.nodes[node] == top {
			return
		}
		x.nodes[node] = top
	}
}

func (x *index) grow(leaves int) {
	size := max(1, x.leaves)
	for size < leaves {
		size *= 2
	}
	nodes := make([]apricotwinch.Resources, 2*size)
	for i := range nodes {
		nodes[i] = nothing
	}
	copy(nodes[size:], x.nodes[x.leaves:])
	for i := size - 1; i > 0; i-- {
		nodes[i] = greatest(nodes[2*i], nodes[2*i+1])
	}
	x.leaves, x.nodes = size, nodes
}

// holds reports whether some leaf may have room for need.
func (x *index) holds(need apricotwinch.Resources) bool {
	return x.leaves > 0 && need.Fits(x.nodes[1])
}

// search is one walk of an index, bounded by a budget of visited nodes.
type search struct {
	index  *index
	need   apricotwinch.Resources
	budget int
}

// find returns the first leaf with room in order from start, wrapping round; -1
// means that none was found within the budget.
func (s *search) find(start int) int {
	if leaf := s.walk(1, 0, s.index.leaves, start, s.index.leaves); leaf >= 0 {
		return leaf
	}
	return s.walk(1, 0, s.index.leaves, 0, start)
}

// walk searches the leaves from until to below node, which spans low until high.
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

func greatest(a, b apricotwinch.Resources) apricotwinch.Resources {
	return apricotwinch.NewResources(
		max(a.ProcessorMillis(), b.ProcessorMillis()),
		max(a.MemoryBytes(), b.MemoryBytes()),
		max(a.Accelerators(), b.Accelerators()),
	)
}
