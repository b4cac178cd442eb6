package jobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// DefaultCommitInterval is the shortest time between two commits of a cell, for a deployment with few cells. The
	// store takes several hundred writes a second from all cells together, so that more cells need a longer interval.
	DefaultCommitInterval = 50 * time.Millisecond
	// maxCheckpointDelay bounds how long the record of a checkpoint waits to share a commit with other records. If the
	// record is lost, only some progress of the task is lost.
	maxCheckpointDelay = 5 * time.Second
	// maxBatchBytes bounds the data of one write. A write that takes longer than storeTimeout is repeated unchanged,
	// so that a write of store.MaxValueBytes would never succeed on a slow link.
	maxBatchBytes = 128 << 10
	// maxQueueBytes bounds the records that are queued while the store is down. Above it, new jobs are refused.
	maxQueueBytes = 32 << 20
	// entriesPerSnapshot is the number of log entries after which a snapshot is written and the log truncated.
	entriesPerSnapshot = 256
	// snapshotRetryEntries is the number of further log entries after which a snapshot that failed is tried again.
	snapshotRetryEntries = 16
	// maxInboxRemovals bounds the inbox entries that one commit removes, for the same limit as maxTruncateOps: a commit has two
	// conditions and one write besides.
	maxInboxRemovals = 29
	// maxTruncateOps bounds the operations of one transaction. The smallest limit of the supported stores is 32, which
	// includes the condition.
	maxTruncateOps = 30
	// storeTimeout bounds a call to the store. The reads of a takeover are repeated with a longer time, up to
	// maxReadTimeout.
	storeTimeout    = 2 * time.Second
	maxReadTimeout  = 30 * time.Second
	maxWriteBackoff = time.Second
)

// pendingRecord is a record that is queued for the log or being written.
type pendingRecord struct {
	// record is nil if the entry only removes a key.
	record lifecycle.Record
	// removedKey is the inbox entry that the commit of the record removes; empty if there is none.
	removedKey string

	size     int
	queuedAt time.Time
	// done is closed when the record is durable or withdrawn; durable says which.
	done    chan struct{}
	durable bool
	// waiters counts the submitters that wait for the record. abandoned is set once the last of them withdraws it and
	// waits for a write in progress to end. Both are guarded by cellLog.mu.
	waiters   int
	abandoned bool
}

// isWithdrawn reports whether the record was withdrawn and will never be written.
func (r *pendingRecord) isWithdrawn() bool {
	select {
	case <-r.done:
		return !r.durable
	default:
		return false
	}
}

// cellLog appends the records of one owner to the log of its cell, in order. Records that are queued together are
// written in one commit.
type cellLog struct {
	cellStore
	// interval is the shortest time between two commits.
	interval time.Duration
	// onCommitted is called with each durable batch, and takeSnapshot returns the state after it. onReplaced is called
	// once if the store proves that this owner has been replaced.
	onCommitted  func([]*pendingRecord, []lifecycle.Record)
	takeSnapshot func() (lifecycle.Snapshot, bool)
	onReplaced   func(reason string)
	meter        Meter

	// mu guards the queue and its state: callers add to the queue and the writer takes from it.
	mu          sync.Mutex
	queue       []*pendingRecord
	queuedBytes int
	// lastQueued is the newest record that was ever queued.
	lastQueued *pendingRecord
	// failingSince is when the commit in progress first failed; zero if the last commit succeeded.
	failingSince time.Time
	// writing is set while the outcome of the writer's current batch is open.
	writing bool
	idle    chan struct{}
	wake    chan struct{}
	// writerDone is closed when the writer has ended. Records that are still queued then were not written and never
	// will be.
	writerDone chan struct{}
	// writeDue is set if the queued records must be written without waiting for others. For records that may wait,
	// shareTimer sets it at shareTimerDue; shareTimer is nil if there are none.
	writeDue      bool
	shareTimer    *time.Timer
	shareTimerDue time.Time

	snapshots *snapshotWriter

	// The fields below are used by the writer only.
	seq                  uint64
	entriesSinceSnapshot int
	// snapshotInProgress is set while a request to the snapshot writer has no result, and snapshotOpen while the outcome of
	// the last head is open.
	snapshotInProgress, snapshotOpen bool
}

// append queues records and returns their entries in the queue.
func (l *cellLog) append(records []lifecycle.Record) []*pendingRecord {
	pending := make([]*pendingRecord, len(records))
	now := time.Now()
	for i, r := range records {
		pending[i] = &pendingRecord{record: r, size: l.codec.RecordSize(r), queuedAt: now, done: make(chan struct{})}
	}
	l.enqueue(pending, l.shareWait(records))
	return pending
}

// enqueue queues records that may wait for shareWait to share a commit.
func (l *cellLog) enqueue(pending []*pendingRecord, shareWait time.Duration) {
	l.mu.Lock()
	for _, rec := range pending {
		l.queue = append(l.queue, rec)
		l.queuedBytes += rec.size
		l.lastQueued = rec
	}
	if shareWait > 0 {
		l.writeWithin(shareWait)
	}
	l.mu.Unlock()
	if shareWait == 0 {
		l.writeNow()
	}
}

// writeWithin makes the writer take the queued records after d at the latest. It requires mu.
func (l *cellLog) writeWithin(d time.Duration) {
	due := time.Now().Add(d)
	if l.shareTimer != nil && !due.Before(l.shareTimerDue) {
		return
	}
	if l.shareTimer != nil {
		l.shareTimer.Stop()
	}
	l.shareTimer = time.AfterFunc(d, l.writeNow)
	l.shareTimerDue = due
}

// writeNow makes the writer take the queued records at once.
func (l *cellLog) writeNow() {
	l.mu.Lock()
	l.writeDue = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// shareWait returns how long records may wait to share a commit with others. A cancellation may wait for one commit
// interval, as it would after another commit: if it were written at once, an urgent job that follows would have to
// wait for that interval. So may the silence of a worker.
func (l *cellLog) shareWait(records []lifecycle.Record) time.Duration {
	shortest := maxCheckpointDelay
	for _, r := range records {
		switch r.(type) {
		case lifecycle.CheckpointSaved:
		case lifecycle.JobCancelled, lifecycle.WorkerSilent:
			shortest = min(shortest, l.interval)
		default:
			return 0
		}
	}
	return shortest
}

// queueFull reports whether new jobs must be refused.
func (l *cellLog) queueFull() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queuedBytes > maxQueueBytes
}

// takeBatch removes the next batch from the queue, if a write is due.
func (l *cellLog) takeBatch() []*pendingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size, removals := 0, 0, 0
	for l.writeDue && n < len(l.queue) && (n == 0 || size+l.queue[n].size <= maxBatchBytes) {
		if l.queue[n].removedKey != "" {
			if removals++; removals > maxInboxRemovals {
				break
			}
		}
		size += l.queue[n].size
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	l.writing = n > 0
	l.writeDue = l.writeDue && len(l.queue) > 0
	if l.shareTimer != nil && len(l.queue) == 0 {
		l.shareTimer.Stop()
		l.shareTimer = nil
	}
	if len(l.queue) == 0 && n == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
	return batch
}

// requeue puts back a batch that was certainly not written, so that its records can be withdrawn.
func (l *cellLog) requeue(batch []*pendingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(batch, l.queue...)
	l.writing = false
	l.writeDue = true
	l.dropAbandoned()
}

// run writes batches until ctx ends or the owner is replaced.
func (l *cellLog) run(ctx context.Context) {
	defer close(l.writerDone)
	for {
		batch := l.takeBatch()
		if len(batch) == 0 {
			select {
			case <-l.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		started := time.Now()
		if !l.writeBatch(ctx, batch) {
			return
		}
		l.requestSnapshot()
		if sleep.For(ctx, l.interval-time.Since(started)) != nil {
			return
		}
	}
}

// writeBatch makes one batch durable or requeues it. It returns false if the owner has been replaced or ctx has
// ended.
func (l *cellLog) writeBatch(ctx context.Context, batch []*pendingRecord) bool {
	records, removals := contentOf(batch)
	marker := uuid.NewString()
	value, err := l.codec.EncodeBatch(marker, records)
	if err != nil {
		l.onReplaced(fmt.Sprintf("cannot encode records: %v", err))
		return false
	}
	key := logKey(l.cell, l.seq+1)
	pause := l.interval
	mayBeWritten := false
	for {
		outcome := l.tryWrite(ctx, key, marker, append([]store.Op{{Key: key, Value: value}}, removals...))
		l.trackFailure(outcome)
		switch outcome {
		case store.Applied:
			l.markDurable(batch, records)
			return true
		case store.NotApplied:
			if !mayBeWritten {
				// Nothing was written, so that the records can be withdrawn until the next attempt.
				l.requeue(batch)
				return sleep.For(ctx, maxWriteBackoff/4) == nil
			}
		case fencedOutcome:
			if !mayBeWritten {
				// Nothing was or will be written, so that a withdrawal of the requeued records proves that.
				l.requeue(batch)
			}
			l.onReplaced("another owner has the cell")
			return false
		default:
			mayBeWritten = true
		}
		if sleep.For(ctx, pause) != nil {
			return false
		}
		pause = min(2*pause, maxWriteBackoff)
	}
}

// trackFailure updates failingSince after an attempt to write.
func (l *cellLog) trackFailure(o store.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case o == store.Applied:
		l.failingSince = time.Time{}
	case l.failingSince.IsZero():
		l.failingSince = time.Now()
	}
}

// failingFor returns for how long commits have been failing; 0 if they succeed.
func (l *cellLog) failingFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() {
		return 0
	}
	return time.Since(l.failingSince)
}

// fencedOutcome is the outcome of a commit that failed its conditions because another owner has the cell.
const fencedOutcome store.Outcome = 255

// tryWrite makes one attempt to write a log entry. After an unknown outcome the same value is written to the same key
// again, so that it takes effect at most once. ops holds the write of the entry and the removals that belong to it.
func (l *cellLog) tryWrite(ctx context.Context, key, marker string, ops []store.Op) store.Outcome {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	compares := []store.Compare{l.ownershipCondition(), store.KeyAbsent(key)}
	res, err := l.store.Txn(callCtx, compares, ops)
	if res.Outcome != store.NotApplied || err != nil {
		return res.Outcome
	}
	entry, found, err := l.store.Get(callCtx, key)
	if err != nil {
		// This attempt wrote nothing, but the reason is not known.
		return store.NotApplied
	}
	if !found {
		return fencedOutcome
	}
	storedMarker, _, err := l.codec.DecodeBatch(entry.Value)
	if err == nil && storedMarker == marker {
		return store.Applied
	}
	return fencedOutcome
}

// requestSnapshot has a snapshot written once enough entries have been written since the last one. After a failure the log
// stays as it is, and the snapshot is tried again some entries later.
func (l *cellLog) requestSnapshot() {
	select {
	case r := <-l.snapshots.results:
		l.snapshotInProgress, l.snapshotOpen = false, r.isOpen
		l.entriesSinceSnapshot = int(l.seq - r.headSeq)
		if r.err != nil {
			l.entriesSinceSnapshot = entriesPerSnapshot - snapshotRetryEntries
		}
	default:
	}
	if l.snapshotInProgress || l.entriesSinceSnapshot < entriesPerSnapshot {
		return
	}
	request := snapshotRequest{seq: l.seq}
	if !l.snapshotOpen {
		s, ok := l.takeSnapshot()
		if !ok {
			return
		}
		request.snapshot = &s
	}
	l.snapshotInProgress = true
	l.snapshots.requests <- request
}

func (l *cellLog) markDurable(batch []*pendingRecord, records []lifecycle.Record) {
	l.seq++
	l.entriesSinceSnapshot++
	l.onCommitted(batch, records)
	l.meter.CommitDelay(longestQueued(time.Now(), batch))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writing = false
	for _, rec := range batch {
		l.queuedBytes -= rec.size
		rec.durable = true
		close(rec.done)
	}
}
