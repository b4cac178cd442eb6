package jobs

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// DefaultCommitInterval is the shortest time between two commits of a cell in a deployment of few cells. The store
	// takes several hundred writes a second from all cells together, so that more cells need a longer interval.
	DefaultCommitInterval = 50 * time.Millisecond
	// lazyDelay bounds how long a checkpoint waits for other records to share their commit. Losing the record loses
	// some progress only.
	lazyDelay = 5 * time.Second
	// maxBatchBytes bounds what a write sends. A write that takes longer than storeTimeout is repeated as it is, so that one
	// of store.MaxValueBytes would never get through where a second of a thin link is left for it.
	maxBatchBytes = 128 << 10
	// maxQueueBytes bounds the records that wait while the store is down; new jobs are refused above it.
	maxQueueBytes = 32 << 20
	// snapshotAfter log entries a snapshot is written and the log truncated.
	snapshotAfter = 256
	// truncateOps bounds the operations of one transaction. The smallest limit of the stores in use is 32 entries, the
	// condition included.
	truncateOps  = 30
	storeTimeout = 2 * time.Second
	maxBackoff   = time.Second
)

// item is a record on its way into the log.
type item struct {
	record   lifecycle.Record
	size     int
	queuedAt time.Time
	// done is closed when the record is durable or withdrawn; durable says which.
	done    chan struct{}
	durable bool
	// abandoned is set while a submitter waits for the end of a write in progress in order to withdraw the record.
	abandoned bool
}

// cellLog appends the records of one owner to the log of its cell, in order, in grouped commits.
type cellLog struct {
	store Store
	codec Codec
	cell  ident.CellID
	epoch ident.Epoch
	// interval is the shortest time between two commits.
	interval time.Duration
	// committed is called with each durable batch, snapshot returns the state after it. lost is called once if the
	// store proves that this owner has been replaced.
	committed func([]lifecycle.Record)
	snapshot  func() (lifecycle.Snapshot, bool)
	lost      func(why string)
	meter     Meter

	// mu guards the queue, which callers fill and the writer empties.
	mu    sync.Mutex
	queue []*item
	bytes int
	// last is the record that was queued last.
	last *item
	// failingSince is when the commit in progress failed first; zero if the last one succeeded.
	failingSince time.Time
	// busy is set while the writer has a batch that is not resolved.
	busy bool
	idle chan struct{}
	wake chan struct{}
	// ended is closed when the writer has ended: what is still queued was not written and never will be.
	ended chan struct{}
	// due is set if queued records must not wait for others. For records that may wait, lazy sets it at lazyAt; lazy is
	// nil if there are none.
	due    bool
	lazy   *time.Timer
	lazyAt time.Time

	// The fields below belong to the writer alone.
	seq       uint64
	firstSeq  uint64
	sinceSnap int
	head      Head
	parts     []string
	garbage   []string
}

// append queues records and returns their items.
func (l *cellLog) append(records []lifecycle.Record) []*item {
	items := make([]*item, len(records))
	now := time.Now()
	for i, r := range records {
		items[i] = &item{record: r, size: l.codec.RecordSize(r), queuedAt: now, done: make(chan struct{})}
	}
	l.mu.Lock()
	for _, it := range items {
		l.queue = append(l.queue, it)
		l.bytes += it.size
		l.last = it
	}
	shareWait := l.shareWait(records)
	if shareWait > 0 {
		l.writeWithin(shareWait)
	}
	l.mu.Unlock()
	if shareWait == 0 {
		l.writeNow()
	}
	return items
}

// writeWithin makes the writer take what is queued after d at the latest.
func (l *cellLog) writeWithin(d time.Duration) {
	at := time.Now().Add(d)
	if l.lazy != nil && !at.Before(l.lazyAt) {
		return
	}
	if l.lazy != nil {
		l.lazy.Stop()
	}
	l.lazy = time.AfterFunc(d, l.writeNow)
	l.lazyAt = at
}

// writeNow makes the writer take what is queued.
func (l *cellLog) writeNow() {
	l.mu.Lock()
	l.due = true
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// shareWait returns how long records may wait for others to share their commit. A cancellation may wait as long as it
// would after another commit: if it were written at once, an urgent job that comes next would wait for that long.
func (l *cellLog) shareWait(records []lifecycle.Record) time.Duration {
	shortest := lazyDelay
	for _, r := range records {
		switch r.(type) {
		case lifecycle.CheckpointSaved:
		case lifecycle.JobCancelled:
			shortest = min(shortest, l.interval)
		default:
			return 0
		}
	}
	return shortest
}

// full reports whether new jobs must be refused.
func (l *cellLog) full() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytes > maxQueueBytes
}

// withdraw removes a record that certainly was not written. If the record is part of a write in progress, it is
// removed once that write certainly had no effect, unless keep is called before.
func (l *cellLog) withdraw(it *item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.abandoned = true
	l.dropAbandoned()
}

// keep ends withdraw; the record is written when the store answers.
func (l *cellLog) keep(it *item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	it.abandoned = false
}

func (l *cellLog) dropAbandoned() {
	l.queue = slices.DeleteFunc(l.queue, func(it *item) bool {
		if it.abandoned {
			l.bytes -= it.size
			close(it.done)
		}
		return it.abandoned
	})
}

// take moves the next batch out of the queue, if it is due.
func (l *cellLog) take() []*item {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, size := 0, 0
	for l.due && n < len(l.queue) && (n == 0 || size+l.queue[n].size <= maxBatchBytes) {
		size += l.queue[n].size
		n++
	}
	batch := slices.Clone(l.queue[:n])
	l.queue = slices.Delete(l.queue, 0, n)
	l.busy = n > 0
	l.due = l.due && len(l.queue) > 0
	if l.lazy != nil && len(l.queue) == 0 {
		l.lazy.Stop()
		l.lazy = nil
	}
	if len(l.queue) == 0 && n == 0 && l.idle != nil {
		close(l.idle)
		l.idle = nil
	}
	return batch
}

// putBack returns a batch that certainly was not written, so that its records can be withdrawn.
func (l *cellLog) putBack(batch []*item) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue = append(batch, l.queue...)
	l.busy = false
	l.due = true
	l.dropAbandoned()
}

// run writes until ctx ends or the owner is replaced.
func (l *cellLog) run(ctx context.Context) {
	defer close(l.ended)
	for {
		batch := l.take()
		if len(batch) == 0 {
			select {
			case <-l.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		started := time.Now()
		if !l.write(ctx, batch) {
			return
		}
		if l.sinceSnap >= snapshotAfter {
			l.writeSnapshot(ctx)
		}
		if sleep.For(ctx, l.interval-time.Since(started)) != nil {
			return
		}
	}
}

// write makes one batch durable. It returns false if the owner has been replaced or ctx ended.
func (l *cellLog) write(ctx context.Context, batch []*item) bool {
	records := make([]lifecycle.Record, len(batch))
	for i, it := range batch {
		records[i] = it.record
	}
	marker := uuid.NewString()
	value, err := l.codec.EncodeBatch(marker, records)
	if err != nil {
		l.lost(fmt.Sprintf("records cannot be encoded: %v", err))
		return false
	}
	key := logKey(l.cell, l.seq+1)
	pause := l.interval
	maybe := false
	for {
		outcome := l.try(ctx, key, marker, value)
		l.noteOutcome(outcome)
		switch outcome {
		case store.Applied:
			l.resolved(batch, records)
			return true
		case store.NotApplied:
			if !maybe {
				// Nothing was written: the records can be withdrawn until the next try.
				l.putBack(batch)
				return sleep.For(ctx, maxBackoff/4) == nil
			}
		case fencedOutcome:
			if !maybe {
				// Nothing was written, and nothing will be: the records can be withdrawn with proof.
				l.putBack(batch)
			}
			l.lost("another owner has the cell")
			return false
		default:
			maybe = true
		}
		if sleep.For(ctx, pause) != nil {
			return false
		}
		pause = min(2*pause, maxBackoff)
	}
}

// noteOutcome keeps since when commits fail.
func (l *cellLog) noteOutcome(o store.Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case o == store.Applied:
		l.failingSince = time.Time{}
	case l.failingSince.IsZero():
		l.failingSince = time.Now()
	}
}

// failing returns for how long commits have failed; 0 if they do not.
func (l *cellLog) failing() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.failingSince.IsZero() {
		return 0
	}
	return time.Since(l.failingSince)
}

// fencedOutcome is the outcome of a commit whose conditions failed because another owner has the cell.
const fencedOutcome store.Outcome = 255

// try makes one attempt to write a log key. A repeat after an unknown outcome writes the same value to the same key,
// so that it takes effect at most once.
func (l *cellLog) try(ctx context.Context, key, marker string, value []byte) store.Outcome {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	compares := []store.Compare{l.ownership(), store.KeyAbsent(key)}
	res, err := l.store.Txn(call, compares, []store.Op{{Key: key, Value: value}})
	if res.Outcome != store.NotApplied || err != nil {
		return res.Outcome
	}
	entry, found, err := l.store.Get(call, key)
	if err != nil {
		// This attempt certainly wrote nothing; why is not known.
		return store.NotApplied
	}
	if !found {
		return fencedOutcome
	}
	written, _, err := l.codec.DecodeBatch(entry.Value)
	if err == nil && written == marker {
		return store.Applied
	}
	return fencedOutcome
}

func (l *cellLog) ownership() store.Compare {
	return store.Compare{Key: ownKey(l.cell), Field: store.FieldCreateRevision, Revision: store.Revision(l.epoch)}
}

func (l *cellLog) resolved(batch []*item, records []lifecycle.Record) {
	l.seq++
	l.sinceSnap++
	l.committed(records)
	l.meter.CommitDelay(longestQueued(time.Now(), batch))
	l.mu.Lock()
	defer l.mu.Unlock()
	l.busy = false
	for _, it := range batch {
		l.bytes -= it.size
		it.durable = true
		close(it.done)
	}
}
