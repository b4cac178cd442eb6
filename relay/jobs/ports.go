// Package jobs runs the batch and latency-critical tasks of the cells that this host owns: it feeds the decisions of
// core/lifecycle and of the planner, appends their records to the cell log and sends their commands to workers.
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

// Store is the part of the key-value service that the cell log needs.
type Store interface {
	Range(ctx context.Context, prefix string) (store.RangeResult, error)
	Get(ctx context.Context, key string) (store.Entry, bool, error)
	Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error)
}

// Head describes the newest snapshot of a cell.
type Head struct {
	// Seq is the last log entry that the snapshot holds.
	Seq   uint64
	Epoch ident.Epoch
	Clean bool
	Parts int
	// ID names the keys of the parts.
	ID string
}

// Codec encodes the values of the cell log.
type Codec interface {
	// RecordSize returns the bytes that a record adds to a batch.
	RecordSize(r lifecycle.Record) int
	EncodeBatch(marker string, records []lifecycle.Record) ([]byte, error)
	DecodeBatch(value []byte) (marker string, records []lifecycle.Record, err error)
	EncodeHead(h Head) ([]byte, error)
	DecodeHead(value []byte) (Head, error)
	// EncodeSnapshot returns parts of at most maxBytes each.
	EncodeSnapshot(s lifecycle.Snapshot, maxBytes int) ([][]byte, error)
	DecodeSnapshot(parts [][]byte) (lifecycle.Snapshot, error)
	EncodeEstimates(l placement.Estimates) ([]byte, error)
	DecodeEstimates(value []byte) (placement.Estimates, error)
}

// ClaimAnswer is the answer of a worker to a claim or a sync.
type ClaimAnswer struct {
	lifecycle.Answer
	Incarnation string
	Report      lifecycle.Report
}

// StopAnswer is the answer of a worker to a stop.
type StopAnswer struct {
	lifecycle.Answer
	Incarnation string
	// Ends says what became of the attempts asked for, unless they still run. The worker may list further ends.
	Ends []lifecycle.EndedAttempt
}

// CheckpointAnswer is the answer of a worker to a checkpoint.
type CheckpointAnswer struct {
	lifecycle.Answer
	Checkpoint string
}

// WorkerPort performs calls to workers. Each call ends with its context. An Unknown answer means that the worker may
// have acted; Refused proves that it did not.
type WorkerPort interface {
	Claim(ctx context.Context, w lifecycle.Member, cell ident.CellID, epoch ident.Epoch) ClaimAnswer
	Sync(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) ClaimAnswer
	Start(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer
	Stop(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, runs []lifecycle.AttemptID) StopAnswer
	Checkpoint(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, stop bool) CheckpointAnswer
	Throttle(ctx context.Context, w lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, f float64) lifecycle.Answer
}

// AllLeaseRenewer is a WorkerPort whose syncs renew every lease of a worker, whatever they list.
type AllLeaseRenewer interface {
	RenewsAllLeases() bool
}

// Grants tells the present right of this host in a cell. It is asked before each call that starts or renews a task,
// because a paused process learns late that its lease has lapsed. It must not block.
type Grants interface {
	Grant(cell ident.CellID) ownership.Grant
}

// Clock tells the time. Timers are those of the runtime.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the host.
type SystemClock struct{}

// Now returns the wall clock time with its monotonic reading.
func (SystemClock) Now() time.Time { return time.Now() }

// LimitSharePlanner is a planner that keeps to this cell's part of the limits of the fleet.
type LimitSharePlanner interface {
	SetLimitShare(cells int, shareShift uint8)
}

// LearningPlanner is a planner that learns what the next owner of the cell needs too.
type LearningPlanner interface {
	Estimates() placement.Estimates
	RestoreEstimates(l placement.Estimates)
}

// NewPlanner makes the planner of one cell with a table in force.
type NewPlanner func(cell ident.CellID, t *table.Table) placement.Planner
