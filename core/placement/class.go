package placement

import (
	"cmp"
	"container/heap"
	"maps"
	"math"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// unlimited marks a limit that does not apply. A limit of 0 blocks: it is what a cell gets of a fleet limit that is
// smaller than the number of cells.
const unlimited = -1

// noLimit is larger than any sum of amounts.
const noLimit = math.MaxInt64

// class is a class of work in this cell.
type class struct {
	shareItem
	index  int
	name   ident.ClassName
	urgent bool
	weight float64
	// maxTasks and maxHeld are this cell's part of the limits of the row.
	maxTasks     int
	maxHeld      resource.Vector
	maxEvictions int

	tenants map[ident.TenantName]*tenantQueue
	// ready holds the tenants with queued tasks.
	ready shareHeap[*tenantQueue]

	// held is what tasks of the class have booked or claimed; it counts against the limits.
	held  resource.Vector
	tasks int
	// charged is held without the tasks that are being evicted; it counts for the fair share.
	charged resource.Vector
	queued  int
	// needs counts the queued tasks by declared size.
	needs map[resource.Vector]int
	// active classes have queued or running tasks.
	active  bool
	blocked bool
	usage   usage
}

func (cl *class) kind() table.Kind {
	if cl.urgent {
		return table.LatencyCritical
	}
	return table.Batch
}

// tenant returns the queue of a tenant.
func (cl *class) tenant(name ident.TenantName) *tenantQueue {
	q, ok := cl.tenants[name]
	if !ok {
		q = &tenantQueue{class: cl, name: name}
		q.pos = -1
		cl.tenants[name] = q
	}
	return q
}

// forget removes a tenant without tasks, so that memory does not grow with the tenants ever seen.
func (cl *class) forget(q *tenantQueue) {
	if q.tasks == 0 && q.pos < 0 && cl.tenants[q.name] == q {
		delete(cl.tenants, q.name)
	}
}

// admits reports whether one more task with a booking stays within the limits.
func (cl *class) admits(booking resource.Vector) bool {
	if cl.maxTasks != unlimited && cl.tasks >= cl.maxTasks {
		return false
	}
	return cl.exceeds(cl.held.Add(booking)) == ""
}

// largest lowers amounts to the limit of the class.
func (cl *class) largest(amount resource.Vector) resource.Vector {
	return least(amount, cl.limit())
}

// limit returns the limit of the class, with noLimit for dimensions without one.
func (cl *class) limit() resource.Vector {
	limit := cl.maxHeld
	for _, d := range [...]*int64{&limit.MilliCPU, &limit.MemoryMB, &limit.Accelerators} {
		if *d == unlimited {
			*d = noLimit
		}
	}
	return limit
}

// sortedTenants lists the tenants in a fixed order.
func (cl *class) sortedTenants() []*tenantQueue {
	tenants := slices.Collect(maps.Values(cl.tenants))
	slices.SortFunc(tenants, func(a, b *tenantQueue) int { return cmp.Compare(a.name, b.name) })
	return tenants
}

// exceeds returns the first dimension in which held is above the limit of the class, or "".
func (cl *class) exceeds(held resource.Vector) resource.Dimension {
	return held.ExceededDimension(cl.limit())
}

// taskList is a list of queued tasks.
type taskList struct {
	first, last *task
	length      int
	// cursor is the next task to be tried.
	cursor *task
}

// tenantQueue holds the queued tasks of one tenant in one class, in order of submission. Tasks that have been evicted go to
// the front: their tenant has already waited for them once. Restarts of lasting tasks are in no queue of a tenant.
type tenantQueue struct {
	shareItem
	taskList
	class   *class
	name    ident.TenantName
	charged resource.Vector
	// tasks counts the tasks of the tenant in any state.
	tasks int

	// tried counts the tasks that have been tried in vain in the current Plan.
	tried int
	// floor is the least booking of the tasks tried, in each dimension. While less than that is free nothing fits.
	floor   resource.Vector
	blocked bool
}

func (q *tenantQueue) push(t *task) {
	if t.evictions > 0 {
		q.pushFront(t)
		return
	}
	q.insert(t, q.placeOf(t))
}

// placeOf returns the task behind which t belongs; nil for the front.
func (q *taskList) placeOf(t *task) *task {
	after := q.last
	for after != nil && t.before(after) {
		after = after.prev
	}
	return after
}

// insert puts a task behind another one; at the front if that is nil.
func (q *taskList) insert(t, after *task) {
	if after == nil {
		q.pushFront(t)
		return
	}
	t.prev, t.next = after, after.next
	if after.next != nil {
		after.next.prev = t
	} else {
		q.last = t
	}
	after.next = t
	q.length++
}

// demote moves a task whose time has passed behind the others, and returns the task to be looked at next.
func (q *tenantQueue) demote(t *task, r rank) *task {
	next := t.next
	q.remove(t)
	t.rank = r
	q.insert(t, q.placeOf(t))
	if next == nil {
		next = t
	}
	return next
}

func (q *taskList) pushFront(t *task) {
	t.prev, t.next = nil, q.first
	if q.first != nil {
		q.first.prev = t
	} else {
		q.last = t
	}
	q.first = t
	q.length++
}

func (q *taskList) remove(t *task) {
	if q.cursor == t {
		q.cursor = t.next
	}
	if t.prev != nil {
		t.prev.next = t.next
	} else {
		q.first = t.next
	}
	if t.next != nil {
		t.next.prev = t.prev
	} else {
		q.last = t.prev
	}
	t.prev, t.next = nil, nil
	q.length--
}

// shareItem is the part of a class or tenant that orders it by its weighted share.
type shareItem struct {
	// key is the dominant share divided by the weight.
	key float64
	// pos is the position in the heap, -1 if outside.
	pos int
	// seq breaks ties, so that decisions are reproducible: the item that joined first goes first.
	seq uint64
}

func (s *shareItem) item() *shareItem { return s }

// shareHeap orders items by key, smallest first.
type shareHeap[T interface{ item() *shareItem }] []T

func (h shareHeap[T]) Len() int { return len(h) }

func (h shareHeap[T]) Less(i, j int) bool {
	a, b := h[i].item(), h[j].item()
	if a.key != b.key {
		return a.key < b.key
	}
	return a.seq < b.seq
}

func (h shareHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].item().pos = i
	h[j].item().pos = j
}

// Push implements heap.Interface.
func (h *shareHeap[T]) Push(x any) {
	v := x.(T)
	v.item().pos = len(*h)
	*h = append(*h, v)
}

// Pop implements heap.Interface.
func (h *shareHeap[T]) Pop() any {
	old := *h
	v := old[len(old)-1]
	var none T
	old[len(old)-1] = none
	*h = old[:len(old)-1]
	v.item().pos = -1
	return v
}

// place puts v in the heap if wanted and takes it out if not; a changed key is taken into account.
func (h *shareHeap[T]) place(v T, wanted bool) {
	switch i := v.item().pos; {
	case wanted && i < 0:
		heap.Push(h, v)
	case wanted:
		heap.Fix(h, i)
	case i >= 0:
		heap.Remove(h, i)
	}
}
