package sharer

import "container/heap"

// indexedHeap is a heap that stores each element's position in the element, so that any
// element can be moved or removed.
type indexedHeap[T any] struct {
	elements []T
	less     func(a, b T) bool
	position func(T) *int
}

// notInHeap is the position of an element that is in no heap.
const notInHeap = -1

// Len returns the number of elements. Len, Less, Swap, Push and Pop implement
// heap.Interface.
func (h *indexedHeap[T]) Len() int { return len(h.elements) }

// Less compares the elements at two positions.
func (h *indexedHeap[T]) Less(i, j int) bool { return h.less(h.elements[i], h.elements[j]) }

// Swap exchanges the elements at two positions.
func (h *indexedHeap[T]) Swap(i, j int) {
	h.elements[i], h.elements[j] = h.elements[j], h.elements[i]
	*h.position(h.elements[i]), *h.position(h.elements[j]) = i, j
}

// Push appends an element.
func (h *indexedHeap[T]) Push(x any) {
	element := x.(T)
	*h.position(element) = len(h.elements)
	h.elements = append(h.elements, element)
}

// Pop removes the last element.
func (h *indexedHeap[T]) Pop() any {
	last := len(h.elements) - 1
	element := h.elements[last]
	var zero T
	h.elements[last] = zero
	h.elements = h.elements[:last]
	*h.position(element) = notInHeap
	return element
}

// addOrFix adds an element, or restores the heap order around it if it is in the heap
// already.
func (h *indexedHeap[T]) addOrFix(element T) {
	if at := *h.position(element); at != notInHeap {
		heap.Fix(h, at)
		return
	}
	heap.Push(h, element)
}

// remove removes an element if it is in the heap.
func (h *indexedHeap[T]) remove(element T) {
	if at := *h.position(element); at != notInHeap {
		heap.Remove(h, at)
	}
}

// min returns the least element; false means that the heap is empty.
func (h *indexedHeap[T]) min() (T, bool) {
	if len(h.elements) == 0 {
		var zero T
		return zero, false
	}
	return h.elements[0], true
}
