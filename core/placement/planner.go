// Package placement decides which task runs on which worker of a cell, and which tasks give way.
package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Worker describes a worker of the cell.
type Worker struct {
	ID       ident.WorkerID
	Rack     ident.Rack
	Pool     string
	Labels   []string
	Capacity resource.Vector
	// Leaving workers get no new tasks.
	Leaving bool
	// Quarantined workers get only probes: a single task at a time, and only if Probe is set.
	Quarantined  bool
	AcceptsProbe bool
	// LastResort lets a quarantined worker get a restart of a lasting task for which no other worker has room, one at a time.
	LastResort bool
}

// Pending is a task that waits for a worker.
type Pending struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Class   ident.ClassName
	Tenant  ident.TenantName
	Kind    table.Kind
	// Need is the declared size; the planner books more if usage of the class shows more.
	Need resource.Vector
	// RunTime is the declared run time; 0 if not known.
	RunTime time.Duration
	// Pool names the pool of workers that may run the task; empty allows all.
	Pool        string
	Constraints Constraints
	// Lasting tasks run until they are cancelled and never give way.
	Lasting     bool
	SubmittedAt time.Time
	// Deadline says until when the task is of use.
	Deadline Deadline
	// Evictions counts how often the task has been evicted.
	Evictions int
	// Avoid lists workers on which the task has failed.
	Avoid []ident.WorkerID
}

// Running is a task that holds resources on a worker.
type Running struct {
	Pending
	Worker    ident.WorkerID
	StartedAt time.Time
	// CheckpointedAt is when the last checkpoint was taken; zero if none.
	CheckpointedAt time.Time
}

// Start places a task on a worker. The planner has booked Booked on the worker.
type Start struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Booked  resource.Vector
}

// Evict frees the resources of a running task so that For can start there. The resources stay booked until
// Planner.Release is called for Task; For starts in the first Plan after that. On a worker that is over its capacity For
// is the running task that lacks the most, which may be Task itself.
type Evict struct {
	Task        ident.TaskID
	Attempt     ident.Attempt
	Worker      ident.WorkerID
	Beneficiary ident.TaskID
}

// Throttle sets the fraction of its processors that a running task may use, 0 < Fraction <= 1, or 0 for a filler. A start on the same
// worker in the same Plan relies on it: if the throttle fails, the caller must not perform the start and releases it.
type Throttle struct {
	Task     ident.TaskID
	Attempt  ident.Attempt
	Worker   ident.WorkerID
	Fraction float64
}

// Impossible names a task that no worker of the cell can ever hold, or that exceeds this cell's part of the limit of its
// class, and the dimension that fails. The task is reported once and stays with the planner until it is cancelled; it is
// queued again if a worker or limit comes that allows it.
type Impossible struct {
	Task      ident.TaskID
	Dimension resource.Dimension
	// Largest is the largest amount of that dimension on any worker.
	Largest resource.Vector
}

// Plan is a set of decisions. The caller performs evictions and throttles before starts.
type Plan struct {
	Starts     []Start
	Evictions  []Evict
	Throttles  []Throttle
	Impossible []Impossible
	// More is set if the Plan ended before it had looked at everything that waits. The caller calls Plan again at once.
	More bool
}

// Observation is a late measurement of one running task.
type Observation struct {
	Task ident.TaskID
	// Usage is what the task used; zero dimensions are not measured.
	Usage resource.Vector
	// TailRatio is the tail of the response times of a serving task, as a part of its target; 0 if not measured.
	TailRatio float64
	// Slowdown is the run speed alone divided by the speed seen, at least 1; 0 if not measured.
	Slowdown float64
	// At is when the measurement was taken, which may be well before it arrives.
	At time.Time
}

// Planner makes the placement decisions of one cell. It is one shard with its own lock; methods do not block.
type Planner interface {
	// SetTable puts the weights and limits of a table in force.
	SetTable(t *table.Table)
	// UpsertWorker adds a worker or updates its description; its tasks stay.
	UpsertWorker(w Worker)
	// RemoveWorker removes a worker and returns the tasks that were booked on it.
	RemoveWorker(id ident.WorkerID) []Running
	// Restore books a task that a worker's inventory shows to be running.
	Restore(r Running)
	// Submit queues tasks. A higher attempt of a task that is still booked is queued when the booked one is released.
	Submit(tasks []Pending)
	// Cancel removes a queued task; false if it is not queued.
	Cancel(id ident.TaskID) bool
	// Release frees what a task holds on its worker, once it has certainly stopped or was never started there.
	Release(id ident.TaskID)
	// Checkpointed notes a new checkpoint of a running task.
	Checkpointed(id ident.TaskID, at time.Time)
	// Observe takes late measurements into account.
	Observe(observations []Observation)
	// Plan decides at most limit starts, and less if its work is bounded before. Starts are booked at once; a start that fails is undone by Release.
	Plan(now time.Time, limit int) Plan
}
