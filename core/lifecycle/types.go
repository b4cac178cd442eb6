// Package lifecycle holds the jobs, tasks and attempts of one cell and decides what follows from each event: which
// commands go to workers and to the planner, and which records go to the cell log.
//
// A Cell is one shard under its own lock. It does no I/O and takes the time as an argument. What callers see changes
// only once the record behind it is durable; what concerns scheduling changes at once.
package lifecycle

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// LeaseDuration is how long a task may run on its worker after the token of its last renewal was issued, unless the
	// Policy of the cell says otherwise.
	LeaseDuration = 10 * time.Second
	// LeaseMargin covers the difference between the rates of the clocks of owner and worker.
	LeaseMargin = time.Second

	// MaxTasksPerJob bounds one job.
	MaxTasksPerJob = 20_000
	// MaxGroupsPerJob bounds the distinct task shapes of one job.
	MaxGroupsPerJob = 64
	// MaxStretch bounds the objective of a job.
	MaxStretch = 1000
	// MaxRunTime bounds a declared run time, so that sums of them stay in range.
	MaxRunTime = 10 * 365 * 24 * time.Hour
	// MaxCommandBytes bounds the command of one task group.
	MaxCommandBytes = 4096
	// MaxNameBytes bounds the names and the client token of a job.
	MaxNameBytes = 200
)

// State is the state of a task, or of a job as a whole.
type State uint8

// The states of a task. Done, Failed and Cancelled are final.
const (
	Queued State = iota
	Starting
	Running
	Evicting
	Done
	Failed
	Cancelled
	Impossible
)

var stateNames = [...]string{
	"queued", "starting", "running", "evicting", "done", "failed", "cancelled", "impossible",
}

// String returns the external form of the state.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "invalid"
}

// ParseState returns the state with the given external form.
func ParseState(name string) (State, error) {
	for i, n := range stateNames {
		if n == name {
			return State(i), nil
		}
	}
	return Queued, fmt.Errorf("unknown task state %q", name)
}

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Done || s == Failed || s == Cancelled
}

// TaskGroup describes Count equal tasks of a job.
type TaskGroup struct {
	Count int
	// Need is the declared size of one task.
	Need resource.Vector
	// RunTime is the declared run time; 0 if not known.
	RunTime time.Duration
	// Command says what to run; only the worker interprets it.
	Command string
	// After lists earlier groups of the job, by number. No task of this group starts before all of their tasks are done.
	After []int
	// Lasting tasks run until the job is cancelled. They are started again however they end, and never use up retries.
	Lasting bool
	// Volatile tasks save no progress: a stop loses it all.
	Volatile bool
	// TailTarget is what the tail of the response times of serving tasks must stay below; 0 if the tasks do not serve.
	TailTarget time.Duration
	// Constraints says where the tasks may run, and beside what.
	Constraints placement.Constraints
}

// equal reports whether two groups ask for the same work.
func (g TaskGroup) equal(o TaskGroup) bool {
	return g.Count == o.Count && g.Need == o.Need && g.RunTime == o.RunTime && g.Command == o.Command &&
		slices.Equal(g.After, o.After) && g.Lasting == o.Lasting && g.Volatile == o.Volatile &&
		g.TailTarget == o.TailTarget && g.Constraints == o.Constraints
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Name  string
	Class ident.ClassName
	// Tenant and Kind are taken from the table when the job is accepted.
	Tenant ident.TenantName
	Kind   table.Kind
	// ClientToken makes a repeated submission safe; empty if the caller sent none.
	ClientToken string
	// ClientNumber is the caller's own number for the job, the same at every host; 0 lets the cell assign the id. A repeated
	// submission under a number is safe.
	ClientNumber uint64
	// Pool names the pool of workers that may run the job; empty allows all.
	Pool string
	// FailFast ends the job with the first task that fails for good: what still runs is stopped.
	FailFast bool
	// Stretch and Grace give the objective of the job: Stretch times its longest chain of declared run times, and Grace
	// more. Both 0 means that there is none.
	Stretch float64
	Grace   time.Duration
	Groups  []TaskGroup
}

// CriticalPaths returns for each group the longest chain of declared run times that begins with it, and the longest of all.
func (s JobSpec) CriticalPaths() (from []time.Duration, longest time.Duration) {
	from = make([]time.Duration, len(s.Groups))
	for g := len(s.Groups) - 1; g >= 0; g-- {
		from[g] += s.Groups[g].RunTime
		longest = max(longest, from[g])
		for _, earlier := range s.Groups[g].After {
			from[earlier] = max(from[earlier], from[g])
		}
	}
	return from, longest
}

// Objective returns how long the job should take; 0 if it has no objective.
func (s JobSpec) Objective(longest time.Duration) time.Duration {
	return time.Duration(s.Stretch*float64(longest)) + s.Grace
}

// TaskCount returns the number of tasks of the job.
func (s JobSpec) TaskCount() int {
	n := 0
	for _, g := range s.Groups {
		n += g.Count
	}
	return n
}

// Validate returns a NotRun error that names the first fault.
func (s JobSpec) Validate() error {
	invalid := func(format string, args ...any) error {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, format, args...)
	}
	switch {
	case s.Class == "" || len(s.Class) > MaxNameBytes:
		return invalid("class: want 1 to %d bytes", MaxNameBytes)
	case len(s.Name) > MaxNameBytes:
		return invalid("name: want at most %d bytes", MaxNameBytes)
	case len(s.ClientToken) > MaxNameBytes:
		return invalid("client token: want at most %d bytes", MaxNameBytes)
	case len(s.Groups) == 0 || len(s.Groups) > MaxGroupsPerJob:
		return invalid("groups: want 1 to %d", MaxGroupsPerJob)
	}
	if !(s.Stretch >= 0 && s.Stretch <= MaxStretch) || s.Grace < 0 {
		return invalid("objective: want a stretch of 0 to %d and a grace of at least 0", MaxStretch)
	}
	total := 0
	for i, g := range s.Groups {
		switch {
		case g.Count < 1 || g.Count > MaxTasksPerJob:
			return invalid("group %d: count %d: want 1 to %d", i, g.Count, MaxTasksPerJob)
		case !g.Need.NonNegative() || g.Need.IsZero():
			return invalid("group %d: need: want amounts of at least 0, not all 0", i)
		case g.RunTime < 0 || g.RunTime > MaxRunTime:
			return invalid("group %d: run time: want 0 to %s", i, MaxRunTime)
		case len(g.Command) > MaxCommandBytes:
			return invalid("group %d: command: want at most %d bytes", i, MaxCommandBytes)
		case g.TailTarget < 0:
			return invalid("group %d: tail target: want at least 0", i)
		case g.Constraints.MaxPerWorker < 0:
			return invalid("group %d: max per worker: want at least 0", i)
		}
		for _, earlier := range g.After {
			if earlier < 0 || earlier >= i {
				return invalid("group %d: after %d: want the numbers of earlier groups", i, earlier)
			}
			if s.Groups[earlier].Lasting {
				return invalid("group %d: after %d: the tasks of that group last until the job is cancelled", i, earlier)
			}
		}
		total += g.Count
	}
	if total > MaxTasksPerJob {
		return invalid("%d tasks: want at most %d", total, MaxTasksPerJob)
	}
	return nil
}

// Checkpoint is saved progress of a task that any worker can resume.
type Checkpoint struct {
	// ID names the saved state; only workers interpret it. Empty if there is none.
	ID string
	// At is when the owner learnt of the checkpoint.
	At time.Time
}

// Member is a worker of the cell as the host list shows it.
type Member struct {
	ID      ident.WorkerID
	Address string
	Rack    ident.Rack
	Leaving bool
	// DataCentre is where the worker runs; empty if the list does not say.
	DataCentre ident.DataCentre
	// Pool and Labels are what jobs may ask for; Labels are separated by spaces, so that members can be compared.
	Pool   string
	Labels string
	// Capacity is what the list says the worker holds; zero if only the worker's own reports tell.
	Capacity resource.Vector
}

// AttemptID names one attempt of a task.
type AttemptID struct {
	Task    ident.TaskID
	Attempt ident.Attempt
}

// Outcome says what became of a call to a worker.
type Outcome uint8

const (
	// Unknown means that the worker may or may not have acted.
	Unknown Outcome = iota
	// Applied means that the worker acted.
	Applied
	// Refused means that the worker certainly did not act, and never will because of this call.
	Refused
)

// RefusalReason says why a call was refused.
type RefusalReason uint8

// The reasons of a refusal.
const (
	ReasonNone RefusalReason = iota
	// ReasonFenced means that the worker knows a higher epoch.
	ReasonFenced
	// ReasonCapacity means that the task does not fit beside what runs on the worker.
	ReasonCapacity
	// ReasonUnknownTask means that the attempt does not run on the worker.
	ReasonUnknownTask
	// ReasonExpired means that the token of the call is too old, or from another process of the worker.
	ReasonExpired
	// ReasonEnded means that the attempt was stopped or has ended before.
	ReasonEnded
	// ReasonUnsent means that the call provably never left this host.
	ReasonUnsent
	// ReasonLeaving means that the worker takes no new tasks.
	ReasonLeaving
	// ReasonUnclaimed means that the worker does not know the epoch, for example after a restart.
	ReasonUnclaimed
	// ReasonUnhealthy means that the worker takes no work at present.
	ReasonUnhealthy
	// ReasonUnsupported means that the worker has no such call.
	ReasonUnsupported
)

var reasonNames = [...]string{
	"none", "fenced", "capacity", "unknown task", "expired", "ended", "unsent", "leaving", "unclaimed", "unhealthy", "unsupported",
}

// String returns the reason for messages.
func (r RefusalReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Answer is the typed outcome of a call to a worker. The zero value is Unknown.
type Answer struct {
	Outcome Outcome
	Reason  RefusalReason
}

// End says how an attempt ended on its worker.
type End uint8

const (
	// EndNeverStarted means that the attempt never ran on the worker and never will.
	EndNeverStarted End = iota
	// EndDone means that the attempt completed the task.
	EndDone
	// EndFailed means that the attempt failed by itself.
	EndFailed
	// EndEvicted means that the attempt was ended together with taking a checkpoint.
	EndEvicted
	// EndStopped means that the attempt was stopped without a checkpoint.
	EndStopped
	// EndLapsed means that the worker stopped the attempt because its lease had lapsed.
	EndLapsed
)

// EndedAttempt describes an attempt that no longer runs. The worker keeps it until it is acknowledged.
type EndedAttempt struct {
	AttemptID
	End End
	// Checkpoint is the last checkpoint of the attempt; its ID is empty if there is none.
	Checkpoint Checkpoint
	// Message says why an attempt failed.
	Message string
}

// ActiveAttempt describes an attempt that runs on a worker.
type ActiveAttempt struct {
	AttemptID
	// Booked is the size with which the attempt was started.
	Booked resource.Vector
	// Usage is the lagged usage; zero if not measured yet.
	Usage resource.Vector
	// Slowdown is the run speed alone divided by the speed seen; 0 if not measured.
	Slowdown float64
	// Measurement is what the worker measured lately: for a serving task the tail of its response times in milliseconds, for
	// any other the processors in use, in thousandths. It is 0 if nothing was measured.
	Measurement float64
	// MeasurementAge is how long before the report the usage was measured.
	MeasurementAge time.Duration
	// Checkpoint is the last checkpoint taken; its ID is empty if there is none.
	Checkpoint Checkpoint
}

// Report is what a worker answers to a claim or a sync.
type Report struct {
	Capacity resource.Vector
	// Token is opaque to the owner. It names the time of the report on the worker's clock.
	Token  string
	Active []ActiveAttempt
	Ended  []EndedAttempt
	// Partial is set if more attempts may have ended than Ended holds.
	Partial bool
}
