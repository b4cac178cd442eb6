package jobs

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// EventName names a kind of line in the decision log.
type EventName string

// The events. Each touches a call or a job, or changes what an owner believes of a worker. docs/OPERATIONS.md lists their fields.
const (
	EventCallRefused   EventName = "call_refused"
	EventJobAccepted   EventName = "job_accepted"
	EventJobRefused    EventName = "job_refused"
	EventJobCancelled  EventName = "job_cancelled"
	EventJobFinished   EventName = "job_finished"
	EventTaskStarted   EventName = "task_started"
	EventStartRefused  EventName = "task_start_refused"
	EventTaskEnded     EventName = "task_ended"
	EventTaskMoved     EventName = "task_moved"
	EventTaskStopped   EventName = "task_stopped"
	EventTaskSlowed    EventName = "task_slowed"
	EventWorkerClaimed EventName = "worker_claimed"
	EventWorkerLost    EventName = "worker_lost"
)

// Fields are the inputs and the outcome of a decision.
type Fields map[string]any

// Journal takes the decisions of owners. Note must not block: it runs in the loop of the owner.
type Journal interface {
	Note(e EventName, f Fields)
}

// noJournal is the Journal of a service that was given none.
type noJournal struct{}

func (noJournal) Note(EventName, Fields) {}

// jobField returns the id under which the caller knows a job: its own number, if it chose one.
func jobField(id ident.JobID) string {
	if id.Chosen() {
		return fmt.Sprintf("%016x", id.Seq)
	}
	return id.String()
}

func taskField(t ident.TaskID) string {
	return fmt.Sprintf("%s.%d.%d", jobField(t.Job), t.Group(), t.Member())
}

func (o *owner) note(e EventName, f Fields) {
	f["cell"], f["epoch"] = o.cellID, o.epoch
	o.cfg.Journal.Note(e, f)
}

// noteCommand notes the commands that decide something about a task or a worker.
func (o *owner) noteCommand(command lifecycle.Command) {
	switch c := command.(type) {
	case lifecycle.StartTask:
		o.note(EventTaskStarted, Fields{
			"task": taskField(c.Task), "attempt": c.Attempt, "worker": c.Worker, "class": c.Class, "resumes": c.Checkpoint != "",
			"lease_token": c.Token, "table": o.tableRevision(),
		})
	case lifecycle.StopTasks:
		for _, r := range c.Runs {
			o.note(EventTaskStopped, Fields{"task": taskField(r.Task), "attempt": r.Attempt, "worker": c.Worker})
		}
	case lifecycle.CheckpointTask:
		if c.Stop {
			o.note(EventTaskMoved, Fields{"task": taskField(c.Task), "attempt": c.Attempt, "worker": c.Worker})
		}
	case lifecycle.ThrottleTask:
		if c.Fraction == 0 || c.Fraction == 1 {
			o.note(EventTaskSlowed, Fields{"task": taskField(c.Task), "attempt": c.Attempt, "worker": c.Worker, "fraction": c.Fraction})
		}
	case lifecycle.DropWorker:
		o.note(EventWorkerLost, Fields{"worker": c.Worker, "reason": "its leases have lapsed without an answer"})
	}
}

// noteRecord notes the records that are durable now.
func (o *owner) noteRecord(record lifecycle.Record, now time.Time) {
	switch r := record.(type) {
	case lifecycle.JobAccepted:
		o.note(EventJobAccepted, Fields{
			"job": jobField(r.Job), "class": r.Spec.Class, "tasks": r.Spec.Tasks(), "durable_ms": now.Sub(r.At).Milliseconds(),
			"table": o.tableRevision(),
		})
	case lifecycle.JobCancelled:
		o.note(EventJobCancelled, Fields{"job": jobField(r.Job), "durable_ms": now.Sub(r.At).Milliseconds()})
	case lifecycle.TaskDone:
		o.note(EventTaskEnded, Fields{
			"task": taskField(r.Task), "attempt": r.Attempt, "end": "done", "durable_ms": now.Sub(r.At).Milliseconds(),
		})
	case lifecycle.TaskFailed:
		o.note(EventTaskEnded, Fields{
			"task": taskField(r.Task), "attempt": r.Attempt, "end": "failed", "worker": r.Worker, "last": r.Final,
			"reason": r.Message, "durable_ms": now.Sub(r.At).Milliseconds(),
		})
	}
}

// noteFinished notes the jobs that have come to an end since the last call.
func (o *owner) noteFinished(changed []ident.JobID) {
	for _, id := range changed {
		v, err := o.cell.Get(id, 0, 0)
		if err != nil || !v.State.Final() {
			continue
		}
		_, longest := v.Spec.Chains()
		took := v.FinishedAt.Sub(v.AcceptedAt)
		objective := v.Spec.Objective(longest)
		o.note(EventJobFinished, Fields{
			"job": jobField(id), "class": v.Spec.Class, "state": v.State.String(), "took_ms": took.Milliseconds(),
			"objective_ms": objective.Milliseconds(), "late": objective > 0 && took > objective,
		})
		o.cfg.Latency(v.Spec.Class, took)
	}
}

func (o *owner) tableRevision() uint64 {
	return uint64(o.cell.TableRevision())
}
