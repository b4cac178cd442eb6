package config

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// Change is an edit of the table by an operator.
type Change struct {
	// Base is the revision that the operator edited.
	Base   table.Revision
	Rows   []table.Row
	Author string
	Reason string
	// Nonce is chosen by the operator's client before it sends the change, so that it can ask for the outcome if it
	// never hears an answer. A repeat with the same base and nonce is the same change.
	Nonce string
}

// Marker returns the marker of the change.
func (c Change) Marker() table.Marker {
	return table.Marker{Revision: c.Base + 1, Nonce: c.Nonce}
}

// CommitResult is a change that took effect.
type CommitResult struct {
	Revision table.Revision
	Marker   table.Marker
	// Unchanged is set if the rows were already in force; no revision was made.
	Unchanged bool
}

// ConflictError says that another operator changed the table first. Nothing was written.
type ConflictError struct {
	Base, Head table.Revision
	// Merged holds the rows of the head with the changes that do not conflict.
	Merged    []table.Row
	Conflicts []table.Conflict
}

// Error names the revisions and the number of rows in conflict.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the table was changed from revision %d to %d meanwhile; %d rows are in conflict",
		e.Base, e.Head, len(e.Conflicts))
}

// UnknownOutcomeError says that the answer of the store was lost and the change may have taken effect.
type UnknownOutcomeError struct {
	Marker table.Marker
}

// Error tells how to ask again.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("the store did not confirm the change; ask again for the outcome of marker %s", e.Marker)
}

// Commit writes a change. Every error carries a verdict: NotRun if nothing was written (a *ConflictError or
// table.Faults in the chain say why), MayHaveRun with an *UnknownError if the outcome is not known.
func (s *Service) Commit(ctx context.Context, c Change) (CommitResult, error) {
	if err := checkChange(c); err != nil {
		return CommitResult{}, err
	}
	ctx, cancel := context.WithTimeout(ctx, s.CommitTimeout)
	defer cancel()
	head, err := s.load(ctx)
	if err != nil {
		return CommitResult{}, unavailable(err, "the store cannot be read; this attempt changed nothing")
	}
	w, err := s.prepare(ctx, head, c)
	if err != nil {
		return CommitResult{}, err
	}
	if w.done != nil {
		return *w.done, nil
	}
	return s.write(ctx, w, c)
}

func checkChange(c Change) error {
	faults := append(table.CheckAuthorAndReason(c.Author, c.Reason), table.Validate(c.Rows)...)
	if err := table.CheckNonce(c.Nonce); err != nil {
		faults = append(faults, table.Fault{Message: err.Error()})
	}
	if len(faults) == 0 {
		return nil
	}
	return verdict.Wrap(faults, verdict.NotRun, verdict.CodeInvalid, "the table has %d faults", len(faults))
}

// prepared is a change ready to be written, or one that needs no write.
type prepared struct {
	record   table.Record
	compares []store.Compare
	ops      []store.Op
	done     *CommitResult
}

func (s *Service) prepare(ctx context.Context, head storedHead, c Change) (prepared, error) {
	marker := c.Marker()
	f := s.current.Load()
	newest := max(head.Revision, f.table.Revision())
	switch {
	case newest > c.Base:
		return s.settled(ctx, c)
	case newest < c.Base:
		return prepared{}, verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"revision %d does not exist; the newest is %d", c.Base, newest)
	}
	next := table.New(c.Base+1, c.Rows)
	delta := table.Diff(f.table, next)
	if len(delta) == 0 {
		return prepared{done: &CommitResult{Revision: c.Base, Marker: marker, Unchanged: true}}, nil
	}
	return s.transaction(head, next, table.Record{
		Revision: c.Base + 1, Delta: delta, Author: c.Author, Time: time.Now().UTC().Truncate(time.Millisecond),
		Reason: c.Reason, Marker: marker, Digest: next.Digest(),
	})
}

// settled handles a change whose revision is already taken: by an earlier attempt of the same change, or by another one.
func (s *Service) settled(ctx context.Context, c Change) (prepared, error) {
	marker := c.Marker()
	r, found, err := s.readRecord(ctx, marker.Revision)
	if err != nil {
		// An earlier attempt with this marker may have taken effect, so the outcome of the change is not known.
		return prepared{}, unknown(marker)
	}
	if found && r.Marker == marker && r.Digest == table.New(0, c.Rows).Digest() {
		return prepared{done: &CommitResult{Revision: r.Revision, Marker: marker}}, nil
	}
	return prepared{}, s.conflict(ctx, c)
}

// transaction returns the write of a record: the head, the record, at times a snapshot, and the end of the oldest
// record.
func (s *Service) transaction(head storedHead, next *table.Table, r table.Record) (prepared, error) {
	w := prepared{record: r, compares: []store.Compare{{Key: keyHead, Field: store.FieldModRevision, Revision: head.mod}}}
	newHead := Head{
		Revision: r.Revision, Marker: r.Marker, Digest: r.Digest,
		ChangesSinceSnapshot: head.ChangesSinceSnapshot + len(r.Delta),
	}
	var encodeErrs []error
	put := func(key string, value []byte, err error) {
		encodeErrs = append(encodeErrs, err)
		w.ops = append(w.ops, store.Op{Key: key, Value: value})
	}
	if r.Revision%table.SnapshotIntervalRevisions == 0 || newHead.ChangesSinceSnapshot > table.SnapshotIntervalChanges {
		newHead.ChangesSinceSnapshot = 0
		value, err := s.Codec.EncodeSnapshot(table.Snapshot{Table: next, Digest: r.Digest})
		put(keySnapshot, value, err)
	}
	value, err := s.Codec.EncodeRecord(r)
	put(recordKey(r.Revision), value, err)
	value, err = s.Codec.EncodeHead(newHead)
	put(keyHead, value, err)
	if r.Revision > table.MaxHistoryRevisions {
		w.ops = append(w.ops, store.Op{Key: recordKey(r.Revision - table.MaxHistoryRevisions), Delete: true})
	}
	if err := errors.Join(encodeErrs...); err != nil {
		return w, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "the table cannot be encoded")
	}
	return w, nil
}

// write performs the transaction until its outcome is certain or the time is over. The transaction may be sent again
// after a lost answer: it compares the mod revision of the head, so at most one attempt takes effect.
func (s *Service) write(ctx context.Context, w prepared, c Change) (CommitResult, error) {
	marker := w.record.Marker
	for attempt := 0; ; attempt++ {
		callCtx, cancel := context.WithTimeout(ctx, s.CallTimeout)
		result, err := s.Store.Txn(callCtx, w.compares, w.ops)
		cancel()
		switch {
		case result.Outcome == store.Applied:
			return s.committed(w), nil
		case result.Outcome == store.NotApplied && err != nil && attempt == 0:
			s.storeFailed(err)
			return CommitResult{}, unavailable(err, "the store refused the write; this attempt changed nothing")
		case err != nil:
			s.storeFailed(err)
		}
		// Either a compare failed, which an earlier attempt of this change may have caused, or the answer was lost.
		state, err := s.Outcome(ctx, marker)
		switch {
		case err == nil && state == OutcomeCommitted:
			return s.committed(w), nil
		case err == nil && state == OutcomeNotCommitted:
			return CommitResult{}, s.conflict(ctx, c)
		}
		if sleep.For(ctx, backoff(attempt)) != nil {
			return CommitResult{}, unknown(marker)
		}
	}
}

func (s *Service) committed(w prepared) CommitResult {
	s.storeAnswered()
	if err := s.install(Update{Records: []table.Record{w.record}}, sourceStore); err != nil {
		// The next load brings it in force; the commit itself stands.
		s.Log.WithError(err).Warn("table: committed revision not put in force at once")
	}
	return CommitResult{Revision: w.record.Revision, Marker: w.record.Marker}
}

func unknown(m table.Marker) error {
	return verdict.Wrap(&UnknownOutcomeError{Marker: m}, verdict.MayHaveRun, verdict.CodeUnknown, "outcome unknown")
}

// conflict builds the error for a change that lost the race, with a merge offer if the base is still in the history.
func (s *Service) conflict(ctx context.Context, c Change) error {
	if _, err := s.load(ctx); err != nil {
		return unavailable(err, "the table was changed meanwhile, and the newest cannot be read; nothing was changed")
	}
	theirs := s.InForce()
	e := &ConflictError{Base: c.Base, Head: theirs.Revision(), Merged: theirs.Rows()}
	base, err := s.TableAt(ctx, c.Base)
	if err != nil {
		return verdict.Wrap(errors.Join(e, err), verdict.NotRun, verdict.CodeConflict,
			"revision %d is no longer in the history, so no merge is offered", c.Base)
	}
	e.Merged, e.Conflicts = table.Merge(base, table.New(c.Base, c.Rows), theirs)
	return verdict.Wrap(e, verdict.NotRun, verdict.CodeConflict, "nothing was changed")
}

// OutcomeState says what became of a change.
type OutcomeState string

// The states of a change.
const (
	OutcomeCommitted    OutcomeState = "committed"
	OutcomeNotCommitted OutcomeState = "not-committed"
	OutcomeUnknown      OutcomeState = "unknown"
)

// Outcome says what became of the change with a marker. NotCommitted is certain: another change holds its revision.
// Unknown without an error means that a write may still be under way, or that the history no longer covers it.
func (s *Service) Outcome(ctx context.Context, m table.Marker) (OutcomeState, error) {
	r, found, err := s.readRecord(ctx, m.Revision)
	switch {
	case err != nil:
		return OutcomeUnknown, unavailable(err, "the store cannot be read; the outcome of %s is not known", m)
	case !found:
		return OutcomeUnknown, nil
	case r.Marker == m:
		return OutcomeCommitted, nil
	default:
		return OutcomeNotCommitted, nil
	}
}

// Rollback makes a new revision with the rows of an earlier one. c.Rows is ignored.
func (s *Service) Rollback(ctx context.Context, to table.Revision, c Change) (CommitResult, error) {
	t, err := s.TableAt(ctx, to)
	if err != nil {
		return CommitResult{}, err
	}
	c.Rows = t.Rows()
	return s.Commit(ctx, c)
}
