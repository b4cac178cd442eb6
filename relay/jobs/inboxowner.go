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

// The pause after a failed read of the inbox doubles from minInboxBackoff to maxInboxBackoff.
const (
	minInboxBackoff = 50 * time.Millisecond
	maxInboxBackoff = time.Second
)

// takenEntry is an inbox entry of which the owner has queued the removal.
type takenEntry struct {
	rec    *pendingRecord
	waited time.Duration
	reason string
}

// followInbox takes the entries of the inbox until ctx ends: those that are there at first, and then each new one.
func (o *owner) followInbox(ctx context.Context) {
	backoff := minInboxBackoff
	for ctx.Err() == nil {
		read, err := o.readInbox(ctx, storeTimeout)
		if err != nil {
			if sleep.For(ctx, backoff) != nil {
				return
			}
			backoff = min(2*backoff, maxInboxBackoff)
			continue
		}
		backoff = minInboxBackoff
		o.postEntries(read.Entries)
		o.watchInbox(ctx, read.Revision)
		if sleep.For(ctx, minInboxBackoff) != nil {
			return
		}
	}
}

func (o *owner) readInbox(ctx context.Context, timeout time.Duration) (store.RangeResult, error) {
	callCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return o.cfg.Inbox.Store.Range(callCtx, inboxPrefix(o.cellID))
}

// watchInbox takes new entries until the watch ends.
func (o *owner) watchInbox(ctx context.Context, from store.Revision) {
	watchCtx, stop := context.WithCancel(ctx)
	defer stop()
	for batch := range o.cfg.Inbox.Store.Watch(watchCtx, inboxPrefix(o.cellID), from) {
		var added []store.Entry
		for _, e := range batch.Events {
			if !e.Deleted {
				added = append(added, e.Entry)
			}
		}
		o.postEntries(added)
		if batch.Err != nil {
			return
		}
	}
}

func (o *owner) postEntries(all []store.Entry) {
	if len(all) == 0 {
		return
	}
	o.post(func() {
		for _, e := range all {
			if entry, ok := decodeInboxEntry(o.cfg.Codec, o.cellID, e); ok {
				o.takeEntry(entry)
			}
		}
	})
}

// takeEntry accepts the job of an inbox entry and removes the entry with the same commit. It returns the record that waits
// for the store, or nil if the entry cannot be taken now. It runs in the loop.
func (o *owner) takeEntry(e inboxEntry) *pendingRecord {
	if o.draining.Load() {
		// The next owner takes it.
		return nil
	}
	if taken, ok := o.takenEntries[e.job]; ok {
		return taken.rec
	}
	delete(o.waitingEntries, e.job)
	if o.cell.IsRepeat(e.spec) && o.keepSubmission(e) {
		return o.removeEntry(e, nil, "the log has the job")
	}
	now := o.now()
	var (
		id  ident.JobID
		eff lifecycle.Effects
		err error
	)
	if e.fault == "" {
		id, eff, err = o.cell.Accept(now, e.spec)
	} else {
		err = errors.New("the entry cannot be decoded: " + e.fault)
	}
	reason := ""
	if err != nil && isUnavailable(err) {
		o.waitingEntries[e.job] = e
		return nil
	}
	if err != nil {
		reason = err.Error()
		id, eff = o.cell.AcceptAsFailed(now, e.spec, reason)
		o.stats.InboxFailed.Add(1)
	}
	rec := o.removeEntry(e, eff.Records[0], reason)
	o.pendingSubmissions[id] = rec
	return rec
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
	for _, e := range o.waitingEntries {
		o.takeEntry(e)
	}
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
}

func (o *owner) logEntryTaken(job ident.JobID, taken takenEntry) {
	o.stats.InboxTaken.Add(1)
	if taken.rec.record == nil {
		o.stats.InboxLeftovers.Add(1)
	}
	o.cfg.Meter.InboxWait(taken.waited)
	o.logDecision(EventInboxTaken, Fields{FieldJob: jobField(job), FieldWaitedMs: taken.waited.Milliseconds(), FieldReason: taken.reason})
}

// findInInbox looks for a job that the cell does not know, and takes it. It returns true once the job is durable in the log.
// False without an error proves that the job was neither in the inbox nor in the log during the call.
func (o *owner) findInInbox(ctx context.Context, id ident.JobID) (bool, error) {
	if !o.cfg.Inbox.enabled() || !id.CallerAssigned() {
		return false, nil
	}
	entry, found, err := readInboxEntry(ctx, o.cfg.Inbox.Store, o.cfg.Codec, id)
	if err != nil {
		return false, verdict.FromError(err).WithRetryAfter(o.retryAfterStore(""))
	}
	// An entry leaves the inbox only into the log, so that the log is asked after the inbox.
	var (
		rec   *pendingRecord
		known bool
	)
	if !o.call(ctx, func() {
		if rec = o.pendingSubmissions[id]; rec == nil && found {
			rec = o.takeEntry(entry)
		}
		known = o.cell.IsRepeat(lifecycle.JobSpec{ClientNumber: id.Seq})
	}) {
		err := o.errNotRun(ctx)
		return false, verdict.Wrap(err, verdict.MayHaveRun, verdict.FromError(err).Code, "job %s may be in the inbox", id)
	}
	switch {
	case rec != nil && !o.awaitDurable(ctx, rec), rec == nil && found && !known:
		return false, verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "job %s is not in the log yet", id).
			WithRetryAfter(o.retryAfterStore(""))
	default:
		return rec != nil || known, nil
	}
}

// proveRefusal checks a refusal against the inbox: an earlier call may have left the job there. A refusal with
// CodeUnavailable proves nothing in any case; see withUnknownOutcome.
func (o *owner) proveRefusal(ctx context.Context, spec lifecycle.JobSpec, refusal error) (ident.JobID, error) {
	e := verdict.FromError(refusal)
	if !o.cfg.Inbox.enabled() || spec.ClientNumber == 0 || e.Verdict != verdict.NotRun || isFinalRefusal(e) || isUnavailable(e) {
		return ident.JobID{}, refusal
	}
	id := ident.CallerAssignedJobID(o.cellID, spec.ClientNumber)
	entry, found, err := readInboxEntry(ctx, o.cfg.Inbox.Store, o.cfg.Codec, id)
	switch {
	case err != nil:
		return ident.JobID{}, verdict.Wrap(errors.Join(refusal, err), verdict.MayHaveRun, e.Code, "job %s", id).WithRetryAfter(e.RetryAfter)
	case found:
		if err := entry.checkSameWork(spec); err != nil {
			return ident.JobID{}, err
		}
		o.post(func() { o.takeEntry(entry) })
		return id, nil
	case o.cell.IsRepeat(spec):
		// The entry has left the inbox for the log since the refusal.
		return o.submit(ctx, spec)
	case o.authority() != ownership.Full:
		return ident.JobID{}, verdict.Wrap(refusal, verdict.MayHaveRun, e.Code, "cell %d may have another owner", o.cellID).WithRetryAfter(e.RetryAfter)
	default:
		return ident.JobID{}, refusal
	}
}

// inboxRetention returns which finished jobs the next snapshot may forget. A write to the inbox names the snapshot head, so
// that one which was decided before the present head takes no effect any more, and one that is decided later belongs to a
// call that came after it. If the inbox cannot be read, nothing is forgotten. It runs in the log writer.
func (o *owner) inboxRetention(ctx context.Context) lifecycle.Retention {
	if !o.cfg.Inbox.enabled() {
		return lifecycle.Retention{}
	}
	r := lifecycle.Retention{Limited: true}
	if o.log.headWrittenAt.IsZero() {
		return r
	}
	// The log writer must not wait for long: commits wait behind it.
	read, err := o.readInbox(ctx, inboxReadTimeout)
	if err != nil {
		return r
	}
	r.FinishedBefore = o.log.headWrittenAt.Add(-repeatWindow)
	r.Keep = make(map[ident.JobID]struct{}, len(read.Entries))
	for _, e := range read.Entries {
		if entry, ok := decodeInboxEntry(o.cfg.Codec, o.cellID, e); ok {
			r.Keep[entry.job] = struct{}{}
		}
	}
	return r
}
