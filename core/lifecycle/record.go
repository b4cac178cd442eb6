package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Record is one entry of the cell log. Replaying a record a second time changes nothing, so that a snapshot may hold
// effects of records that are appended after it.
type Record interface {
	record()
}

type (
	// JobAccepted makes a job durable.
	JobAccepted struct {
		Job  ident.JobID
		Spec JobSpec
		At   time.Time
	}
	// JobCancelled ends the tasks of a job that are not final.
	JobCancelled struct {
		Job ident.JobID
		At  time.Time
		// MaybeSent lists the tasks of which an attempt may have been sent.
		MaybeSent []uint32
	}
	// TaskDone completes a task.
	TaskDone struct {
		AttemptID
		At time.Time
	}
	// TaskFailed notes a failed attempt. Final means that the retry budget is used up.
	TaskFailed struct {
		AttemptID
		Worker  ident.WorkerID
		Message string
		Final   bool
		At      time.Time
	}
	// TaskEvicted notes that an attempt was ended with a checkpoint, from which exactly one new attempt resumes.
	TaskEvicted struct {
		AttemptID
		Checkpoint Checkpoint
		// Preempted is set if the task gave way to another one; it is not set if its worker is leaving.
		Preempted bool
		At        time.Time
	}
	// CheckpointSaved notes a checkpoint of an attempt that continues to run.
	CheckpointSaved struct {
		AttemptID
		Checkpoint Checkpoint
	}
	// CheckpointConsumed notes the attempt that resumes from a checkpoint, before its start is sent.
	CheckpointConsumed struct {
		AttemptID
		Checkpoint string
	}
	// AttemptsUsed notes that all attempt numbers of the task up to Attempt may be in use.
	AttemptsUsed struct {
		AttemptID
	}
	// WorkerAdded notes a worker before the first start is sent to it, so that a successor waits for it.
	WorkerAdded struct {
		Worker  ident.WorkerID
		Address string
	}
	// WorkerRemoved notes that a worker left the host list and that its leases have lapsed.
	WorkerRemoved struct {
		Worker ident.WorkerID
	}
	// Takeover is the first record of each owner. Attempts that the predecessor did not log get numbers below those
	// of the new owner.
	Takeover struct {
		Epoch ident.Epoch
		// Clean means that the predecessor drained and its snapshot holds all that it sent.
		Clean bool
	}
)

func (JobAccepted) record()        {}
func (JobCancelled) record()       {}
func (TaskDone) record()           {}
func (TaskFailed) record()         {}
func (TaskEvicted) record()        {}
func (CheckpointSaved) record()    {}
func (CheckpointConsumed) record() {}
func (AttemptsUsed) record()       {}
func (WorkerAdded) record()        {}
func (WorkerRemoved) record()      {}
func (Takeover) record()           {}

// Snapshot is the durable state of a cell.
type Snapshot struct {
	Epoch ident.Epoch
	// Clean is set in the last snapshot of an owner that drained and had heard of all workers.
	Clean   bool
	Workers []WorkerAdded
	Jobs    []JobSnapshot
}

// JobSnapshot is the durable state of a job.
type JobSnapshot struct {
	Job        ident.JobID
	Spec       JobSpec
	AcceptedAt time.Time
	Cancelled  bool
	FinishedAt time.Time
	// Tasks holds only the tasks that differ from a task that was never started.
	Tasks []TaskSnapshot
}

// TaskSnapshot is the durable state of a task.
type TaskSnapshot struct {
	Index       uint32
	State       State
	NextAttempt ident.Attempt
	// LastEnded is the highest attempt that certainly runs no more.
	LastEnded ident.Attempt
	// LastRan is the highest attempt that has run.
	LastRan    ident.Attempt
	MaybeSent  bool
	Evictions  int
	Checkpoint Checkpoint
	Failures   []Failure
	// Worker is where an attempt runs; empty if none does. It holds only in the last snapshot of an owner that drained:
	// starts are not logged.
	Worker ident.WorkerID
}

// Failure is a failed attempt of a task.
type Failure struct {
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Message string
}
