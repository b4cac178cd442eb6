package admission

import "container/heap"

// classHeap is a heap of classes ordered by less. It stores the position of each class at pos, so that a class whose
// key changed is moved in logarithmic time.
type classHeap struct {
	items []*class
	less  func(a, b *class) bool
	pos   func(c *class) *int
}

// Len, Less, Swap, Push and Pop implement heap.Interface.
func (h *classHeap) Len() int           { return len(h.items) }
func (h *classHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }

func (h *classHeap) Swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	*h.pos(h.items[i]) = i
	*h.pos(h.items[j]) = j
}

func (h *classHeap) Push(x any) {
	c := x.(*class)
	*h.pos(c) = len(h.items)
	h.items = append(h.items, c)
}

func (h *classHeap) Pop() any {
	last := len(h.items) - 1
	c := h.items[last]
	h.items[last] = nil
	h.items = h.items[:last]
	*h.pos(c) = notInHeap
	return c
}

// notInHeap is the position of a class that is not in a heap.
const notInHeap = -1

// upsert adds c, or moves it after its key changed.
func (h *classHeap) upsert(c *class) {
	if i := *h.pos(c); i != notInHeap {
		heap.Fix(h, i)
		return
	}
	heap.Push(h, c)
}

// remove removes c if it is in the heap.
func (h *classHeap) remove(c *class) {
	if i := *h.pos(c); i != notInHeap {
		heap.Remove(h, i)
	}
}

// first returns the class with the smallest key; nil if the heap is empty.
func (h *classHeap) first() *class {
	if len(h.items) == 0 {
		return nil
	}
	return h.items[0]
}
