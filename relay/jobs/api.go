package jobs

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Submit accepts a job in a cell and returns its id once the job is durable. An error with verdict NotRun proves that
// the job does not exist; after MayHaveRun the caller can safely repeat the call with the same client token.
func (s *Service) Submit(ctx context.Context, cell ident.CellID, spec lifecycle.JobSpec) (ident.JobID, error) {
	o, err := s.ownerForSubmission(cell, spec.Class)
	if err != nil {
		s.stats.RefusedJobs.Add(1)
		return ident.JobID{}, err
	}
	calledAt, inboxKnown := o.now(), o.inboxKnown.Load()
	id, err := o.submit(ctx, spec)
	if err != nil {
		err = o.checkRefusal(ctx, calledAt, spec, err, inboxKnown)
		e := verdict.FromError(err)
		o.logDecision(EventJobRefused, Fields{
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

func (s *Service) ownerForSubmission(cell ident.CellID, class ident.ClassName) (*owner, error) {
	o, ok := s.owners.Get(cell)
	if !ok || o.stopped.Load() {
		return nil, errNotOwned(cell)
	}
	if o.draining.Load() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "cell %d is being handed over", cell).
			WithRetryAfter(s.retryAfter(retry.OwnerMissing, 0, class))
	}
	if o.authority() == ownership.None {
		return nil, errNotOwned(cell)
	}
	return o, nil
}

func (o *owner) submit(ctx context.Context, spec lifecycle.JobSpec) (ident.JobID, error) {
	var (
		id  ident.JobID
		rec *pendingRecord
		err error
	)
	if o.log.queueFull() && !o.cell.IsRepeat(spec) {
		return id, verdict.New(verdict.NotRun, verdict.CodeLimited, "too many records of cell %d are queued for the store", o.cellID).
			WithRetryAfter(o.retryAfter(retry.CellFull, o.log.failingFor(), spec.Class))
	}
	storeFailingFor := o.log.failingFor()
	ok := o.call(ctx, func() { id, rec, err = o.queueSubmission(spec, storeFailingFor) })
	if !ok {
		return id, o.errSubmissionNotRun(ctx, spec)
	}
	if err != nil || rec == nil {
		return id, err
	}
	if o.awaitDurable(ctx, rec) {
		return id, nil
	}
	if o.withdraw(id, spec, rec) {
		return ident.JobID{}, verdict.New(verdict.NotRun, verdict.CodeDeadline,
			"the job could not be made durable: the store does not answer").WithRetryAfter(o.retryAfterStore(spec.Class))
	}
	if isDurable(rec) {
		return id, nil
	}
	return id, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable,
		"job %s may have been accepted: the store did not answer; a repeat with the same client token is safe", id).
		WithRetryAfter(o.retryAfterStore(spec.Class))
}

// queueSubmission returns the record for which a submission waits: a new one, or that of an earlier attempt with the
// same client token or number. It is nil if the job is durable already.
func (o *owner) queueSubmission(spec lifecycle.JobSpec, storeFailingFor time.Duration) (ident.JobID, *pendingRecord, error) {
	for {
		if limit := o.cfg.StallLimit; limit > 0 && storeFailingFor >= limit && !o.cell.IsRepeat(spec) {
			// A new record would only wait behind those that the store does not accept. Refusing at once lets the caller
			// try another cell or come back later.
			return ident.JobID{}, nil, verdict.New(verdict.NotRun, verdict.CodeLimited,
				"the store has not answered for %s", storeFailingFor.Round(time.Millisecond)).
				WithRetryAfter(o.retryAfter(retry.StoreUnavailable, storeFailingFor, spec.Class))
		}
		id, eff, err := o.cell.Accept(o.now(), spec)
		if err != nil {
			return id, nil, err
		}
		if items := o.apply(eff); len(items) > 0 {
			o.pendingSubmissions[id] = items[0]
		}
		rec := o.pendingSubmissions[id]
		if rec == nil || o.log.join(rec) {
			return id, rec, nil
		}
		// The earlier attempt has withdrawn its record, but the loop has not handled that yet.
		o.forgetSubmission(id, spec, rec)
	}
}

// forgetSubmission removes a submission whose record was withdrawn, unless a later attempt has queued another one.
func (o *owner) forgetSubmission(id ident.JobID, spec lifecycle.JobSpec, withdrawn *pendingRecord) {
	if o.pendingSubmissions[id] == withdrawn {
		delete(o.pendingSubmissions, id)
		o.cell.Withdraw(id, spec)
	}
}

// errSubmissionNotRun returns the error of a submission that the loop has not run. An earlier submission with the same
// client token or number may have been accepted.
func (o *owner) errSubmissionNotRun(ctx context.Context, spec lifecycle.JobSpec) error {
	err := o.errNotRun(ctx)
	if e := verdict.FromError(err); e.Code == verdict.CodeDeadline && (spec.ClientNumber != 0 || spec.ClientToken != "") {
		return verdict.Wrap(err, verdict.MayHaveRun, e.Code, "an earlier submission may have been accepted")
	}
	return err
}

// awaitDurable waits until the record is durable. It returns false after Config.DurableWait, or when the caller's or
// the owner's context ends first.
func (o *owner) awaitDurable(ctx context.Context, rec *pendingRecord) bool {
	timeout := time.NewTimer(o.cfg.DurableWait)
	defer timeout.Stop()
	select {
	case <-rec.done:
		return rec.durable
	case <-timeout.C:
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return isDurable(rec)
}

func isDurable(rec *pendingRecord) bool {
	select {
	case <-rec.done:
		return rec.durable
	default:
		return false
	}
}

// withdraw takes a submission back if no other attempt waits for its record and the record was certainly not written. It
// reports whether it did.
func (o *owner) withdraw(id ident.JobID, spec lifecycle.JobSpec, rec *pendingRecord) bool {
	if !o.log.withdraw(rec) {
		return false
	}
	timeout := time.NewTimer(withdrawTimeout)
	defer timeout.Stop()
	select {
	case <-rec.done:
	case <-timeout.C:
		o.log.cancelWithdrawal(rec)
	case <-o.log.writerDone:
		// After the writer has ended, the queue holds only records that were never written.
	}
	if !rec.isWithdrawn() {
		return false
	}
	o.post(func() { o.forgetSubmission(id, spec, rec) })
	return true
}

// Cancel cancels a job and returns once the cancellation is durable. After an error with verdict MayHaveRun the job
// is still cancelled when the store answers, unless the submission of the job itself is still open.
func (s *Service) Cancel(ctx context.Context, id ident.JobID) error {
	o, ok := s.owners.Get(id.Cell)
	if !ok || o.authority() == ownership.None {
		return errNotOwned(id.Cell)
	}
	calledAt := o.now()
	err := o.cancelJob(ctx, id)
	if err == nil || verdict.FromError(err).Code != verdict.CodeNotFound {
		return err
	}
	// The priority mailbox can overtake a submission, and the cell knows an accepted job only once its record is
	// durable.
	var submission *pendingRecord
	if !o.call(ctx, func() { submission = o.pendingSubmissions[id] }) {
		return errSubmissionPending(id)
	}
	if submission != nil && !o.awaitDurable(ctx, submission) {
		return errSubmissionPending(id)
	}
	if submission == nil {
		if _, err := o.awaitAccepted(ctx, id); err != nil {
			return err
		}
	}
	return o.confirmNotFound(ctx, calledAt, o.cancelJob(ctx, id))
}

// confirmNotFound replaces the answer that a job is not known unless no successor can have accepted the job, or opened the
// inbox for it, before the question was asked. It is called with the answer, because the process may have been paused since the
// question.
func (o *owner) confirmNotFound(ctx context.Context, calledAt time.Time, err error) error {
	if err == nil || verdict.FromError(err).Code != verdict.CodeNotFound || o.awaitExclusive(ctx, calledAt) {
		return err
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the owner of cell %d may have a successor that knows more jobs", o.cellID).
		WithRetryAfter(o.retryAfter(retry.OwnerMissing, 0, ""))
}

// errSubmissionPending returns the error for a cancellation whose job is still being submitted: the job may yet be
// accepted without the cancellation.
func errSubmissionPending(id ident.JobID) error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the submission of job %s is still pending", id)
}

func (o *owner) cancelJob(ctx context.Context, id ident.JobID) error {
	var (
		rec     *pendingRecord
		pending bool
		err     error
	)
	if !o.callPriority(ctx, func() {
		var eff lifecycle.Effects
		if eff, pending, err = o.cell.Cancel(o.now(), id); err != nil {
			return
		}
		if items := o.apply(eff); len(items) > 0 {
			o.pendingCancellations[id] = items[0]
		}
		rec = o.pendingCancellations[id]
	}) {
		err = o.errNotRun(ctx)
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.FromError(err).Code, "the cancellation was not requested")
	}
	if err != nil || !pending || rec != nil && o.awaitDurable(ctx, rec) {
		return err
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable,
		"the cancellation of job %s waits for the store; none of its tasks starts meanwhile", id)
}

// Get returns a job with at most limit of its tasks, starting at index from.
func (s *Service) Get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error) {
	o, ok := s.owners.Get(id.Cell)
	if !ok {
		return lifecycle.JobView{}, errNotOwned(id.Cell)
	}
	calledAt := o.now()
	v, err := o.get(ctx, id, from, limit)
	o.waits.explain(v.Tasks)
	return v, o.confirmNotFound(ctx, calledAt, err)
}

// get returns a job of the cell, also if it is still in the inbox.
func (o *owner) get(ctx context.Context, id ident.JobID, from, limit int) (lifecycle.JobView, error) {
	v, err := o.cell.Get(id, from, limit)
	if err == nil {
		return v, nil
	}
	if found, findErr := o.awaitAccepted(ctx, id); findErr != nil || !found {
		return v, cmp.Or(findErr, err)
	}
	return o.cell.Get(id, from, limit)
}

// WaitingJobs returns the number of jobs of a cell that have not run any task yet, by class. It fails while accepted jobs may
// be in the inbox of the cell, where this owner does not count them.
func (s *Service) WaitingJobs(_ context.Context, cell ident.CellID) (map[ident.ClassName]int, error) {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil, errNotOwned(cell)
	}
	if !o.listsAllJobs() {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the inbox of cell %d may hold more jobs", cell).
			WithRetryAfter(o.retryAfterStore(""))
	}
	return o.cell.WaitingJobs(), nil
}

// List returns at most limit jobs of a cell, beginning with the one that follows the job after.
func (s *Service) List(_ context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil, errNotOwned(cell)
	}
	return o.cell.List(after, limit), nil
}

// Watch delivers a job now and after each change. Changes in quick succession are delivered as one. The channel is
// closed after the final state, when ctx ends or when the ownership ends.
func (s *Service) Watch(ctx context.Context, id ident.JobID) (<-chan lifecycle.JobView, error) {
	o, ok := s.owners.Get(id.Cell)
	if !ok {
		return nil, errNotOwned(id.Cell)
	}
	calledAt := o.now()
	if _, err := o.get(ctx, id, 0, 0); err != nil {
		return nil, o.confirmNotFound(ctx, calledAt, err)
	}
	changed := o.watchers.add(id)
	out := make(chan lifecycle.JobView)
	go func() {
		defer close(out)
		defer o.watchers.remove(id, changed)
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

// watchers holds the channels that are signalled when a job changes.
type watchers struct {
	// mu guards byJob: callers add and remove channels, the loop signals them.
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

// notify signals the watchers of the changed jobs. A channel that is full holds a signal already.
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
