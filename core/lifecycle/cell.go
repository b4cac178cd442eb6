package lifecycle

import (
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/speculation"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// attemptStride bounds the attempts of a task whose numbers are not in the log. A new owner skips as many numbers,
	// so that no two attempts of a task have the same number.
	attemptStride = 64
	// checkpointInterval bounds how much batch work is lost with a worker. At the target size, 150,000 batch tasks cause
	// 500 checkpoints a second over all cells.
	checkpointInterval = 5 * time.Minute
	// maxLogWait is how long a start waits for its log record before its place is given to another task.
	maxLogWait = 2 * time.Second
	// silentAfter is how long a worker may leave the owner without an answer before it gets no new tasks: one missed
	// sync and a margin.
	silentAfter = 3 * time.Second
)

// Cell is the state of one cell under one owner. All methods are safe for concurrent use and never block on I/O.
type Cell struct {
	// mu guards every field below: one cell is one shard, and each event is handled under one lock.
	mu    sync.Mutex
	id    ident.CellID
	epoch ident.Epoch
	// table is nil until the first one is known.
	table *table.Table
	// policy is set before the first event.
	policy Policy

	jobSeq   uint64
	jobs     map[ident.JobID]*job
	jobOrder []ident.JobID
	tokens   map[string]acceptedSubmission
	workers  map[ident.WorkerID]*worker
	// unreached sums up worker.unreached by pool.
	unreached map[string]placement.Unreached
	// sortedCache lists the workers by id; nil after a worker was added or removed.
	sortedCache []*worker
	// loggedWorkers holds the addresses of the workers that are recorded in the log.
	loggedWorkers map[ident.WorkerID]string
	// removalsQueued counts the WorkerRemoved records of each worker that are not durable yet.
	removalsQueued map[ident.WorkerID]int
	// hostListKnown is set once SetMembers has been called. Before that, a worker that is not listed may belong to the cell.
	hostListKnown bool
	// retention limits which finished jobs are forgotten.
	retention Retention
	// newestLogTime is the latest time that the restored log and snapshot state.
	newestLogTime time.Time
	// heldTasks holds the tasks that may still run on a worker that has not answered since the takeover, and all tasks
	// that could start while no table is known.
	heldTasks map[ident.TaskID]*task
	delayed   delayQueue
	// deadlines orders the workers by their next deadline.
	deadlines deadlineQueue
	// waitingStarts holds the starts that wait for their log record. waitingOrder lists them in the order of their times;
	// its entries are removed lazily.
	waitingStarts map[AttemptID]*task
	waitingOrder  []waitingStart
	// unloggedEnds holds the ended attempts whose record is not durable yet. Their workers must keep them until then.
	unloggedEnds map[AttemptID]unloggedEnd
	// unloggedByWorker counts unloggedEnds by worker.
	unloggedByWorker map[ident.WorkerID]int
	// undecidedFailures lists the failures that were reported before the table was known. They are in unloggedEnds, too.
	undecidedFailures []undecidedFailure
	changedJobs       map[ident.JobID]struct{}
	// finishedJobs lists the jobs that have finished since the last TakeFinishedJobs, and ackedWorkers the workers with
	// newly durable ends since the last TakeAckedWorkers.
	finishedJobs []*job
	ackedWorkers []ident.WorkerID
	// speculative holds the tasks with a run whose groups allow copies, and learner what is known of their run times.
	speculative map[ident.TaskID]*task
	learner     *speculation.Learner
	// copies counts the copies that hold resources. wastedCopies is processor time; see CopyUsage.
	copies       int
	wastedCopies time.Duration
	copyEvents   []CopyEvent
	// unfit holds the jobs with JobSpec.Unfit that have not started, and when they end as failed.
	unfit map[ident.JobID]time.Time
	// sweepPosition is the position in jobOrder of the job at which WaitingTasks last looked.
	sweepPosition int

	// callSeq numbers the calls for reports and the confirmations of starts, so that a report that was requested before
	// a start was confirmed can be told from a later one.
	callSeq uint64
	// reportSeq numbers the reports of all workers.
	reportSeq uint64
	// recovering is set while tasks are held, and runsListed once none of them can run any more.
	recovering, runsListed bool
	// takeoverDurable is set once the Takeover record is durable. No task is started before that.
	takeoverDurable bool
	// evacuations is the newest set of requests, which starts are checked against. appliedEvacuations is the one that the
	// workers and the planner follow, and returns holds the data centres whose workers come back one after another.
	evacuations, appliedEvacuations evacuation.Set
	returns                         map[ident.DataCentre]evacuation.Ramp
	// nextMoveAt is when lasting tasks may next move from evacuated workers; zero while none is evacuated. lastMovedFrom is
	// the worker at which the last look stopped.
	nextMoveAt    time.Time
	lastMovedFrom ident.WorkerID
	// logFailing is set while the store does not accept records.
	logFailing bool
	// predecessorStoppedAt is when the predecessor was confirmed to renew no more leases; zero if it is not confirmed.
	predecessorStoppedAt time.Time
	// takenOverAt is when this owner took the cell over. loggedSilence is what the log said about silent workers before.
	takenOverAt   time.Time
	loggedSilence loggedSilence
	// loggedLease is the longest lease that may last by the log; 0 if it does not say. inheritedLease is the longest that the
	// predecessors of this owner may have granted.
	loggedLease, inheritedLease time.Duration
	// silenceRecordedAt is the time of the last record of a silence, and silentLeasesEndAt when the last lease on the workers
	// recorded so far has lapsed.
	silenceRecordedAt, silentLeasesEndAt time.Time
	// inDoubt is set while a successor may exist: running tasks are renewed, but no task is started or moved.
	inDoubt bool
	fenced  bool
}

// The phases of the current attempt of a task.
const (
	// phaseLogging means that the start waits for its CheckpointConsumed record.
	phaseLogging phase = iota
	// phaseStarting means that the start is not answered yet.
	phaseStarting
	// phaseActive means that the attempt runs.
	phaseActive
	// phaseEvicting means that a checkpoint with stop is not answered yet.
	phaseEvicting
	// phaseStopping means that a stop has been sent and the end is not known yet.
	phaseStopping
)

// NewCell returns an empty cell for the owner with the given epoch. t is nil if the table is not known yet; a class that
// a known table lacks has been taken out.
func NewCell(id ident.CellID, epoch ident.Epoch, t *table.Table) *Cell {
	return &Cell{
		id:               id,
		epoch:            epoch,
		table:            t,
		policy:           DefaultPolicy(),
		jobs:             make(map[ident.JobID]*job),
		tokens:           make(map[string]acceptedSubmission),
		workers:          make(map[ident.WorkerID]*worker),
		unreached:        make(map[string]placement.Unreached),
		loggedWorkers:    make(map[ident.WorkerID]string),
		removalsQueued:   make(map[ident.WorkerID]int),
		heldTasks:        make(map[ident.TaskID]*task),
		waitingStarts:    make(map[AttemptID]*task),
		unloggedEnds:     make(map[AttemptID]unloggedEnd),
		unloggedByWorker: make(map[ident.WorkerID]int),
		changedJobs:      make(map[ident.JobID]struct{}),
		returns:          make(map[ident.DataCentre]evacuation.Ramp),
		speculative:      make(map[ident.TaskID]*task),
		unfit:            make(map[ident.JobID]time.Time),
		loggedSilence:    loggedSilence{since: make(map[ident.WorkerID]time.Duration)},
		learner:          speculation.NewLearner(nil),
	}
}

// Fenced reports whether a worker has refused a call because it knows a higher epoch, that is, of a later owner.
func (c *Cell) Fenced() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fenced
}

// Accept validates a submission and returns the id of its job and the record that makes the job durable. A repeat with
// the same client token or number returns the id of the first submission and no record. If the host that received the
// submission has a newer table than this owner, a class that this owner does not know counts as that host resolved it.
func (c *Cell) Accept(now time.Time, spec JobSpec) (ident.JobID, Effects, error) {
	if err := spec.Validate(); err != nil {
		return ident.JobID{}, Effects{}, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	id := ident.CallerAssignedJobID(c.id, spec.ClientNumber)
	spec.ClientToken = spec.idempotencyToken(c.id)
	if earlier, used := c.tokens[spec.ClientToken]; used && spec.ClientToken != "" {
		if !SameWork(earlier.spec, spec) {
			return ident.JobID{}, Effects{}, verdict.New(verdict.NotRun, verdict.CodeConflict,
				"client token %q was used for job %s with another specification", spec.ClientToken, earlier.job)
		}
		return earlier.job, Effects{}, nil
	}
	if c.table == nil {
		return ident.JobID{}, Effects{}, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"the owner of cell %d has not read the table yet", c.id).WithRetryAfter(time.Second)
	}
	if !spec.ResolveClass(c.table) && spec.TableRevision <= c.table.Revision() {
		return ident.JobID{}, Effects{}, verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"class %q is not in table revision %d", spec.Class, c.table.Revision())
	}
	if err := c.checkJobFits(spec); err != nil {
		return ident.JobID{}, Effects{}, err
	}
	if spec.ClientNumber == 0 {
		c.jobSeq++
		id = ident.JobID{Cell: c.id, Epoch: c.epoch, Seq: c.jobSeq}
	}
	if spec.ClientToken != "" {
		c.tokens[spec.ClientToken] = acceptedSubmission{job: id, spec: spec}
	}
	return id, Effects{Records: []Record{JobAccepted{Job: id, Spec: spec, At: now}}}, nil
}

// IsRepeat reports whether the submission repeats one that this owner has accepted or that is in the log.
func (c *Cell) IsRepeat(spec JobSpec) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := spec.idempotencyToken(c.id)
	_, known := c.tokens[token]
	return known && token != ""
}

// Withdraw removes a submission whose record was certainly not written.
func (c *Cell) Withdraw(id ident.JobID, spec JobSpec) {
	c.mu.Lock()
	defer c.mu.Unlock()
	token := spec.idempotencyToken(c.id)
	if c.tokens[token].job == id {
		delete(c.tokens, token)
	}
}

// Cancel requests the cancellation of a job. From now on none of its tasks starts; they become cancelled once the
// record is durable. pending is false if the job is already final or cancelled.
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
	if j.cancelLogged {
		return eff, true, nil
	}
	if queued := j.queuedTasks(); len(queued) > 0 && !j.cancelling {
		eff.do(Dequeue{Tasks: queued})
	}
	// A job that fails fast is cancelling before the record of its failure is durable. That record may be lost with the
	// owner, so that the cancellation needs its own.
	j.cancelling = true
	j.cancelLogged = true
	var sent []uint32
	for i := range j.tasks {
		if j.tasks[i].maybeSent {
			sent = append(sent, uint32(i))
		}
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
		t.job.finishedAt, t.job.keptSince = now, now
		if !before {
			c.finishedJobs = append(c.finishedJobs, t.job)
		}
	}
	c.markChanged(t.job)
}

func (c *Cell) markChanged(j *job) {
	j.version++
	c.changedJobs[j.id] = struct{}{}
}

func (c *Cell) insertJob(id ident.JobID, spec JobSpec, at time.Time) *job {
	j := &job{
		id:         id,
		spec:       spec,
		acceptedAt: at, queuedSince: at,
		tasks:    make([]task, spec.TaskCount()),
		failedOn: make(map[ident.WorkerID]struct{}),
		groups:   make([]groupState, len(spec.Groups)),
	}
	chains, longest := spec.CriticalPaths()
	j.objective = spec.Objective(longest)
	i := 0
	for g := range j.spec.Groups {
		j.groups[g] = groupState{firstIndex: i, openTasks: j.spec.Groups[g].Count, criticalPath: chains[g]}
		for member := range j.spec.Groups[g].Count {
			j.tasks[i] = task{
				id:          ident.TaskID{Job: id, Index: ident.TaskIndex(g, member)},
				job:         j,
				group:       &j.spec.Groups[g],
				nextAttempt: 1,
			}
			i++
		}
	}
	j.counts[Queued] = len(j.tasks)
	c.jobs[id] = j
	c.jobOrder = append(c.jobOrder, id)
	if spec.ClientToken != "" {
		c.tokens[spec.ClientToken] = acceptedSubmission{job: id, spec: spec}
	}
	c.markChanged(j)
	return j
}
