package lifecycle

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// defaultRetries is the retry budget of a task whose class is no longer in the table: a task that fails everywhere
	// must stop.
	defaultRetries = 5
	// The pause before a new attempt doubles from firstBackoff to maxBackoff.
	firstBackoff = time.Second
	maxBackoff   = time.Minute
	// retryPause and maxRefusalPause bound the pause after a start that certainly did not run.
	retryPause      = 200 * time.Millisecond
	maxRefusalPause = 10 * time.Second
	// maxLastingPause is the most for a lasting task, which has 6 s to run again and may have to try several workers.
	maxLastingPause = time.Second
	// maxMessageBytes bounds what is kept of the reason of a failure.
	maxMessageBytes = 200
	// quarantineAfter failures without a success a worker is quarantined. Two can still be chance or one job.
	quarantineAfter = 3
	// The pause before a quarantined worker is probed doubles from firstProbe to maxProbe. An attempt that was started in
	// quarantine and has run for provenAfter shows that the worker does not fail all it starts, although it has not ended. Both
	// together leave 1 s of the 6 s within which a lasting task has to run again while there is room.
	firstProbe  = 2 * time.Second
	provenAfter = 3 * time.Second
	maxProbe    = 5 * time.Minute
)

// health tells a worker that fails everything it starts from a worker that met a bad job.
type health struct {
	// blame holds the failures since the last success, by job.
	blame map[ident.JobID]int
	// trusted is set once the worker completed a task, until it is quarantined.
	trusted     bool
	quarantined bool
	// since is when the quarantine began.
	since   time.Time
	probing bool
	probeAt time.Time
	probes  int
}

// suspect reports whether the job fails everywhere: it never succeeded, and failed on two workers that completed other
// work or on three of any kind.
func (c *Cell) suspect(j *job) bool {
	if j.succeeded {
		return false
	}
	trusted := 0
	for id := range j.failedOn {
		if w, ok := c.workers[id]; ok && w.health.trusted {
			trusted++
		}
	}
	return trusted >= 2 || len(j.failedOn) >= 3
}

func (c *Cell) failed(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	final, charged := c.noteFailure(now, w, t, e, eff)
	switch {
	case final:
	case t.job.cancelled:
		c.setState(now, t, Cancelled)
	default:
		c.requeue(now, t, c.backoff(charged), WaitBackoff, eff)
	}
}

// hasFailed reports whether a failed attempt is counted already.
func (t *task) hasFailed(a ident.Attempt) bool {
	return slices.ContainsFunc(t.failures, func(f Failure) bool { return f.Attempt == a })
}

// lateFailure counts the failure of an attempt that no longer is the present one: after a change of owner the ends of
// earlier attempts come from their workers in any order.
func (c *Cell) lateFailure(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	t.next = max(t.next, e.Attempt+1)
	final, _ := c.noteFailure(now, w, t, e, eff)
	if !final {
		return
	}
	delete(c.held, t.id)
	c.giveUpPlace(now, t, eff)
}

// noteFailure counts a failed attempt and settles the task if it was the last one allowed.
func (c *Cell) noteFailure(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) (final bool, charged int) {
	if len(e.Message) > maxMessageBytes {
		e.Message = strings.ToValidUTF8(e.Message[:maxMessageBytes], "")
	}
	t.failures = append(t.failures, Failure{Attempt: e.Attempt, Worker: w.member.ID, Message: e.Message})
	t.message = e.Message
	t.job.failedOn[w.member.ID] = struct{}{}
	c.blame(now, w, t.job, eff)
	charged = c.chargedFailures(t)
	final = charged > c.retries(t)
	c.awaitLog(e.AttemptID, unloggedEnd{worker: w.member.ID})
	if final && t.job.spec.FailFast && !t.job.cancelling {
		c.beginFailing(t.job, eff)
	}
	eff.log(TaskFailed{AttemptID: e.AttemptID, Worker: w.member.ID, Message: e.Message, Final: final, At: now})
	if final {
		t.settled = true
		t.wait = WaitLog
	}
	return final, charged
}

// beginFailing keeps further tasks of a job from starting; what runs is stopped once the failure is durable.
func (c *Cell) beginFailing(j *job, eff *Effects) {
	j.failing = true
	j.cancelling = true
	if queued := j.queued(); len(queued) > 0 {
		eff.do(Dequeue{Tasks: queued})
	}
}

func (c *Cell) backoff(failures int) time.Duration {
	return min(c.policy.FirstBackoff<<min(max(failures-1, 0), 10), c.policy.MaxBackoff)
}

// refusalPause returns the pause after refused starts, which doubles with each one in a row.
func (t *task) refusalPause() time.Duration {
	most := maxRefusalPause
	if t.group.Lasting {
		most = maxLastingPause
	}
	return min(retryPause<<min(t.refusals-1, 6), most)
}

// restart starts a lasting task again, whether it ended by itself or failed. The end needs no record: the next attempt
// is not a repeat of finished work. A lasting task may fail at any time by itself: only one that fails soon is blamed on its
// worker, as one that fails all it starts would do.
func (c *Cell) restart(now time.Time, w *worker, t *task, e EndedAttempt, r *run, eff *Effects) {
	w.acks[e.AttemptID] = struct{}{}
	if t.job.cancelled {
		c.setState(now, t, Cancelled)
		return
	}
	if e.End == EndFailed && r.ranFor(now) < provenAfter {
		c.blame(now, w, t.job, eff)
	}
	t.checkpoint = Checkpoint{}
	c.requeue(now, t, 0, WaitNone, eff)
}

func (c *Cell) retries(t *task) int {
	if row, ok := c.table.Lookup(t.job.spec.Class); ok {
		return row.Retries
	}
	return defaultRetries
}

// chargedFailures counts the failures that are the task's own: those on quarantined workers are the worker's.
func (c *Cell) chargedFailures(t *task) int {
	n := 0
	for _, f := range t.failures {
		if w, ok := c.workers[f.Worker]; c.policy.ChargeAllFailures || !ok || !w.health.quarantined {
			n++
		}
	}
	return n
}

// blame charges a failure to the worker, unless the job fails everywhere.
func (c *Cell) blame(now time.Time, w *worker, j *job, eff *Effects) {
	if c.suspect(j) {
		c.acquit(j, eff)
	} else {
		w.addBlame(j.id)
	}
	if w.health.quarantined {
		if w.health.probing {
			c.scheduleProbe(now, w)
			c.putWorker(w, eff)
		}
		return
	}
	c.quarantineIfBad(now, w, eff)
}

func (w *worker) addBlame(id ident.JobID) {
	if w.health.blame == nil {
		w.health.blame = make(map[ident.JobID]int)
	}
	w.health.blame[id]++
}

func (c *Cell) quarantineIfBad(now time.Time, w *worker, eff *Effects) {
	if w.health.quarantined || !c.failsEverything(w) {
		return
	}
	w.health.quarantined = true
	w.health.since = now
	w.health.trusted = false
	c.scheduleProbe(now, w)
	c.putWorker(w, eff)
	c.refreshAvoid(now, eff)
}

// acquit removes the failures of a job that fails everywhere from its workers.
func (c *Cell) acquit(j *job, eff *Effects) {
	for _, w := range c.sortedWorkers() {
		if _, failed := j.failedOn[w.member.ID]; !failed {
			continue
		}
		delete(w.health.blame, j.id)
		if w.health.quarantined && !c.failsEverything(w) {
			w.health = health{}
			c.putWorker(w, eff)
		}
	}
}

// provenGood notes the first success of a job: its earlier failures were those of the workers.
func (c *Cell) provenGood(now time.Time, j *job, eff *Effects) {
	if j.succeeded {
		return
	}
	j.succeeded = true
	for _, w := range c.sortedWorkers() {
		if _, failed := j.failedOn[w.member.ID]; failed {
			c.quarantineIfBad(now, w, eff)
		}
	}
}

// failsEverything needs failures of several jobs, or of a job that succeeds elsewhere.
func (c *Cell) failsEverything(w *worker) bool {
	total, proven := 0, len(w.health.blame) >= 2
	for id, n := range w.health.blame {
		total += n
		if j, ok := c.jobs[id]; ok && j.succeeded {
			proven = true
		}
	}
	return proven && total >= quarantineAfter
}

func (c *Cell) scheduleProbe(now time.Time, w *worker) {
	w.health.probing = false
	w.health.probeAt = now.Add(min(firstProbe<<min(w.health.probes, 10), maxProbe))
	w.health.probes++
	c.schedule(w)
}

// clearBlame ends the suspicion against a worker on which the attempt r succeeded. Work that was running there before
// the quarantine does not end it; what was started in it does.
func (c *Cell) clearBlame(w *worker, r *run, eff *Effects) {
	if w.health.quarantined && !w.startedInQuarantine(r) {
		return
	}
	c.trust(w, eff)
}

// noteProven ends the quarantine of a worker on which an attempt goes on that was started in it: a lasting probe never ends,
// and a filler may stand still.
func (c *Cell) noteProven(now time.Time, w *worker, r *run, eff *Effects) {
	if w.startedInQuarantine(r) && r.ranFor(now) >= provenAfter {
		c.trust(w, eff)
	}
}

// seen notes that an attempt runs.
func (r *run) seen(now time.Time) {
	if r.seenAt.IsZero() {
		r.seenAt = now
	}
}

// ranFor returns how long an attempt is known to have run.
func (r *run) ranFor(now time.Time) time.Duration {
	if r.seenAt.IsZero() {
		return 0
	}
	return now.Sub(r.seenAt)
}

// startedInQuarantine reports whether an attempt was started after its worker had been quarantined. A late end comes without
// its attempt, so that this is not known.
func (w *worker) startedInQuarantine(r *run) bool {
	return w.health.quarantined && r != nil && r.startedAt.After(w.health.since)
}

func (c *Cell) trust(w *worker, eff *Effects) {
	lifted := w.health.quarantined
	w.health = health{trusted: true}
	if lifted {
		c.putWorker(w, eff)
	}
}
