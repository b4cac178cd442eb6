package placement

import (
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// state is the state of a task in the planner.
type state uint8

const (
	// queued tasks wait in the queue of their class and tenant or, for restarts, in shares.restarts.
	queued state = iota
	// parked tasks can never run in the cell as it is and wait for a larger worker or a higher limit.
	parked
	// claimed tasks wait for resources of one worker to become free.
	claimed
	// running tasks are booked on a worker.
	running
	// evicting tasks are booked on a worker and have been told to stop.
	evicting
)

// task is a task known to the planner.
type task struct {
	id      ident.TaskID
	attempt ident.Attempt
	state   state
	// evictions counts how often the task has been evicted.
	evictions int32
	class     *class
	tenant    *tenantQueue
	// prev and next link the tasks of a queue, so that a cancelled task leaves it at once.
	prev, next *task
	// waitingPrev and waitingNext link the tasks in Cell.waiting; explainedAt is when LongestWaiting last took the task.
	waitingPrev, waitingNext *task
	explainedAt              stamp

	declared resource.Vector
	// desired is what the task should have booked, booked what it has booked, never more than desired. They differ
	// only on an overloaded worker.
	desired, booked resource.Vector
	// unthrottledCPU is desired.MilliCPU without throttling; 0 if the task is not throttled.
	unthrottledCPU int64

	runTime     time.Duration
	pool        string
	constraints Constraints
	// queuedAt is when the task was queued; noTime until the first Plan.
	queuedAt stamp
	// demandMilliCPU is the processors that a filler would use if available, usedMilliCPU those last measured, in
	// thousandths.
	demandMilliCPU, usedMilliCPU int64
	// pace is the fraction of its full speed at which a filler may run, set at pacedAt; paceKnown is false if the
	// pace that its worker applies is unknown.
	pace    float64
	pacedAt stamp
	// harmfulPace is the pace from which the filler was last slowed down, at slowedAt.
	harmfulPace float64
	slowedAt    stamp
	paceKnown   bool
	// image is the number of the task's image.
	image int
	// tail is the last measured tail latency of a serving task, relative to its target.
	tail   float64
	tailAt stamp
	// comparedTail and comparedUses are the tail and the filler uses on the worker that learnTail last compared, at
	// comparedAt.
	comparedTail float64
	comparedUses []use
	comparedAt   stamp
	lasting      bool
	// restart is set for a lasting task that may have run before.
	restart     bool
	submittedAt stamp
	// deadline, objective, criticalPath and jobStarted are those of Deadline; deadline is noTime without an
	// objective. rank is the rank under which the task is queued.
	deadline       stamp
	objective      time.Duration
	criticalPath   time.Duration
	jobStarted     bool
	rank           rank
	startedAt      stamp
	checkpointedAt stamp
	// blockedSince is when the task first failed to fit while it was the first of its queue.
	blockedSince stamp
	// retryAt is when displacing other tasks for this one may be tried again.
	retryAt stamp
	// reserveRetryAt is when the next worker may be reserved for the task, expiredClaims counts the reservations for it
	// that expired.
	reserveRetryAt stamp
	expiredClaims  int32
	avoid          []ident.WorkerID
	// startedInPlan is the planSeq of the Plan that started the task.
	startedInPlan uint64

	// job is the job of a filler, jobPrev and jobNext link the tasks of one list of it. working is set while the task
	// counts in fillerJob.working.
	job              *fillerJob
	jobPrev, jobNext *task
	working          bool

	node *node
	// slot is the position in node.tasks.
	slot  int
	claim *claim
}

func (c *Cell) newTask(p Pending, cl *class) *task {
	demand := int64(0)
	if p.Constraints.Filler {
		demand = min(max(p.Need.MilliCPU, 0), maxAmount)
		p.Need.MilliCPU = 0
	}
	return &task{
		id:             p.Task,
		attempt:        p.Attempt,
		evictions:      int32(min(max(p.Evictions, 0), math.MaxInt32)),
		class:          cl,
		tenant:         cl.tenant(p.Tenant),
		declared:       clampAmounts(p.Need),
		desired:        clampAmounts(p.Need),
		runTime:        max(0, p.RunTime),
		pool:           p.Pool,
		constraints:    p.Constraints,
		demandMilliCPU: demand,
		pace:           1,
		paceKnown:      true,
		pacedAt:        noTime,
		slowedAt:       noTime,
		tailAt:         noTime,
		comparedAt:     noTime,
		explainedAt:    noTime,
		lasting:        p.Lasting,
		restart:        p.Restart,
		submittedAt:    c.stampOf(p.SubmittedAt),
		deadline:       c.stampOf(p.Deadline.At),

		objective:      p.Deadline.Objective,
		criticalPath:   p.Deadline.CriticalPath,
		jobStarted:     p.Deadline.JobStarted,
		startedAt:      noTime,
		checkpointedAt: noTime,
		blockedSince:   noTime,
		queuedAt:       noTime,
		retryAt:        noTime,
		reserveRetryAt: noTime,
		avoid:          p.Avoid,
	}
}

// pending returns the task as it was submitted.
func (c *Cell) pending(t *task) Pending {
	need := t.declared
	need.MilliCPU += t.demandMilliCPU
	return Pending{
		Task:        t.id,
		Attempt:     t.attempt,
		Class:       t.class.name,
		Tenant:      t.tenant.name,
		Kind:        t.class.kind(),
		Need:        need,
		RunTime:     t.runTime,
		Pool:        t.pool,
		Constraints: t.constraints,
		Lasting:     t.lasting,
		Restart:     t.restart,
		SubmittedAt: c.timeOf(t.submittedAt),
		Deadline:    Deadline{At: c.timeOf(t.deadline), Objective: t.objective, CriticalPath: t.criticalPath, JobStarted: t.jobStarted},
		Evictions:   int(t.evictions),
		Avoid:       t.avoid,
	}
}

func (c *Cell) running(t *task) Running {
	return Running{
		Pending:        c.pending(t),
		Worker:         t.node.worker.ID,
		StartedAt:      c.timeOf(t.startedAt),
		CheckpointedAt: c.timeOf(t.checkpointedAt),
	}
}

// clampAmounts returns v with each amount limited to the range from 0 to maxAmount.
func clampAmounts(v resource.Vector) resource.Vector {
	return minPerDimension(v.Max(resource.Vector{}), resource.Vector{MilliCPU: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount})
}

// minPerDimension returns the smaller amount in each dimension.
func minPerDimension(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
