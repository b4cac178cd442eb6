package lifecycle

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// defaultRetries is the retry budget of a task whose class is no longer in the table and whose job was accepted by a
	// build that did not record its retries. It stops a task that fails on every worker.
	defaultRetries = 5
	// The pause after a failed attempt doubles from firstBackoff to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// The pause after a start that certainly did not run doubles from startRetryPause to maxStartRetryPause.
	startRetryPause = 200 * time.Millisecond
	// immediateRetries is how many consecutive starts that could not be sent are repeated without a pause. The slack of an urgent task
	// is less than a second.
	immediateRetries = 2
	// A task with room on some worker must start within 3 s.
	maxStartRetryPause = 2 * time.Second
	// maxLastingRetryPause replaces maxStartRetryPause for lasting tasks, which have 6 s to run again and may have to
	// try several workers.
	maxLastingRetryPause = time.Second
	// maxMessageBytes bounds the stored message of a failure.
	maxMessageBytes = 200
	// quarantineFailures is the number of failures without a success after which a worker is quarantined. Two failures
	// can still be due to chance or to one job.
	quarantineFailures = 3
	// maxBlamedJobs bounds the jobs whose failures are held against a worker. Beyond it counting starts anew.
	maxBlamedJobs = 32
	// The pause before a quarantined worker is probed doubles from firstProbePause to maxProbePause. An attempt that
	// was started in quarantine and has run for provenRunTime shows that the worker does not fail everything it starts.
	// firstProbePause and provenRunTime leave 1 s of the 6 s within which a lasting task must run again if a worker has
	// capacity for it.
	firstProbePause = 2 * time.Second
	provenRunTime   = 3 * time.Second
	maxProbePause   = 5 * time.Minute
)

// health holds the failures of a worker. It distinguishes a worker that fails everything from one that met a bad job.
type health struct {
	// failuresByJob counts the failures since the last success by job.
	failuresByJob map[ident.JobID]int
	// provenHealthy is set once the worker has completed a task, or has run one for provenRunTime in quarantine. It is
	// cleared when the worker is quarantined.
	provenHealthy bool
	quarantined   bool
	// quarantinedAt is when the quarantine began.
	quarantinedAt time.Time
	probing       bool
	probeAt       time.Time
	probeCount    int
}

// failsEverywhere reports whether the job fails on every worker: it has never succeeded, and has failed on two workers
// that are proven healthy or on any three workers.
func (c *Cell) failsEverywhere(j *job) bool {
	if j.succeeded {
		return false
	}
	healthyWorkers := 0
	for id := range j.failedOn {
		if w, ok := c.workers[id]; ok && w.health.provenHealthy {
			healthyWorkers++
		}
	}
	return healthyWorkers >= 2 || len(j.failedOn) >= 3
}

func (c *Cell) attemptFailed(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	if c.table == nil && !t.job.cancelled {
		c.deferFailure(w, e)
		c.requeue(now, t, c.backoff(c.chargedFailures(t)+1), WaitBackoff, eff)
		return
	}
	final, charged := c.recordFailure(now, w, t, e, eff)
	switch {
	case final:
		for _, other := range t.runs() {
			c.stopRun(other, eff)
		}
	case t.job.cancelled:
		c.setState(now, t, Cancelled)
	default:
		c.requeue(now, t, c.backoff(charged), WaitBackoff, eff)
	}
}

// hasFailed reports whether the failure of an attempt is already counted.
func (t *task) hasFailed(attempt ident.Attempt) bool {
	return slices.ContainsFunc(t.failures, func(f Failure) bool { return f.Attempt == attempt })
}

// handleLateFailure counts the failure of an attempt that is no longer the current one. After a change of owner, the
// workers report the ends of earlier attempts in any order.
func (c *Cell) handleLateFailure(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	t.nextAttempt = max(t.nextAttempt, e.Attempt+1)
	if c.table == nil {
		c.deferFailure(w, e)
		return
	}
	final, _ := c.recordFailure(now, w, t, e, eff)
	if !final {
		return
	}
	delete(c.heldTasks, t.id)
	c.withdrawTask(now, t, eff)
}

// recordFailure counts a failed attempt, and settles the task if it has no retries left.
func (c *Cell) recordFailure(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) (final bool, charged int) {
	if len(e.Message) > maxMessageBytes {
		e.Message = strings.ToValidUTF8(e.Message[:maxMessageBytes], "")
	}
	t.failures = append(t.failures, Failure{Attempt: e.Attempt, Worker: w.member.ID, Message: e.Message})
	t.message = e.Message
	t.job.failedOn[w.member.ID] = struct{}{}
	c.blameWorker(now, w, t.job, eff)
	charged = c.chargedFailures(t)
	final = charged > c.retries(t)
	c.addUnloggedEnd(e.AttemptID, unloggedEnd{worker: w.member.ID})
	if final && t.job.spec.FailFast && !t.job.cancelling {
		c.failFast(t.job, eff)
	}
	eff.log(TaskFailed{AttemptID: e.AttemptID, Worker: w.member.ID, Message: e.Message, Final: final, At: now})
	if final {
		t.settled = true
		t.wait = WaitLog
	}
	return final, charged
}

// failFast stops further tasks of a job from starting. Its running tasks are stopped once the failure is durable.
func (c *Cell) failFast(j *job, eff *Effects) {
	j.failing = true
	j.cancelling = true
	if queued := j.queuedTasks(); len(queued) > 0 {
		eff.do(Dequeue{Tasks: queued})
	}
}

func (c *Cell) backoff(failures int) time.Duration {
	return min(c.policy.FirstBackoff<<min(max(failures-1, 0), 10), c.policy.MaxBackoff)
}

// refusalPause returns the pause after a refused start, which doubles with each consecutive refusal. There is none after the
// first ones that could not be sent, because the next start goes to another worker.
func (t *task) refusalPause(reason RefusalReason) time.Duration {
	if reason == ReasonUnsent && t.refusals <= immediateRetries {
		return 0
	}
	maxPause := maxStartRetryPause
	if t.group.Lasting {
		maxPause = maxLastingRetryPause
	}
	return min(startRetryPause<<min(t.refusals-1, 6), maxPause)
}

// restartLasting starts a lasting task again after it ended or failed. The end needs no record, because the next
// attempt does not repeat finished work. A lasting task may fail at any time through no fault of its worker, so only a
// failure soon after the start is blamed on the worker.
func (c *Cell) restartLasting(now time.Time, w *worker, t *task, e EndedAttempt, r *run, eff *Effects) {
	w.pendingAcks[e.AttemptID] = struct{}{}
	if t.job.cancelled {
		c.setState(now, t, Cancelled)
		return
	}
	if e.End == EndFailed && r.ranFor(now) < provenRunTime {
		c.blameWorker(now, w, t.job, eff)
	}
	t.checkpoint = Checkpoint{}
	c.requeue(now, t, 0, WaitNone, eff)
}

func (c *Cell) retries(t *task) int {
	if row, ok := c.lookup(t.job.spec.Class); ok {
		return row.Retries
	}
	if known := t.job.spec.MaxFailures; known > 0 {
		return known - 1
	}
	return defaultRetries
}

func maxFailures(row table.Row) int {
	return row.Retries + 1
}

// chargedFailures counts the failures that count against the retries. Those on quarantined workers do not, unless the
// policy sets ChargeAllFailures.
func (c *Cell) chargedFailures(t *task) int {
	n := 0
	for _, f := range t.failures {
		if w, ok := c.workers[f.Worker]; c.policy.ChargeAllFailures || !ok || !w.health.quarantined {
			n++
		}
	}
	return n
}

// blameWorker counts a failure against the worker, unless the job fails on every worker.
func (c *Cell) blameWorker(now time.Time, w *worker, j *job, eff *Effects) {
	if c.failsEverywhere(j) {
		c.clearJobFailures(j, eff)
	} else {
		w.countFailure(j.id)
	}
	if w.health.quarantined {
		if w.health.probing {
			c.scheduleProbe(now, w)
			c.putWorker(w, eff)
		}
		return
	}
	c.quarantineIfFailing(now, w, eff)
}

func (w *worker) countFailure(id ident.JobID) {
	if w.health.failuresByJob == nil || len(w.health.failuresByJob) >= maxBlamedJobs {
		w.health.failuresByJob = make(map[ident.JobID]int)
	}
	w.health.failuresByJob[id]++
}

func (c *Cell) quarantineIfFailing(now time.Time, w *worker, eff *Effects) {
	if w.health.quarantined || !c.failsEverything(w) {
		return
	}
	if !c.failsWhatSucceedsElsewhere(w) && c.mostInQuarantineWith(w) {
		return
	}
	w.health.quarantined = true
	w.health.quarantinedAt = now
	w.health.provenHealthy = false
	c.scheduleProbe(now, w)
	c.putWorker(w, eff)
	c.refreshWorkersToAvoid(now, eff)
}

// clearJobFailures removes the failures of a job that fails on every worker from the records of its workers.
func (c *Cell) clearJobFailures(j *job, eff *Effects) {
	for _, w := range c.sortedWorkers() {
		if _, failed := j.failedOn[w.member.ID]; !failed {
			continue
		}
		delete(w.health.failuresByJob, j.id)
		if w.health.quarantined && !c.failsEverything(w) {
			w.health = health{}
			c.putWorker(w, eff)
		}
	}
}

// noteFirstSuccess notes the first success of a job, which shows that its earlier failures were the fault of the
// workers.
func (c *Cell) noteFirstSuccess(now time.Time, j *job, eff *Effects) {
	if j.succeeded {
		return
	}
	j.succeeded = true
	for _, w := range c.sortedWorkers() {
		if _, failed := j.failedOn[w.member.ID]; failed {
			c.quarantineIfFailing(now, w, eff)
		}
	}
}

// failsEverything reports whether the worker has enough failures, and these are from several jobs or from a job that
// succeeds elsewhere.
func (c *Cell) failsEverything(w *worker) bool {
	total := 0
	for _, n := range w.health.failuresByJob {
		total += n
	}
	return total >= quarantineFailures && (len(w.health.failuresByJob) >= 2 || c.failsWhatSucceedsElsewhere(w))
}

// failsWhatSucceedsElsewhere reports whether a failure of the worker is from a job that has succeeded elsewhere.
func (c *Cell) failsWhatSucceedsElsewhere(w *worker) bool {
	for id := range w.health.failuresByJob {
		if j, ok := c.jobs[id]; ok && j.succeeded {
			return true
		}
	}
	return false
}

// mostInQuarantineWith reports whether more than half of the workers of its pool that could take tasks would be in
// quarantine if w was. Failures of jobs that have succeeded nowhere on that many workers are more likely the fault of the
// jobs.
func (c *Cell) mostInQuarantineWith(w *worker) bool {
	all, quarantined := 0, 0
	for _, o := range c.workers {
		if o.member.Pool != w.member.Pool || !o.claimed || o.silent || o.leaving() || o.evacuated {
			continue
		}
		all++
		if o == w || o.health.quarantined {
			quarantined++
		}
	}
	return 2*quarantined > all
}

func (c *Cell) scheduleProbe(now time.Time, w *worker) {
	w.health.probing = false
	w.health.probeAt = now.Add(min(firstProbePause<<min(w.health.probeCount, 10), maxProbePause))
	w.health.probeCount++
	c.scheduleTick(w)
}

// noteWorkerSuccess clears the failures of a worker on which the attempt r succeeded. A success of an attempt that was
// started before the quarantine does not end it.
func (c *Cell) noteWorkerSuccess(w *worker, r *run, eff *Effects) {
	if w.health.quarantined && !w.startedInQuarantine(r) {
		return
	}
	c.markHealthy(w, eff)
}

// endQuarantineIfProven ends the quarantine of a worker on which an attempt that was started in quarantine keeps
// running. The end of the attempt cannot be awaited: a lasting task never ends, and a filler may make no progress.
func (c *Cell) endQuarantineIfProven(now time.Time, w *worker, r *run, eff *Effects) {
	if w.startedInQuarantine(r) && r.ranFor(now) >= provenRunTime {
		c.markHealthy(w, eff)
	}
}

// noteSeen notes that the attempt is known to run.
func (r *run) noteSeen(now time.Time) {
	if r.firstSeenAt.IsZero() {
		r.firstSeenAt = now
	}
}

// ranFor returns for how long the attempt is known to have run.
func (r *run) ranFor(now time.Time) time.Duration {
	if r.firstSeenAt.IsZero() {
		return 0
	}
	return now.Sub(r.firstSeenAt)
}

// startedInQuarantine reports whether the attempt was started after its worker was quarantined. It is false for a late
// end, for which r is nil and the time of the start is not known.
func (w *worker) startedInQuarantine(r *run) bool {
	return w.health.quarantined && r != nil && r.startedAt.After(w.health.quarantinedAt)
}

func (c *Cell) markHealthy(w *worker, eff *Effects) {
	lifted := w.health.quarantined
	w.health = health{provenHealthy: true}
	if lifted {
		c.putWorker(w, eff)
	}
}
