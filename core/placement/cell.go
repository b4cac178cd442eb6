package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Cell makes the placement decisions of one cell. It implements Planner.
type Cell struct {
	// mu guards all fields: a decision and its booking are one step, so that no two decisions use the same resources.
	mu   sync.Mutex
	opts Options
	rng  *rand.Rand

	workers map[ident.WorkerID]*node
	// nodes lists the workers in random order; node.slot is the position. The order keeps workers of one rack apart,
	// so that a run of consecutive slots is a random sample.
	nodes []*node
	// free indexes what may be booked now, reclaimable what urgent tasks may get by eviction.
	free, reclaimable maxTree

	tasks map[ident.TaskID]*task
	// resubmitted holds tasks that were submitted again before their evicted attempt was released.
	resubmitted map[ident.TaskID]Pending
	parked      map[ident.TaskID]*task

	shares *shares
	spread *spread
	shapes *shapes
	// sweepDue is set when waiting tasks are to be checked against new shapes or limits.
	sweepDue bool
	reports  []Impossible

	// claims lists the claims in the order in which they were made; complete those that hold all they need.
	claims, complete []*claim
	// pressed lists workers that are over their capacity.
	pressed []*node
	// throttled lists tasks with reduced processors.
	throttled []*task
	// freed lists workers on which something has become free since the last Plan, at most maxFreed + 1.
	freed []*node
	// depth is how many tasks of a queue may fail in the present cycle before the queue is left out.
	depth int

	required  []Filter
	preferred []Filter
	scores    []weightedScore

	// round numbers the Plan calls.
	round uint64

	slots      []int
	candidates []*node
	priced     []priced
	giving     taking
	loads      []Load
	unseenUses []unseenUse
	// images numbers the images of tasks in the order of their first use, and quiet holds by that number the usual tail of
	// serving tasks without fillers, as a part of the target.
	images map[string]int
	quiet  []float64
	// serving lists the numbers of the images that serve, and noises tells how much filler images disturb them.
	serving []int
	noises  []noisiness
	// measured lists the workers whose fillers or serving tasks were measured since the last Plan.
	measured []*node
	// missed holds when no worker was found for a group of fillers.
	missed map[group]stamp
	// now is the time of the last Plan call.
	now stamp
}

var _ Planner = (*Cell)(nil)

// NewCell returns a planner without workers. Equal seeds and equal calls give equal decisions.
func NewCell(seed uint64, opts Options) *Cell {
	opts = opts.withDefaults()
	return &Cell{
		opts:        opts,
		rng:         rand.New(rand.NewPCG(seed, uint64(opts.Cell))),
		workers:     make(map[ident.WorkerID]*node),
		tasks:       make(map[ident.TaskID]*task),
		resubmitted: make(map[ident.TaskID]Pending),
		parked:      make(map[ident.TaskID]*task),
		shares:      newShares(opts),
		spread:      newSpread(),
		images:      make(map[string]int),
		missed:      make(map[group]stamp),
		shapes:      newShapes(),
		required: []Filter{
			leavingFilter{}, quarantineFilter{}, avoidFilter{}, poolFilter{}, labelFilter{}, perWorkerFilter{}, fillerFilter{},
		},
		preferred: []Filter{spreadFilter{}},
		scores: []weightedScore{
			{interferenceScore{opts.Interference}, 2},
			{packingScore{}, 1},
			{spreadScore{}, 0.5},
		},
	}
}

// SetTable implements Planner.
func (c *Cell) SetTable(t *table.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.table = t
	c.reconfigure()
}

// SetLimitShare changes this cell's part of the limits of the fleet, see Options.
func (c *Cell) SetLimitShare(cells int, shareShift uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.cells = max(cells, 1)
	c.shares.shift = shareShift
	c.reconfigure()
}

func (c *Cell) reconfigure() {
	c.shares.reconfigure()
	c.shares.rekey()
	c.sweepDue = true
	for _, n := range c.nodes {
		n.recount(c.shares.classes)
		c.reindex(n)
	}
}

// UpsertWorker implements Planner. Bookings above a smaller capacity are corrected by the next Plan.
func (c *Cell) UpsertWorker(w Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Capacity = bounded(w.Capacity)
	n := c.node(w.ID)
	c.forgetCapacity(n)
	c.moveRack(n, c.spread.join(w.Rack))
	if n.known {
		c.spread.leave(n.worker.Rack)
	}
	if w.Leaving || w.Quarantined || !n.worker.Capacity.Fits(w.Capacity) {
		c.dropClaims(n)
	}
	n.worker = w
	n.known = true
	c.noteFreed(n)
	c.countCapacity(n)
	n.shrink()
	c.settle(n)
}

// RemoveWorker implements Planner.
func (c *Cell) RemoveWorker(id ident.WorkerID) []Running {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.workers[id]
	if !ok {
		return nil
	}
	c.dropClaims(n)
	lost := make([]Running, 0, len(n.tasks))
	for len(n.tasks) > 0 {
		t := n.tasks[0]
		lost = append(lost, t.running())
		c.vacate(t)
		c.resubmit(t.id)
	}
	c.forgetCapacity(n)
	if n.known {
		c.spread.leave(n.worker.Rack)
	}
	c.removeNode(n)
	return lost
}

// Restore implements Planner. A task that is already booked moves to the worker of the inventory, unless the attempt
// there is an older one. A worker not yet described keeps its tasks until UpsertWorker tells its capacity.
func (c *Cell) Restore(r Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tasks[r.Task]; ok {
		if t.node != nil && r.Attempt < t.attempt {
			return
		}
		if t.node != nil && r.Attempt == t.attempt && t.node.worker.ID == r.Worker {
			t.started = stampOf(r.StartedAt)
			t.checkpointed = max(t.checkpointed, stampOf(r.CheckpointedAt))
			return
		}
		c.drop(t)
	}
	cl := c.shares.class(r.Class, r.Kind)
	t := newTask(r.Pending, cl)
	t.image = c.imageOf(r.Constraints)
	t.started = stampOf(r.StartedAt)
	t.checkpointed = stampOf(r.CheckpointedAt)
	// What the predecessor told the worker is not known.
	t.paceKnown = false
	c.track(t)
	n := c.node(r.Worker)
	c.book(t, n)
	c.settle(n)
}

// Submit implements Planner. A task that is known and not running is replaced. One that is being evicted is queued
// when its resources are released; one that is running is left alone.
func (c *Cell) Submit(tasks []Pending) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range tasks {
		c.submit(p)
	}
}

func (c *Cell) submit(p Pending) {
	if old, ok := c.tasks[p.Task]; ok {
		switch {
		case old.node != nil && p.Attempt > old.attempt:
			c.resubmitted[p.Task] = p
			return
		case old.node != nil:
			return
		}
		c.drop(old)
	}
	t := newTask(p, c.shares.class(p.Class, p.Kind))
	t.image = c.imageOf(p.Constraints)
	t.queuedAt = c.now
	c.track(t)
	if d, largest := c.impossible(t); d != "" {
		c.park(t, d, largest)
		return
	}
	c.shares.enqueue(t)
}

// Cancel implements Planner.
func (c *Cell) Cancel(id ident.TaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.resubmitted[id]; ok {
		delete(c.resubmitted, id)
		return true
	}
	t, ok := c.tasks[id]
	if !ok || t.node != nil {
		return false
	}
	c.drop(t)
	return true
}

// Release implements Planner.
func (c *Cell) Release(id ident.TaskID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.tasks[id]
	if !ok || t.node == nil {
		return
	}
	c.drop(t)
	c.resubmit(id)
}

// resubmit queues a task that was submitted again before its evicted attempt was released.
func (c *Cell) resubmit(id ident.TaskID) {
	if p, ok := c.resubmitted[id]; ok {
		delete(c.resubmitted, id)
		c.submit(p)
	}
}

// Checkpointed implements Planner.
func (c *Cell) Checkpointed(id ident.TaskID, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tasks[id]; ok && t.node != nil {
		t.checkpointed = max(t.checkpointed, stampOf(at))
	}
}

// Observe implements Planner.
func (c *Cell) Observe(observations []Observation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var serving []*task
	for _, o := range observations {
		t, ok := c.tasks[o.Task]
		switch {
		case !ok || t.node == nil:
		case t.constraints.Filler:
			t.using = min(max(o.Usage.MilliCPU, 0), maxAmount)
			c.noteMeasured(t.node)
		case o.TailRatio > 0:
			t.tail, t.tailAt = o.TailRatio, stampOf(o.At)
			serving = append(serving, t)
			c.noteMeasured(t.node)
		default:
			c.observe(t, o)
		}
	}
	for _, t := range serving {
		c.learnTail(t)
	}
}

// Queued counts the tasks that wait for a worker.
func (c *Cell) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued := 0
	for _, cl := range c.shares.classes {
		queued += cl.queued
	}
	return queued
}

// Booked returns what is booked on a worker.
func (c *Cell) Booked(id ident.WorkerID) resource.Vector {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.workers[id]; ok {
		return n.booked
	}
	return resource.Vector{}
}
