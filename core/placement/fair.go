package placement

import (
	"container/heap"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// shares orders classes and tenants by weighted dominant share. The class with the smallest share for its weight goes
// first; inside a class the tenant with the smallest share. An urgent class goes before all batch classes while it is
// within its guaranteed share, weight over the sum of the weights of the active classes; beyond it, it competes like
// batch work, so that a flood of urgent work leaves batch work its share.
type shares struct {
	// now is the time of the last Plan.
	now    stamp
	cell   ident.CellID
	cells  int
	shift  uint8
	table  *table.Table
	byName map[ident.ClassName]*class
	// classes is indexed by class.index.
	classes []*class
	// total is the capacity of the workers that take new work.
	total resource.Vector
	// urgent and batch hold the classes with queued tasks.
	urgent, batch shareHeap[*class]
	activeWeight  float64
	// stale is set when total changed, which changes every key.
	stale bool
	seq   uint64

	// cycle counts the Plans since the blocked ones were last looked at.
	cycle int
	// restarts lists the restarts that wait, in the order in which they came.
	restarts taskList
	// blockedUrgent and blockedBatch hold the tenants left out, in the order of their shares.
	blockedUrgent, blockedBatch []*tenantQueue
	blockedClasses              []*class
}

// manyBack is the part of a heap, as a divisor, from which on building it anew is cheaper than single moves, which
// take up to the logarithm of its length.
const manyBack = 8

func newShares(o Options) *shares {
	return &shares{cell: o.Cell, cells: o.Cells, shift: o.ShareShift, byName: make(map[ident.ClassName]*class)}
}

// class returns the class of a name; kind applies if the table in force does not know the name.
func (s *shares) class(name ident.ClassName, kind table.Kind) *class {
	if cl, ok := s.byName[name]; ok {
		return cl
	}
	cl := &class{
		index:   len(s.classes),
		name:    name,
		urgent:  kind == table.LatencyCritical,
		tenants: make(map[ident.TenantName]*tenantQueue),
		needs:   make(map[resource.Vector]int),
	}
	cl.pos = -1
	s.byName[name] = cl
	s.classes = append(s.classes, cl)
	s.configure(cl)
	return cl
}

// configure applies the row of a class, or the defaults of a class without a row: weight 1 and no limits.
func (s *shares) configure(cl *class) {
	row := table.Row{Weight: 1}
	if s.table != nil {
		if r, ok := s.table.Lookup(cl.name); ok {
			row = r
			cl.urgent = r.Kind == table.LatencyCritical
		}
	}
	cl.weight = float64(max(row.Weight, 1))
	cl.maxTasks = int(s.part(int64(row.Concurrency)))
	cl.maxHeld = resource.Vector{
		MilliCPU:     s.part(row.Resources.MilliCPU),
		MemoryMB:     s.part(row.Resources.MemoryMB),
		Accelerators: s.part(row.Resources.Accelerators),
	}
	cl.maxEvictions = row.Evictions
}

// part returns this cell's part of a limit of the fleet. The parts of all cells add up to the limit.
func (s *shares) part(limit int64) int64 {
	if limit <= 0 {
		return unlimited
	}
	part := limit / int64(s.cells)
	if int64(s.cell) < limit%int64(s.cells) {
		part++
	}
	return part >> s.shift
}

// reconfigure applies the table in force to all classes.
func (s *shares) reconfigure() {
	for _, cl := range s.classes {
		s.configure(cl)
	}
	s.stale = true
}

// normalized returns the dominant share of an amount divided by the weight of the class.
func (s *shares) normalized(cl *class, amount resource.Vector) float64 {
	return amount.DominantShare(s.total) / cl.weight
}

// entitled reports whether a class stays within its guaranteed share with one more booking.
func (s *shares) entitled(cl *class, booking resource.Vector) bool {
	return s.normalized(cl, cl.charged.Add(booking))*s.activeWeight <= 1
}

// charge adds an amount to the fair share of a task's class and tenant.
func (s *shares) charge(t *task, amount resource.Vector) {
	t.class.charged = t.class.charged.Add(amount)
	t.tenant.charged = t.tenant.charged.Add(amount)
	s.refresh(t.tenant)
}

// hold adds n tasks with an amount to what counts against the limits of the class.
func (s *shares) hold(cl *class, amount resource.Vector, n int) {
	cl.held = cl.held.Add(amount)
	cl.tasks += n
}

func (s *shares) enqueue(t *task) {
	t.state = queued
	t.rank = t.rankAt(s.now)
	if t.restarts() {
		s.restarts.insert(t, s.restarts.last)
	} else {
		t.tenant.push(t)
	}
	s.countQueued(t, 1)
	t.tenant.blocked = false
	s.refresh(t.tenant)
}

func (s *shares) requeueFront(t *task) {
	t.state = queued
	s.listOf(t).pushFront(t)
	s.countQueued(t, 1)
	t.tenant.blocked = false
	s.refresh(t.tenant)
}

// listOf returns the list in which a queued task is.
func (s *shares) listOf(t *task) *taskList {
	if t.restarts() {
		return &s.restarts
	}
	return &t.tenant.taskList
}

func (s *shares) dequeue(t *task) {
	s.listOf(t).remove(t)
	s.countQueued(t, -1)
	s.refresh(t.tenant)
}

func (s *shares) countQueued(t *task, n int) {
	t.class.queued += n
	t.class.needs[t.declared] += n
	if t.class.needs[t.declared] == 0 {
		delete(t.class.needs, t.declared)
	}
}

// refresh puts a tenant and its class where their shares and queues belong.
func (s *shares) refresh(q *tenantQueue) {
	q.key = q.charged.DominantShare(s.total)
	cl := q.class
	s.join(&q.shareItem)
	cl.ready.place(q, q.length > 0 && !q.blocked)
	s.refreshClass(cl)
}

func (s *shares) refreshClass(cl *class) {
	cl.key = s.normalized(cl, cl.charged)
	s.join(&cl.shareItem)
	s.order(cl)
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

// order puts a class where its key belongs, if it has a tenant to be looked at.
func (s *shares) order(cl *class) {
	h := &s.batch
	if cl.urgent {
		h = &s.urgent
	}
	h.place(cl, len(cl.ready) > 0 && !cl.blocked)
}

func (s *shares) join(i *shareItem) {
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

// rekey recomputes all keys after the total, the weights or the kinds have changed.
func (s *shares) rekey() {
	s.stale = false
	s.sumWeights()
	s.urgent, s.batch = s.urgent[:0], s.batch[:0]
	for _, cl := range s.classes {
		cl.pos = -1
		for _, q := range cl.ready {
			q.key = q.charged.DominantShare(s.total)
		}
		heap.Init(&cl.ready)
		s.refreshClass(cl)
	}
}

// next returns the tenant whose task is to be tried next, or nil.
func (s *shares) next() *tenantQueue {
	switch {
	case len(s.urgent) == 0 && len(s.batch) == 0:
		return nil
	case len(s.batch) == 0:
		return s.urgent[0].ready[0]
	case len(s.urgent) == 0:
		return s.batch[0].ready[0]
	}
	u, b := s.urgent[0], s.batch[0]
	if u.key <= b.key || s.entitled(u, u.ready[0].first.want) {
		return u.ready[0]
	}
	return b.ready[0]
}

// mostServed returns the largest weighted share of a batch class.
func (s *shares) mostServed() float64 {
	most := 0.0
	for _, cl := range s.classes {
		if !cl.urgent {
			most = max(most, cl.key)
		}
	}
	return most
}

// waiting counts the classes with queued tasks.
func (s *shares) waiting() int { return len(s.urgent) + len(s.batch) }

// block leaves a tenant out until unblock, until it queues another task, or until an urgent one is looked at again.
func (s *shares) block(q *tenantQueue) {
	q.blocked = true
	if q.class.urgent {
		s.blockedUrgent = append(s.blockedUrgent, q)
	} else {
		s.blockedBatch = append(s.blockedBatch, q)
	}
	cl := q.class
	cl.ready.place(q, false)
	s.order(cl)
}

// blockClass leaves a class out until unblock.
func (s *shares) blockClass(cl *class) {
	cl.blocked = true
	s.blockedClasses = append(s.blockedClasses, cl)
	s.refreshClass(cl)
}

// revisit lets at most limit urgent tenants that were left out be looked at again before the end of the cycle, if what
// has become free may hold one of their tasks: free resources go to urgent work first although the cycle has got to
// batch work.
func (s *shares) revisit(limit int, free func(resource.Vector) bool) {
	kept := s.blockedUrgent[:0]
	for _, q := range s.blockedUrgent {
		switch {
		case !q.blocked:
			q.class.forget(q)
		case limit > 0 && free(q.floor):
			limit--
			q.blocked = false
			s.refresh(q)
			q.class.forget(q)
		default:
			kept = append(kept, q)
		}
	}
	clear(s.blockedUrgent[len(kept):])
	s.blockedUrgent = kept
}

// unblock lets the tenants and classes left out be looked at again. If many come back, the order of the classes is
// built at once: moving them one by one would take most of the time of a Plan that ends a cycle.
func (s *shares) unblock() {
	s.cycle = 0
	for _, cl := range s.blockedClasses {
		cl.blocked = false
		s.refreshClass(cl)
	}
	s.blockedClasses = s.blockedClasses[:0]
	for _, back := range [...]struct {
		queues *[]*tenantQueue
		heap   *shareHeap[*class]
	}{{&s.blockedUrgent, &s.urgent}, {&s.blockedBatch, &s.batch}} {
		if len(*back.queues)*manyBack >= len(*back.heap) {
			s.admitAgain(*back.queues)
			heap.Init(&s.urgent)
			heap.Init(&s.batch)
		} else {
			s.revive(*back.queues)
		}
		clear(*back.queues)
		*back.queues = (*back.queues)[:0]
	}
}

// revive puts tenants back one by one.
func (s *shares) revive(queues []*tenantQueue) {
	for _, q := range queues {
		q.blocked = false
		s.refresh(q)
		q.class.forget(q)
	}
}

// admitAgain puts tenants and their classes back. The caller restores the order of the classes.
func (s *shares) admitAgain(queues []*tenantQueue) {
	for _, q := range queues {
		q.blocked = false
		q.key = q.charged.DominantShare(s.total)
		cl := q.class
		s.join(&q.shareItem)
		cl.ready.place(q, q.length > 0)
		q.class.forget(q)
		if len(cl.ready) == 0 || cl.blocked || cl.pos >= 0 {
			continue
		}
		s.join(&cl.shareItem)
		if cl.urgent {
			s.urgent.Push(cl)
		} else {
			s.batch.Push(cl)
		}
	}
}
