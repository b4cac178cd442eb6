package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// unloggedEnd is the end of an attempt whose record is not durable yet.
type unloggedEnd struct {
	// worker must keep the end; empty if its leases have lapsed since.
	worker ident.WorkerID
	// checkpoint is set if all that is to be recorded of the end is this checkpoint. Otherwise a record of a checkpoint
	// says nothing about the end: it may have been queued while the attempt ran.
	checkpoint string
}

// accepted is a submission under a client token.
type accepted struct {
	job  ident.JobID
	spec JobSpec
}

type job struct {
	id         ident.JobID
	spec       JobSpec
	acceptedAt time.Time
	finishedAt time.Time
	tasks      []task
	counts     [len(stateNames)]int
	// cancelling is set once a cancellation is requested, cancelled once it is durable.
	cancelling bool
	cancelled  bool
	// failedOn and succeeded tell a job that fails everywhere from a worker that fails everything.
	failedOn  map[ident.WorkerID]struct{}
	succeeded bool
	// failing is set once a task of a job that fails fast has failed for good.
	failing bool
	// fresh jobs were accepted by this owner: no predecessor can have started their tasks.
	fresh bool
	// begun is set once a task has run.
	begun bool
	// groups holds what the job's groups have left to do, by number.
	groups []groupState
	// objective is how long the job should take; 0 if it has no objective.
	objective time.Duration
	version   uint64
}

// groupState is the progress of one task group.
type groupState struct {
	// first is the position of the group's first task.
	first int
	// open counts the tasks that are not done.
	open int
	// chain is the longest chain of declared run times that begins with the group.
	chain time.Duration
}

type task struct {
	id    ident.TaskID
	job   *job
	group *TaskGroup
	state State
	// settled is set once the task needs no further attempt, although the record may not be durable yet.
	settled bool
	// maySent is set unless no attempt was ever sent, or all were definitely refused.
	maySent bool
	// next is the number of the next attempt; logged is the highest number that the log accounts for.
	next   ident.Attempt
	logged ident.Attempt
	// ended is the highest attempt that certainly runs no more.
	ended ident.Attempt
	// lastRan is the highest attempt that has run, as far as this owner and the log know.
	lastRan    ident.Attempt
	run        *run
	checkpoint Checkpoint
	failures   []Failure
	evictions  int
	refusals   int
	notBefore  time.Time
	wait       Wait
	message    string
	// leftOn is the worker on which the predecessor left an attempt running, and freed is set if it certainly left none:
	// known after a clean hand-over only.
	leftOn ident.WorkerID
	freed  bool
	// tooLarge is set if the task is impossible because no worker could hold it, and not because of a limit.
	tooLarge bool
}

type phase uint8

// run is the attempt that holds resources on a worker.
type run struct {
	AttemptID
	worker    ident.WorkerID
	phase     phase
	booked    resource.Vector
	startedAt time.Time
	// seenAt is when the attempt was first known to run: its start may have waited to be sent. It is zero before.
	seenAt time.Time
	// incarnation is the worker process to which the start was sent.
	incarnation string
	// priorSent is maySent of the task before this attempt.
	priorSent bool
	// confirmedSeq orders the confirmation of the start against reports.
	confirmedSeq uint64
	// saveAt is when a checkpoint was last asked for.
	saveAt time.Time
	// stopping is set while a stop is being sent; stoppedAt is when the last one was answered.
	stopping  bool
	stoppedAt time.Time
	preempted bool
	// listedIn is the number of the last report that listed the attempt.
	listedIn uint64
	// fraction is the throttle decided last, 0 if none; throttleLost is set if its answer was lost.
	fraction     float64
	throttleLost bool
}

// queued lists the tasks that may wait with the planner.
func (j *job) queued() []ident.TaskID {
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

// startable reports whether the task needs an attempt.
func (t *task) startable() bool {
	return !t.settled && !t.state.Final() && !t.job.cancelling && t.run == nil
}

func (c *Cell) task(id ident.TaskID) *task {
	j, ok := c.jobs[id.Job]
	if !ok || id.Group() >= len(j.groups) || id.Member() >= j.spec.Groups[id.Group()].Count {
		return nil
	}
	return &j.tasks[j.groups[id.Group()].first+id.Member()]
}

// ready reports whether the groups that the task waits for are done.
func (t *task) ready() bool {
	for _, earlier := range t.group.After {
		if t.job.groups[earlier].open > 0 {
			return false
		}
	}
	return true
}

// ran notes that an attempt has run.
func (t *task) ran(a ident.Attempt) {
	t.lastRan = max(t.lastRan, a)
	t.job.begun = true
}

// close counts a task of a group as done, once.
func (t *task) close() {
	t.job.groups[t.id.Group()].open--
}
