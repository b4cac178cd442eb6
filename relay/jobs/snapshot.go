package jobs

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

func ownKey(cell ident.CellID) string  { return fmt.Sprintf("/own/%d", cell) }
func headKey(cell ident.CellID) string { return fmt.Sprintf("/cell/%d/snap", cell) }
func logPrefix(c ident.CellID) string  { return fmt.Sprintf("/cell/%d/log/", c) }
func partPrefix(c ident.CellID) string { return fmt.Sprintf("/cell/%d/part/", c) }

// logKey pads the sequence number so that the keys sort in its order.
func logKey(cell ident.CellID, seq uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix(cell), seq)
}

func partKey(cell ident.CellID, id string, n int) string {
	return fmt.Sprintf("%s%s/%06d", partPrefix(cell), id, n)
}

// storedState is the state of a cell that earlier owners left in the store.
type storedState struct {
	head Head
	// headRevision is the revision of the stored head; 0 if there is none.
	headRevision store.Revision
	snapshot     lifecycle.Snapshot
	records      []lifecycle.Record
	lastSeq      uint64
	// snapshotParts are the keys of the parts of the snapshot. garbage are those of parts that no head names, and of log
	// entries that the snapshot covers.
	snapshotParts []string
	garbage       []string
}

// isClean reports whether the predecessor drained the cell and wrote all that it knew.
func (s storedState) isClean() bool {
	return s.head.Clean && len(s.records) == 0
}

// errReadTimeout means that the store did not answer a read in time.
var errReadTimeout = errors.New("the store did not answer in time")

// stateReader reads the state of a cell. Each of its reads ends after timeout.
type stateReader struct {
	store   Store
	codec   Codec
	cell    ident.CellID
	timeout time.Duration
}

// loadState reads the state of a cell. While the reads pass their deadline and this host keeps the grant, they are
// repeated with a longer one: an answer may have been lost, or a large state may need more time on a slow link.
func (s *Service) loadState(ctx context.Context, g ownership.Grant) (storedState, error) {
	r := stateReader{store: s.cfg.Store, codec: s.cfg.Codec, cell: g.Cell, timeout: storeTimeout}
	for {
		state, err := r.read(ctx)
		current := s.cfg.Grants.Grant(g.Cell)
		granted := current.Epoch == g.Epoch && current.Authority != ownership.None
		if !errors.Is(err, errReadTimeout) || ctx.Err() != nil || !granted {
			return state, err
		}
		r.timeout = min(2*r.timeout, maxReadTimeout)
		s.cfg.Logger.WithError(err).WithFields(logrus.Fields{"cell": g.Cell, "epoch": g.Epoch, "next_timeout": r.timeout.String()}).
			Warn("cannot read the state of the cell; trying again")
	}
}

// limit calls read with the timeout of the reader.
func (r stateReader) limit(ctx context.Context, read func(ctx context.Context) error) error {
	callCtx, cancel := context.WithTimeout(ctx, r.timeout)
	defer cancel()
	err := read(callCtx)
	if err != nil && callCtx.Err() != nil {
		return errors.Join(errReadTimeout, err)
	}
	return err
}

func (r stateReader) readKey(ctx context.Context, key string) (entry store.Entry, found bool, err error) {
	err = r.limit(ctx, func(ctx context.Context) (err error) {
		entry, found, err = r.store.Get(ctx, key)
		return err
	})
	return entry, found, err
}

func (r stateReader) readPrefix(ctx context.Context, prefix string) (result store.RangeResult, err error) {
	err = r.limit(ctx, func(ctx context.Context) (err error) {
		result, err = r.store.Range(ctx, prefix)
		return err
	})
	return result, err
}

// read reads the snapshot and the log. The caller must already own the cell, so that no predecessor can append to the
// log.
func (r stateReader) read(ctx context.Context) (storedState, error) {
	var state storedState
	cell := r.cell
	entry, found, err := r.readKey(ctx, headKey(cell))
	if err != nil {
		return state, fmt.Errorf("read the snapshot head of cell %d: %w", cell, err)
	}
	if found {
		if state, err = r.readSnapshot(ctx, entry.Value); err != nil {
			return state, err
		}
		state.headRevision = entry.ModRevision
	}
	state.lastSeq = state.head.Seq
	log, err := r.readPrefix(ctx, logPrefix(cell))
	if err != nil {
		return state, fmt.Errorf("read the log of cell %d: %w", cell, err)
	}
	for _, e := range log.Entries {
		var seq uint64
		if _, err := fmt.Sscanf(strings.TrimPrefix(e.Key, logPrefix(cell)), "%d", &seq); err != nil {
			return state, fmt.Errorf("parse the sequence number of log key %q: %w", e.Key, err)
		}
		if seq <= state.head.Seq {
			// A write whose answer was lost may be executed after the entry has been deleted, so that such keys can lie far
			// below the head.
			state.garbage = append(state.garbage, e.Key)
			continue
		}
		if seq != state.lastSeq+1 {
			return state, fmt.Errorf("log of cell %d has a gap: entry %d follows %d", cell, seq, state.lastSeq)
		}
		state.lastSeq = seq
		_, records, err := r.codec.DecodeBatch(e.Value)
		if err != nil {
			return state, fmt.Errorf("decode log entry %q: %w", e.Key, err)
		}
		state.records = append(state.records, records...)
	}
	return state, nil
}

func (r stateReader) readSnapshot(ctx context.Context, value []byte) (storedState, error) {
	var state storedState
	cell := r.cell
	head, err := r.codec.DecodeHead(value)
	if err != nil {
		return state, err
	}
	state.head = head
	stored, err := r.readPrefix(ctx, partPrefix(cell))
	if err != nil {
		return state, fmt.Errorf("read the snapshot parts of cell %d: %w", cell, err)
	}
	var parts [][]byte
	for _, e := range stored.Entries {
		if !strings.HasPrefix(e.Key, partPrefix(cell)+head.ID+"/") {
			state.garbage = append(state.garbage, e.Key)
			continue
		}
		state.snapshotParts = append(state.snapshotParts, e.Key)
		parts = append(parts, e.Value)
	}
	if len(parts) != head.Parts {
		return state, fmt.Errorf("snapshot %s of cell %d has %d parts, want %d", head.ID, cell, len(parts), head.Parts)
	}
	state.snapshot, err = r.codec.DecodeSnapshot(parts)
	return state, err
}
