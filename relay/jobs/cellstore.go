package jobs

import (
	"bytes"
	"context"
	"errors"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

var errReplaced = errors.New("another owner has the cell, or has written to it")

// cellStore writes the keys of a cell on condition that its owner still has it. It is safe for concurrent use.
type cellStore struct {
	store Store
	codec Codec
	cell  ident.CellID
	epoch ident.Epoch
}

func (s cellStore) ownershipCondition() store.Compare {
	return store.Compare{Key: ownKey(s.cell), Field: store.FieldCreateRevision, Revision: store.Revision(s.epoch)}
}

// writeAsOwner writes on condition that this owner still has the cell.
func (s cellStore) writeAsOwner(ctx context.Context, ops ...store.Op) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := s.store.Txn(callCtx, []store.Compare{s.ownershipCondition()}, ops)
	if err != nil {
		return err
	}
	if res.Outcome != store.Applied {
		return errReplaced
	}
	return nil
}

// replaceAsOwner writes a key on condition that this owner still has the cell and that the last change of the key was
// at the given revision (0: the key does not exist). It returns the revision of the value, also if an earlier attempt
// whose outcome was unknown has written it.
func (s cellStore) replaceAsOwner(ctx context.Context, key string, replaced store.Revision, value []byte) (store.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	compares := []store.Compare{s.ownershipCondition(), {Key: key, Field: store.FieldModRevision, Revision: replaced}}
	res, err := s.store.Txn(callCtx, compares, []store.Op{{Key: key, Value: value}})
	if err != nil {
		return 0, err
	}
	if res.Outcome == store.Applied {
		return res.Revision, nil
	}
	entry, found, err := s.store.Get(callCtx, key)
	if err != nil {
		return 0, err
	}
	if !found || entry.ModRevision == replaced || !bytes.Equal(entry.Value, value) {
		return 0, errReplaced
	}
	return entry.ModRevision, nil
}
