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

// unlimited marks a limit that does not apply. A limit of 0 admits nothing: it results from a fleet limit that is
// smaller than the number of cells.
const unlimited = -1

// unboundedAmount stands for an unlimited amount; it exceeds any sum of amounts.
const unboundedAmount = math.MaxInt64

// class is the state of one task class in the cell.
type class struct {
	shareItem
	index  int
	name   ident.ClassName
	urgent bool
	weight float64
	// maxTasks and maxHeld are the cell's share of the limits in the table row.
	maxTasks     int
	maxHeld      resource.Vector
	maxEvictions int

	tenants map[ident.TenantName]*tenantQueue
	// ready orders the tenants with queued tasks that are not blocked.
	ready shareHeap[*tenantQueue]

	// held is the sum of what tasks of the class have booked or claimed; it counts against the limits.
	held  resource.Vector
	tasks int
	// charged is held without the tasks that are being evicted; it counts towards the fair share.
	charged resource.Vector
	queued  int
	// queuedBySize counts the queued tasks by declared size.
	queuedBySize map[resource.Vector]int
	// active classes have queued, claimed or booked tasks.
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

// tenant returns the queue of a tenant, creating it if needed.
func (cl *class) tenant(name ident.TenantName) *tenantQueue {
	q, ok := cl.tenants[name]
	if !ok {
		q = &tenantQueue{class: cl, name: name}
		q.pos = -1
		cl.tenants[name] = q
	}
	return q
}

// pruneTenant removes a tenant without tasks, so that memory does not grow with the number of tenants ever seen.
func (cl *class) pruneTenant(q *tenantQueue) {
	if q.tasks == 0 && q.pos < 0 && cl.tenants[q.name] == q {
		delete(cl.tenants, q.name)
	}
}

// allowsBooking reports whether one more task with this booking stays within the limits of the class.
func (cl *class) allowsBooking(booking resource.Vector) bool {
	if cl.maxTasks != unlimited && cl.tasks >= cl.maxTasks {
		return false
	}
	return cl.exceededDimension(cl.held.Add(booking)) == ""
}

// capAtLimit lowers amounts to the limit of the class.
func (cl *class) capAtLimit(amount resource.Vector) resource.Vector {
	return minPerDimension(amount, cl.limit())
}

// limit returns the limit of the class, with unboundedAmount in dimensions without a limit.
func (cl *class) limit() resource.Vector {
	limit := cl.maxHeld
	for _, d := range [...]*int64{&limit.MilliCPU, &limit.MemoryMB, &limit.Accelerators} {
		if *d == unlimited {
			*d = unboundedAmount
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

// exceededDimension returns the first dimension in which held exceeds the limit of the class, or "".
func (cl *class) exceededDimension(held resource.Vector) resource.Dimension {
	return held.ExceededDimension(cl.limit())
}

// taskList is a doubly linked list of queued tasks.
type taskList struct {
	first, last *task
	length      int
	// cursor is the next task to be tried.
	cursor *task
}

// tenantQueue holds the queued tasks of one tenant in one class, ordered by rank, deadline and submission. Evicted
// tasks go to the front, because their tenant has already waited for them once. Restarts of lasting tasks are kept
// in shares.restarts instead.
type tenantQueue struct {
	shareItem
	taskList
	class   *class
	name    ident.TenantName
	charged resource.Vector
	// tasks counts the tasks of the tenant in any state.
	tasks int

	// tried counts the tasks that could not be placed in the current Plan.
	tried int
	// minTried is the minimum in each dimension of the bookings tried. If less is free, no tried task fits.
	minTried resource.Vector
	blocked  bool
}

func (q *tenantQueue) push(t *task) {
	if t.evictions > 0 {
		q.pushFront(t)
		return
	}
	q.insertAfter(t, q.insertionPoint(t))
}

// insertionPoint returns the task behind which t belongs, or nil for the front.
func (q *taskList) insertionPoint(t *task) *task {
	predecessor := q.last
	for predecessor != nil && t.before(predecessor) {
		predecessor = predecessor.prev
	}
	return predecessor
}

// insertAfter inserts t behind predecessor, or at the front if predecessor is nil.
func (q *taskList) insertAfter(t, predecessor *task) {
	if predecessor == nil {
		q.pushFront(t)
		return
	}
	t.prev, t.next = predecessor, predecessor.next
	if predecessor.next != nil {
		predecessor.next.prev = t
	} else {
		q.last = t
	}
	predecessor.next = t
	q.length++
}

// demote moves a task to a worse rank, behind the tasks of better ranks, and returns the next task to be tried.
func (q *tenantQueue) demote(t *task, r rank) *task {
	next := t.next
	q.remove(t)
	t.rank = r
	q.insertAfter(t, q.insertionPoint(t))
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

// shareItem is the state by which a class or tenant is ordered in a shareHeap.
type shareItem struct {
	// key is the weighted dominant share of a class or the dominant share of a tenant.
	key float64
	// pos is the position in the heap, or -1 outside of it.
	pos int
	// seq breaks ties, so that decisions are reproducible: the item that joined the heap first goes first.
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

// update adds v to the heap if wanted, removes it if not, and restores the order after a change of its key.
func (h *shareHeap[T]) update(v T, wanted bool) {
	switch i := v.item().pos; {
	case wanted && i < 0:
		heap.Push(h, v)
	case wanted:
		heap.Fix(h, i)
	case i >= 0:
		heap.Remove(h, i)
	}
}
