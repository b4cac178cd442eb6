package worker

import (
	"cmp"
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

func refusal(r lifecycle.RefusalReason) lifecycle.Answer {
	return lifecycle.Answer{Outcome: lifecycle.Refused, Reason: r}
}

// refuseEpoch returns the refusal of a call whose epoch is not the one that claimed the worker.
func (w *Worker) refuseEpoch(epoch ident.Epoch) lifecycle.Answer {
	if epoch < w.epoch {
		return refusal(lifecycle.ReasonFenced)
	}
	return refusal(lifecycle.ReasonUnclaimed)
}

// applied is the answer to a call that took effect.
var applied = lifecycle.Answer{Outcome: lifecycle.Applied}

// Claim makes the sender the owner, unless a higher epoch has claimed the worker. It returns a report and the
// incarnation of the worker, which is the number of its process.
func (w *Worker) Claim(cell ident.CellID, epoch ident.Epoch) (lifecycle.Answer, lifecycle.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.epoch {
		return refusal(lifecycle.ReasonFenced), lifecycle.Report{}, ""
	}
	w.epoch = epoch
	w.cell = cell
	w.advance()
	w.reschedule()
	w.reportedEndCount = w.endCount
	return applied, w.report(), strconv.Itoa(w.incarnation)
}

// Sync renews leases, drops acknowledged ends and returns a report. If there is no end to report it waits for one, for
// at most wait. It returns the incarnation of the worker too.
func (w *Worker) Sync(ctx context.Context, epoch ident.Epoch, request lifecycle.SyncRequest, wait time.Duration) (lifecycle.Answer, lifecycle.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.refuseEpoch(epoch), lifecycle.Report{}, ""
	}
	w.advance()
	w.renew(request)
	for _, attempt := range request.Acks {
		delete(w.ended, attempt)
		w.cfg.Recorder.recordAck(w.cfg.ID, attempt, epoch, w.cfg.Now())
	}
	w.reschedule()
	if w.endCount == w.reportedEndCount && wait > 0 {
		w.awaitEnd(ctx, wait)
	}
	if epoch != w.epoch {
		return w.refuseEpoch(epoch), lifecycle.Report{}, ""
	}
	w.advance()
	w.reschedule()
	w.reportedEndCount = w.endCount
	return applied, w.report(), strconv.Itoa(w.incarnation)
}

// renew extends leases to the time of the token plus the lease duration. The token comes from a report that the
// sender received, so a delayed renewal cannot extend a lease beyond what its sender knew when it sent the call.
func (w *Worker) renew(request lifecycle.SyncRequest) {
	leaseEnd, ok := w.leaseEndFor(request.Token)
	if !ok {
		return
	}
	for _, attempt := range request.Renewals {
		if t, found := w.active[attempt.Task]; found && t.attempt == attempt && leaseEnd.After(t.leaseEnd) {
			t.leaseEnd = leaseEnd
		}
	}
}

// awaitEnd waits until an attempt ends, wait has passed or ctx ends. It releases w.mu while it waits.
func (w *Worker) awaitEnd(ctx context.Context, wait time.Duration) {
	endRecorded := w.endRecorded
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-endRecorded:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// compareTasks orders tasks by job and index.
func compareTasks(a, b ident.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job.Cell, b.Job.Cell), cmp.Compare(a.Job.Epoch, b.Job.Epoch),
		cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
}

// report returns the active attempts and the ends that are not acknowledged, each in the order of tasks.
func (w *Worker) report() lifecycle.Report {
	now := w.cfg.Now()
	r := lifecycle.Report{Capacity: w.cfg.Capacity, Token: w.token(now)}
	for _, t := range w.active {
		a := lifecycle.ActiveAttempt{AttemptID: t.attempt, Booked: t.booked, Checkpoint: lifecycle.Checkpoint{ID: t.checkpoint}, Ready: true}
		if now.Sub(t.startedAt) >= w.cfg.UsageLag {
			a.Usage = t.plan.usage
			if f := w.fault.UsageFactor; f > 0 {
				a.Usage.MilliCPU = int64(float64(a.Usage.MilliCPU) * f)
				a.Usage.MemoryMB = int64(float64(a.Usage.MemoryMB) * f)
			}
			a.Slowdown = w.slowdown(t)
			a.MeasurementAge = w.cfg.UsageLag
		}
		r.Active = append(r.Active, a)
	}
	slices.SortFunc(r.Active, func(a, b lifecycle.ActiveAttempt) int { return compareTasks(a.Task, b.Task) })
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e)
	}
	slices.SortFunc(r.Ended, func(a, b lifecycle.EndedAttempt) int { return compareTasks(a.Task, b.Task) })
	return r
}

// Start starts an attempt under a lease that runs from the time of the token. A repeated call for an attempt that is
// active has no effect and is answered as applied. An attempt whose command or checkpoint cannot be parsed is started
// and fails.
func (w *Worker) Start(epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.refuseEpoch(epoch)
	}
	w.advance()
	defer w.reschedule()
	now := w.cfg.Now()
	leaseEnd, ok := w.leaseEndFor(s.Token)
	if !ok || !now.Before(leaseEnd) {
		return refusal(lifecycle.ReasonExpired)
	}
	if t, found := w.active[s.Task]; found {
		if t.attempt == s.AttemptID {
			return applied
		}
		return refusal(lifecycle.ReasonCapacity)
	}
	if _, stopped := w.refusedUntil[s.AttemptID]; stopped {
		return refusal(lifecycle.ReasonEnded)
	}
	if _, hasEnded := w.ended[s.AttemptID]; hasEnded {
		return refusal(lifecycle.ReasonEnded)
	}
	if w.leaving {
		return refusal(lifecycle.ReasonLeaving)
	}
	if !s.Booked.NonNegative() || !w.allocated().Add(s.Booked).Fits(w.cfg.Capacity) {
		return refusal(lifecycle.ReasonCapacity)
	}
	taskPlan, planErr := parsePlan(s.Command, s.RunTime, s.Booked)
	progress, resumeErr := checkpointProgress(s.Checkpoint, s.Task)
	if planErr != nil || resumeErr != nil {
		taskPlan = plan{workTime: time.Hour, failAt: time.Microsecond, failMessage: "the command or the checkpoint cannot be read"}
	}
	w.active[s.Task] = &task{
		attempt: s.AttemptID, class: s.Class, booked: s.Booked, plan: taskPlan, progress: progress, cpuFraction: 1,
		updatedAt: now, startedAt: now, leaseEnd: leaseEnd, checkpoint: s.Checkpoint,
	}
	w.cfg.Recorder.recordStart(w, s.AttemptID, s.Checkpoint, now)
	return applied
}

// Stop stops attempts and returns how each ended, and the incarnation of the worker. An attempt that the worker does
// not know is reported as never started, and a start of it that arrives later is refused.
func (w *Worker) Stop(epoch ident.Epoch, attempts []lifecycle.AttemptID) (lifecycle.Answer, []lifecycle.EndedAttempt, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.refuseEpoch(epoch), nil, ""
	}
	w.advance()
	defer w.reschedule()
	ends := make([]lifecycle.EndedAttempt, len(attempts))
	for i, id := range attempts {
		if t, ok := w.active[id.Task]; ok && t.attempt == id {
			w.endTask(t, lifecycle.EndStopped, "")
		}
		if e, ok := w.ended[id]; ok {
			ends[i] = e
			continue
		}
		ends[i] = lifecycle.EndedAttempt{AttemptID: id, End: lifecycle.EndNeverStarted}
		w.refusedUntil[id] = w.cfg.Now().Add(lifecycle.LeaseDuration + lifecycle.LeaseMargin)
	}
	return applied, ends, strconv.Itoa(w.incarnation)
}

// Checkpoint saves the progress of an attempt and returns the id of the checkpoint. If stop is set, the attempt ends in
// the same step.
func (w *Worker) Checkpoint(epoch ident.Epoch, id lifecycle.AttemptID, stop bool) (lifecycle.Answer, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.refuseEpoch(epoch), ""
	}
	w.advance()
	defer w.reschedule()
	t, ok := w.active[id.Task]
	if !ok || t.attempt != id || w.fault.RefuseCheckpoints {
		return refusal(lifecycle.ReasonUnknownTask), ""
	}
	t.checkpoint = checkpointID(id.Task, id.Attempt, t.progress)
	if stop {
		w.endTask(t, lifecycle.EndEvicted, "")
	}
	return applied, t.checkpoint
}

// Throttle limits an attempt to a fraction of its booked processors, above 0 and at most 1. Raising the fraction is
// refused if the worker lacks the capacity.
func (w *Worker) Throttle(epoch ident.Epoch, id lifecycle.AttemptID, fraction float64) lifecycle.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.refuseEpoch(epoch)
	}
	w.advance()
	defer w.reschedule()
	t, ok := w.active[id.Task]
	if !ok || t.attempt != id {
		return refusal(lifecycle.ReasonUnknownTask)
	}
	if fraction <= 0 || fraction > 1 {
		return refusal(lifecycle.ReasonUnknownTask)
	}
	others := w.allocated().Sub(t.allocation())
	previous := t.cpuFraction
	t.cpuFraction = fraction
	if !others.Add(t.allocation()).Fits(w.cfg.Capacity) {
		t.cpuFraction = previous
		return refusal(lifecycle.ReasonCapacity)
	}
	return applied
}
