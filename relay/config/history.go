package config

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// maxHistoryAnswerChanges bounds the changed rows in one answer of History, to about 10 MB.
const maxHistoryAnswerChanges = 10_000

// History returns the records of at most limit revisions, newest first, starting at revision from; 0 starts at the
// revision in force. It returns fewer records if they hold very many changes. complete is false if the store could
// not be read and this host does not hold the remaining records.
func (s *Service) History(ctx context.Context, from table.Revision, limit int) (records []table.Record, complete bool, err error) {
	t, err := s.CurrentTable()
	if err != nil {
		return nil, false, err
	}
	newest := t.Revision()
	if from == 0 || from > newest {
		from = newest
	}
	changes := 0
	for revision := from; revision > 0 && revision+table.MaxHistoryRevisions > newest && len(records) < limit; revision-- {
		r, found, err := s.findRecord(ctx, revision)
		if err != nil {
			return records, false, nil
		}
		if changes += len(r.Delta); !found || changes > maxHistoryAnswerChanges && len(records) > 0 {
			break
		}
		records = append(records, r)
	}
	return records, true, nil
}

// findRecord returns the record of a revision from memory or from the store.
func (s *Service) findRecord(ctx context.Context, revision table.Revision) (table.Record, bool, error) {
	s.mu.Lock()
	r, found := s.recent.Get(revision)
	s.mu.Unlock()
	if found {
		return r, true, nil
	}
	r, found, err := s.readRecord(ctx, revision)
	if err != nil || !found {
		return r, false, err
	}
	s.mu.Lock()
	s.recent.Add(r)
	s.mu.Unlock()
	return r, true, nil
}

// TableAt returns the table at an earlier revision, as far back as the history reaches. Every error has verdict
// NotRun.
func (s *Service) TableAt(ctx context.Context, revision table.Revision) (*table.Table, error) {
	t, err := s.CurrentTable()
	if err != nil {
		return nil, err
	}
	newest := t.Revision()
	if revision > newest {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound,
			"revision %d does not exist; the newest is %d", revision, newest)
	}
	if revision+table.MaxHistoryRevisions < newest {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound,
			"revision %d is older than the history of %d revisions", revision, table.MaxHistoryRevisions)
	}
	for t.Revision() > revision {
		r, found, err := s.findRecord(ctx, t.Revision())
		if err != nil {
			return nil, unavailableError(err, "the history cannot be read")
		}
		if !found {
			return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound,
				"revision %d is no longer in the history", revision)
		}
		if t, err = t.RevertRecord(r); err != nil {
			return nil, verdict.Wrap(err, verdict.NotRun, verdict.CodeIncomplete, "the history does not fit the table")
		}
	}
	return t, nil
}

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// backoff returns the delay before the next attempt after a number of failures.
func backoff(failures int) time.Duration {
	return min(minBackoff<<min(failures, 7), maxBackoff)
}
