package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func (c *Cell) takeReport(now time.Time, w *worker, seq uint64, incarnation string, r Report, eff *Effects) {
	w.contactAt = now
	w.unanswered = false
	w.incarnation = incarnation
	c.takeToken(now, w, r)
	if size := w.size(r.Capacity); w.silent || w.capacity != size {
		w.silent = false
		w.capacity = size
		c.schedule(w)
		c.putWorker(w, eff)
		c.reviveImpossible(now)
	}
	for _, e := range r.Ended {
		c.attemptEnded(now, w, e, eff)
	}
	completed := w.partial && !r.Partial
	w.partial = r.Partial
	c.compareActive(now, w, seq, r.Active, eff)
	if completed {
		c.releaseLeftOn(now, w.member.ID, eff)
		c.finishRecovery(now, eff)
	}
}

// compareActive stops what should not run, and finds attempts that are gone without a result.
func (c *Cell) compareActive(now time.Time, w *worker, seq uint64, active []ActiveAttempt, eff *Effects) {
	var stops []AttemptID
	observed := make([]placement.Observation, 0, len(active))
	c.reports++
	for _, a := range active {
		t := w.runs[a.Task]
		switch {
		case t == nil || t.run.Attempt != a.Attempt:
			stops = append(stops, a.AttemptID)
			continue
		case c.repeatStop(now, t.run):
			stops = append(stops, a.AttemptID)
		}
		t.run.seen(now)
		c.noteProven(now, w, t.run, eff)
		t.run.listedIn = c.reports
		c.repeatThrottle(t, eff)
		observed = c.observe(now, t, a, observed, eff)
	}
	for _, t := range w.unlisted(c.reports, seq) {
		r := t.run
		switch {
		case r.phase == phaseActive || r.phase == phaseEvicting:
			if !w.partial {
				c.lose(now, t, eff)
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

// unlisted returns the tasks of a worker that a report does not list although it was asked for after they were confirmed,
// in a fixed order.
func (w *worker) unlisted(report, seq uint64) []*task {
	var tasks []*task
	for _, t := range w.runs {
		if t.run.listedIn != report && t.run.confirmedSeq < seq {
			tasks = append(tasks, t)
		}
	}
	sortTasks(tasks)
	return tasks
}

// repeatStop reports whether a stop is to be sent again, because the last one was answered a while ago.
func (c *Cell) repeatStop(now time.Time, r *run) bool {
	if r.phase != phaseStopping || r.stopping || now.Sub(r.stoppedAt) < c.policy.StopRepeatDelay {
		return false
	}
	r.stopping = true
	return true
}

// observe takes over what a report says of a running attempt, and asks for a checkpoint if the last one is old.
func (c *Cell) observe(now time.Time, t *task, a ActiveAttempt, obs []placement.Observation, eff *Effects) []placement.Observation {
	if a.Checkpoint.ID != "" && a.Checkpoint.ID != t.checkpoint.ID {
		t.checkpoint = Checkpoint{ID: a.Checkpoint.ID, At: now}
		eff.log(CheckpointSaved{AttemptID: a.AttemptID, Checkpoint: t.checkpoint})
		eff.do(NoteCheckpoint{Task: a.Task, At: now})
	}
	r := t.run
	saved := latest(latest(r.startedAt, r.saveAt), t.checkpoint.At)
	asks := c.policy.CheckpointInterval > 0 && t.job.spec.Kind == table.Batch
	if asks && r.phase == phaseActive && now.Sub(saved) >= c.policy.CheckpointInterval {
		r.saveAt = now
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
