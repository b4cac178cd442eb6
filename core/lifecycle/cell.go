package lifecycle

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// attemptStride bounds the attempts of a task that are not in the log. A new owner skips as many numbers, so
	// that no two attempts of a task ever have the same number.
	attemptStride = 64
	// checkpointInterval bounds the batch work that is lost with a worker. At the target size, 150,000 batch tasks give
	// 500 checkpoints a second over all cells.
	checkpointInterval = 5 * time.Minute
	// logWait is how long a start may wait for its log record before it gives its place to another task.
	logWait = 2 * time.Second
	// silentAfter is when a worker that does not answer gets no new tasks: one missed sync and a margin.
	silentAfter = 3 * time.Second
)

// Cell is the state of one cell under one owner. All methods are safe for concurrent use and never block on I/O.
type Cell struct {
	// mu guards every field below: one cell is one shard, and each event is one step.
	mu    sync.Mutex
	id    ident.CellID
	epoch ident.Epoch
	table *table.Table
	// policy is fixed before the first event.
	policy Policy

	jobSeq  uint64
	jobs    map[ident.JobID]*job
	order   []ident.JobID
	tokens  map[string]accepted
	workers map[ident.WorkerID]*worker
	// sorted lists the workers by id; nil after one came or went.
	sorted []*worker
	// logged holds the addresses of the workers that the log names.
	logged map[ident.WorkerID]string
	// held holds the tasks that may still run on a worker that has not answered since the takeover.
	held    map[ident.TaskID]*task
	delayed delayQueue
	// deadlines orders the workers by what Tick has to do for them.
	deadlines deadlineQueue
	// waiting holds the starts that wait for their log record, and waitOrder the same in order, with others that wait no more.
	waiting   map[AttemptID]*task
	waitOrder []waitingStart
	// unlogged holds the ended attempts whose record is not durable yet; the worker must keep them until then.
	unlogged map[AttemptID]unloggedEnd
	// unloggedOn counts them by worker.
	unloggedOn map[ident.WorkerID]int
	changed    map[ident.JobID]struct{}
	// finished lists the jobs that have come to an end since TakeFinished, and acked the workers that can be told of ends
	// since TakeAcked.
	finished []*job
	acked    []ident.WorkerID

	// seq orders the answers of a worker against its reports.
	seq uint64
	// reports numbers the reports of all workers.
	reports    uint64
	recovering bool
	// takenOver is set once the Takeover record is durable; nothing is started before.
	takenOver bool
	// recoverFrom is when the predecessor is known to have stopped renewing; zero if that is not confirmed.
	recoverFrom time.Time
	// doubt is set while a successor may exist: running tasks are renewed, but nothing is started or moved.
	doubt  bool
	fenced bool
}

const (
	phaseLogging phase = iota
	phaseStarting
	phaseActive
	phaseEvicting
	phaseStopping
)

// NewCell returns an empty cell for the owner with the given epoch.
func NewCell(id ident.CellID, epoch ident.Epoch, t *table.Table) *Cell {
	return &Cell{
		id:         id,
		epoch:      epoch,
		table:      t,
		policy:     DefaultPolicy(),
		jobs:       make(map[ident.JobID]*job),
		tokens:     make(map[string]accepted),
		workers:    make(map[ident.WorkerID]*worker),
		logged:     make(map[ident.WorkerID]string),
		held:       make(map[ident.TaskID]*task),
		waiting:    make(map[AttemptID]*task),
		unlogged:   make(map[AttemptID]unloggedEnd),
		unloggedOn: make(map[ident.WorkerID]int),
		changed:    make(map[ident.JobID]struct{}),
	}
}

// SetTable puts the limits of a table in force.
func (c *Cell) SetTable(t *table.Table) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table = t
}

// TableRevision returns the revision of the table in force.
func (c *Cell) TableRevision() table.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table.Revision()
}

// Fenced reports whether a worker refused a call because it knows a higher epoch: this owner has been replaced.
func (c *Cell) Fenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fenced
}

// Accept checks a submission and returns the id of its job and the record that makes it durable. A repeat under the
// same client token returns the id of the first submission and no record.
func (c *Cell) Accept(now time.Time, spec JobSpec) (ident.JobID, Effects, error) {
	if err := spec.Validate(); err != nil {
		return ident.JobID{}, Effects{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	row, ok := c.table.Lookup(spec.Class)
	if !ok {
		return ident.JobID{}, Effects{}, verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"class %q is not in table revision %d", spec.Class, c.table.Revision())
	}
	spec.Tenant = row.Tenant
	spec.Kind = row.Kind
	id := ident.CallerAssignedJobID(c.id, spec.ClientNumber)
	spec.ClientToken = spec.repeatToken(c.id)
	if earlier, used := c.tokens[spec.ClientToken]; used && spec.ClientToken != "" {
		if !sameWork(earlier.spec, spec) {
			return ident.JobID{}, Effects{}, verdict.New(verdict.NotRun, verdict.CodeConflict,
				"client token was used for job %s with another specification", earlier.job)
		}
		return earlier.job, Effects{}, nil
	}
	for i, g := range spec.Groups {
		if err := c.checkFits(i, g.Need); err != nil {
			return ident.JobID{}, Effects{}, err
		}
	}
	if spec.ClientNumber == 0 {
		c.jobSeq++
		id = ident.JobID{Cell: c.id, Epoch: c.epoch, Seq: c.jobSeq}
	}
	if spec.ClientToken != "" {
		c.tokens[spec.ClientToken] = accepted{job: id, spec: spec}
	}
	return id, Effects{Records: []Record{JobAccepted{Job: id, Spec: spec, At: now}}}, nil
}

// repeatToken returns the token that makes a repeat of the submission safe; a number serves as one.
func (s JobSpec) repeatToken(cell ident.CellID) string {
	if s.ClientNumber != 0 && s.ClientToken == "" {
		return ident.CallerAssignedJobID(cell, s.ClientNumber).String()
	}
	return s.ClientToken
}

// IsRepeat reports whether a submission is a repeat of one that was made to this owner or is in the log.
func (c *Cell) IsRepeat(spec JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := spec.repeatToken(c.id)
	_, known := c.tokens[token]
	return known && token != ""
}

// sameWork ignores what the table adds, which may change between two submissions.
func sameWork(a, b JobSpec) bool {
	return a.Name == b.Name && a.Class == b.Class && a.Pool == b.Pool && a.FailFast == b.FailFast &&
		slices.EqualFunc(a.Groups, b.Groups, TaskGroup.equal)
}

// Withdraw forgets a submission whose record certainly was not written.
func (c *Cell) Withdraw(id ident.JobID, spec JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := spec.repeatToken(c.id)
	if c.tokens[token].job == id {
		delete(c.tokens, token)
	}
}

// Cancel requests the cancellation of a job. Nothing of it starts from now on; its tasks are cancelled once the
// record is durable. pending is false if the job is final or cancelled already.
func (c *Cell) Cancel(now time.Time, id ident.JobID) (eff Effects, pending bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	j, ok := c.jobs[id]
	if !ok {
		return eff, false, notFound(id)
	}
	if j.cancelled || j.final() {
		return eff, false, nil
	}
	if j.cancelling {
		return eff, true, nil
	}
	j.cancelling = true
	var sent []uint32
	for i := range j.tasks {
		if j.tasks[i].maySent {
			sent = append(sent, uint32(i))
		}
	}
	if queued := j.queued(); len(queued) > 0 {
		eff.do(Dequeue{Tasks: queued})
	}
	eff.log(JobCancelled{Job: id, At: now, MaybeSent: sent})
	return eff, true, nil
}

func notFound(id ident.JobID) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "job %s is not known in its cell", id)
}

func (c *Cell) setState(now time.Time, t *task, s State) {
	if t.state == s {
		return
	}
	before := t.job.final()
	t.job.counts[t.state]--
	t.state = s
	t.job.counts[s]++
	if t.job.final() {
		t.job.finishedAt = now
		if !before {
			c.finished = append(c.finished, t.job)
		}
	}
	c.touch(t.job)
}

func (c *Cell) touch(j *job) {
	j.version++
	c.changed[j.id] = struct{}{}
}

func (c *Cell) insertJob(id ident.JobID, spec JobSpec, at time.Time) *job {
	j := &job{
		id:         id,
		spec:       spec,
		acceptedAt: at,
		tasks:      make([]task, spec.TaskCount()),
		failedOn:   make(map[ident.WorkerID]struct{}),
		groups:     make([]groupState, len(spec.Groups)),
	}
	chains, longest := spec.CriticalPaths()
	j.objective = spec.Objective(longest)
	i := 0
	for g := range j.spec.Groups {
		j.groups[g] = groupState{first: i, open: j.spec.Groups[g].Count, chain: chains[g]}
		for member := range j.spec.Groups[g].Count {
			j.tasks[i] = task{
				id:    ident.TaskID{Job: id, Index: ident.TaskIndex(g, member)},
				job:   j,
				group: &j.spec.Groups[g],
				next:  1,
			}
			i++
		}
	}
	j.counts[Queued] = len(j.tasks)
	c.jobs[id] = j
	c.order = append(c.order, id)
	if spec.ClientToken != "" {
		c.tokens[spec.ClientToken] = accepted{job: id, spec: spec}
	}
	c.touch(j)
	return j
}
