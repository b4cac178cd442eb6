package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func (c *Cell) applyReport(now time.Time, w *worker, seq uint64, incarnation string, r Report, eff *Effects) {
	w.lastContact = now
	w.unanswered = false
	if w.reportWaiting {
		w.reportWaiting = false
		c.scheduleTick(w)
	}
	w.incarnation = incarnation
	c.receiveToken(now, w, r.Token, eff)
	if size := w.effectiveCapacity(r.Capacity); w.unanswering() || w.capacity != size {
		w.silent, w.unreachable = false, false
		w.capacity = size
		c.scheduleTick(w)
		c.putWorker(w, eff)
		c.clearImpossible(now)
	}
	endsListed := w.endsMissing && (!r.Partial || w.listsLaterEnd(r.Ended))
	for _, e := range r.Ended {
		c.attemptEnded(now, w, e, eff)
	}
	w.partial = r.Partial
	c.reconcileActive(now, w, seq, r, eff)
	if endsListed {
		w.endsMissing = false
		c.releaseTasksLeftOn(now, w, eff)
		c.finishRecovery(now, eff)
	}
}

// reconcileActive compares the attempts that a worker lists with those that it should run: it stops surplus attempts
// and finds attempts that have disappeared without a result.
func (c *Cell) reconcileActive(now time.Time, w *worker, seq uint64, r Report, eff *Effects) {
	var stops []AttemptID
	observed := make([]placement.Observation, 0, len(r.Active))
	partial := r.Partial || r.PartialActive
	c.reportSeq++
	for _, a := range r.Active {
		r := w.running[a.Task]
		switch {
		case r == nil || r.Attempt != a.Attempt:
			stops = append(stops, a.AttemptID)
			continue
		case c.repeatStop(now, r):
			stops = append(stops, a.AttemptID)
		}
		r.noteSeen(now)
		r.noteReady(a.Ready)
		c.endQuarantineIfProven(now, w, r, eff)
		r.lastReport = c.reportSeq
		c.resendLostThrottle(r, eff)
		observed = c.observeAttempt(now, r, a, observed, eff)
	}
	for _, r := range w.unlisted(c.reportSeq, seq) {
		switch {
		case r.phase == phaseActive || r.phase == phaseEvicting:
			if !partial {
				c.attemptLost(now, r, eff)
			}
		case c.repeatStop(now, r):
			stops = append(stops, r.AttemptID)
		}
	}
	if len(stops) > 0 {
		eff.do(StopTasks{Worker: w.member.ID, Attempts: stops})
	}
	if len(observed) > 0 {
		eff.do(Observe{Observations: observed})
	}
}

// unlisted returns, in a fixed order, the attempts that a report lacks although it was requested after their starts were
// confirmed.
func (w *worker) unlisted(report, seq uint64) []*run {
	var runs []*run
	for _, r := range w.running {
		if r.lastReport != report && r.confirmedSeq < seq {
			runs = append(runs, r)
		}
	}
	sortRuns(runs)
	return runs
}

// repeatStop reports whether to send a stop again because the last one was answered too long ago, and marks it as sent.
func (c *Cell) repeatStop(now time.Time, r *run) bool {
	if r.phase != phaseStopping || r.stopInProgress || now.Sub(r.stopAnsweredAt) < c.policy.StopRepeatDelay {
		return false
	}
	r.stopInProgress = true
	return true
}

// A new owner asks for overdue checkpoints once adoptedSaveDelay has passed, which leaves the takeover to claims and restarts, and
// spreads them over adoptedSaveSpread.
const (
	adoptedSaveDelay  = 30 * time.Second
	adoptedSaveSpread = 30 * time.Second
)

// lastSave returns the time from which the interval to the next checkpoint counts. An attempt of a predecessor that has saved
// nothing counts as overdue, because the log does not tell when it started.
func (c *Cell) lastSave(r *run) time.Time {
	saved := laterOf(r.checkpointAskedAt, r.task.checkpoint.At)
	if !r.adopted {
		return laterOf(r.startedAt, saved)
	}
	spread := adoptedSaveDelay + adoptedSaveSpread*time.Duration(r.Task.Index%64)/64
	overdue := c.takenOverAt.Add(spread - c.policy.CheckpointInterval)
	return laterOf(overdue, saved)
}

// observeAttempt applies what a report says of a running attempt. It asks for a checkpoint if the last one is too old.
// Progress that a copy saves beside the first attempt is ignored: only one attempt can resume.
func (c *Cell) observeAttempt(now time.Time, r *run, a ActiveAttempt, obs []placement.Observation, eff *Effects) []placement.Observation {
	t := r.task
	if a.Checkpoint.ID != "" && a.Checkpoint.ID != t.checkpoint.ID && r == t.run {
		t.checkpoint = Checkpoint{ID: a.Checkpoint.ID, At: now}
		eff.log(CheckpointSaved{AttemptID: a.AttemptID, Checkpoint: t.checkpoint})
		eff.do(NoteCheckpoint{Task: r.bookedAs, At: now})
	}
	asksForCheckpoints := c.policy.CheckpointInterval > 0 && t.job.spec.Kind == table.Batch
	if asksForCheckpoints && r == t.run && r.phase == phaseActive && now.Sub(c.lastSave(r)) >= c.policy.CheckpointInterval {
		r.checkpointAskedAt = now
		eff.do(CheckpointTask{AttemptID: r.AttemptID, Worker: r.worker})
	}
	switch target := t.group.TailTarget; {
	case target > 0 && a.Measurement > 0:
		tail := a.Measurement / float64(target.Milliseconds())
		return append(obs, placement.Observation{Task: r.bookedAs, TailRatio: tail, At: now.Add(-a.MeasurementAge)})
	case t.group.Constraints.Filler:
		used := resource.Vector{MilliCPU: int64(a.Measurement)}
		return append(obs, placement.Observation{Task: r.bookedAs, Usage: used, At: now.Add(-a.MeasurementAge)})
	}
	if a.Usage.IsZero() && a.Slowdown == 0 {
		return obs
	}
	return append(obs, placement.Observation{
		Task: r.bookedAs, Usage: a.Usage, Slowdown: a.Slowdown, At: now.Add(-a.MeasurementAge),
	})
}
