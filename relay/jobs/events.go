package jobs

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Fields are the inputs and the outcome of a decision.
type Fields map[FieldName]any

// DecisionLog takes the decisions of owners. Note must not block: it runs in the loop of the owner.
type DecisionLog interface {
	Record(e EventName, f Fields)
}

// noJournal is the Journal of a service that was given none.
type noJournal struct{}

func (noJournal) Record(EventName, Fields) {}

// jobField returns the id under which the caller knows a job: its own number, if it chose one.
func jobField(id ident.JobID) string {
	if id.CallerAssigned() {
		return fmt.Sprintf("%016x", id.Seq)
	}
	return id.String()
}

func taskField(t ident.TaskID) string {
	return fmt.Sprintf("%s.%d.%d", jobField(t.Job), t.Group(), t.Member())
}

func (o *owner) note(e EventName, f Fields) {
	f[FieldCell], f[FieldEpoch] = o.cellID, o.epoch
	o.cfg.DecisionLog.Record(e, f)
}

// noteCommand notes the commands that decide something about a task or a worker.
func (o *owner) noteCommand(command lifecycle.Command) {
	switch c := command.(type) {
	case lifecycle.StartTask:
		o.note(EventTaskStarted, Fields{
			FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker, FieldClass: c.Class, FieldResumes: c.Checkpoint != "",
			FieldLeaseToken: c.Token, FieldTable: o.tableRevision(),
		})
	case lifecycle.StopTasks:
		for _, r := range c.Attempts {
			o.note(EventTaskStopped, Fields{FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldWorker: c.Worker})
		}
	case lifecycle.CheckpointTask:
		if c.Stop {
			o.note(EventTaskMoved, Fields{FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker})
		}
	case lifecycle.ThrottleTask:
		if c.Fraction == 0 || c.Fraction == 1 {
			o.note(EventTaskSlowed, Fields{FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker, FieldFraction: c.Fraction})
		}
	case lifecycle.PutWorker:
		o.noteQuarantine(c)
	case lifecycle.DropWorker:
		delete(o.quarantined, c.Worker)
		o.note(EventWorkerLost, Fields{FieldWorker: c.Worker, FieldReason: "its leases have lapsed without an answer"})
	}
}

// noteQuarantine notes the beginning and the end of a quarantine.
func (o *owner) noteQuarantine(c lifecycle.PutWorker) {
	id := c.Worker.ID
	if _, before := o.quarantined[id]; before == c.Worker.Quarantined {
		return
	}
	if !c.Worker.Quarantined {
		delete(o.quarantined, id)
		o.note(EventTrusted, Fields{FieldWorker: id})
		return
	}
	if o.quarantined == nil {
		o.quarantined = make(map[ident.WorkerID]struct{})
	}
	o.quarantined[id] = struct{}{}
	reason := "it fails what it starts"
	if c.Silent {
		reason = "it does not answer"
	}
	o.note(EventQuarantined, Fields{FieldWorker: id, FieldReason: reason})
}

// noteRecord notes the records that are durable now.
func (o *owner) noteRecord(record lifecycle.Record, now time.Time) {
	switch r := record.(type) {
	case lifecycle.JobAccepted:
		o.note(EventJobAccepted, Fields{
			FieldJob: jobField(r.Job), FieldClass: r.Spec.Class, FieldTasks: r.Spec.TaskCount(), FieldDurableMs: now.Sub(r.At).Milliseconds(),
			FieldTable: o.tableRevision(),
		})
	case lifecycle.JobCancelled:
		o.note(EventJobCancelled, Fields{FieldJob: jobField(r.Job), FieldDurableMs: now.Sub(r.At).Milliseconds()})
	case lifecycle.TaskDone:
		o.note(EventTaskEnded, Fields{
			FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldEnd: "done", FieldDurableMs: now.Sub(r.At).Milliseconds(),
		})
	case lifecycle.TaskFailed:
		o.note(EventTaskEnded, Fields{
			FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldEnd: "failed", FieldWorker: r.Worker, FieldLast: r.Final,
			FieldReason: r.Message, FieldDurableMs: now.Sub(r.At).Milliseconds(),
		})
	}
}

// noteFinished notes the jobs that have come to an end.
func (o *owner) noteFinished(finished []lifecycle.FinishedJob) {
	for _, f := range finished {
		o.note(EventJobFinished, Fields{
			FieldJob: jobField(f.Job), FieldClass: f.Class, FieldState: f.State.String(), FieldTookMs: f.Elapsed.Milliseconds(),
			FieldObjectiveMs: f.Objective.Milliseconds(), FieldLate: f.Objective > 0 && f.Elapsed > f.Objective,
		})
		o.cfg.RecordLatency(f.Class, f.Elapsed)
	}
}

func (o *owner) tableRevision() uint64 {
	return uint64(o.cell.TableRevision())
}
