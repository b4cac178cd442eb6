package jobs

import (
	"context"
	"errors"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// The pause after a failed read of the inbox doubles from minInboxBackoff to maxInboxBackoff.
	minInboxBackoff = 50 * time.Millisecond
	maxInboxBackoff = time.Second
	// maxReportWait bounds the wait for reports of the other hosts, which are asked every 500 ms, after the arrival of a call.
	// Queries end after maxOwnerPatience.
	maxReportWait      = 800 * time.Millisecond
	reportPollInterval = 50 * time.Millisecond
)

// takenEntry is an inbox entry of which the owner has queued the removal.
type takenEntry struct {
	rec    *pendingRecord
	waited time.Duration
	reason string
}

// takeInbox closes the inbox and takes its entries. No entry can come after that, so that the owner knows all of them. It
// tries until it has done so or ctx ends.
func (o *owner) takeInbox(ctx context.Context) {
	var (
		gate store.Revision
		read store.RangeResult
	)
	for backoff := minInboxBackoff; ; backoff = min(2*backoff, maxInboxBackoff) {
		var err error
		if gate == 0 {
			gate, err = o.log.closeGate(ctx)
		}
		if err == nil {
			if read, err = o.readInbox(ctx); err == nil {
				break
			}
		}
		o.logger.WithError(err).Debug("the inbox cannot be closed and read; trying again")
		if sleep.For(ctx, backoff) != nil {
			return
		}
	}
	o.post(func() {
		if o.draining.Load() {
			// The next owner takes the entries.
			return
		}
		o.closedGate = gate
		for _, e := range read.Entries {
			if entry, ok := decodeInboxEntry(o.cfg.Codec, o.cellID, e); ok {
				o.takeEntry(entry)
			}
		}
		o.noteInboxKnown()
	})
}

func (o *owner) readInbox(ctx context.Context) (store.RangeResult, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return o.cfg.Inbox.Store.Range(callCtx, inboxPrefix(o.cellID))
}

// noteInboxKnown sets inboxKnown once the cell knows the jobs of all entries, and inboxTaken once they are durable in the log. It
// runs in the loop.
func (o *owner) noteInboxKnown() {
	if o.closedGate != 0 && len(o.waitingEntries) == 0 && !o.draining.Load() {
		o.inboxKnown.Store(true)
		o.inboxTaken.Store(len(o.takenEntries) == 0)
	}
}

// listsAllJobs reports whether the cell lists every accepted job. Jobs of the inbox are listed once they are durable in the log.
// Without full authority another host may have claimed the cell, which opens the inbox.
func (o *owner) listsAllJobs() bool {
	return !o.cfg.Inbox.enabled() || o.inboxTaken.Load() && o.authority() == ownership.Full
}

// leaveInbox ends the time in which this owner knows every entry, and returns the revision of the gate that it has closed; 0
// if there is none. It runs in the loop of a draining owner.
func (o *owner) leaveInbox() store.Revision {
	o.inboxKnown.Store(false)
	o.inboxTaken.Store(false)
	gate := o.closedGate
	o.closedGate = 0
	return gate
}

// reopenInbox lets hosts use the inbox while the cell is handed over. If it fails, they can use it once the next owner has
// claimed the cell.
func (o *owner) reopenInbox(ctx context.Context, gate store.Revision) {
	if gate == 0 {
		return
	}
	if err := o.log.reopenGate(ctx, gate); err != nil {
		o.logger.WithError(err).Debug("the inbox cannot be opened before the hand-over")
	}
}

// takeEntry accepts the job of an inbox entry and removes the entry with the same commit, unless it has to wait for the table.
// It runs in the loop.
func (o *owner) takeEntry(e inboxEntry) {
	delete(o.waitingEntries, e.job)
	if o.cell.IsRepeat(e.spec) && o.keepSubmission(e) {
		o.removeEntry(e, nil, "the log has the job")
		return
	}
	now := o.now()
	var (
		id     ident.JobID
		eff    lifecycle.Effects
		reason string
		err    error
	)
	if e.fault == "" {
		id, eff, reason, err = o.cell.AcceptAcknowledged(now, e.spec)
	} else {
		err = errors.New("the entry cannot be decoded: " + e.fault)
	}
	if err != nil && isUnavailable(err) {
		o.waitingEntries[e.job] = e
		return
	}
	if err != nil {
		reason = err.Error()
		id, eff = o.cell.AcceptAsFailed(now, e.spec, reason)
		o.stats.InboxFailed.Add(1)
	}
	o.pendingSubmissions[id] = o.removeEntry(e, eff.Records[0], reason)
}

// keepSubmission makes sure that a job which the cell knows stays in the log, so that its entry can be removed. It returns
// false if the submission was withdrawn.
func (o *owner) keepSubmission(e inboxEntry) bool {
	rec := o.pendingSubmissions[e.job]
	if rec == nil || o.log.join(rec) {
		return true
	}
	o.forgetSubmission(e.job, e.spec, rec)
	return false
}

// removeEntry queues the removal of an entry, with the record of its job unless the log has it.
func (o *owner) removeEntry(e inboxEntry, record lifecycle.Record, reason string) *pendingRecord {
	rec := o.log.appendRemoving(record, e.key)
	waited := time.Duration(0)
	if !e.writtenAt.IsZero() {
		// The clocks of two hosts may differ.
		waited = max(o.now().Sub(e.writtenAt), 0)
	}
	o.takenEntries[e.job] = takenEntry{rec: rec, waited: waited, reason: reason}
	return rec
}

// retryEntries takes the entries that waited for the table.
func (o *owner) retryEntries() {
	if o.draining.Load() {
		return
	}
	for _, e := range o.waitingEntries {
		o.takeEntry(e)
	}
	o.noteInboxKnown()
}

// noteEntriesTaken reports the entries whose removal is durable.
func (o *owner) noteEntriesTaken(batch []*pendingRecord) {
	for _, rec := range batch {
		if rec.removedKey == "" {
			continue
		}
		for job, taken := range o.takenEntries {
			if taken.rec == rec {
				delete(o.takenEntries, job)
				o.logEntryTaken(job, taken)
			}
		}
	}
	if !o.inboxTaken.Load() {
		o.noteInboxKnown()
	}
}

func (o *owner) logEntryTaken(job ident.JobID, taken takenEntry) {
	o.stats.InboxTaken.Add(1)
	if taken.rec.record == nil {
		o.stats.InboxLeftovers.Add(1)
	}
	o.cfg.Meter.InboxWait(taken.waited)
	o.logDecision(EventInboxTaken, Fields{FieldJob: jobField(job), FieldWaitedMs: taken.waited.Milliseconds(), FieldReason: taken.reason})
}

// awaitAccepted waits for the record of a job whose acceptance is not durable yet. It returns true once the job is durable in
// the log. False without an error proves that the job was neither in the inbox nor in the log during the call.
func (o *owner) awaitAccepted(ctx context.Context, id ident.JobID) (bool, error) {
	if !o.cfg.Inbox.enabled() || !id.CallerAssigned() {
		return false, nil
	}
	if !o.inboxKnown.Load() {
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "job %s may be in the inbox of its cell", id).
			WithRetryAfter(o.retryAfterStore(""))
	}
	var (
		rec   *pendingRecord
		known bool
	)
	if !o.call(ctx, func() {
		rec, known = o.pendingSubmissions[id], o.cell.IsRepeat(lifecycle.JobSpec{ClientNumber: id.Seq})
	}) {
		err := o.errNotRun(ctx)
		return false, verdict.Wrap(err, verdict.MayHaveRun, verdict.FromError(err).Code, "job %s may be in the inbox", id)
	}
	if rec != nil && !o.awaitDurable(ctx, rec) {
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "job %s is not in the log yet", id).
			WithRetryAfter(o.retryAfterStore(""))
	}
	return rec != nil || known, nil
}

// checkRefusal replaces the verdict NotRun of a refusal unless the job certainly does not exist: an earlier call may have left
// it in the inbox. inboxKnown says whether the cell knew the jobs of all entries before it refused this one. No other host has
// opened the inbox before the call if none had claimed the cell. A submission that is invalid by itself, and another one under
// a number that the cell knows, cannot have been accepted. A refusal with CodeUnavailable proves nothing in any case; see
// withUnknownOutcome.
func (o *owner) checkRefusal(ctx context.Context, calledAt time.Time, spec lifecycle.JobSpec, refusal error, inboxKnown bool) error {
	e := verdict.FromError(refusal)
	if !o.cfg.Inbox.enabled() || spec.ClientNumber == 0 || e.Verdict != verdict.NotRun || e.Code == verdict.CodeConflict ||
		spec.Validate() != nil || isUnavailable(e) {
		return refusal
	}
	if inboxKnown && o.awaitExclusive(ctx, calledAt) && o.inboxKnown.Load() {
		return refusal
	}
	return verdict.Wrap(refusal, verdict.MayHaveRun, e.Code, "an earlier call may have left the job in the inbox of cell %d", o.cellID).
		WithRetryAfter(e.RetryAfter)
}

// awaitExclusive waits until it is known that no other host had claimed the cell at a time. It returns false if that does not
// become known. While the authority rests on reports of the other hosts, one of them may have claimed the cell since its report,
// and the claim opens the inbox at once. Without inboxes full authority is enough: a successor settles before it accepts jobs.
func (o *owner) awaitExclusive(ctx context.Context, at time.Time) bool {
	for {
		g := o.grant()
		switch {
		case g.Authority != ownership.Full:
			return false
		case !o.cfg.Inbox.enabled() || g.WasExclusiveAt(at):
			return true
		case o.now().Sub(at) > maxReportWait || sleep.For(ctx, reportPollInterval) != nil:
			return false
		}
	}
}

// retention returns which finished jobs the next snapshot may forget: those that no entry can name any more. No host can write
// an entry while the inbox is closed. One that is written after that belongs to a call that came after the snapshot, and
// clients do not repeat a call later than repeatWindow. It runs in the loop.
func (o *owner) retention() lifecycle.Retention {
	r := lifecycle.Retention{Limited: o.cfg.Inbox.enabled()}
	if o.closedGate == 0 {
		return r
	}
	r.FinishedBefore = o.now().Add(-repeatWindow)
	r.Keep = make(map[ident.JobID]struct{}, len(o.takenEntries)+len(o.waitingEntries))
	for job := range o.takenEntries {
		r.Keep[job] = struct{}{}
	}
	for job := range o.waitingEntries {
		r.Keep[job] = struct{}{}
	}
	return r
}
