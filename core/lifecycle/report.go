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
	c.setToken(now, w, r)
	if size := w.effectiveCapacity(r.Capacity); w.silent || w.capacity != size {
		w.silent = false
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
		t := w.running[a.Task]
		switch {
		case t == nil || t.run.Attempt != a.Attempt:
			stops = append(stops, a.AttemptID)
			continue
		case c.repeatStop(now, t.run):
			stops = append(stops, a.AttemptID)
		}
		t.run.noteSeen(now)
		t.noteReady(a.Ready)
		c.endQuarantineIfProven(now, w, t.run, eff)
		t.run.lastReport = c.reportSeq
		c.resendLostThrottle(t, eff)
		observed = c.observeAttempt(now, t, a, observed, eff)
	}
	for _, t := range w.unlisted(c.reportSeq, seq) {
		r := t.run
		switch {
		case r.phase == phaseActive || r.phase == phaseEvicting:
			if !partial {
				c.attemptLost(now, t, eff)
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

// unlisted returns, in a fixed order, the tasks that a report lacks although it was requested after their starts were
// confirmed.
func (w *worker) unlisted(report, seq uint64) []*task {
	var tasks []*task
	for _, t := range w.running {
		if t.run.lastReport != report && t.run.confirmedSeq < seq {
			tasks = append(tasks, t)
		}
	}
	sortTasks(tasks)
	return tasks
}

// repeatStop reports whether to send a stop again because the last one was answered too long ago, and marks it as sent.
func (c *Cell) repeatStop(now time.Time, r *run) bool {
	if r.phase != phaseStopping || r.stopInProgress || now.Sub(r.stopAnsweredAt) < c.policy.StopRepeatDelay {
		return false
	}
	r.stopInProgress = true
	return true
}

// observeAttempt applies what a report says of a running attempt. It asks for a checkpoint if the last one is too old.
func (c *Cell) observeAttempt(now time.Time, t *task, a ActiveAttempt, obs []placement.Observation, eff *Effects) []placement.Observation {
	if a.Checkpoint.ID != "" && a.Checkpoint.ID != t.checkpoint.ID {
		t.checkpoint = Checkpoint{ID: a.Checkpoint.ID, At: now}
		eff.log(CheckpointSaved{AttemptID: a.AttemptID, Checkpoint: t.checkpoint})
		eff.do(NoteCheckpoint{Task: a.Task, At: now})
	}
	r := t.run
	lastSave := laterOf(laterOf(r.startedAt, r.checkpointAskedAt), t.checkpoint.At)
	asksForCheckpoints := c.policy.CheckpointInterval > 0 && t.job.spec.Kind == table.Batch
	if asksForCheckpoints && r.phase == phaseActive && now.Sub(lastSave) >= c.policy.CheckpointInterval {
		r.checkpointAskedAt = now
		eff.do(CheckpointTask{AttemptID: r.AttemptID, Worker: r.worker})
	}
	switch target := t.group.TailTarget; {
	case target > 0 && a.Measurement > 0:
		tail := a.Measurement / float64(target.Milliseconds())
		return append(obs, placement.Observation{Task: a.Task, TailRatio: tail, At: now.Add(-a.MeasurementAge)})
	case t.group.Constraints.Filler:
		used := resource.Vector{MilliCPU: int64(a.Measurement)}
		return append(obs, placement.Observation{Task: a.Task, Usage: used, At: now.Add(-a.MeasurementAge)})
	}
	if a.Usage.IsZero() && a.Slowdown == 0 {
		return obs
	}
	return append(obs, placement.Observation{
		Task: a.Task, Usage: a.Usage, Slowdown: a.Slowdown, At: now.Add(-a.MeasurementAge),
	})
}
