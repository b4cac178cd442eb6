// Package jobs runs the batch and latency-critical tasks of the cells that this host owns. It feeds events to
// core/lifecycle and the planner, appends the resulting records to the cell log and sends the resulting commands to
// workers.
package jobs

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Store is the subset of the key-value store that the cell log needs.
type Store interface {
	Range(ctx context.Context, prefix string) (store.RangeResult, error)
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error)
}

// Head describes the newest snapshot of a cell. Parts is the number of its parts; Clean says that it was written by
// an owner that drained and had no record left to write.
type Head struct {
	// Seq is the sequence number of the last log entry that the snapshot covers.
	Seq   uint64
	Epoch ident.Epoch
	Clean bool
	Parts int
	// ID is part of the keys of the parts.
	ID string
}

// Codec encodes the values of the cell log and the estimates.
type Codec interface {
	// RecordSize returns the number of bytes that a record adds to an encoded batch.
	RecordSize(r lifecycle.Record) int
	EncodeBatch(marker string, records []lifecycle.Record) ([]byte, error)
	DecodeBatch(value []byte) (marker string, records []lifecycle.Record, err error)
	EncodeHead(h Head) ([]byte, error)
	DecodeHead(value []byte) (Head, error)
	// EncodeSnapshot returns the snapshot in parts of at most maxBytes each.
	EncodeSnapshot(s lifecycle.Snapshot, maxBytes int) ([][]byte, error)
	DecodeSnapshot(parts [][]byte) (lifecycle.Snapshot, error)
	EncodeEstimates(e placement.Estimates) ([]byte, error)
	DecodeEstimates(value []byte) (placement.Estimates, error)
}

// ClaimAnswer is the answer of a worker to a claim or a sync. Incarnation identifies the worker process, Report lists
// its attempts.
type ClaimAnswer struct {
	lifecycle.Answer
	Incarnation string
	Report      lifecycle.Report
}

// StopAnswer is the answer of a worker to a stop call.
type StopAnswer struct {
	lifecycle.Answer
	Incarnation string
	// Ends lists the outcomes of the attempts to be stopped, except those that still run. The worker may add ends of
	// other attempts.
	Ends []lifecycle.EndedAttempt
}

// CheckpointAnswer is the answer of a worker to a checkpoint call. Checkpoint is the id of the checkpoint.
type CheckpointAnswer struct {
	lifecycle.Answer
	Checkpoint string
}

// WorkerPort performs calls to workers. Each call returns when its context ends at the latest. The outcome Unknown
// means that the worker may have acted; Refused proves that it did not.
type WorkerPort interface {
	Claim(ctx context.Context, w lifecycle.Member, cell ident.CellID, epoch ident.Epoch) ClaimAnswer
	Sync(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) ClaimAnswer
	Start(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer
	Stop(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, attempts []lifecycle.AttemptID) StopAnswer
	Checkpoint(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, stop bool) CheckpointAnswer
	Throttle(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, fraction float64) lifecycle.Answer
}

// AllLeaseRenewer is implemented by a WorkerPort whose syncs can renew every lease of a worker, whether listed in the
// sync or not. RenewsAllLeases reports whether they do.
type AllLeaseRenewer interface {
	RenewsAllLeases() bool
}

// Grants returns the current grant of this host for a cell. It is asked before each call that starts or renews a
// task, because a process that was paused notices late that its lease has lapsed. It must not block.
type Grants interface {
	Grant(cell ident.CellID) ownership.Grant
}

// Clock returns the time. Timers are those of the Go runtime.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock that reads the time of the host.
type SystemClock struct{}

// Now returns the wall clock time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// LimitSharePlanner is implemented by planners that divide the limits of the fleet over the cells. SetLimitShare sets
// the number of cells, and by how many halvings the share of this cell is reduced.
type LimitSharePlanner interface {
	SetLimitShare(cells int, shareShift uint8)
}

// LearningPlanner is implemented by planners with learnt estimates, which are handed to the next owner of the cell.
type LearningPlanner interface {
	Estimates() placement.Estimates
	RestoreEstimates(e placement.Estimates)
}

// ExplainingPlanner is implemented by planners that say why tasks wait; see placement.Cell.LongestWaiting.
type ExplainingPlanner interface {
	LongestWaiting(now time.Time, minWait time.Duration, limit int) []placement.Waiting
}

// ForecastingPlanner is implemented by planners that look ahead; see placement.Cell.LookAhead.
type ForecastingPlanner interface {
	LookAhead() placement.LookAheadStats
}

// NewPlanner returns a planner for one cell that starts with the given table.
type NewPlanner func(cell ident.CellID, t *table.Table) placement.Planner
