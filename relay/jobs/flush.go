package jobs

import (
	"context"
	"errors"
)

// allDurable reports whether every record is durable.
func (l *cellLog) allDurable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.queue) == 0 && !l.writing
}

// awaitQueued waits until the records that were queued before the call are durable or withdrawn, or until the writer
// has ended.
func (l *cellLog) awaitQueued(ctx context.Context) error {
	l.mu.Lock()
	last := l.lastQueued
	l.mu.Unlock()
	if last == nil {
		return nil
	}
	l.writeNow()
	select {
	case <-last.done:
		return nil
	case <-l.writerDone:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// errWriterEnded means that records are queued that will never be written, because the owner has been replaced or stopped.
var errWriterEnded = errors.New("the log writer has ended before all records were durable")

// flush waits until every queued record is durable, or until the writer has ended.
func (l *cellLog) flush(ctx context.Context) error {
	l.mu.Lock()
	if len(l.queue) == 0 && !l.writing {
		l.mu.Unlock()
		return nil
	}
	if l.idle == nil {
		l.idle = make(chan struct{})
	}
	idle := l.idle
	l.mu.Unlock()
	l.writeNow()
	select {
	case <-idle:
		return nil
	case <-l.writerDone:
		if l.allDurable() {
			return nil
		}
		return errWriterEnded
	case <-ctx.Done():
		return ctx.Err()
	}
}
