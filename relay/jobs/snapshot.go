package jobs

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
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

// snapshotWrite is a snapshot whose parts are stored, with the encoded head that makes it valid.
type snapshotWrite struct {
	head  Head
	value []byte
	parts []string
}

// writeSnapshot writes a snapshot and truncates the log. After a failure the log stays as it is, and the snapshot is
// tried again some commits later.
func (l *cellLog) writeSnapshot(ctx context.Context) {
	err := l.finishSnapshot(ctx)
	if err == nil && l.entriesSinceSnapshot >= entriesPerSnapshot {
		s, ok := l.takeSnapshot()
		if !ok {
			return
		}
		err = l.putSnapshot(ctx, s)
	}
	switch {
	case errors.Is(err, errReplaced):
		l.onReplaced(err.Error())
	case err != nil:
		l.entriesSinceSnapshot = entriesPerSnapshot - snapshotRetryEntries
	}
}

// putSnapshot writes first the parts and then, in one write, the head that makes them valid.
func (l *cellLog) putSnapshot(ctx context.Context, s lifecycle.Snapshot) error {
	// A second head must not be written while the outcome of the first is open.
	if err := l.finishSnapshot(ctx); err != nil {
		return err
	}
	parts, err := l.codec.EncodeSnapshot(s, maxBatchBytes)
	if err != nil {
		return err
	}
	head := Head{
		Seq: l.seq, Epoch: l.epoch, Clean: s.Clean, Parts: len(parts), ID: fmt.Sprintf("%d-%d", l.epoch, l.seq),
	}
	if s.Clean {
		head.ID += "-clean"
	}
	value, err := l.codec.EncodeHead(head)
	if err != nil {
		return err
	}
	keys := make([]string, len(parts))
	for i := range parts {
		keys[i] = partKey(l.cell, head.ID, i)
	}
	for i, p := range parts {
		if err := l.writeAsOwner(ctx, store.Op{Key: keys[i], Value: p}); err != nil {
			l.garbage = append(l.garbage, keys...)
			return err
		}
	}
	l.openSnapshot = &snapshotWrite{head: head, value: value, parts: keys}
	return l.finishSnapshot(ctx)
}

// finishSnapshot writes the head of the snapshot whose parts are stored and then truncates the log. If the outcome of
// the write stays unknown, the snapshot stays open: the store may execute the write later, so that the parts must be
// kept until a repeat has settled it. The write names the head that it replaces, so that it takes effect at most once,
// and never after the next head.
func (l *cellLog) finishSnapshot(ctx context.Context) error {
	if l.openSnapshot == nil {
		return nil
	}
	revision, err := l.replaceAsOwner(ctx, headKey(l.cell), l.headRevision, l.openSnapshot.value)
	if err != nil {
		return err
	}
	l.garbage = append(l.garbage, l.snapshotParts...)
	l.head, l.headRevision, l.snapshotParts = l.openSnapshot.head, revision, l.openSnapshot.parts
	l.openSnapshot = nil
	l.entriesSinceSnapshot = int(l.seq - l.head.Seq)
	l.truncate(ctx)
	return nil
}

// truncate deletes the log entries and parts that the snapshot replaces. Keys that remain after a failure are deleted
// later. Readers ignore them, because their sequence numbers are not above that of the head.
func (l *cellLog) truncate(ctx context.Context) {
	keys := l.garbage
	for seq := l.firstSeq; seq <= l.head.Seq; seq++ {
		keys = append(keys, logKey(l.cell, seq))
	}
	for chunk := range slices.Chunk(keys, maxTruncateOps) {
		ops := make([]store.Op, len(chunk))
		for i, key := range chunk {
			ops[i] = store.Op{Key: key, Delete: true}
		}
		if l.writeAsOwner(ctx, ops...) != nil {
			return
		}
	}
	l.garbage = nil
	l.firstSeq = l.head.Seq + 1
}

var errReplaced = errors.New("another owner has the cell, or has written to it")

// writeAsOwner writes on condition that this owner still has the cell.
func (l *cellLog) writeAsOwner(ctx context.Context, ops ...store.Op) error {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := l.store.Txn(callCtx, []store.Compare{l.ownershipCondition()}, ops)
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
func (l *cellLog) replaceAsOwner(ctx context.Context, key string, replaced store.Revision, value []byte) (store.Revision, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	compares := []store.Compare{l.ownershipCondition(), {Key: key, Field: store.FieldModRevision, Revision: replaced}}
	res, err := l.store.Txn(callCtx, compares, []store.Op{{Key: key, Value: value}})
	if err != nil {
		return 0, err
	}
	if res.Outcome == store.Applied {
		return res.Revision, nil
	}
	entry, found, err := l.store.Get(callCtx, key)
	if err != nil {
		return 0, err
	}
	if !found || entry.ModRevision == replaced || !bytes.Equal(entry.Value, value) {
		return 0, errReplaced
	}
	return entry.ModRevision, nil
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
