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

func refused(r lifecycle.RefusalReason) lifecycle.Answer {
	return lifecycle.Answer{Outcome: lifecycle.Refused, Reason: r}
}

// foreign refuses a call whose epoch is not the claimed one.
func (w *Worker) foreign(epoch ident.Epoch) lifecycle.Answer {
	if epoch < w.epoch {
		return refused(lifecycle.ReasonFenced)
	}
	return refused(lifecycle.ReasonUnclaimed)
}

var applied = lifecycle.Answer{Outcome: lifecycle.Applied}

// Claim makes the sender the owner, unless a higher epoch has claimed the worker.
func (w *Worker) Claim(cell ident.CellID, epoch ident.Epoch) (lifecycle.Answer, lifecycle.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch < w.epoch {
		return refused(lifecycle.ReasonFenced), lifecycle.Report{}, ""
	}
	w.epoch = epoch
	w.cell = cell
	w.advance()
	w.settle()
	w.reported = w.version
	return applied, w.report(), strconv.Itoa(w.incarnation)
}

// Sync renews leases and returns what runs. It waits for a new end for at most wait.
func (w *Worker) Sync(ctx context.Context, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) (lifecycle.Answer, lifecycle.Report, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.foreign(epoch), lifecycle.Report{}, ""
	}
	w.advance()
	w.renew(r)
	for _, run := range r.Acks {
		delete(w.ended, run)
		w.cfg.Recorder.acked(w.cfg.ID, run, epoch, w.cfg.Now())
	}
	w.settle()
	if w.version == w.reported && wait > 0 {
		w.await(ctx, wait)
	}
	if epoch != w.epoch {
		return w.foreign(epoch), lifecycle.Report{}, ""
	}
	w.advance()
	w.settle()
	w.reported = w.version
	return applied, w.report(), strconv.Itoa(w.incarnation)
}

// renew extends leases to the time of the token plus the lease duration. The token bounds what a delayed renewal can
// do: it never extends a lease past what its sender knew when it sent it.
func (w *Worker) renew(r lifecycle.SyncRequest) {
	lease, ok := w.leaseOf(r.Token)
	if !ok {
		return
	}
	for _, run := range r.Renewals {
		if t, found := w.active[run.Task]; found && t.run == run && lease.After(t.lease) {
			t.lease = lease
		}
	}
}

// await releases the lock until something ends, wait has passed or ctx ends.
func (w *Worker) await(ctx context.Context, wait time.Duration) {
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func compareTasks(a, b ident.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job.Cell, b.Job.Cell), cmp.Compare(a.Job.Epoch, b.Job.Epoch),
		cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
}

func (w *Worker) report() lifecycle.Report {
	now := w.cfg.Now()
	r := lifecycle.Report{Capacity: w.cfg.Capacity, Token: w.token(now)}
	for _, t := range w.active {
		a := lifecycle.ActiveAttempt{AttemptID: t.run, Booked: t.booked, Checkpoint: lifecycle.Checkpoint{ID: t.saved}}
		if now.Sub(t.started) >= w.cfg.UsageLag {
			a.Usage = t.plan.use
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

// Start starts an attempt under a lease that runs from the time of the token.
func (w *Worker) Start(epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.foreign(epoch)
	}
	w.advance()
	defer w.settle()
	now := w.cfg.Now()
	lease, ok := w.leaseOf(s.Token)
	if !ok || !now.Before(lease) {
		return refused(lifecycle.ReasonExpired)
	}
	if t, found := w.active[s.Task]; found {
		if t.run == s.AttemptID {
			return applied
		}
		return refused(lifecycle.ReasonCapacity)
	}
	if _, gone := w.refuse[s.AttemptID]; gone {
		return refused(lifecycle.ReasonEnded)
	}
	if _, gone := w.ended[s.AttemptID]; gone {
		return refused(lifecycle.ReasonEnded)
	}
	if w.leaving {
		return refused(lifecycle.ReasonLeaving)
	}
	if !s.Booked.NonNegative() || !w.used().Add(s.Booked).Fits(w.cfg.Capacity) {
		return refused(lifecycle.ReasonCapacity)
	}
	p, planErr := parsePlan(s.Command, s.RunTime, s.Booked)
	done, resumeErr := progressOf(s.Checkpoint, s.Task)
	if planErr != nil || resumeErr != nil {
		p = plan{work: time.Hour, failAt: time.Microsecond, failure: "the command or the checkpoint cannot be read"}
	}
	w.active[s.Task] = &task{
		run: s.AttemptID, class: s.Class, booked: s.Booked, plan: p, done: done, limit: 1,
		updated: now, started: now, lease: lease, saved: s.Checkpoint,
	}
	w.cfg.Recorder.start(w, s.AttemptID, s.Checkpoint, now)
	return applied
}

// Stop stops attempts and says how each ended. Attempts that were never seen are refused from now on.
func (w *Worker) Stop(epoch ident.Epoch, runs []lifecycle.AttemptID) (lifecycle.Answer, []lifecycle.EndedAttempt, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.foreign(epoch), nil, ""
	}
	w.advance()
	defer w.settle()
	ends := make([]lifecycle.EndedAttempt, len(runs))
	for i, r := range runs {
		if t, ok := w.active[r.Task]; ok && t.run == r {
			w.end(t, lifecycle.EndStopped, "")
		}
		if e, ok := w.ended[r]; ok {
			ends[i] = e
			continue
		}
		ends[i] = lifecycle.EndedAttempt{AttemptID: r, End: lifecycle.EndNeverStarted}
		w.refuse[r] = w.cfg.Now().Add(lifecycle.LeaseDuration + lifecycle.LeaseMargin)
	}
	return applied, ends, strconv.Itoa(w.incarnation)
}

// Checkpoint saves the progress of an attempt and, if stop is set, ends it in the same step.
func (w *Worker) Checkpoint(epoch ident.Epoch, r lifecycle.AttemptID, stop bool) (lifecycle.Answer, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.foreign(epoch), ""
	}
	w.advance()
	defer w.settle()
	t, ok := w.active[r.Task]
	if !ok || t.run != r || w.fault.RefuseCheckpoints {
		return refused(lifecycle.ReasonUnknownTask), ""
	}
	t.saved = checkpointID(r.Task, r.Attempt, t.done)
	if stop {
		w.end(t, lifecycle.EndEvicted, "")
	}
	return applied, t.saved
}

// Throttle limits the processors of an attempt.
func (w *Worker) Throttle(epoch ident.Epoch, r lifecycle.AttemptID, fraction float64) lifecycle.Answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if epoch != w.epoch {
		return w.foreign(epoch)
	}
	w.advance()
	defer w.settle()
	t, ok := w.active[r.Task]
	if !ok || t.run != r {
		return refused(lifecycle.ReasonUnknownTask)
	}
	if fraction <= 0 || fraction > 1 {
		return refused(lifecycle.ReasonUnknownTask)
	}
	rest := w.used().Sub(t.held())
	before := t.limit
	t.limit = fraction
	if !rest.Add(t.held()).Fits(w.cfg.Capacity) {
		t.limit = before
		return refused(lifecycle.ReasonCapacity)
	}
	return applied
}
