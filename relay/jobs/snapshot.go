package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

func ownKey(cell ident.CellID) string  { return fmt.Sprintf("/own/%d", cell) }
func headKey(cell ident.CellID) string { return fmt.Sprintf("/cell/%d/snap", cell) }
func logPrefix(c ident.CellID) string  { return fmt.Sprintf("/cell/%d/log/", c) }
func partPrefix(c ident.CellID) string { return fmt.Sprintf("/cell/%d/part/", c) }

// The sequence number is padded so that keys sort in its order.
func logKey(cell ident.CellID, seq uint64) string {
	return fmt.Sprintf("%s%020d", logPrefix(cell), seq)
}

func partKey(cell ident.CellID, id string, n int) string {
	return fmt.Sprintf("%s%s/%06d", partPrefix(cell), id, n)
}

// writeSnapshot writes the state and truncates the log. A failure is not serious: the log stays, and the next commit
// tries again.
func (l *cellLog) writeSnapshot(ctx context.Context) {
	s, ok := l.snapshot()
	if !ok {
		return
	}
	if l.putSnapshot(ctx, s) != nil {
		l.sinceSnap = snapshotAfter - 16
	}
}

// putSnapshot writes the parts first and then, in one step, the head that makes them valid.
func (l *cellLog) putSnapshot(ctx context.Context, s lifecycle.Snapshot) error {
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
	keys := make([]string, len(parts))
	for i := range parts {
		keys[i] = partKey(l.cell, head.ID, i)
	}
	// Until the head names them, the parts are garbage, also if this call fails half-way.
	live := l.parts
	l.garbage = append(l.garbage, keys...)
	for i, p := range parts {
		if err := l.guarded(ctx, store.Op{Key: keys[i], Value: p}); err != nil {
			return err
		}
	}
	value, err := l.codec.EncodeHead(head)
	if err != nil {
		return err
	}
	if err := l.guarded(ctx, store.Op{Key: headKey(l.cell), Value: value}); err != nil {
		return err
	}
	l.head = head
	l.sinceSnap = 0
	l.parts = keys
	l.garbage = append(slices.DeleteFunc(l.garbage, func(key string) bool { return slices.Contains(keys, key) }), live...)
	l.truncate(ctx)
	return nil
}

// truncate deletes what the snapshot replaced. Keys that remain after a failure are ignored by readers, because
// their sequence numbers are not above that of the head, and deleted later.
func (l *cellLog) truncate(ctx context.Context) {
	keys := l.garbage
	for seq := l.firstSeq; seq <= l.head.Seq; seq++ {
		keys = append(keys, logKey(l.cell, seq))
	}
	for chunk := range slices.Chunk(keys, truncateOps) {
		ops := make([]store.Op, len(chunk))
		for i, key := range chunk {
			ops[i] = store.Op{Key: key, Delete: true}
		}
		if l.guarded(ctx, ops...) != nil {
			return
		}
	}
	l.garbage = nil
	l.firstSeq = l.head.Seq + 1
}

var errNotOwner = errors.New("another owner has the cell")

// guarded writes under the condition that this owner still has the cell.
func (l *cellLog) guarded(ctx context.Context, ops ...store.Op) error {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	res, err := l.store.Txn(call, []store.Compare{l.ownership()}, ops)
	if err != nil {
		return err
	}
	if res.Outcome != store.Applied {
		return errNotOwner
	}
	return nil
}

// history is what the predecessors of an owner left in the store.
type history struct {
	head     Head
	snapshot lifecycle.Snapshot
	records  []lifecycle.Record
	lastSeq  uint64
	firstSeq uint64
	// parts are the keys of the snapshot, garbage those of parts that no head names.
	parts   []string
	garbage []string
}

// clean reports whether the predecessor drained and wrote all that it knew.
func (h history) clean() bool {
	return h.head.Clean && len(h.records) == 0
}

// readHistory reads the snapshot and the log. The caller owns the cell already, so that no predecessor can append.
func readHistory(ctx context.Context, s Store, codec Codec, cell ident.CellID) (history, error) {
	var h history
	entry, found, err := s.Get(ctx, headKey(cell))
	if err != nil {
		return h, fmt.Errorf("snapshot head of cell %d: %w", cell, err)
	}
	if found {
		if h, err = readSnapshot(ctx, s, codec, cell, entry.Value); err != nil {
			return h, err
		}
	}
	h.lastSeq = h.head.Seq
	log, err := s.Range(ctx, logPrefix(cell))
	if err != nil {
		return h, fmt.Errorf("log of cell %d: %w", cell, err)
	}
	for _, e := range log.Entries {
		var seq uint64
		if _, err := fmt.Sscanf(strings.TrimPrefix(e.Key, logPrefix(cell)), "%d", &seq); err != nil {
			return h, fmt.Errorf("log key %q: %w", e.Key, err)
		}
		if h.firstSeq == 0 {
			h.firstSeq = seq
		}
		if seq <= h.head.Seq {
			continue
		}
		if seq != h.lastSeq+1 {
			return h, fmt.Errorf("log of cell %d: entry %d follows %d", cell, seq, h.lastSeq)
		}
		h.lastSeq = seq
		_, records, err := codec.DecodeBatch(e.Value)
		if err != nil {
			return h, fmt.Errorf("log entry %q: %w", e.Key, err)
		}
		h.records = append(h.records, records...)
	}
	if h.firstSeq == 0 {
		h.firstSeq = h.lastSeq + 1
	}
	return h, nil
}

func readSnapshot(ctx context.Context, s Store, codec Codec, cell ident.CellID, value []byte) (history, error) {
	var h history
	head, err := codec.DecodeHead(value)
	if err != nil {
		return h, err
	}
	h.head = head
	stored, err := s.Range(ctx, partPrefix(cell))
	if err != nil {
		return h, fmt.Errorf("snapshot parts of cell %d: %w", cell, err)
	}
	var parts [][]byte
	for _, e := range stored.Entries {
		if !strings.HasPrefix(e.Key, partPrefix(cell)+head.ID+"/") {
			h.garbage = append(h.garbage, e.Key)
			continue
		}
		h.parts = append(h.parts, e.Key)
		parts = append(parts, e.Value)
	}
	if len(parts) != head.Parts {
		return h, fmt.Errorf("snapshot %s of cell %d has %d parts, want %d", head.ID, cell, len(parts), head.Parts)
	}
	h.snapshot, err = codec.DecodeSnapshot(parts)
	return h, err
}
