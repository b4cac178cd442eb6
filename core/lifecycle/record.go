package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Record is an entry of the cell log. Records are idempotent, so a snapshot may include effects of records that are
// appended after it.
type Record interface {
	record()
}

type (
	// JobAccepted makes a job durable. One with Refused ends a job that was accepted before and has not started.
	JobAccepted struct {
		Job  ident.JobID
		Spec JobSpec
		At   time.Time
		// Refused says why the job cannot run; empty if it can. A refused job ends as failed at once.
		Refused string
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
	// TaskFailed records a failed attempt. Final means that no retries are left.
	TaskFailed struct {
		AttemptID
		Worker  ident.WorkerID
		Message string
		Final   bool
		At      time.Time
	}
	// TaskEvicted records that an attempt was ended with a checkpoint, from which exactly one new attempt resumes.
	TaskEvicted struct {
		AttemptID
		Checkpoint Checkpoint
		// Preempted is set if the task was evicted for another one, not because its worker leaves.
		Preempted bool
		At        time.Time
	}
	// CheckpointSaved records a checkpoint of an attempt that continues to run.
	CheckpointSaved struct {
		AttemptID
		Checkpoint Checkpoint
	}
	// CheckpointConsumed records the attempt that resumes from a checkpoint, before its start is sent.
	CheckpointConsumed struct {
		AttemptID
		Checkpoint string
	}
	// AttemptsUsed records that all attempt numbers of the task up to Attempt may be in use.
	AttemptsUsed struct {
		AttemptID
	}
	// WorkerAdded records a worker before the first start is sent to it, so that a successor waits for its answer. It ends
	// the silence of a worker that has answered again, before a lease on it is renewed.
	WorkerAdded struct {
		Worker  ident.WorkerID
		Address string
	}
	// WorkerSilent records that a worker does not answer. Since is the time after which no lease token can have been sent
	// to it, and At that of the record, both measured from the takeover of the owner. Since is negative if the worker fell
	// silent under a predecessor. It is stored in the form of a WorkerAdded, which older releases can read.
	WorkerSilent struct {
		Worker    ident.WorkerID
		Address   string
		Since, At time.Duration
	}
	// WorkerRemoved records that a worker has left the host list and that its leases have lapsed.
	WorkerRemoved struct {
		Worker ident.WorkerID
	}
	// Takeover is the first record of each owner. The attempts that the predecessor did not log have lower numbers than
	// those of the new owner.
	Takeover struct {
		Epoch ident.Epoch
		// Clean means that the predecessor drained and that its snapshot covers everything it sent.
		Clean bool
		// LongestLease is the longest lease that may last on a worker, or that the owner grants; 0 if it is not known.
		LongestLease time.Duration
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
func (WorkerSilent) record()       {}
func (WorkerRemoved) record()      {}
func (Takeover) record()           {}

// Snapshot is the durable state of a cell.
type Snapshot struct {
	Epoch ident.Epoch
	// Clean is set in the last snapshot of an owner that drained and had the inventories of all workers.
	Clean   bool
	Workers []WorkerAdded
	// LongestLease is as in Takeover.
	LongestLease time.Duration
	// Silent lists the workers whose silence is recorded.
	Silent []WorkerSilent
	Jobs   []JobSnapshot
}

// JobSnapshot is the durable state of a job.
type JobSnapshot struct {
	Job        ident.JobID
	Spec       JobSpec
	AcceptedAt time.Time
	Cancelled  bool
	FinishedAt time.Time
	// Tasks holds only the tasks that have been started.
	Tasks []TaskSnapshot
}

// TaskSnapshot is the durable state of a task.
type TaskSnapshot struct {
	Index       uint32
	State       State
	NextAttempt ident.Attempt
	// LastEnded is the highest attempt that has certainly ended.
	LastEnded ident.Attempt
	// LastRan is the highest attempt that has run.
	LastRan    ident.Attempt
	MaybeSent  bool
	Evictions  int
	Checkpoint Checkpoint
	Failures   []Failure
	// Copied is set if the task has had a copy, which may run on a worker other than Worker.
	Copied bool
	// Worker is where an attempt runs; empty if none does. It is valid only in the last snapshot of an owner that
	// drained, because starts are not logged.
	Worker ident.WorkerID
}

// Failure is a failed attempt of a task.
type Failure struct {
	Attempt ident.Attempt
	Worker  ident.WorkerID
	Message string
}
