package config

import (
	"context"
	"fmt"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// storedHead is the head with its revisions in the store.
type storedHead struct {
	Head
	// modRevision is the mod revision of the head's key; 0 if no table has been committed.
	modRevision store.Revision
	// storeRevision is the revision of the store at which the head was read. A watch that starts there misses nothing.
	storeRevision store.Revision
}

// readHead reads the head with a range read, because that also returns the revision of the store.
func (s *Service) readHead(ctx context.Context) (storedHead, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	result, err := s.Store.Range(ctx, keyHead)
	if err != nil {
		s.storeFailed(err)
		return storedHead{}, err
	}
	s.storeAnswered()
	h := storedHead{storeRevision: result.Revision}
	for _, e := range result.Entries {
		if e.Key != keyHead {
			continue
		}
		h.modRevision = e.ModRevision
		if h.Head, err = s.Codec.DecodeHead(e.Value); err != nil {
			return storedHead{}, err
		}
	}
	return h, nil
}

func (s *Service) readKey(ctx context.Context, key string) (store.Entry, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	e, found, err := s.Store.Get(ctx, key)
	if err != nil {
		s.storeFailed(err)
		return e, false, err
	}
	s.storeAnswered()
	return e, found, nil
}

// readRecord reads the record of a revision from the store; found is false if it does not exist.
func (s *Service) readRecord(ctx context.Context, revision table.Revision) (r table.Record, found bool, err error) {
	e, found, err := s.readKey(ctx, recordKey(revision))
	if err != nil || !found {
		return table.Record{}, false, err
	}
	if r, err = s.Codec.DecodeRecord(e.Value); err != nil {
		return table.Record{}, false, err
	}
	if r.Revision != revision {
		return table.Record{}, false, fmt.Errorf("record %d is stored as revision %d", r.Revision, revision)
	}
	return r, true, nil
}

func (s *Service) readSnapshot(ctx context.Context) (table.Snapshot, error) {
	e, found, err := s.readKey(ctx, keySnapshot)
	if err != nil {
		return table.Snapshot{}, err
	}
	if !found {
		empty := table.New(0, nil)
		return table.Snapshot{Table: empty, Digest: empty.Digest()}, nil
	}
	return s.Codec.DecodeSnapshot(e.Value)
}

// load updates the installed table to the head of the store, and returns that head.
func (s *Service) load(ctx context.Context) (storedHead, error) {
	// The installed table is read before the head. Its revision had been committed by then, so that an older head
	// shows that the store has lost revisions, rather than a race.
	installed := s.current.Load()
	head, err := s.readHead(ctx)
	if err != nil {
		return head, err
	}
	s.stats.StoreLoads.Add(1)
	if err := s.noteDivergence(checkStoreHead(installed, head)); err != nil {
		return head, err
	}
	if installed != nil && installed.table.Revision() == head.Revision {
		return head, nil
	}
	u, err := s.readUpdate(ctx, head.Revision)
	if err != nil {
		return head, err
	}
	if err := s.install(u, sourceStore); err != nil {
		return head, err
	}
	return head, nil
}

// Refresh installs the newest revision of the store and returns the table then in force.
func (s *Service) Refresh(ctx context.Context) (*table.Table, error) {
	if _, err := s.load(ctx); err != nil {
		return nil, unavailableError(err, "the store cannot be read")
	}
	return s.InForce(), nil
}

// checkStoreHead returns an error if the store does not hold the installed table. The installed table stays, because
// an accepted configuration is never reverted automatically; an operator has to look at the store.
func checkStoreHead(installed *installedTable, head storedHead) error {
	switch {
	case installed == nil:
		return nil
	case installed.table.Revision() > head.Revision:
		return fmt.Errorf("the store is at revision %d, behind revision %d in force", head.Revision, installed.table.Revision())
	case installed.table.Revision() == head.Revision && head.modRevision != 0 && installed.digest != head.Digest:
		return fmt.Errorf("revision %d in the store has other rows than the one in force", head.Revision)
	default:
		return nil
	}
}

// noteDivergence stores err for the status, logs it if it is new, and returns it.
func (s *Service) noteDivergence(err error) error {
	text := ""
	if err != nil {
		text = err.Error()
	}
	s.mu.Lock()
	isNew := text != "" && text != s.contact.divergence
	s.contact.divergence = text
	s.mu.Unlock()
	if isNew {
		s.Log.WithField("host", s.Self).WithError(err).Error("table: store and table in force differ")
	}
	return err
}

// readUpdate reads what this host lacks up to revision last: records, and a snapshot as their base if too many
// records are missing.
func (s *Service) readUpdate(ctx context.Context, last table.Revision) (Update, error) {
	var u Update
	installed := s.current.Load()
	if installed == nil || installed.table.Revision()+table.SnapshotIntervalRevisions < last {
		snapshot, err := s.readSnapshot(ctx)
		if err != nil {
			return u, err
		}
		u.Snapshot = &snapshot
	}
	next := table.Revision(1)
	if installed != nil {
		next = installed.table.Revision() + 1
	}
	if u.Snapshot != nil {
		next = max(next, u.Snapshot.Table.Revision()+1)
	}
	for ; next <= last; next++ {
		r, found, err := s.readRecord(ctx, next)
		if err != nil {
			return u, err
		}
		if !found {
			return u, fmt.Errorf("record of revision %d is not in the store", next)
		}
		u.Records = append(u.Records, r)
	}
	return u, nil
}
