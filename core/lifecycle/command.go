package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Command is an action that the owner of the cell must perform. Commands are performed in the order given.
type Command interface {
	command()
}

// Commands to the planner.
type (
	// Enqueue submits tasks to the planner.
	Enqueue struct{ Tasks []placement.Pending }
	// Dequeue removes queued tasks from the planner.
	Dequeue struct{ Tasks []ident.TaskID }
	// Release frees the resources that a task holds in the planner.
	Release struct{ Task ident.TaskID }
	// Restore tells the planner of a task that is already running.
	Restore struct{ Running placement.Running }
	// PutWorker adds or updates a worker in the planner.
	PutWorker struct {
		Worker placement.Worker
		// Silent is set for a worker that does not answer. A worker that fails what it starts is quarantined as well.
		Silent bool
	}
	// DropWorker removes a worker from the planner.
	DropWorker struct{ Worker ident.WorkerID }
	// SetUnreached tells the planner of the capacity of a pool that it has no workers for.
	SetUnreached struct{ placement.Unreached }
	// Observe passes measurements of running tasks to the planner.
	Observe struct{ Observations []placement.Observation }
	// NoteCheckpoint tells the planner of a new checkpoint.
	NoteCheckpoint struct {
		Task ident.TaskID
		At   time.Time
	}
)

// Commands to workers.
type (
	// StartTask starts an attempt. Its lease runs from the time at which the worker issued Token.
	StartTask struct {
		AttemptID
		Worker     ident.WorkerID
		Token      string
		Class      ident.ClassName
		Booked     resource.Vector
		RunTime    time.Duration
		Command    string
		Checkpoint string
	}
	// StopTasks stops attempts. The worker also refuses later starts of attempts that it has not seen.
	StopTasks struct {
		Worker   ident.WorkerID
		Attempts []AttemptID
	}
	// CheckpointTask takes a checkpoint and, if Stop is set, ends the attempt in the same step.
	CheckpointTask struct {
		AttemptID
		Worker ident.WorkerID
		Stop   bool
	}
	// ThrottleTask limits the processor time of an attempt to a fraction.
	ThrottleTask struct {
		AttemptID
		Worker   ident.WorkerID
		Fraction float64
	}
	// ClaimWorker asks the owner to claim a worker.
	ClaimWorker struct{ Member Member }
	// ForgetWorker ends the calls to a worker that has left the cell.
	ForgetWorker struct{ Worker ident.WorkerID }
)

func (Enqueue) command()        {}
func (Dequeue) command()        {}
func (Release) command()        {}
func (Restore) command()        {}
func (PutWorker) command()      {}
func (DropWorker) command()     {}
func (SetUnreached) command()   {}
func (Observe) command()        {}
func (NoteCheckpoint) command() {}
func (StartTask) command()      {}
func (StopTasks) command()      {}
func (CheckpointTask) command() {}
func (ThrottleTask) command()   {}
func (ClaimWorker) command()    {}
func (ForgetWorker) command()   {}

// Effects holds the commands and records that follow from one event.
type Effects struct {
	Commands []Command
	Records  []Record
}

func (e *Effects) do(c Command) {
	e.Commands = append(e.Commands, c)
}

func (e *Effects) log(r Record) {
	e.Records = append(e.Records, r)
}
