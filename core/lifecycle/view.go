package lifecycle

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// FinishedRetention is how long a finished job can be asked for.
	FinishedRetention = 24 * time.Hour
	// maxFinished bounds the finished jobs of a cell, and with them the snapshot.
	maxFinished = 10_000
	// MaxPageSize bounds one page of a list.
	MaxPageSize = 1000
)

// Wait says what a task waits for that is neither queued for a worker nor running.
type Wait string

// What a task waits for.
const (
	// WaitNone means that the task waits for the planner to find room, or does not wait.
	WaitNone Wait = ""
	// WaitGroups means that other groups of the job must be done first.
	WaitGroups Wait = "waits for earlier groups of its job"
	// WaitLog means that a record must become durable first.
	WaitLog Wait = "waits for the cell log in the store"
	// WaitRecovery means that the task may still run on a worker that has not answered since the owner changed.
	WaitRecovery Wait = "waits for workers to answer after a change of owner"
	// WaitBackoff means that the last attempt failed.
	WaitBackoff Wait = "waits after a failed attempt"
	// WaitRefused means that the worker refused the start.
	WaitRefused Wait = "waits after a worker refused it"
	// WaitWorker means that the chosen worker was lost before the start.
	WaitWorker Wait = "waits after its worker was lost"
)

// TaskView is what callers see of a task.
type TaskView struct {
	Task     ident.TaskID
	State    State
	Attempts int
	Worker   ident.WorkerID
	// Verdict is set once the state is final.
	Verdict   verdict.Verdict
	Evictions int
	Failures  int
	// Reason says what the task waits for, or why it failed.
	Reason string
}

// JobView is what callers see of a job.
type JobView struct {
	Job        ident.JobID
	Spec       JobSpec
	State      State
	Counts     map[State]int
	AcceptedAt time.Time
	FinishedAt time.Time
	// Verdict covers all tasks; it is set once the state is final.
	Verdict verdict.Verdict
	Version uint64
	// Tasks is filled on request.
	Tasks []TaskView
}

// Get returns a job with at most limit of its tasks, from the given index on.
func (c *Cell) Get(id ident.JobID, from, limit int) (JobView, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok {
		return JobView{}, notFound(id)
	}
	v := j.view()
	from = max(from, 0)
	for i := from; i < min(len(j.tasks), from+min(limit, MaxPageSize)); i++ {
		v.Tasks = append(v.Tasks, j.tasks[i].view())
	}
	return v, nil
}

// WaitingJobs counts the open jobs by class of which no task has run.
func (c *Cell) WaitingJobs() map[ident.ClassName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := make(map[ident.ClassName]int)
	for _, j := range c.jobs {
		if !j.begun && !j.cancelling {
			waiting[j.spec.Class]++
		}
	}
	return waiting
}

// List returns at most limit jobs that follow after, in the order of their ids.
func (c *Cell) List(after ident.JobID, limit int) []JobView {
	c.mu.Lock()
	defer c.mu.Unlock()
	start, found := slices.BinarySearchFunc(c.order, after, compareJobs)
	if found {
		start++
	}
	var views []JobView
	for _, id := range c.order[start:min(len(c.order), start+min(max(limit, 0), MaxPageSize))] {
		views = append(views, c.jobs[id].view())
	}
	return views
}

// TakeChangedJobs returns the jobs that changed since the last call.
func (c *Cell) TakeChangedJobs() []ident.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changed) == 0 {
		return nil
	}
	ids := make([]ident.JobID, 0, len(c.changed))
	for id := range c.changed {
		ids = append(ids, id)
	}
	clear(c.changed)
	return ids
}

// FinishedJob describes a job that has come to an end.
type FinishedJob struct {
	Job   ident.JobID
	Class ident.ClassName
	State State
	// Elapsed is the time from acceptance to the end, and Objective what it should have taken; 0 without an objective.
	Elapsed, Objective time.Duration
}

// TakeFinishedJobs returns the jobs that have come to an end since the last call, in the order of their ends.
func (c *Cell) TakeFinishedJobs() []FinishedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finished) == 0 {
		return nil
	}
	out := make([]FinishedJob, len(c.finished))
	for i, j := range c.finished {
		out[i] = FinishedJob{
			Job: j.id, Class: j.spec.Class, State: j.state(), Elapsed: j.finishedAt.Sub(j.acceptedAt), Objective: j.objective,
		}
	}
	clear(c.finished)
	c.finished = c.finished[:0]
	return out
}

func (j *job) state() State {
	switch {
	case j.final() && j.failing && j.counts[Failed] > 0:
		return Failed
	case j.final() && j.cancelled && j.counts[Cancelled] > 0:
		return Cancelled
	case j.final() && j.counts[Failed] > 0:
		return Failed
	case j.final():
		return Done
	}
	for _, s := range []State{Running, Evicting, Starting, Queued} {
		if j.counts[s] > 0 {
			return s
		}
	}
	return Impossible
}

func (j *job) view() JobView {
	v := JobView{
		Job: j.id, Spec: j.spec, State: j.state(), Counts: make(map[State]int),
		AcceptedAt: j.acceptedAt, Version: j.version,
	}
	for s, n := range j.counts {
		if n > 0 {
			v.Counts[State(s)] = n
		}
	}
	if v.State.Final() {
		v.FinishedAt = j.finishedAt
		v.Verdict = j.verdict()
	}
	return v
}

// verdict is NotRun or Ran only if it holds for every task.
func (j *job) verdict() verdict.Verdict {
	first := j.tasks[0].verdict()
	for i := range j.tasks {
		if j.tasks[i].verdict() != first {
			return verdict.MayHaveRun
		}
	}
	return first
}

func (t *task) verdict() verdict.Verdict {
	switch {
	case t.state == Done || t.state == Failed:
		return verdict.Ran
	case t.state == Cancelled && !t.maySent:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

func (t *task) view() TaskView {
	v := TaskView{
		Task: t.id, State: t.state, Attempts: int(t.next) - 1, Evictions: t.evictions, Failures: len(t.failures),
	}
	if t.run != nil {
		v.Worker = t.run.worker
	}
	if t.state.Final() {
		v.Verdict = t.verdict()
	}
	v.Reason = t.why()
	return v
}

func (t *task) why() string {
	switch {
	case t.state == Failed || t.state == Impossible:
		return t.message
	case t.state.Final():
		return ""
	case t.wait == WaitBackoff:
		return string(t.wait) + ": " + t.message
	case t.wait != WaitNone:
		return string(t.wait)
	case t.state == Queued:
		return "waits for room: its class is over its share or limit, or no worker has enough free capacity"
	default:
		return ""
	}
}

// forget drops finished jobs that are too old or too many.
func (c *Cell) forget(now time.Time) {
	finished := 0
	for _, j := range c.jobs {
		if j.final() {
			finished++
		}
	}
	kept := c.order[:0]
	for _, id := range c.order {
		j := c.jobs[id]
		old := j.final() && (finished > maxFinished || now.Sub(j.finishedAt) > FinishedRetention)
		if !old || j.holdsWorkers() {
			kept = append(kept, id)
			continue
		}
		finished--
		delete(c.jobs, id)
		if c.tokens[j.spec.ClientToken].job == id {
			delete(c.tokens, j.spec.ClientToken)
		}
	}
	c.order = kept
}

// holdsWorkers reports whether an attempt of a final job is still being stopped.
func (j *job) holdsWorkers() bool {
	for i := range j.tasks {
		if j.tasks[i].run != nil {
			return true
		}
	}
	return false
}
