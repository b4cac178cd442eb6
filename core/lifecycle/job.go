package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// unloggedEnd describes the end of an attempt whose record is not durable yet.
type unloggedEnd struct {
	// worker reports the end until it is acknowledged; empty if the leases of the worker have lapsed since.
	worker ident.WorkerID
	// checkpoint is set if the only pending record of the end is that of this checkpoint. Otherwise the record of a
	// checkpoint does not confirm the end: it may have been queued while the attempt was running.
	checkpoint string
}

// acceptedSubmission is a submission with an idempotency token and the job that it created.
type acceptedSubmission struct {
	job  ident.JobID
	spec JobSpec
}

// job is an accepted job and the progress of its tasks.
type job struct {
	id   ident.JobID
	spec JobSpec
	// acceptedAt and finishedAt are shown to callers. After a change of owner they are times of day of an earlier owner,
	// so that no decision depends on them.
	acceptedAt time.Time
	finishedAt time.Time
	// queuedSince is acceptedAt by the clock of this owner, as well as it is known.
	queuedSince time.Time
	// keptSince is when this owner learnt that the job has finished.
	keptSince time.Time
	tasks     []task
	counts    [len(stateNames)]int
	// cancelling is set once no further task may start, because the job is being cancelled or fails fast. cancelled is set
	// once a record of either is durable. cancelLogged is set once the record of a requested cancellation is queued.
	cancelling   bool
	cancelled    bool
	cancelLogged bool
	// failedOn and succeeded distinguish a job that fails on every worker from a worker that fails every job.
	failedOn  map[ident.WorkerID]struct{}
	succeeded bool
	// refused is set once a worker has refused a task of the job as unhealthy.
	refused bool
	// failing is set once a task of a FailFast job has failed for good.
	failing bool
	// acceptedByOwner is set if this owner accepted the job, so that no predecessor can have started its tasks.
	acceptedByOwner bool
	// started is set once a task has run.
	started bool
	// groups holds the progress of the task groups by number.
	groups []groupState
	// objective is the target duration of the job; 0 if it has no objective.
	objective time.Duration
	version   uint64
}

// groupState is the progress of one task group.
type groupState struct {
	// firstIndex is the position of the first task of the group among the tasks of the job.
	firstIndex int
	// openTasks counts the tasks that are not done.
	openTasks int
	// criticalPath is the longest chain of declared run times that begins with the group.
	criticalPath time.Duration
}

// task is the state of one task of a job.
type task struct {
	id    ident.TaskID
	job   *job
	group *TaskGroup
	state State
	// settled is set once the task needs no further attempt. The record of its end need not be durable yet.
	settled bool
	// maybeSent is set unless no attempt was ever sent or all of them were refused.
	maybeSent bool
	// nextAttempt is the number of the next attempt. lastLogged is the highest attempt number that the log covers.
	nextAttempt ident.Attempt
	lastLogged  ident.Attempt
	// lastEnded is the highest attempt that has certainly ended.
	lastEnded ident.Attempt
	// lastRan is the highest attempt that has run, as far as this owner and the log know.
	lastRan    ident.Attempt
	run        *run
	checkpoint Checkpoint
	failures   []Failure
	evictions  int
	refusals   int
	// refusedBy lists the workers that refused a start as unhealthy since the last start that ran, oldest first.
	refusedBy []ident.WorkerID
	notBefore time.Time
	wait      WaitReason
	// moving is set from the order to move the task from an evacuated worker until it is ready again.
	moving bool
	// message says why the last attempt failed or why the task is impossible.
	message string
	// leftOn is the worker on which the predecessor left an attempt running. knownIdle is set if it certainly left none.
	// Both are only known after a clean hand-over.
	leftOn    ident.WorkerID
	knownIdle bool
	// tooLarge is set if the task is impossible because it fits no worker, rather than because of a limit.
	tooLarge bool
}

// phase is how far the current attempt of a task has come.
type phase uint8

// run is the current attempt of a task, which holds resources on a worker.
type run struct {
	AttemptID
	worker    ident.WorkerID
	phase     phase
	booked    resource.Vector
	startedAt time.Time
	// ready is set while the last report of the worker listed the attempt as ready.
	ready bool
	// firstSeenAt is when the attempt was first known to run; zero before. The start may be sent long after startedAt.
	firstSeenAt time.Time
	// incarnation identifies the worker process to which the start was sent.
	incarnation string
	// maybeSentBefore is the value of task.maybeSent before this attempt.
	maybeSentBefore bool
	// confirmedSeq is the value of Cell.callSeq at which the start was confirmed. Reports to earlier calls may lack the
	// attempt.
	confirmedSeq uint64
	// checkpointAskedAt is when the owner last asked for a checkpoint.
	checkpointAskedAt time.Time
	// stopInProgress is set while a stop call is in progress. stopAnsweredAt is when the last one was answered.
	stopInProgress bool
	stopAnsweredAt time.Time
	preempted      bool
	// lastReport is the number of the last report that listed the attempt.
	lastReport uint64
	// throttle is the fraction decided last, 0 if none. throttleLost is set if the worker may not have received it.
	throttle     float64
	throttleLost bool
}

// queuedTasks lists the tasks that the planner may hold.
func (j *job) queuedTasks() []ident.TaskID {
	var queued []ident.TaskID
	for i := range j.tasks {
		if t := &j.tasks[i]; t.run == nil && !t.settled {
			queued = append(queued, t.id)
		}
	}
	return queued
}

func (j *job) final() bool {
	return j.counts[Done]+j.counts[Failed]+j.counts[Cancelled] == len(j.tasks)
}

// open reports whether the end of an attempt may still change how the task continues.
func (t *task) open() bool {
	return !t.settled && !t.state.Final() && !t.job.cancelling
}

// startable reports whether the task needs another attempt and has none running.
func (t *task) startable() bool {
	return t.open() && t.run == nil
}

func (c *Cell) task(id ident.TaskID) *task {
	j, ok := c.jobs[id.Job]
	if !ok || id.Group() >= len(j.groups) || id.Member() >= j.spec.Groups[id.Group()].Count {
		return nil
	}
	return &j.tasks[j.groups[id.Group()].firstIndex+id.Member()]
}

// dependenciesDone reports whether all groups on which the task depends are done.
func (t *task) dependenciesDone() bool {
	for _, earlier := range t.group.After {
		if t.job.groups[earlier].openTasks > 0 {
			return false
		}
	}
	return true
}

// noteRan notes that an attempt has run.
func (t *task) noteRan(attempt ident.Attempt) {
	t.lastRan = max(t.lastRan, attempt)
	t.job.started = true
}

// countDone counts the task as done in its group. It is called once for each task.
func (t *task) countDone() {
	t.job.groups[t.id.Group()].openTasks--
}
