package lifecycle

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
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
	// waiting holds the starts that wait for their log record.
	waiting map[Run]*task
	// unlogged holds the ended attempts whose record is not durable yet; the worker must keep them until then.
	unlogged map[Run]unloggedEnd
	changed  map[ident.JobID]struct{}

	// seq orders the answers of a worker against its reports.
	seq        uint64
	recovering bool
	// takenOver is set once the Takeover record is durable; nothing is started before.
	takenOver bool
	// recoverFrom is when the predecessor is known to have stopped renewing; zero if that is not confirmed.
	recoverFrom time.Time
	// doubt is set while a successor may exist: running tasks are renewed, but nothing is started or moved.
	doubt  bool
	fenced bool
}

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

const (
	phaseLogging phase = iota
	phaseStarting
	phaseActive
	phaseEvicting
	phaseStopping
)

// run is the attempt that holds resources on a worker.
type run struct {
	Run
	worker    ident.WorkerID
	phase     phase
	booked    resource.Vector
	startedAt time.Time
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
	// fraction is the throttle decided last, 0 if none; throttleLost is set if its answer was lost.
	fraction     float64
	throttleLost bool
}

// NewCell returns an empty cell for the owner with the given epoch.
func NewCell(id ident.CellID, epoch ident.Epoch, t *table.Table) *Cell {
	return &Cell{
		id:       id,
		epoch:    epoch,
		table:    t,
		policy:   DefaultPolicy(),
		jobs:     make(map[ident.JobID]*job),
		tokens:   make(map[string]accepted),
		workers:  make(map[ident.WorkerID]*worker),
		logged:   make(map[ident.WorkerID]string),
		held:     make(map[ident.TaskID]*task),
		waiting:  make(map[Run]*task),
		unlogged: make(map[Run]unloggedEnd),
		changed:  make(map[ident.JobID]struct{}),
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
	id := ident.ChosenJobID(c.id, spec.Number)
	spec.Token = spec.repeatToken(c.id)
	if earlier, used := c.tokens[spec.Token]; used && spec.Token != "" {
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
	if spec.Number == 0 {
		c.jobSeq++
		id = ident.JobID{Cell: c.id, Epoch: c.epoch, Seq: c.jobSeq}
	}
	if spec.Token != "" {
		c.tokens[spec.Token] = accepted{job: id, spec: spec}
	}
	return id, Effects{Records: []Record{JobAccepted{Job: id, Spec: spec, At: now}}}, nil
}

// repeatToken returns the token that makes a repeat of the submission safe; a number serves as one.
func (s JobSpec) repeatToken(cell ident.CellID) string {
	if s.Number != 0 && s.Token == "" {
		return ident.ChosenJobID(cell, s.Number).String()
	}
	return s.Token
}

// Knows reports whether a submission is a repeat of one that was made to this owner or is in the log.
func (c *Cell) Knows(spec JobSpec) bool {
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
	eff.log(JobCancelled{Job: id, At: now, MaySent: sent})
	return eff, true, nil
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

func notFound(id ident.JobID) error {
	return verdict.New(verdict.NotRun, verdict.CodeNotFound, "job %s is not known in its cell", id)
}

func (j *job) final() bool {
	return j.counts[Done]+j.counts[Failed]+j.counts[Cancelled] == len(j.tasks)
}

// startable reports whether the task needs an attempt.
func (t *task) startable() bool {
	return !t.settled && !t.state.Final() && !t.job.cancelling && t.run == nil
}

func (c *Cell) setState(now time.Time, t *task, s State) {
	if t.state == s {
		return
	}
	t.job.counts[t.state]--
	t.state = s
	t.job.counts[s]++
	if t.job.final() {
		t.job.finishedAt = now
	}
	c.touch(t.job)
}

func (c *Cell) touch(j *job) {
	j.version++
	c.changed[j.id] = struct{}{}
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

func (c *Cell) insertJob(id ident.JobID, spec JobSpec, at time.Time) *job {
	j := &job{
		id:         id,
		spec:       spec,
		acceptedAt: at,
		tasks:      make([]task, spec.Tasks()),
		failedOn:   make(map[ident.WorkerID]struct{}),
		groups:     make([]groupState, len(spec.Groups)),
	}
	chains, longest := spec.Chains()
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
	if spec.Token != "" {
		c.tokens[spec.Token] = accepted{job: id, spec: spec}
	}
	c.touch(j)
	return j
}
