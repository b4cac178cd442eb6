package kv

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// watch is an open watch. The engine queues batches and a goroutine delivers them, so that a slow reader does not block
// writers.
type watch struct {
	session *Session
	prefix  string

	// mu guards queue and err.
	mu    sync.Mutex
	queue []queuedBatch
	err   error
	// wake receives a value when queue or err changes.
	wake chan struct{}
}

// queuedBatch is a batch with the time from which WatchLag delays it.
type queuedBatch struct {
	batch    store.WatchBatch
	queuedAt time.Time
}

// eventsAfter returns the events after revision from on keys that start with prefix.
func eventsAfter(events []store.Event, prefix string, from store.Revision) []store.Event {
	var out []store.Event
	for _, ev := range events {
		if ev.Entry.ModRevision > from && strings.HasPrefix(ev.Entry.Key, prefix) {
			out = append(out, ev)
		}
	}
	return out
}

func (w *watch) enqueue(events []store.Event, rev store.Revision) {
	if len(events) == 0 {
		return
	}
	w.mu.Lock()
	w.queue = append(w.queue, queuedBatch{store.WatchBatch{Events: events, Revision: rev}, time.Now()})
	w.mu.Unlock()
	w.signal()
}

func (w *watch) fail(err error) {
	w.mu.Lock()
	w.err = err
	w.mu.Unlock()
	w.signal()
}

func (w *watch) signal() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// next returns the next batch. After fail it returns the error and discards the batches still queued.
func (w *watch) next() (q queuedBatch, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err != nil {
		return queuedBatch{batch: store.WatchBatch{Err: w.err}}, true
	}
	if len(w.queue) == 0 {
		return queuedBatch{}, false
	}
	q = w.queue[0]
	w.queue = w.queue[1:]
	return q, true
}

// run delivers batches until ctx ends or it has delivered an error.
func (w *watch) run(ctx context.Context, out chan<- store.WatchBatch) {
	defer close(out)
	defer w.session.engine.removeWatch(w)
	for {
		q, ok := w.next()
		if !ok {
			select {
			case <-w.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		if q.batch.Err == nil && !w.session.awaitDelivery(ctx, q.queuedAt) {
			return
		}
		select {
		case out <- q.batch:
		case <-ctx.Done():
			return
		}
		if q.batch.Err != nil {
			return
		}
	}
}

// openWatch registers a watch and queues the events after revision from.
func (e *Engine) openWatch(s *Session, prefix string, from store.Revision) *watch {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	w := &watch{session: s, prefix: prefix, wake: make(chan struct{}, 1)}
	switch {
	case e.stopped || s.Fault().Down:
		w.fail(store.NewError("Watch", store.NotApplied, store.ErrUnavailable))
	case from < e.compactedTo:
		w.fail(store.NewError("Watch", store.NotApplied, store.ErrCompacted))
	default:
		w.replay(eventsAfter(e.events, prefix, from))
	}
	e.watches[w] = struct{}{}
	e.counters.openWatches.Add(1)
	return w
}

// replay queues past events, one batch for each revision.
func (w *watch) replay(events []store.Event) {
	for len(events) > 0 {
		rev := events[0].Entry.ModRevision
		n := 1
		for n < len(events) && events[n].Entry.ModRevision == rev {
			n++
		}
		w.enqueue(events[:n], rev)
		events = events[n:]
	}
}

func (e *Engine) removeWatch(w *watch) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.watches, w)
	e.counters.openWatches.Add(-1)
}

// CutWatches ends every open watch with store.ErrUnavailable.
func (e *Engine) CutWatches() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cutWatchesLocked(func(*watch) bool { return true })
}

func (e *Engine) cutWatchesLocked(match func(*watch) bool) {
	for w := range e.watches {
		if match(w) {
			w.fail(store.NewError("Watch", store.NotApplied, store.ErrUnavailable))
		}
	}
}
