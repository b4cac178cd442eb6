package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Submit accepts a job in a cell and returns once it is durable. NotRun proves that the job does not exist; after
// MayHaveRun a repeat with the same client token is safe.
func (s *Service) Submit(ctx context.Context, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error) {
	o, err := s.accepting(cell)
	if err != nil {
		s.stats.RefusedJobs.Add(1)
		return ident.JobID{}, err
	}
	id, err := o.submit(ctx, spec)
	if err != nil {
		e := verdict.FromError(err)
		o.note(EventJobRefused, Fields{
			FieldJob: jobField(ident.CallerAssignedJobID(cell, spec.ClientNumber)), FieldClass: spec.Class, FieldVerdict: e.Verdict.String(),
			FieldCode: string(e.Code), FieldReason: err.Error(), FieldAuthority: o.authority().String(), FieldTable: o.tableRevision(),
		})
	}
	switch {
	case err == nil:
		s.stats.AcceptedJobs.Add(1)
	case verdict.FromError(err).Verdict == verdict.NotRun:
		s.stats.RefusedJobs.Add(1)
	default:
		s.stats.UnknownJobs.Add(1)
	}
	return id, err
}

func (s *Service) accepting(cell ident.CellID) (*owner, error) {
	o, ok := s.owners.Get(cell)
	if !ok || o.gone.Load() {
		return nil, errStopped(cell)
	}
	if o.draining.Load() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d is being handed over", cell).WithRetryAfter(time.Second)
	}
	if o.authority() == ownership.None {
		return nil, errStopped(cell)
	}
	if o.log.full() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeLimited, "too many records of cell %d wait for the store", cell).
			WithRetryAfter(s.cfg.DurableWait)
	}
	return o, nil
}

func (o *owner) submit(ctx context.Context, spec lifecycle.JobSpec) (ident.JobID, error) {
	var (
		id  ident.JobID
		it  *item
		err error
	)
	stalled := o.log.failing()
	ok := o.call(ctx, func() {
		if limit := o.cfg.StallLimit; limit > 0 && stalled >= limit && !o.cell.IsRepeat(spec) {
			// It would wait in vain, and its caller can ask elsewhere or later.
			err = verdict.New(verdict.NotRun, verdict.CodeLimited, "the store has not answered for %s", stalled.Round(time.Millisecond)).
				WithRetryAfter(stallRetry)
			return
		}
		var eff lifecycle.Effects
		if id, eff, err = o.cell.Accept(o.now(), spec); err != nil {
			return
		}
		if items := o.apply(eff); len(items) > 0 {
			o.accepting[id] = items[0]
		}
		it = o.accepting[id]
	})
	if !ok {
		return id, errStopped(o.cellID)
	}
	if err != nil || it == nil {
		return id, err
	}
	if o.awaitDurable(ctx, it) {
		return id, nil
	}
	if o.withdraw(id, spec, it) {
		return ident.JobID{}, verdict.New(verdict.NotRun, verdict.CodeDeadline,
			"the job could not be made durable: the store does not answer").WithRetryAfter(o.cfg.DurableWait)
	}
	if isDurable(it) {
		return id, nil
	}
	return id, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable,
		"job %s may have been accepted: the store did not answer; a repeat with the same client token is safe", id)
}

// stallRetry is when a job that was refused because the store does not answer may be offered again: about the time in
// which a successor takes the cell over.
const stallRetry = 2 * time.Second

// awaitDurable waits until the record is durable; false after durableWait, or when the caller or the owner ends.
func (o *owner) awaitDurable(ctx context.Context, it *item) bool {
	limit := time.NewTimer(o.cfg.DurableWait)
	defer limit.Stop()
	select {
	case <-it.done:
		return it.durable
	case <-limit.C:
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return isDurable(it)
}

func isDurable(it *item) bool {
	select {
	case <-it.done:
		return it.durable
	default:
		return false
	}
}

// withdraw takes a submission back if its record certainly was not written. Repeats of it wait for the same record.
func (o *owner) withdraw(id ident.JobID, spec lifecycle.JobSpec, it *item) bool {
	o.log.withdraw(it)
	limit := time.NewTimer(withdrawWait)
	defer limit.Stop()
	select {
	case <-it.done:
	case <-limit.C:
		o.log.keep(it)
	case <-o.log.ended:
		// The end of the writer leaves in the queue only what was not written.
	}
	select {
	case <-it.done:
	default:
		return false
	}
	if it.durable {
		return false
	}
	o.cell.Withdraw(id, spec)
	o.post(func() { delete(o.accepting, id) })
	return true
}

// Cancel cancels a job and returns once that is durable. After MayHaveRun the job is cancelled when the store answers.
func (s *Service) Cancel(ctx context.Context, id ident.JobID) error {
	o, ok := s.owners.Get(id.Cell)
	if !ok || o.authority() == ownership.None {
		return errStopped(id.Cell)
	}
	err := o.cancelJob(ctx, id)
	if err == nil || verdict.FromError(err).Code != verdict.CodeNotFound {
		return err
	}
	// The priority lane overtakes submissions, and an accepted job is known only once its record is durable.
	var accepting *item
	if !o.call(ctx, func() { accepting = o.accepting[id] }) {
		return errCancelOpen(id)
	}
	if accepting != nil && !o.awaitDurable(ctx, accepting) {
		return errCancelOpen(id)
	}
	return o.cancelJob(ctx, id)
}

// errCancelOpen says that a job that is being submitted may be accepted without its cancellation.
func errCancelOpen(id ident.JobID) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the submission of job %s is not decided", id)
}

func (o *owner) cancelJob(ctx context.Context, id ident.JobID) error {
	var (
		it      *item
		pending bool
		err     error
	)
	if !o.callSoon(ctx, func() {
		var eff lifecycle.Effects
		if eff, pending, err = o.cell.Cancel(o.now(), id); err != nil {
			return
		}
		if items := o.apply(eff); len(items) > 0 {
			o.cancelling[id] = items[0]
		}
		it = o.cancelling[id]
	}) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the owner of cell %d stopped", o.cellID)
	}
	if err != nil || !pending || it == nil || o.awaitDurable(ctx, it) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable,
		"the cancellation of job %s waits for the store; nothing of the job starts meanwhile", id)
}

// Get returns a job with at most limit of its tasks, from the given index on.
func (s *Service) Get(_ context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error) {
	o, ok := s.owners.Get(id.Cell)
	if !ok {
		return lifecycle.JobView{}, errStopped(id.Cell)
	}
	return o.cell.Get(id, from, limit)
}

// WaitingJobs counts the jobs of a cell of which no task has run, by class.
func (s *Service) WaitingJobs(_ context.Context, cell ident.CellID) (map[ident.ClassName]int, error) {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil, errStopped(cell)
	}
	return o.cell.WaitingJobs(), nil
}

// List returns at most limit jobs of a cell that follow after.
func (s *Service) List(_ context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil, errStopped(cell)
	}
	return o.cell.List(after, limit), nil
}

// Watch delivers a job now and after each change. Changes that follow each other closely are delivered as one. The
// channel closes after the final state, when ctx ends or when the ownership ends.
func (s *Service) Watch(ctx context.Context, id ident.JobID) (<-chan lifecycle.JobView, error) {
	o, ok := s.owners.Get(id.Cell)
	if !ok {
		return nil, errStopped(id.Cell)
	}
	if _, err := o.cell.Get(id, 0, 0); err != nil {
		return nil, err
	}
	changed := o.watch.add(id)
	out := make(chan lifecycle.JobView)
	go func() {
		defer close(out)
		defer o.watch.remove(id, changed)
		for {
			v, err := o.cell.Get(id, 0, 0)
			if err != nil {
				return
			}
			select {
			case out <- v:
			case <-ctx.Done():
				return
			}
			if v.State.Final() {
				return
			}
			select {
			case <-changed:
			case <-ctx.Done():
				return
			case <-o.ctx.Done():
				return
			}
		}
	}()
	return out, nil
}

// watchers wakes those who wait for changes of jobs.
type watchers struct {
	// mu guards byJob: callers add and remove, the loop notifies.
	mu    sync.Mutex
	byJob map[ident.JobID]map[chan struct{}]struct{}
}

func (w *watchers) add(id ident.JobID) chan struct{} {
	ch := make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byJob[id] == nil {
		w.byJob[id] = make(map[chan struct{}]struct{})
	}
	w.byJob[id][ch] = struct{}{}
	return ch
}

func (w *watchers) remove(id ident.JobID, ch chan struct{}) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byJob[id], ch)
	if len(w.byJob[id]) == 0 {
		delete(w.byJob, id)
	}
}

// notify wakes the watchers of changed jobs. A full channel holds a notice already.
func (w *watchers) notify(ids []ident.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, id := range ids {
		for ch := range w.byJob[id] {
			select {
			case ch <- struct{}{}:
			default:
			}
		}
	}
}
