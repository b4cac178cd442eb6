package jobs

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// appendRemoving queues a record whose commit removes an inbox entry. The record is nil if the log has the job already. The
// record cannot be withdrawn: its job was acknowledged when the entry was written.
func (l *cellLog) appendRemoving(record lifecycle.Record, key string) *pendingRecord {
	rec := &pendingRecord{record: record, removedKey: key, size: len(key), queuedAt: time.Now(), done: make(chan struct{}), waiters: 1}
	if record != nil {
		rec.size += l.codec.RecordSize(record)
	}
	l.enqueue([]*pendingRecord{rec}, 0)
	return rec
}

// contentOf returns the records of a batch and the removals of inbox entries that are committed with them.
func contentOf(batch []*pendingRecord) (records []lifecycle.Record, removals []store.Op) {
	for _, rec := range batch {
		if rec.record != nil {
			records = append(records, rec.record)
		}
		if rec.removedKey != "" {
			removals = append(removals, store.Op{Key: rec.removedKey, Delete: true})
		}
	}
	return records, removals
}
