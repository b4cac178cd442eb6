package lifecycle

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// FinishedRetention is how long a finished job stays available. It begins anew with each owner, because the clocks of
	// two owners may differ by any amount.
	FinishedRetention = 24 * time.Hour
	// maxFinishedJobs is the largest number of finished jobs in a cell. It bounds the size of the snapshot.
	maxFinishedJobs = 10_000
	// MaxPageSize is the largest number of entries in one page of a list.
	MaxPageSize = 1000
)

// WaitReason is why a task is neither in the planner's queue nor running.
type WaitReason string

// The reasons for which a task waits.
const (
	// WaitNone means that the task does not wait, or waits only until the planner places it.
	WaitNone WaitReason = ""
	// WaitGroups means that other groups of the job must be done first.
	WaitGroups WaitReason = "waits for earlier groups of its job"
	// WaitLog means that a record must become durable first.
	WaitLog WaitReason = "waits for the cell log in the store"
	// WaitRecovery means that the task may still run on a worker that has not answered since the change of owner.
	WaitRecovery WaitReason = "waits for workers to answer after a change of owner"
	// WaitTable means that the owner does not know the table yet.
	WaitTable WaitReason = "waits until the owner has read the table"
	// WaitBackoff means that the last attempt failed and the pause before the next one has not ended.
	WaitBackoff WaitReason = "waits after a failed attempt"
	// WaitRefused means that the worker refused the start.
	WaitRefused WaitReason = "waits after a worker refused it"
	// WaitWorker means that the assigned worker was lost before the start was sent.
	WaitWorker WaitReason = "waits after its worker was lost"
)

// ReasonPlacement is the reason of a task that waits for the planner, unless the planner has given a closer one.
const ReasonPlacement = "waits for room: its class is over its share or limit, or no worker has enough free capacity"

// TaskView is the state of a task as shown to callers.
type TaskView struct {
	Task     ident.TaskID
	State    State
	Attempts int
	Worker   ident.WorkerID
	// Verdict is set once the state is final.
	Verdict   verdict.Verdict
	Evictions int
	Failures  int
	// Reason says what the task waits for or why it failed.
	Reason string
}

// JobView is the state of a job as shown to callers.
type JobView struct {
	Job        ident.JobID
	Spec       JobSpec
	State      State
	Counts     map[State]int
	AcceptedAt time.Time
	FinishedAt time.Time
	// Verdict covers all tasks. It is set once the state is final.
	Verdict verdict.Verdict
	Version uint64
	// Tasks holds the requested page of tasks.
	Tasks []TaskView
}

// Get returns a job and at most limit of its tasks, starting at index from.
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

// WaitingJobs counts, by class, the open jobs of which no task has run.
func (c *Cell) WaitingJobs() map[ident.ClassName]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	waiting := make(map[ident.ClassName]int)
	for _, j := range c.jobs {
		if !j.started && !j.cancelling {
			waiting[j.spec.Class]++
		}
	}
	return waiting
}

// List returns at most limit jobs whose ids follow after, ordered by id.
func (c *Cell) List(after ident.JobID, limit int) []JobView {
	c.mu.Lock()
	defer c.mu.Unlock()
	start, found := slices.BinarySearchFunc(c.jobOrder, after, compareJobs)
	if found {
		start++
	}
	var views []JobView
	for _, id := range c.jobOrder[start:min(len(c.jobOrder), start+min(max(limit, 0), MaxPageSize))] {
		views = append(views, c.jobs[id].view())
	}
	return views
}

// TakeChangedJobs returns the jobs that changed since the last call.
func (c *Cell) TakeChangedJobs() []ident.JobID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.changedJobs) == 0 {
		return nil
	}
	ids := make([]ident.JobID, 0, len(c.changedJobs))
	for id := range c.changedJobs {
		ids = append(ids, id)
	}
	clear(c.changedJobs)
	return ids
}

// FinishedJob describes a job that has reached its final state.
type FinishedJob struct {
	Job   ident.JobID
	Class ident.ClassName
	State State
	// Elapsed is the time from acceptance to the end of the job. Objective is its target duration; 0 if it has none.
	Elapsed, Objective time.Duration
}

// TakeFinishedJobs returns the jobs that have finished since the last call, in the order of their ends.
func (c *Cell) TakeFinishedJobs() []FinishedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.finishedJobs) == 0 {
		return nil
	}
	out := make([]FinishedJob, len(c.finishedJobs))
	for i, j := range c.finishedJobs {
		out[i] = FinishedJob{
			Job: j.id, Class: j.spec.Class, State: j.state(), Elapsed: j.finishedAt.Sub(j.queuedSince), Objective: j.objective,
		}
	}
	clear(c.finishedJobs)
	c.finishedJobs = c.finishedJobs[:0]
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

// verdict returns the verdict that all tasks share, otherwise MayHaveRun.
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
	case t.state == Failed && !t.maybeSent:
		return verdict.NotRun
	case t.state == Done || t.state == Failed:
		return verdict.Ran
	case t.state == Cancelled && !t.maybeSent:
		return verdict.NotRun
	default:
		return verdict.MayHaveRun
	}
}

func (t *task) view() TaskView {
	v := TaskView{
		Task: t.id, State: t.state, Attempts: int(t.nextAttempt) - 1, Evictions: t.evictions, Failures: len(t.failures),
	}
	if t.run != nil {
		v.Worker = t.run.worker
	}
	if t.state.Final() {
		v.Verdict = t.verdict()
	}
	v.Reason = t.reason()
	return v
}

func (t *task) reason() string {
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
		return ReasonPlacement
	default:
		return ""
	}
}

// forgetFinishedJobs drops finished jobs that exceed FinishedRetention, and those that finished first if there are more
// than maxFinishedJobs.
func (c *Cell) forgetFinishedJobs(now time.Time) {
	var finished []*job
	for _, j := range c.jobs {
		if j.final() {
			finished = append(finished, j)
		}
	}
	slices.SortFunc(finished, func(a, b *job) int {
		return cmp.Or(a.keptSince.Compare(b.keptSince), a.finishedAt.Compare(b.finishedAt), compareJobs(a.id, b.id))
	})
	before := len(c.jobs)
	for i, j := range finished {
		old := len(finished)-i > maxFinishedJobs || now.Sub(j.keptSince) > FinishedRetention
		if !old || j.hasRunningAttempts() || c.retention.keeps(j) {
			continue
		}
		delete(c.jobs, j.id)
		if c.tokens[j.spec.ClientToken].job == j.id {
			delete(c.tokens, j.spec.ClientToken)
		}
	}
	if len(c.jobs) < before {
		c.jobOrder = slices.DeleteFunc(c.jobOrder, func(id ident.JobID) bool { return c.jobs[id] == nil })
	}
}

// hasRunningAttempts reports whether an attempt of the final job is still being stopped.
func (j *job) hasRunningAttempts() bool {
	for i := range j.tasks {
		if j.tasks[i].run != nil {
			return true
		}
	}
	return false
}
