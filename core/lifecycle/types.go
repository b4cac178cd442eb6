// Package lifecycle holds the jobs, tasks and attempts of one cell and decides what follows from each event: which
// commands go to the workers and the planner, and which records go to the cell log.
//
// A Cell is one shard under its own lock. It does no I/O and takes the time as an argument. State that callers can see
// changes only once the corresponding record is durable; state that only scheduling uses changes at once.
package lifecycle

import (
	"fmt"
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
	// LeaseMargin allows for clocks of owner and worker that run at different rates.
	LeaseMargin = time.Second

	// MaxTasksPerJob is the largest number of tasks of one job.
	MaxTasksPerJob = 20_000
	// MaxGroupsPerJob is the largest number of task groups of one job.
	MaxGroupsPerJob = 64
	// MaxStretch is the largest Stretch of a job.
	MaxStretch = 1000
	// MaxRunTime is the longest declared run time of a task. It keeps sums of run times in range.
	MaxRunTime = 10 * 365 * 24 * time.Hour
	// MaxCommandBytes is the longest command of a task group.
	MaxCommandBytes = 4096
	// MaxNameBytes is the longest name, class or client token of a job.
	MaxNameBytes = 200
)

// State is the state of a task or of a whole job.
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
	// After lists earlier groups of the job by number. No task of this group starts before all tasks of those are done.
	After []int
	// Lasting tasks run until the job is cancelled. They are restarted however they end and use up no retries.
	Lasting bool
	// Volatile tasks save no progress, so that a stop loses all of it.
	Volatile bool
	// TailTarget is the upper bound for the tail response time of serving tasks; 0 if the tasks serve no requests.
	TailTarget time.Duration
	// DisruptionBudget is how many lasting tasks of the group the owner may make unavailable at the same time by its own
	// orders. With 0 it moves none of them from a worker that stays.
	DisruptionBudget int
	// Speculative allows copies of a task to run in parallel. The first attempt to succeed counts.
	Speculative bool
	// Constraints limits the workers on which the tasks may run and the tasks beside which they may run.
	Constraints placement.Constraints
}

// JobSpec is what a caller submits.
type JobSpec struct {
	Name  string
	Class ident.ClassName
	// Tenant and Kind are taken from the table when the job is accepted.
	Tenant ident.TenantName
	Kind   table.Kind
	// MaxFailures is the number of failed attempts after which a task is given up, by the last table that had the class;
	// 0 if it is not known. It applies once the class has been taken out of the table.
	MaxFailures int
	// TableRevision is the revision of the table from which the three fields above were taken; 0 if it is not known.
	TableRevision table.Revision
	// Unfit is set if the job was acknowledged to its caller although no worker of the cell could hold one of its tasks. It
	// ends as failed if that stays so for unfitLimit.
	Unfit bool
	// ClientToken makes a submission idempotent; empty if the caller sent none.
	ClientToken string
	// ClientNumber is the caller's own number for the job, which gives the same job id on every host and makes the
	// submission idempotent. With 0, the cell assigns the id.
	ClientNumber uint64
	// Pool names the pool of workers that may run the job; empty allows all.
	Pool string
	// FailFast ends the job as soon as one task has failed for good: its running tasks are stopped.
	FailFast bool
	// Stretch and Grace define the objective of the job: Stretch times its critical path, plus Grace. The job has no
	// objective if both are 0.
	Stretch float64
	Grace   time.Duration
	Groups  []TaskGroup
}

// CriticalPaths returns for each group the longest chain of declared run times that begins with it, and the longest
// chain of the job.
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

// Objective returns the target duration of a job with the given longest chain; 0 if it has no objective.
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

// Validate returns a NotRun error that describes the first invalid field.
func (s JobSpec) Validate() error {
	invalid := func(format string, args ...any) error {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid, format, args...)
	}
	switch {
	case s.Class == "" || len(s.Class) > MaxNameBytes:
		return invalid("class of %d bytes: want 1 to %d", len(s.Class), MaxNameBytes)
	case len(s.Name) > MaxNameBytes:
		return invalid("name of %d bytes: want at most %d", len(s.Name), MaxNameBytes)
	case len(s.ClientToken) > MaxNameBytes:
		return invalid("client token of %d bytes: want at most %d", len(s.ClientToken), MaxNameBytes)
	case len(s.Groups) == 0 || len(s.Groups) > MaxGroupsPerJob:
		return invalid("%d groups: want 1 to %d", len(s.Groups), MaxGroupsPerJob)
	}
	if !(s.Stretch >= 0 && s.Stretch <= MaxStretch) || s.Grace < 0 {
		return invalid("objective: stretch %g and grace %s: want a stretch of 0 to %d and a grace of at least 0",
			s.Stretch, s.Grace, MaxStretch)
	}
	total := 0
	for i, g := range s.Groups {
		switch {
		case g.Count < 1 || g.Count > MaxTasksPerJob:
			return invalid("group %d: count %d: want 1 to %d", i, g.Count, MaxTasksPerJob)
		case !g.Need.NonNegative() || g.Need.IsZero():
			return invalid("group %d: need %s: want amounts of at least 0, not all 0", i, g.Need)
		case g.RunTime < 0 || g.RunTime > MaxRunTime:
			return invalid("group %d: run time %s: want 0 to %s", i, g.RunTime, MaxRunTime)
		case len(g.Command) > MaxCommandBytes:
			return invalid("group %d: command of %d bytes: want at most %d", i, len(g.Command), MaxCommandBytes)
		case g.TailTarget < 0:
			return invalid("group %d: tail target %s: want at least 0", i, g.TailTarget)
		case g.DisruptionBudget < 0 || g.DisruptionBudget > MaxTasksPerJob:
			return invalid("group %d: disruption budget %d: want 0 to %d", i, g.DisruptionBudget, MaxTasksPerJob)
		case g.Speculative && g.Lasting:
			return invalid("group %d: speculative: lasting tasks run until the job is cancelled, so that no copy can end first", i)
		case g.Constraints.MaxPerWorker < 0:
			return invalid("group %d: max per worker %d: want at least 0", i, g.Constraints.MaxPerWorker)
		}
		for _, earlier := range g.After {
			if earlier < 0 || earlier >= i {
				return invalid("group %d: after %d: want the number of an earlier group", i, earlier)
			}
			if s.Groups[earlier].Lasting {
				return invalid("group %d: after %d: the tasks of that group run until the job is cancelled", i, earlier)
			}
		}
		total += g.Count
	}
	if total > MaxTasksPerJob {
		return invalid("%d tasks: want at most %d", total, MaxTasksPerJob)
	}
	return nil
}

// Checkpoint is the saved progress of a task, from which any worker can resume it.
type Checkpoint struct {
	// ID identifies the saved state; only workers interpret it. It is empty if there is no checkpoint.
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
	// DataCentre is where the worker runs; empty if the host list does not say.
	DataCentre ident.DataCentre
	// Pool and Labels can be required by jobs. Labels are separated by spaces, which keeps Member comparable.
	Pool   string
	Labels string
	// Capacity is the capacity of the worker by the host list; zero if only the reports of the worker state it.
	Capacity resource.Vector
}

// AttemptID identifies one attempt of a task.
type AttemptID struct {
	Task    ident.TaskID
	Attempt ident.Attempt
}

// Outcome is the result of a call to a worker, as far as the caller knows it.
type Outcome uint8

const (
	// Unknown means that the worker may or may not have executed the call.
	Unknown Outcome = iota
	// Applied means that the worker executed the call.
	Applied
	// Refused means that the worker did not execute the call and never will.
	Refused
)

// RefusalReason is why a call was refused.
type RefusalReason uint8

// The reasons of a refusal.
const (
	ReasonNone RefusalReason = iota
	// ReasonFenced means that the worker knows a higher epoch.
	ReasonFenced
	// ReasonCapacity means that the task does not fit next to those that run on the worker.
	ReasonCapacity
	// ReasonUnknownTask means that the attempt does not run on the worker.
	ReasonUnknownTask
	// ReasonExpired means that the token of the call is too old or was issued by another process of the worker.
	ReasonExpired
	// ReasonEnded means that the attempt has already been stopped or has already ended.
	ReasonEnded
	// ReasonUnsent means that the call never left this host.
	ReasonUnsent
	// ReasonLeaving means that the worker takes no new tasks.
	ReasonLeaving
	// ReasonUnclaimed means that the worker does not know the epoch, for example after a restart.
	ReasonUnclaimed
	// ReasonUnhealthy means that the worker currently takes no tasks.
	ReasonUnhealthy
	// ReasonUnsupported means that the worker does not implement the call.
	ReasonUnsupported
	// ReasonWithheld means that this host has decided not to make the call. Unlike ReasonUnsent it says nothing about the worker.
	ReasonWithheld
)

var reasonNames = [...]string{
	"none", "fenced", "capacity", "unknown task", "expired", "ended", "unsent", "leaving", "unclaimed", "unhealthy", "unsupported",
	"withheld",
}

// String returns the reason for messages and logs.
func (r RefusalReason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "invalid"
}

// Answer is the outcome of a call to a worker and, if it was refused, the reason. The zero value is Unknown.
type Answer struct {
	Outcome Outcome
	Reason  RefusalReason
}

// neverSent reports whether the call has not left this host.
func (a Answer) neverSent() bool { return a.Reason == ReasonUnsent || a.Reason == ReasonWithheld }

// End is how an attempt ended on its worker.
type End uint8

const (
	// EndNeverStarted means that the attempt never ran on the worker and never will.
	EndNeverStarted End = iota
	// EndDone means that the attempt succeeded and completed the task.
	EndDone
	// EndFailed means that the attempt failed without being stopped.
	EndFailed
	// EndEvicted means that the attempt was checkpointed and stopped in one step.
	EndEvicted
	// EndStopped means that the attempt was stopped without a checkpoint.
	EndStopped
	// EndLapsed means that the worker stopped the attempt because its lease had lapsed.
	EndLapsed
)

// EndedAttempt describes an attempt that no longer runs. The worker reports it until the owner acknowledges it.
type EndedAttempt struct {
	AttemptID
	End End
	// Checkpoint is the last checkpoint of the attempt; its ID is empty if there is none.
	Checkpoint Checkpoint
	// Message says why the attempt failed.
	Message string
}

// ActiveAttempt describes an attempt that runs on a worker.
type ActiveAttempt struct {
	AttemptID
	// Booked is the amount of resources with which the attempt was started.
	Booked resource.Vector
	// Usage is the lagged resource usage; zero if it is not measured yet.
	Usage resource.Vector
	// Slowdown is the speed of the task when it runs alone, divided by its measured speed; 0 if not measured.
	Slowdown float64
	// Measurement is the latest measurement of the worker: the tail response time in milliseconds for a serving task,
	// the processor usage in thousandths of a core for any other. It is 0 if nothing was measured.
	Measurement float64
	// MeasurementAge is how long before the report the usage was measured.
	MeasurementAge time.Duration
	// Checkpoint is the latest checkpoint; its ID is empty if there is none.
	Checkpoint Checkpoint
	// Ready says whether the attempt has started up, so that a lasting task does its work.
	Ready bool
}

// Report is the state of a worker, sent in answer to a claim or a sync.
type Report struct {
	Capacity resource.Vector
	// Token is opaque to the owner. It stands for the time of the report on the clock of the worker.
	Token  string
	Active []ActiveAttempt
	Ended  []EndedAttempt
	// Partial is set if Ended may lack some of the ended attempts. It then lacks the latest ones.
	Partial bool
	// PartialActive is set if Active may lack some of the running attempts.
	PartialActive bool
}
