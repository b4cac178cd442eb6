package placement

import (
	"container/heap"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// shares orders classes and tenants by weighted dominant share. The class with the smallest weighted share goes
// first, and inside a class the tenant with the smallest share. An urgent class goes before all batch classes while
// it is within its guaranteed share, which is its weight divided by the sum of the weights of the active classes.
// Beyond that it competes like a batch class, so that a flood of urgent work leaves batch work its share.
type shares struct {
	// now is the time of the last Plan.
	now        stamp
	cell       ident.CellID
	cells      int
	shareShift uint8
	table      *table.Table
	byName     map[ident.ClassName]*class
	// classes is indexed by class.index.
	classes []*class
	// total is the capacity of the workers that take new tasks.
	total resource.Vector
	// urgent and batch order the classes with queued tasks that are not blocked.
	urgent, batch shareHeap[*class]
	activeWeight  float64
	// keysStale is set when total or the weights have changed, which invalidates every key.
	keysStale bool
	seq       uint64

	// cyclePlans counts the Plans since blocked queues were last reconsidered.
	cyclePlans int
	// restarts lists the waiting restarts, oldest first.
	restarts taskList
	// blockedUrgent and blockedBatch list the blocked tenants in the order of their shares.
	blockedUrgent, blockedBatch []*tenantQueue
	blockedClasses              []*class
}

// rebuildDivisor sets when a heap is rebuilt: if at least 1/rebuildDivisor of its items come back, rebuilding is
// cheaper than single insertions, each of which takes time logarithmic in its length.
const rebuildDivisor = 8

func newShares(o Options) *shares {
	return &shares{cell: o.Cell, cells: o.Cells, shareShift: o.ShareShift, byName: make(map[ident.ClassName]*class)}
}

// class returns the class of a name, creating it if needed; kind applies if the current table does not know the
// name.
func (s *shares) class(name ident.ClassName, kind table.Kind) *class {
	if cl, ok := s.byName[name]; ok {
		return cl
	}
	cl := &class{
		index:        len(s.classes),
		name:         name,
		urgent:       kind == table.LatencyCritical,
		tenants:      make(map[ident.TenantName]*tenantQueue),
		queuedBySize: make(map[resource.Vector]int),
	}
	cl.pos = -1
	s.byName[name] = cl
	s.classes = append(s.classes, cl)
	s.configure(cl)
	return cl
}

// configure applies the table row of a class, or weight 1 and no limits if there is none.
func (s *shares) configure(cl *class) {
	row := table.Row{Weight: 1}
	if s.table != nil {
		if r, ok := s.table.Lookup(cl.name); ok {
			row = r
			cl.urgent = r.Kind == table.LatencyCritical
		}
	}
	cl.weight = float64(max(row.Weight, 1))
	cl.maxTasks = int(s.cellLimit(int64(row.Concurrency)))
	cl.maxHeld = resource.Vector{
		MilliCPU:     s.cellLimit(row.Resources.MilliCPU),
		MemoryMB:     s.cellLimit(row.Resources.MemoryMB),
		Accelerators: s.cellLimit(row.Resources.Accelerators),
	}
	cl.maxEvictions = row.Evictions
}

// cellLimit returns the cell's share of a fleet limit. The shares of all cells add up to the limit.
func (s *shares) cellLimit(limit int64) int64 {
	if limit <= 0 {
		return unlimited
	}
	share := limit / int64(s.cells)
	if int64(s.cell) < limit%int64(s.cells) {
		share++
	}
	return share >> s.shareShift
}

// reconfigure applies the current table to all classes.
func (s *shares) reconfigure() {
	for _, cl := range s.classes {
		s.configure(cl)
	}
	s.keysStale = true
}

// weightedShare returns the dominant share of an amount divided by the weight of the class.
func (s *shares) weightedShare(cl *class, amount resource.Vector) float64 {
	return amount.DominantShare(s.total) / cl.weight
}

// withinGuarantee reports whether a class stays within its guaranteed share with one more booking.
func (s *shares) withinGuarantee(cl *class, booking resource.Vector) bool {
	return s.weightedShare(cl, cl.charged.Add(booking))*s.activeWeight <= 1
}

// charge adds an amount to the fair share of a task's class and tenant.
func (s *shares) charge(t *task, amount resource.Vector) {
	t.class.charged = t.class.charged.Add(amount)
	t.tenant.charged = t.tenant.charged.Add(amount)
	s.updateTenant(t.tenant)
}

// addHeld adds n tasks with a total amount to what counts against the limits of the class.
func (s *shares) addHeld(cl *class, amount resource.Vector, n int) {
	cl.held = cl.held.Add(amount)
	cl.tasks += n
}

func (s *shares) enqueue(t *task) {
	t.state = queued
	t.rank = t.rankAt(s.now)
	if t.isRestart() {
		s.restarts.insertAfter(t, s.restarts.last)
	} else {
		t.tenant.push(t)
	}
	s.countQueued(t, 1)
	t.tenant.blocked = false
	s.updateTenant(t.tenant)
}

func (s *shares) requeueFront(t *task) {
	t.state = queued
	s.listOf(t).pushFront(t)
	s.countQueued(t, 1)
	t.tenant.blocked = false
	s.updateTenant(t.tenant)
}

// listOf returns the list that holds a queued task.
func (s *shares) listOf(t *task) *taskList {
	if t.isRestart() {
		return &s.restarts
	}
	return &t.tenant.taskList
}

func (s *shares) dequeue(t *task) {
	s.listOf(t).remove(t)
	s.countQueued(t, -1)
	s.updateTenant(t.tenant)
}

func (s *shares) countQueued(t *task, n int) {
	t.class.queued += n
	t.class.queuedBySize[t.declared] += n
	if t.class.queuedBySize[t.declared] == 0 {
		delete(t.class.queuedBySize, t.declared)
	}
}

// updateTenant recomputes the key of a tenant and restores its and its class's position in the order.
func (s *shares) updateTenant(q *tenantQueue) {
	q.key = q.charged.DominantShare(s.total)
	cl := q.class
	s.assignSeq(&q.shareItem)
	cl.ready.update(q, q.length > 0 && !q.blocked)
	s.updateClass(cl)
}

func (s *shares) updateClass(cl *class) {
	cl.key = s.weightedShare(cl, cl.charged)
	s.assignSeq(&cl.shareItem)
	s.placeClass(cl)
	active := cl.queued > 0 || cl.tasks > 0
	if active != cl.active {
		cl.active = active
		if active {
			s.activeWeight += cl.weight
		} else {
			s.activeWeight -= cl.weight
		}
	}
}

// placeClass restores the position of a class in the order. A blocked class or one without a ready tenant is left
// out.
func (s *shares) placeClass(cl *class) {
	h := &s.batch
	if cl.urgent {
		h = &s.urgent
	}
	h.update(cl, len(cl.ready) > 0 && !cl.blocked)
}

func (s *shares) assignSeq(i *shareItem) {
	if i.pos < 0 {
		s.seq++
		i.seq = s.seq
	}
}

func (s *shares) sumWeights() {
	s.activeWeight = 0
	for _, cl := range s.classes {
		if cl.active {
			s.activeWeight += cl.weight
		}
	}
}

// recomputeKeys recomputes all keys after a change of the total, the weights or the kinds of classes.
func (s *shares) recomputeKeys() {
	s.keysStale = false
	s.sumWeights()
	s.urgent, s.batch = s.urgent[:0], s.batch[:0]
	for _, cl := range s.classes {
		cl.pos = -1
		for _, q := range cl.ready {
			q.key = q.charged.DominantShare(s.total)
		}
		heap.Init(&cl.ready)
		s.updateClass(cl)
	}
}

// nextTenant returns the tenant whose task is tried next, or nil.
func (s *shares) nextTenant() *tenantQueue {
	switch {
	case len(s.urgent) == 0 && len(s.batch) == 0:
		return nil
	case len(s.batch) == 0:
		return s.urgent[0].ready[0]
	case len(s.urgent) == 0:
		return s.batch[0].ready[0]
	}
	u, b := s.urgent[0], s.batch[0]
	if u.key <= b.key || s.withinGuarantee(u, u.ready[0].first.desired) {
		return u.ready[0]
	}
	return b.ready[0]
}

// maxBatchShare returns the largest weighted share of a batch class.
func (s *shares) maxBatchShare() float64 {
	largest := 0.0
	for _, cl := range s.classes {
		if !cl.urgent {
			largest = max(largest, cl.key)
		}
	}
	return largest
}

// waitingClasses returns the number of classes with queued tasks that are not blocked.
func (s *shares) waitingClasses() int { return len(s.urgent) + len(s.batch) }

// blockTenant skips a tenant until unblockAll, until it queues another task or, if it is urgent, until
// unblockUrgent.
func (s *shares) blockTenant(q *tenantQueue) {
	q.blocked = true
	if q.class.urgent {
		s.blockedUrgent = append(s.blockedUrgent, q)
	} else {
		s.blockedBatch = append(s.blockedBatch, q)
	}
	cl := q.class
	cl.ready.update(q, false)
	s.placeClass(cl)
}

// blockClass skips a class until unblockAll.
func (s *shares) blockClass(cl *class) {
	cl.blocked = true
	s.blockedClasses = append(s.blockedClasses, cl)
	s.updateClass(cl)
}

// unblockUrgent unblocks at most limit urgent tenants before the end of the cycle if the freed resources may hold
// one of their tasks. Free resources thus go to urgent work first, even if the cycle has already reached batch
// work.
func (s *shares) unblockUrgent(limit int, fits func(resource.Vector) bool) {
	kept := s.blockedUrgent[:0]
	for _, q := range s.blockedUrgent {
		switch {
		case !q.blocked:
			q.class.pruneTenant(q)
		case limit > 0 && fits(q.minTried):
			limit--
			q.blocked = false
			s.updateTenant(q)
			q.class.pruneTenant(q)
		default:
			kept = append(kept, q)
		}
	}
	clear(s.blockedUrgent[len(kept):])
	s.blockedUrgent = kept
}

// unblockAll ends the cycle and unblocks all tenants and classes. If many come back, it rebuilds the order of the
// classes at once: moving them one by one would take most of the time of a Plan that ends a cycle.
func (s *shares) unblockAll() {
	s.cyclePlans = 0
	for _, cl := range s.blockedClasses {
		cl.blocked = false
		s.updateClass(cl)
	}
	s.blockedClasses = s.blockedClasses[:0]
	for _, blocked := range [...]struct {
		queues  *[]*tenantQueue
		classes *shareHeap[*class]
	}{{&s.blockedUrgent, &s.urgent}, {&s.blockedBatch, &s.batch}} {
		if len(*blocked.queues)*rebuildDivisor >= len(*blocked.classes) {
			s.unblockUnordered(*blocked.queues)
			heap.Init(&s.urgent)
			heap.Init(&s.batch)
		} else {
			s.unblockEach(*blocked.queues)
		}
		clear(*blocked.queues)
		*blocked.queues = (*blocked.queues)[:0]
	}
}

// unblockEach unblocks tenants and restores the order after each of them.
func (s *shares) unblockEach(queues []*tenantQueue) {
	for _, q := range queues {
		q.blocked = false
		s.updateTenant(q)
		q.class.pruneTenant(q)
	}
}

// unblockUnordered unblocks tenants and appends their classes to the heaps. The caller restores the order of the
// heaps.
func (s *shares) unblockUnordered(queues []*tenantQueue) {
	for _, q := range queues {
		q.blocked = false
		q.key = q.charged.DominantShare(s.total)
		cl := q.class
		s.assignSeq(&q.shareItem)
		cl.ready.update(q, q.length > 0)
		q.class.pruneTenant(q)
		if len(cl.ready) == 0 || cl.blocked || cl.pos >= 0 {
			continue
		}
		s.assignSeq(&cl.shareItem)
		if cl.urgent {
			s.urgent.Push(cl)
		} else {
			s.batch.Push(cl)
		}
	}
}
