package placement

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/forecast"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Cell makes the placement decisions of one cell. It implements Planner.
type Cell struct {
	// mu guards all fields. A decision and its booking happen under one lock, so that no two decisions use the same
	// resources.
	mu   sync.Mutex
	opts Options
	rng  *rand.Rand

	workers map[ident.WorkerID]*node
	// nodes lists the workers in random order; node.slot is the position. The random order keeps workers of one
	// rack apart, so that a run of consecutive slots is a random sample.
	nodes []*node
	// free indexes the resources that can be booked now, reclaimable those that urgent tasks can also get by
	// eviction.
	free, reclaimable maxTree

	tasks map[ident.TaskID]*task
	// resubmitted holds tasks that were submitted again before their evicted attempt was released.
	resubmitted map[ident.TaskID]Pending
	// parked holds the tasks that fit no worker or exceed a limit of their class. They are in no queue.
	parked map[ident.TaskID]*task
	// waiting lists the queued, claimed and parked tasks.
	waiting waitingList
	// fillerJobs holds the jobs of fillers.
	fillerJobs *fillerJobs

	shares *shares
	spread *rackSpread
	shapes *shapes
	// recheckDue is set when waiting tasks have to be checked against changed shapes or limits.
	recheckDue        bool
	impossibleReports []Impossible

	// claims lists the claims in the order in which they were made, completeClaims those that hold all that their tasks
	// need.
	claims, completeClaims []*claim
	// overloadedNodes lists the workers whose tasks need more than the capacity.
	overloadedNodes []*node
	// throttled lists the batch tasks with reduced processors.
	throttled []*task
	// freedNodes lists the workers on which resources became free since the last Plan, at most maxFreedNodes + 1.
	freedNodes []*node
	// backfillDepth is how many tasks of a queue may fail in the current cycle before the queue is blocked.
	backfillDepth int

	required  []Filter
	preferred []Filter
	scores    []weightedScore

	// planSeq numbers the Plan calls.
	planSeq uint64

	// The fields from sampledSlots to unmeasuredBuffer are buffers that decisions reuse.
	sampledSlots     []int
	candidates       []*node
	evictionOptions  []evictionOption
	guard            shareGuard
	loadBuffer       []Load
	unmeasuredBuffer []unmeasuredUse
	// images numbers the images of tasks in the order of their first use. baselineTails holds by that number the
	// usual tail of serving tasks without fillers, relative to the target.
	images        map[string]int
	baselineTails []float64
	// servingImages lists the images of serving tasks, and disturbances caches how much each filler image disturbs
	// them.
	servingImages []int
	disturbances  []imageDisturbance
	// measuredNodes lists the workers whose fillers or serving tasks were measured since the last Plan.
	measuredNodes []*node
	// probingWorkers counts the workers that accept probes.
	probingWorkers int
	// fillerMisses holds, for each signature of fillers, when a search last found no worker.
	fillerMisses map[taskSignature]stamp
	// poolUses caches poolUse by pool.
	poolUses map[string]poolUse
	// unreached holds the unreached capacity by pool.
	unreached map[string]Unreached
	lookAhead lookAhead
	clock
}

var _ Planner = (*Cell)(nil)

// NewCell returns a planner without workers. Equal seeds and equal calls give equal decisions.
func NewCell(seed uint64, opts Options) *Cell {
	opts = opts.withDefaults()
	return &Cell{
		opts:         opts,
		rng:          rand.New(rand.NewPCG(seed, uint64(opts.Cell))),
		workers:      make(map[ident.WorkerID]*node),
		tasks:        make(map[ident.TaskID]*task),
		resubmitted:  make(map[ident.TaskID]Pending),
		parked:       make(map[ident.TaskID]*task),
		shares:       newShares(opts),
		fillerJobs:   newFillerJobs(),
		spread:       newRackSpread(),
		images:       make(map[string]int),
		fillerMisses: make(map[taskSignature]stamp),
		poolUses:     make(map[string]poolUse),
		unreached:    make(map[string]Unreached),
		lookAhead:    lookAhead{runTimes: forecast.NewRunTimes()},
		shapes:       newShapes(),
		required: []Filter{
			leavingFilter{},
			evacuatedFilter{},
			quarantineFilter{},
			avoidFilter{},
			poolFilter{},
			labelFilter{},
			perWorkerFilter{},
			fillerFilter{},
		},
		preferred: []Filter{spreadFilter{}, preferUnavoidedFilter{}},
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

// SetLimitShare changes the cell's share of the fleet limits; see Options.Cells and Options.ShareShift.
func (c *Cell) SetLimitShare(cells int, shareShift uint8) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.shares.cells = max(cells, 1)
	c.shares.shareShift = shareShift
	c.reconfigure()
}

func (c *Cell) reconfigure() {
	c.shares.reconfigure()
	c.shares.recomputeKeys()
	c.recheckDue = true
	for _, n := range c.nodes {
		n.updateKinds(c.shares.classes)
		c.reindex(n)
	}
}

// UpsertWorker implements Planner. Bookings above a reduced capacity are corrected by the next Plan.
func (c *Cell) UpsertWorker(w Worker) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Capacity = clampAmounts(w.Capacity)
	n := c.ensureNode(w.ID)
	c.subtractCapacity(n)
	// The worker is in its rack twice for a moment, so that a rack of one worker keeps its number.
	c.moveRack(n, c.spread.addWorker(w.Rack, n))
	if n.described {
		c.spread.removeWorker(n.worker.Rack, n)
	}
	if w.Leaving || w.Evacuated || w.Quarantined || !n.worker.Capacity.Fits(w.Capacity) {
		c.requeueClaims(n)
	}
	n.worker = w
	n.described = true
	c.noteFreed(n)
	c.addCapacity(n)
	n.shrinkBookings()
	c.distributeFree(n)
}

// RemoveWorker implements Planner.
func (c *Cell) RemoveWorker(id ident.WorkerID) []Running {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, ok := c.workers[id]
	if !ok {
		return nil
	}
	c.requeueClaims(n)
	lost := make([]Running, 0, len(n.tasks))
	for len(n.tasks) > 0 {
		t := n.tasks[0]
		lost = append(lost, c.running(t))
		c.unbook(t)
		c.resubmit(t.id)
	}
	c.subtractCapacity(n)
	if n.described {
		c.spread.removeWorker(n.worker.Rack, n)
	}
	c.removeNode(n)
	return lost
}

// SetUnreached implements Planner.
func (c *Cell) SetUnreached(u Unreached) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if u.Workers == 0 {
		delete(c.unreached, u.Pool)
		return
	}
	u.Capacity = clampAmounts(u.Capacity)
	c.unreached[u.Pool] = u
}

// Restore implements Planner. A task that is already booked moves to the worker of the inventory, unless the
// inventory has an older attempt; one that was to be evicted from the worker runs on. A worker that is not described yet keeps its tasks until UpsertWorker gives its
// capacity.
func (c *Cell) Restore(r Running) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tasks[r.Task]; ok {
		if t.node != nil && r.Attempt < t.attempt {
			return
		}
		if t.node != nil && r.Attempt == t.attempt && t.node.worker.ID == r.Worker {
			t.startedAt = c.stampOf(r.StartedAt)
			t.checkpointedAt = max(t.checkpointedAt, c.stampOf(r.CheckpointedAt))
			c.revokeEviction(t)
			return
		}
		c.removeTask(t)
	}
	cl := c.shares.class(r.Class, r.Kind)
	t := c.newTask(r.Pending, cl)
	t.image = c.imageOf(r.Constraints)
	t.startedAt = c.stampOf(r.StartedAt)
	t.checkpointedAt = c.stampOf(r.CheckpointedAt)
	// The pace that the previous owner of the cell set is unknown.
	t.paceKnown = false
	c.track(t)
	n := c.ensureNode(r.Worker)
	c.book(t, n)
	c.distributeFree(n)
	c.restoreFullSpeed(t)
}

// startClock starts the clock with the first Plan. The tasks that were submitted before count as queued from now on.
func (c *Cell) startClock(now time.Time) {
	c.advance(now)
	for _, t := range c.tasks {
		if t.queuedAt == noTime {
			t.queuedAt = c.now
		}
	}
	c.restartIdleWaits()
}

// Submit implements Planner. A task that is known and not running is replaced. A higher attempt of a booked task is
// queued when the booked attempt is released; otherwise a booked task stays as it is.
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
		c.removeTask(old)
	}
	t := c.newTask(p, c.shares.class(p.Class, p.Kind))
	t.image = c.imageOf(p.Constraints)
	if !c.plannedAt.IsZero() {
		t.queuedAt = c.now
	}
	c.track(t)
	c.waiting.add(t)
	c.joinJob(t)
	if d, largest := c.impossibleDimension(t); d != "" {
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
	c.removeTask(t)
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
	c.learnRunTime(t)
	j := t.job
	moved := t.state == evicting
	c.removeTask(t)
	c.resubmit(id)
	if moved && j != nil {
		c.keepIdleTime(j, id)
	}
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
		t.checkpointedAt = max(t.checkpointedAt, c.stampOf(at))
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
			t.usedMilliCPU = min(max(o.Usage.MilliCPU, 0), maxAmount)
			c.noteMeasured(t.node)
		case o.TailRatio > 0:
			t.tail, t.tailAt = o.TailRatio, c.stampOf(o.At)
			serving = append(serving, t)
			c.noteMeasured(t.node)
		default:
			c.observeUsage(t, o)
		}
	}
	for _, t := range serving {
		c.learnTail(t)
	}
}

// Queued returns the number of tasks that wait in queues.
func (c *Cell) Queued() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	queued := 0
	for _, cl := range c.shares.classes {
		queued += cl.queued
	}
	return queued
}

// Booked returns the resources that are booked on a worker, or zero if the worker is unknown.
func (c *Cell) Booked(id ident.WorkerID) resource.Vector {
	c.mu.Lock()
	defer c.mu.Unlock()
	if n, ok := c.workers[id]; ok {
		return n.booked
	}
	return resource.Vector{}
}
