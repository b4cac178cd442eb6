package lifecycle

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/speculation"
)

const (
	// workersPerCopy and minCopies bound the copies that run in a cell at a time: a fault of the estimates must not double
	// its work.
	workersPerCopy = 8
	minCopies      = 4
	// maxCopiesPerCheck bounds the copies that one check asks for, so that other events wait only briefly.
	maxCopiesPerCheck = 16
)

// CopyRequest is a running task that deserves a copy.
type CopyRequest struct {
	placement.Copy
	Cause speculation.Cause
	// RanFor is how long the task has run, and Expected how long a new run is expected to take.
	RanFor, Expected time.Duration
}

// CopyEventKind is what happened to a copy.
type CopyEventKind uint8

// The kinds. Each copy that was started is won or stopped later.
const (
	// CopyStarted means that the start of a copy was decided.
	CopyStarted CopyEventKind = iota
	// CopyWon means that a copy completed its task.
	CopyWon
	// CopyStopped means that a copy ended in any other way.
	CopyStopped
)

// CopyEvent is a decision about a copy.
type CopyEvent struct {
	AttemptID
	Kind   CopyEventKind
	Worker ident.WorkerID
	// Reason says why the copy was started or how it ended.
	Reason string
	// RanFor is how long the first attempt had run when the copy was started, or how long the copy has run.
	RanFor time.Duration
}

// CopyUsage sums up the copies since the cell was created.
type CopyUsage struct {
	// Running is the number of copies that run or are being started or stopped.
	Running int
	// Wasted is the processor time booked by attempts that ended because another attempt completed their task.
	Wasted time.Duration
}

// runs returns the attempts of the task that hold resources.
func (t *task) runs() []*run {
	switch {
	case t.run == nil:
		return nil
	case t.copy == nil:
		return []*run{t.run}
	default:
		return []*run{t.run, t.copy}
	}
}

func (t *task) kind() speculation.Kind {
	return speculation.Kind{Class: t.job.spec.Class, Image: t.group.Constraints.Image}
}

// offRack reports whether the worker is on another rack than the data of the task.
func (t *task) offRack(w *worker) bool {
	rack := t.group.Constraints.Rack
	return rack != "" && w != nil && w.member.Rack != rack
}

// CopyCandidates returns the running tasks that deserve a copy, the most overdue first. It visits only the running tasks
// of groups that allow copies.
func (c *Cell) CopyCandidates(now time.Time) []CopyRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	limit := min(max(minCopies, len(c.workers)/workersPerCopy)-c.copies, maxCopiesPerCheck)
	if !c.mayCopy() || limit <= 0 || len(c.speculative) == 0 {
		return nil
	}
	running := make([]speculation.Running, 0, len(c.speculative))
	for _, t := range c.speculative {
		w, known := c.workers[t.run.worker]
		if !t.run.mayBeOverdue() || !known {
			continue
		}
		running = append(running, speculation.Running{
			Kind: t.kind(), Task: t.id, Worker: t.run.worker, RanFor: t.run.takenSoFar(now),
			GroupTimes: &t.job.groups[t.id.Group()].runTimes, GroupSize: t.group.Count,
			HasRack: t.group.Constraints.Rack != "", OffRack: t.offRack(w), Eligible: c.mayCopyTask(t), WorkerSilent: w.silent,
		})
	}
	var requests []CopyRequest
	for _, found := range c.learner.Decide(now, running, limit) {
		t := c.task(found.Task)
		p := c.pending(t)
		p.Task, p.Attempt = t.id.Copy(), t.nextAttempt
		requests = append(requests, CopyRequest{
			Copy: placement.Copy{Pending: p, Beside: t.run.worker}, Cause: found.Cause, RanFor: found.RanFor, Expected: found.Expected,
		})
	}
	return requests
}

// MayNeedCopies reports whether tasks run whose groups allow copies.
func (c *Cell) MayNeedCopies() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.policy.SpeculativeCopies && len(c.speculative) > 0
}

// mayCopy reports whether the cell may start copies. During the recovery, another attempt of any task may still run.
func (c *Cell) mayCopy() bool {
	return c.policy.SpeculativeCopies && c.table != nil && !c.inDoubt && !c.recovering && c.takeoverDurable && !c.startsHeld()
}

// mayCopyTask reports whether the task may get a copy now. A task with saved progress gets none, because two attempts
// cannot resume from it, and neither does one whose attempts could fail more often than its class allows.
func (c *Cell) mayCopyTask(t *task) bool {
	return t.group.Speculative && !t.group.Lasting && !t.group.Constraints.Filler && t.group.TailTarget == 0 &&
		t.open() && !t.copied && t.run != nil && t.copy == nil && t.run.mayBeOverdue() &&
		t.checkpoint.ID == "" && t.nextAttempt-t.lastLogged < attemptStride-1 &&
		c.chargedFailures(t)+2 <= c.retries(t)+1
}

// mayBeOverdue reports whether the attempt runs, or its start is not answered: a worker that stands still answers none.
func (r *run) mayBeOverdue() bool {
	return r.phase == phaseActive || r.firstSeenAt.IsZero() && (r.phase == phaseStarting || r.phase == phaseStopping)
}

// takenSoFar returns for how long the attempt has run, or has waited for the answer to its start.
func (r *run) takenSoFar(now time.Time) time.Duration {
	if r.firstSeenAt.IsZero() {
		return now.Sub(r.startedAt)
	}
	return r.ranFor(now)
}

// StartCopies starts the copies that the planner has placed, and releases those that are no longer wanted.
func (c *Cell) StartCopies(now time.Time, requests []CopyRequest, starts []placement.Start) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	causes := make(map[ident.TaskID]speculation.Cause, len(requests))
	for _, r := range requests {
		causes[r.Task] = r.Cause
	}
	for _, s := range starts {
		t := c.task(s.Task.Original())
		w, ok := c.workers[s.Worker]
		allowed := t != nil && ok && w.claimed && c.mayStartOn(w) && c.mayCopy() && c.mayCopyTask(t)
		if !allowed || t.nextAttempt != s.Attempt || t.run.worker == s.Worker || w.running[t.id] != nil {
			eff.do(Release{Task: s.Task})
			continue
		}
		r := &run{
			AttemptID: AttemptID{Task: t.id, Attempt: t.nextAttempt}, task: t, bookedAs: s.Task, worker: s.Worker,
			booked: s.Booked.Max(resource.Vector{}), startedAt: now, maybeSentBefore: true,
			isCopy: true, copyCause: causes[s.Task],
		}
		t.nextAttempt++
		t.copied = true
		t.copy = r
		c.copies++
		w.running[t.id] = r
		c.markChanged(t.job)
		c.learner.CopyStarted(now, t.kind())
		c.copyEvents = append(c.copyEvents, CopyEvent{
			AttemptID: r.AttemptID, Kind: CopyStarted, Worker: s.Worker, Reason: string(r.copyCause), RanFor: t.run.takenSoFar(now),
		})
		c.sendStart(r, w, &eff)
	}
	return eff
}

// otherMaybeSent reports whether an attempt other than r may have been sent. A copy may have run and ended before it is
// known that r was never carried out.
func (r *run) otherMaybeSent() bool {
	return r.maybeSentBefore || r.task.copy != nil || r.task.lastRan > r.Attempt
}

// trackSpeculative notes that a task has a run, or has none any more.
func (c *Cell) trackSpeculative(t *task) {
	switch {
	case !t.group.Speculative:
	case t.run == nil:
		delete(c.speculative, t.id)
	default:
		c.speculative[t.id] = t
	}
}

// removeRun takes a run from its task. The other run is the current attempt afterwards.
func (c *Cell) removeRun(now time.Time, r *run) {
	t := r.task
	if r.isCopy {
		c.copies--
	}
	if r == t.copy {
		t.copy = nil
		return
	}
	t.run, t.copy = t.copy, nil
	c.trackSpeculative(t)
	if t.run == nil || t.state.Final() {
		return
	}
	c.showCurrentRun(now, t)
}

// showCurrentRun sets the state of a task whose current attempt has been replaced by the other one.
func (c *Cell) showCurrentRun(now time.Time, t *task) {
	t.wait = WaitNone
	switch t.run.phase {
	case phaseActive:
		c.setState(now, t, Running)
	case phaseEvicting:
		c.setState(now, t, Evicting)
	default:
		c.setState(now, t, Starting)
	}
}

// noteSuccess notes that the attempt r, which is nil if it is no longer known, has completed its task. It stops the other
// attempt.
func (c *Cell) noteSuccess(now time.Time, t *task, attempt ident.Attempt, r *run, eff *Effects) {
	t.doneBy = attempt
	for _, other := range t.runs() {
		c.stopRun(other, eff)
	}
	if r == nil {
		return
	}
	if r.isCopy {
		c.learner.CopyEnded(t.kind(), r.copyCause, true)
		c.copyEvents = append(c.copyEvents, CopyEvent{AttemptID: r.AttemptID, Kind: CopyWon, Worker: r.worker, RanFor: r.ranFor(now)})
	}
	// An attempt that resumed, or whose beginning is not known, does not tell how long the task takes.
	if took := r.ranFor(now); took > 0 && !r.adopted && t.checkpoint.ID == "" && c.policy.SpeculativeCopies {
		offRack := t.offRack(c.workers[r.worker])
		c.learner.TaskEnded(t.kind(), offRack, took)
		if t.group.Speculative {
			t.job.groups[t.id.Group()].runTimes.Observe(offRack, took)
		}
	}
}

// noteCopyEnd notes the end of an attempt that does not complete its task; reason is empty if it succeeded. It is called
// before the attempt is removed.
func (c *Cell) noteCopyEnd(now time.Time, r *run, reason string) {
	t := r.task
	if !t.copied || reason == "" && !t.settled && !t.state.Final() {
		return
	}
	if t.doneBy != 0 {
		reason = "another attempt has completed the task"
		c.wastedCopies += time.Duration(float64(r.ranFor(now)) * float64(r.booked.MilliCPU) / 1000)
	}
	if !r.isCopy {
		return
	}
	if t.doneBy != 0 {
		c.learner.CopyEnded(t.kind(), r.copyCause, false)
	}
	c.copyEvents = append(c.copyEvents, CopyEvent{
		AttemptID: r.AttemptID, Kind: CopyStopped, Worker: r.worker, Reason: reason, RanFor: r.ranFor(now),
	})
}

// startMayArrive reports whether the start of another attempt of the task may still take effect. A success is not
// acknowledged before, so that nothing starts afterwards.
func (c *Cell) startMayArrive(t *task) bool {
	if !t.group.Speculative {
		return false
	}
	for _, r := range t.runs() {
		if r.confirmedSeq == 0 && r.firstSeenAt.IsZero() {
			return true
		}
	}
	// The predecessor may have sent a copy to a worker that has not been claimed yet.
	return c.recovering && !c.runsListed && !t.job.acceptedByOwner
}

// endReason describes an end for the event of a copy. It is empty for a success.
func endReason(e End) string {
	switch e {
	case EndDone:
		return ""
	case EndFailed:
		return "failed"
	case EndNeverStarted:
		return "never started"
	case EndLapsed:
		return "its lease lapsed"
	default:
		return "stopped"
	}
}

// TakeCopyEvents returns the events of copies since the last call, in their order.
func (c *Cell) TakeCopyEvents() []CopyEvent {
	c.mu.Lock()
	defer c.mu.Unlock()
	events := c.copyEvents
	c.copyEvents = nil
	return events
}

// CopyUsage returns what copies have cost.
func (c *Cell) CopyUsage() CopyUsage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return CopyUsage{Running: c.copies, Wasted: c.wastedCopies}
}

// adoptSecond takes over an attempt of a task of which another attempt was taken over before: the predecessor had started a
// copy. It returns false if the attempt must be stopped.
func (c *Cell) adoptSecond(now time.Time, w *worker, t *task, a ActiveAttempt, eff *Effects) bool {
	known := !t.group.Speculative || !c.recovering || t.job.acceptedByOwner || t.knownIdle
	if known || t.copy != nil || !t.run.adopted || w.running[t.id] != nil || a.Attempt == t.run.Attempt {
		return false
	}
	c.callSeq++
	t.nextAttempt = max(t.nextAttempt, a.Attempt+1)
	t.noteRan(a.Attempt)
	t.copied = true
	r := &run{
		AttemptID: a.AttemptID, task: t, worker: w.member.ID, bookedAs: t.id.Copy(), phase: phaseActive, booked: a.Booked,
		startedAt: now, firstSeenAt: now, incarnation: w.incarnation, maybeSentBefore: true, confirmedSeq: c.callSeq,
		ready: a.Ready, adopted: true, isCopy: a.Attempt > t.run.Attempt,
	}
	t.copy = r
	if !r.isCopy {
		// The copy was listed first.
		t.run, t.copy = r, t.run
		t.copy.isCopy = true
		c.showCurrentRun(now, t)
	}
	c.copies++
	w.running[t.id] = r
	c.markChanged(t.job)
	if w.inPlanner {
		eff.do(Restore{Running: c.runningOf(r)})
	}
	return true
}

// noteEnded notes that an attempt has certainly ended.
func (c *Cell) noteEnded(t *task, attempt ident.Attempt) {
	lowerMayRun := t.run != nil || t.group.Speculative && c.mustHold(t)
	if lowerMayRun {
		t.endedAbove = append(t.endedAbove, attempt)
		return
	}
	t.lastEnded = max(t.lastEnded, attempt)
	for _, a := range t.endedAbove {
		t.lastEnded = max(t.lastEnded, a)
	}
	t.endedAbove = nil
}

// replayEnded notes an end of the log. In a group with copies, a lower attempt may still run.
func (t *task) replayEnded(attempt ident.Attempt) {
	switch {
	case !t.group.Speculative:
		t.lastEnded = max(t.lastEnded, attempt)
	case !t.hasEnded(attempt):
		t.endedAbove = append(t.endedAbove, attempt)
	}
}

// hasEnded reports whether the attempt is known to have ended.
func (t *task) hasEnded(attempt ident.Attempt) bool {
	return attempt <= t.lastEnded || slices.Contains(t.endedAbove, attempt) || t.hasFailed(attempt)
}
