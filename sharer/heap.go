package sharer

import "container/heap"

// ordered is a heap whose elements know their positions, so that any of them
// can be moved or removed.
type ordered[T any] struct {
	elements []T
	less     func(a, b T) bool
	position func(T) *int
}

// absent is the position of an element that is in no heap.
const absent = -1

// Len, Less, Swap, Push and Pop serve container/heap.

// Len returns the number of elements.
func (o *ordered[T]) Len() int { return len(o.elements) }

// Less compares two positions.
func (o *ordered[T]) Less(i, j int) bool { return o.less(o.elements[i], o.elements[j]) }

// Swap exchanges two positions.
func (o *ordered[T]) Swap(i, j int) {
	o.elements[i], o.elements[j] = o.elements[j], o.elements[i]
	*o.position(o.elements[i]), *o.position(o.elements[j]) = i, j
}

// Push appends an element.
func (o *ordered[T]) Push(x any) {
	element := x.(T)
	*o.position(element) = len(o.elements)
	o.elements = append(o.elements, element)
}

// Pop removes the last element.
func (o *ordered[T]) Pop() any {
	last := len(o.elements) - 1
	element := o.elements[last]
	var none T
	o.elements[last] = none
	o.elements = o.elements[:last]
	*o.position(element) = absent
	return element
}

// put adds an element, or moves it when it is there already.
func (o *ordered[T]) put(element T) {
	if at := *o.position(element); at != absent {
		heap.Fix(o, at)
		return
	}
	heap.Push(o, element)
}

// drop removes an element if it is there.
func (o *ordered[T]) drop(element T) {
	if at := *o.position(element); at != absent {
		heap.Remove(o, at)
	}
}

// first returns the least element; false means that the heap is empty.
func (o *ordered[T]) first() (T, bool) {
	if len(o.elements) == 0 {
		var none T
		return none, false
	}
	return o.elements[0], true
}
