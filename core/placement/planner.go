// Package placement decides which worker of a cell runs which task, and which tasks are throttled or evicted for
// others.
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
	// Leaving workers get no new tasks. Unlisted is set if that is only because the host list lacks the worker, which still
	// answers.
	Leaving  bool
	Unlisted bool
	// Evacuated workers get no new tasks either, but stay part of the capacity of their pool.
	Evacuated bool
	// Quarantined workers get only probes: a single task at a time, and only if AcceptsProbe is set.
	Quarantined  bool
	AcceptsProbe bool
	// LastResort lets a quarantined worker get restarts of lasting tasks for which no other worker has capacity,
	// one at a time.
	LastResort bool
}

// Pending is a task that waits for a worker.
type Pending struct {
	Task    ident.TaskID
	Attempt ident.Attempt
	Class   ident.ClassName
	Tenant  ident.TenantName
	Kind    table.Kind
	// Need is the declared size. The planner books more if the class has been measured to use more.
	Need resource.Vector
	// RunTime is the declared run time; 0 if not known.
	RunTime time.Duration
	// Pool names the pool of workers that may run the task; empty allows all.
	Pool        string
	Constraints Constraints
	// Lasting tasks run until they are cancelled and are never evicted.
	Lasting bool
	// Restart is set for a lasting task that may have run before.
	Restart     bool
	SubmittedAt time.Time
	// Deadline is the time by which the result of the task is needed.
	Deadline Deadline
	// Evictions counts how often the task has been evicted.
	Evictions int
	// Avoid lists workers on which the task has failed.
	Avoid []ident.WorkerID
}

// Unreached is the capacity of the workers of a pool that are listed and that the owner does not reach. Nothing is placed
// there, but it counts where a rule depends on how much of the pool is in use.
type Unreached struct {
	Pool     string
	Workers  int
	Capacity resource.Vector
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

// Evict frees the resources of a running task so that Beneficiary can start on its worker. The resources stay
// booked until Planner.Release is called for Task; Beneficiary starts in the first Plan after that. On an
// overloaded worker Beneficiary is the running task that lacks the most of its booking, which may be Task itself. A
// paused filler that is moved to another worker is its own Beneficiary.
type Evict struct {
	Task        ident.TaskID
	Attempt     ident.Attempt
	Worker      ident.WorkerID
	Beneficiary ident.TaskID
}

// Throttle sets the fraction of its processors that a running task may use: 0 < Fraction <= 1, or 0 to pause a
// filler. A start on the same worker in the same Plan depends on it: if the throttle fails, the caller must not
// perform the start and must release it. A throttle of a task that the same Plan starts follows the start.
type Throttle struct {
	Task     ident.TaskID
	Attempt  ident.Attempt
	Worker   ident.WorkerID
	Fraction float64
}

// Impossible reports a task that no worker of the cell can ever hold, or that exceeds the cell's share of the limit
// of its class, and the dimension that fails. The task is reported once and stays with the planner until it is
// cancelled; it is queued again if a new worker or limit allows it.
type Impossible struct {
	Task      ident.TaskID
	Dimension resource.Dimension
	// Largest is the largest amount that a task could have, in each dimension.
	Largest resource.Vector
}

// Plan is a set of decisions. The caller performs evictions and throttles before starts.
type Plan struct {
	Starts     []Start
	Evictions  []Evict
	Throttles  []Throttle
	Impossible []Impossible
	// More is set if the Plan ended before it had considered all waiting tasks. The caller should call Plan again
	// at once.
	More bool
}

// Observation is a measurement of one running task, which may arrive late.
type Observation struct {
	Task ident.TaskID
	// Usage is what the task used; dimensions of 0 were not measured.
	Usage resource.Vector
	// TailRatio is the tail latency of a serving task divided by its target; 0 if not measured.
	TailRatio float64
	// Slowdown is the speed of the task when run alone divided by the measured speed, at least 1; 0 if not
	// measured.
	Slowdown float64
	// At is when the measurement was taken, which may be well before it arrives.
	At time.Time
}

// Planner makes the placement decisions of one cell. It is one shard with its own lock; methods do not block.
type Planner interface {
	// SetTable applies the weights and limits of a table.
	SetTable(t *table.Table)
	// UpsertWorker adds a worker or updates its description; its tasks stay.
	UpsertWorker(w Worker)
	// RemoveWorker removes a worker and returns the tasks that were booked on it.
	RemoveWorker(id ident.WorkerID) []Running
	// SetUnreached replaces the unreached capacity of a pool.
	SetUnreached(u Unreached)
	// Restore books a task that a worker's inventory shows to be running. It revokes an eviction of the same attempt.
	Restore(r Running)
	// Submit queues tasks. A higher attempt of a task that is still booked is queued when the booked one is released.
	Submit(tasks []Pending)
	// Cancel removes a queued task. It returns false if the task is not queued.
	Cancel(id ident.TaskID) bool
	// Release frees what a task holds on its worker, once it has certainly stopped or was never started there.
	Release(id ident.TaskID)
	// Checkpointed records a new checkpoint of a running task.
	Checkpointed(id ident.TaskID, at time.Time)
	// Observe updates the estimates with measurements.
	Observe(observations []Observation)
	// Plan decides at most limit starts, or fewer if it reaches its work bound first. Starts are booked at once; a
	// start that fails is undone by Release.
	Plan(now time.Time, limit int) Plan
}
