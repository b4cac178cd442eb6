package jobs

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// copyInterval is how often an owner looks for running tasks that deserve a copy: a small part of the second that an urgent
// task takes.
const copyInterval = 200 * time.Millisecond

// copiesDue reports whether the owner must look for tasks that deserve a copy. While tasks wait for a run of the planner,
// it is not known whether they have room.
func (o *owner) copiesDue(now time.Time) bool {
	return !o.planNeeded && !o.planUnfinished && now.Sub(o.copiesCheckedAt) >= copyInterval
}

// startCopies starts copies of overdue tasks for which there is room.
func (o *owner) startCopies(now time.Time) {
	o.noteCopies()
	if !o.copiesDue(now) {
		return
	}
	o.copiesCheckedAt = now
	planner, ok := o.planner.(placement.CopyPlanner)
	if !ok || o.draining.Load() || o.authority() != ownership.Full {
		return
	}
	requests := o.cell.CopyCandidates(now)
	if len(requests) == 0 {
		return
	}
	copies := make([]placement.Copy, len(requests))
	for i, r := range requests {
		copies[i] = r.Copy
	}
	starts := planner.StartCopies(now, copies)
	o.apply(o.cell.StartCopies(now, requests, starts))
	o.noteCopies()
}

// nextCopyCheck returns in how long copies are due; ok is false if no task could get one.
func (o *owner) nextCopyCheck(now time.Time) (wait time.Duration, ok bool) {
	if o.planNeeded || !o.cell.MayNeedCopies() {
		return 0, false
	}
	return o.copiesCheckedAt.Add(copyInterval).Sub(now), true
}

// noteCopies counts and logs what has happened to copies.
func (o *owner) noteCopies() {
	usage := o.cell.CopyUsage()
	o.stats.WastedCopyTime.Add(int64(usage.Wasted - o.wastedCopyTime))
	o.wastedCopyTime = usage.Wasted
	for _, e := range o.cell.TakeCopyEvents() {
		fields := Fields{
			FieldTask: taskField(e.Task), FieldAttempt: e.Attempt, FieldWorker: e.Worker, FieldRanMs: e.RanFor.Milliseconds(),
		}
		switch e.Kind {
		case lifecycle.CopyStarted:
			o.stats.CopiesStarted.Add(1)
			fields[FieldReason] = e.Reason
			o.logDecision(EventCopyStarted, fields)
		case lifecycle.CopyWon:
			o.stats.CopiesWon.Add(1)
			o.logDecision(EventCopyWon, fields)
		case lifecycle.CopyStopped:
			o.stats.CopiesLost.Add(1)
			fields[FieldReason] = e.Reason
			o.logDecision(EventCopyStopped, fields)
		}
	}
}
