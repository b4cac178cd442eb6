// Package store is the port of the platform's key-value service: compare-and-swap transactions, leases and watches.
//
// Every write returns an Outcome. Unknown means that the answer was lost and the write may have taken effect; the
// caller must resolve it by reading back the marker that it wrote.
package store

import (
	"context"
	"time"
)

// MaxValueBytes is the size of the largest value that the service accepts.
const MaxValueBytes = 1 << 20

// Revision is a position in the history of the service. It grows with each applied write.
type Revision int64

// LeaseID identifies a lease; 0 means no lease.
type LeaseID int64

// Outcome is the effect of a call on the service.
type Outcome uint8

const (
	// Unknown means that the answer was lost after the call may have taken effect.
	Unknown Outcome = iota
	// Applied means that the call took effect.
	Applied
	// NotApplied means that the call certainly had no effect.
	NotApplied
)

// String returns the outcome for logs.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}

// Entry is one key with its value, its revisions and its lease.
type Entry struct {
	Key            string
	Value          []byte
	CreateRevision Revision
	ModRevision    Revision
	Lease          LeaseID
}

// Field is the field of an entry that a Compare checks.
type Field uint8

// The fields of an entry that can be compared for equality.
const (
	FieldCreateRevision Field = iota
	FieldModRevision
)

// Compare is a condition of a transaction: the field of key equals Revision. An absent key has revision 0.
type Compare struct {
	Key      string
	Field    Field
	Revision Revision
}

// KeyAbsent returns the condition that key does not exist.
func KeyAbsent(key string) Compare {
	return Compare{Key: key, Field: FieldCreateRevision}
}

// Op is a write of a transaction: a put, or a delete if Delete is set.
type Op struct {
	Key    string
	Value  []byte
	Lease  LeaseID
	Delete bool
}

// TxnResult is the answer to a transaction.
type TxnResult struct {
	Outcome Outcome
	// Revision is the revision of the service after the transaction; 0 if Unknown.
	Revision Revision
}

// RangeResult is the answer to a range read.
type RangeResult struct {
	Entries []Entry
	// Revision is the revision of the service at which the entries were read.
	Revision Revision
}

// Event is one change seen by a watch.
type Event struct {
	Entry Entry
	// Deleted is set if the key was deleted; Entry then holds only the key and ModRevision.
	Deleted bool
}

// WatchBatch is a sequence of changes, or the error that ended the watch.
type WatchBatch struct {
	Events   []Event
	Revision Revision
	// Err is the error that ended the watch. The caller reads the range again and watches from its revision.
	Err error
}

// Store is the key-value service. Methods honour the deadline of the context. An error with the outcome NotApplied
// proves that nothing was written.
type Store interface {
	// Range reads the entries whose keys start with prefix, sorted by key.
	Range(ctx context.Context, prefix string) (RangeResult, error)
	// Get reads the entry of a key; ok is false if the key does not exist.
	Get(ctx context.Context, key string) (e Entry, ok bool, err error)
	// Txn applies ops atomically if all compares hold. The outcome NotApplied without an error means that one does not.
	Txn(ctx context.Context, compares []Compare, ops []Op) (TxnResult, error)
	// Grant creates a lease.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive renews a lease; ok is false if the lease no longer exists.
	KeepAlive(ctx context.Context, id LeaseID) (ok bool, err error)
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, id LeaseID) error
	// Watch delivers the changes after revision from of keys that start with prefix. The channel is closed when ctx ends
	// or after a batch with an error.
	Watch(ctx context.Context, prefix string, from Revision) <-chan WatchBatch
}
