package placement

import "github.com/bulrushrelay/bulrushrelay/core/resource"

// unusable is the index entry of a worker that takes no tasks. No need fits it.
var unusable = resource.Vector{MilliCPU: -1, MemoryMB: -1, Accelerators: -1}

// maxTree finds the slots that can hold a need without scanning all of them. It is a binary tree with one leaf per
// slot; an inner node holds the maximum of its children in each dimension. A search skips every subtree whose
// maximum is too small. The maxima of the dimensions may come from different leaves, so a search may enter a
// subtree without finding a slot there. The search budget bounds that cost; a search in a large cell may therefore
// miss a fitting slot.
type maxTree struct {
	// size is the number of leaves, a power of two; leaf i is nodes[size+i].
	size  int
	nodes []resource.Vector
}

func (t *maxTree) set(i int, v resource.Vector) {
	if i >= t.size {
		t.grow(i + 1)
	}
	p := t.size + i
	t.nodes[p] = v
	for p >>= 1; p > 0; p >>= 1 {
		m := t.nodes[2*p].Max(t.nodes[2*p+1])
		if m == t.nodes[p] {
			return
		}
		t.nodes[p] = m
	}
}

func (t *maxTree) grow(n int) {
	old := t.nodes[t.size:]
	size := max(t.size, 16)
	for size < n {
		size *= 2
	}
	t.nodes = make([]resource.Vector, 2*size)
	t.size = size
	for i := range t.nodes {
		t.nodes[i] = unusable
	}
	copy(t.nodes[size:], old)
	for p := size - 1; p > 0; p-- {
		t.nodes[p] = t.nodes[2*p].Max(t.nodes[2*p+1])
	}
}

// search is one bounded walk over the slots that can hold need.
type search struct {
	tree   *maxTree
	need   resource.Vector
	budget int
	// wanted is how many more slots are to be found.
	wanted int
	found  []int
}

// find appends to found up to wanted slots that can hold need, in circular order from slot start. It visits at most
// budget nodes of the tree and returns how many it visited.
func (t *maxTree) find(need resource.Vector, start, wanted, budget int, found []int) ([]int, int) {
	if t.size == 0 || !need.Fits(t.nodes[1]) {
		return found, 1
	}
	s := search{tree: t, need: need, budget: budget, wanted: wanted, found: found}
	s.walk(1, 0, t.size, start, t.size)
	s.walk(1, 0, t.size, 0, start)
	return s.found, budget - s.budget
}

// walk visits the leaves of the subtree at p, which covers [lo, hi), that lie in [from, to).
func (s *search) walk(p, lo, hi, from, to int) {
	if s.wanted == 0 || s.budget == 0 || hi <= from || lo >= to {
		return
	}
	s.budget--
	if !s.need.Fits(s.tree.nodes[p]) {
		return
	}
	if hi-lo == 1 {
		s.found = append(s.found, lo)
		s.wanted--
		return
	}
	mid := (lo + hi) / 2
	s.walk(2*p, lo, mid, from, to)
	s.walk(2*p+1, mid, hi, from, to)
}
