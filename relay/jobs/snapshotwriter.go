package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// snapshotWriter writes the snapshots of one owner and truncates the log, beside the commits: the parts of a large cell take
// as long as dozens of commits. One goroutine, and Drain after its end, uses the fields below the channels.
type snapshotWriter struct {
	cellStore
	// requests holds at most one snapshot that is to be written. Each is answered in results.
	requests chan snapshotRequest
	results  chan snapshotResult
	// onReplaced is called if the store proves that this owner has been replaced.
	onReplaced func(reason string)

	// firstSeq is the sequence number of the first log entry that may be stored, apart from garbage.
	firstSeq uint64
	// head is the stored snapshot head, headRevision its revision (0 if there is none), and parts the keys that it names.
	head         Head
	headRevision store.Revision
	parts        []string
	// open is the snapshot of which it is not known whether its head is stored; nil if there is none.
	open *openSnapshot
	// garbage are the keys of parts that no head names or will name, and of entries that an earlier owner left although the
	// head covers them.
	garbage []string
}

// snapshotRequest asks for a snapshot of the state after the log entry seq. Without a snapshot only the open one is finished.
type snapshotRequest struct {
	snapshot *lifecycle.Snapshot
	seq      uint64
}

// snapshotResult is what has become of a request.
type snapshotResult struct {
	// headSeq is the last log entry that the stored head covers.
	headSeq uint64
	isOpen  bool
	err     error
}

// openSnapshot is a snapshot whose parts are stored, with the encoded head that makes it valid.
type openSnapshot struct {
	head  Head
	value []byte
	parts []string
}

func newSnapshotWriter(s cellStore, state storedState, onReplaced func(reason string)) *snapshotWriter {
	return &snapshotWriter{
		cellStore: s, onReplaced: onReplaced,
		requests: make(chan snapshotRequest, 1), results: make(chan snapshotResult, 1),
		firstSeq: state.head.Seq + 1, head: state.head, headRevision: state.headRevision, parts: state.snapshotParts, garbage: state.garbage,
	}
}

// run handles requests until ctx ends.
func (w *snapshotWriter) run(ctx context.Context) {
	for {
		select {
		case r := <-w.requests:
			var err error
			if r.snapshot == nil {
				err = w.finish(ctx)
			} else {
				err = w.write(ctx, *r.snapshot, r.seq)
			}
			if errors.Is(err, errReplaced) {
				w.onReplaced(err.Error())
				return
			}
			w.results <- snapshotResult{headSeq: w.head.Seq, isOpen: w.open != nil, err: err}
		case <-ctx.Done():
			return
		}
	}
}

// write writes first the parts of a snapshot and then, in one write, the head that makes them valid. seq is the last log entry
// that the snapshot covers.
func (w *snapshotWriter) write(ctx context.Context, s lifecycle.Snapshot, seq uint64) error {
	// A second head must not be written while the outcome of the first is open.
	if err := w.finish(ctx); err != nil {
		return err
	}
	parts, err := w.codec.EncodeSnapshot(s, maxBatchBytes)
	if err != nil {
		return err
	}
	head := Head{Seq: seq, Epoch: w.epoch, Clean: s.Clean, Parts: len(parts), ID: fmt.Sprintf("%d-%d", w.epoch, seq)}
	if s.Clean {
		head.ID += "-clean"
	}
	value, err := w.codec.EncodeHead(head)
	if err != nil {
		return err
	}
	keys := make([]string, len(parts))
	for i := range parts {
		keys[i] = partKey(w.cell, head.ID, i)
	}
	for i, p := range parts {
		if err := w.writeAsOwner(ctx, store.Op{Key: keys[i], Value: p}); err != nil {
			w.garbage = append(w.garbage, keys...)
			return err
		}
	}
	w.open = &openSnapshot{head: head, value: value, parts: keys}
	return w.finish(ctx)
}

// finish writes the head of the snapshot whose parts are stored and then truncates the log. If the outcome of the write
// stays unknown, the snapshot stays open: the store may execute the write later, so that the parts must be kept until a
// repeat has settled it. The write names the head that it replaces, so that it takes effect at most once, and never after
// the next head.
func (w *snapshotWriter) finish(ctx context.Context) error {
	if w.open == nil {
		return nil
	}
	revision, err := w.replaceAsOwner(ctx, headKey(w.cell), w.headRevision, w.open.value)
	if err != nil {
		return err
	}
	w.garbage = append(w.garbage, w.parts...)
	w.head, w.headRevision, w.parts = w.open.head, revision, w.open.parts
	w.open = nil
	w.truncate(ctx)
	return nil
}

// truncate deletes the log entries and parts that the snapshot replaces. Keys that remain after a failure are deleted
// later. Readers ignore them, because their sequence numbers are not above that of the head.
func (w *snapshotWriter) truncate(ctx context.Context) {
	keys := w.garbage
	for seq := w.firstSeq; seq <= w.head.Seq; seq++ {
		keys = append(keys, logKey(w.cell, seq))
	}
	for chunk := range slices.Chunk(keys, maxTruncateOps) {
		ops := make([]store.Op, len(chunk))
		for i, key := range chunk {
			ops[i] = store.Op{Key: key, Delete: true}
		}
		if w.writeAsOwner(ctx, ops...) != nil {
			return
		}
	}
	w.garbage = nil
	w.firstSeq = w.head.Seq + 1
}
