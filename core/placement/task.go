package placement

import (
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// state is where a task is in the planner.
type state uint8

const (
	// queued tasks wait in the queue of their class and tenant.
	queued state = iota
	// parked tasks fit no worker of the cell and wait for a larger one.
	parked
	// claimed tasks wait for resources of one worker to become free.
	claimed
	// running tasks are booked on a worker.
	running
	// evicting tasks are booked on a worker and have been told to stop.
	evicting
)

// noTime stands for the zero time.Time in a stamp.
const noTime = stamp(math.MinInt64)

// stamp is a moment in nanoseconds since 1970. It takes a third of the memory of a time.Time.
type stamp int64

func stampOf(t time.Time) stamp {
	if t.IsZero() {
		return noTime
	}
	return stamp(t.UnixNano())
}

func (s stamp) time() time.Time {
	if s == noTime {
		return time.Time{}
	}
	return time.Unix(0, int64(s))
}

// since returns the time from o to s, at least 0.
func (s stamp) since(o stamp) time.Duration {
	if o == noTime {
		return 0
	}
	return max(0, time.Duration(s-o))
}

// task is a task known to the planner.
type task struct {
	id      ident.TaskID
	attempt ident.Attempt
	state   state
	// evictions counts how often the task has been evicted.
	evictions int32
	class     *class
	tenant    *tenantQueue
	// prev and next link the queue of the tenant, so that a cancelled task leaves it at once.
	prev, next *task

	declared resource.Vector
	// want is what the task should have booked; booked is what it has booked, never more than want. They differ only
	// on a worker that is over its capacity.
	want, booked resource.Vector
	// fullCPU is want.MilliCPU without throttling; 0 if the task is not throttled.
	fullCPU int64

	runTime     time.Duration
	pool        string
	constraints Constraints
	// queuedAt is when the task was queued.
	queuedAt stamp
	// wish is what a filler would use if it could, and using what it was last seen to use, in thousandths of a processor.
	wish, using int64
	// pace is the part of its speed at which a filler may work, since pacedAt; paceKnown says that its worker knows it.
	pace    float64
	pacedAt stamp
	// harmful is the speed from which the filler was slowed down last, at slowedAt.
	harmful   float64
	slowedAt  stamp
	paceKnown bool
	// image is the number of the task's image.
	image int
	// tail is the last measured tail of a serving task, as a part of its target.
	tail   float64
	tailAt stamp
	// tailBefore and usesBefore are the tail and the use of the fillers beside the task that were compared last, at beforeAt.
	tailBefore float64
	usesBefore []use
	beforeAt   stamp
	lasting    bool
	submitted  stamp
	// due, objective, remainingChain and begun are those of Due; due is noTime without an objective. rank is the rank
	// under which the task is queued.
	due            stamp
	objective      time.Duration
	remainingChain time.Duration
	begun          bool
	rank           rank
	started        stamp
	checkpointed   stamp
	// blocked is when the task first failed to fit as the first one of its queue.
	blocked stamp
	// retryAt is when evictions may be tried for the task again.
	retryAt stamp
	avoid   []ident.WorkerID
	// round is the Plan call that started the task.
	round uint64

	node *node
	// slot is the position in node.tasks.
	slot  int
	claim *claim
}

func newTask(p Pending, cl *class) *task {
	wish := int64(0)
	if p.Constraints.Filler {
		wish = min(max(p.Need.MilliCPU, 0), maxAmount)
		p.Need.MilliCPU = 0
	}
	return &task{
		id:          p.Task,
		attempt:     p.Attempt,
		evictions:   int32(min(max(p.Evictions, 0), math.MaxInt32)),
		class:       cl,
		tenant:      cl.tenant(p.Tenant),
		declared:    bounded(p.Need),
		want:        bounded(p.Need),
		runTime:     max(0, p.RunTime),
		pool:        p.Pool,
		constraints: p.Constraints,
		wish:        wish,
		pace:        1,
		paceKnown:   true,
		pacedAt:     noTime,
		slowedAt:    noTime,
		tailAt:      noTime,
		beforeAt:    noTime,
		lasting:     p.Lasting,
		submitted:   stampOf(p.SubmittedAt),
		due:         stampOf(p.Deadline.At),

		objective:      p.Deadline.Objective,
		remainingChain: p.Deadline.CriticalPath,
		begun:          p.Deadline.JobStarted,
		started:        noTime,
		checkpointed:   noTime,
		blocked:        noTime,
		retryAt:        noTime,
		avoid:          p.Avoid,
	}
}

// pending returns the task as it was submitted.
func (t *task) pending() Pending {
	need := t.declared
	need.MilliCPU += t.wish
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
		SubmittedAt: t.submitted.time(),
		Deadline:    Deadline{At: t.due.time(), Objective: t.objective, CriticalPath: t.remainingChain, JobStarted: t.begun},
		Evictions:   int(t.evictions),
		Avoid:       t.avoid,
	}
}

func (t *task) running() Running {
	return Running{
		Pending:        t.pending(),
		Worker:         t.node.worker.ID,
		StartedAt:      t.started.time(),
		CheckpointedAt: t.checkpointed.time(),
	}
}

// bounded returns v with each amount between 0 and maxAmount.
func bounded(v resource.Vector) resource.Vector {
	return least(v.Max(resource.Vector{}), resource.Vector{MilliCPU: maxAmount, MemoryMB: maxAmount, Accelerators: maxAmount})
}

// least returns the smaller amount in each dimension.
func least(a, b resource.Vector) resource.Vector {
	return resource.Vector{
		MilliCPU:     min(a.MilliCPU, b.MilliCPU),
		MemoryMB:     min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}
