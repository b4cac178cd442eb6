package jobs

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Fields holds the inputs and the outcome of a decision.
type Fields map[FieldName]any

// DecisionLog receives the decisions of owners. Record must not block, because it is called in the loop of the owner.
type DecisionLog interface {
	Record(e EventName, f Fields)
}

// discardDecisions is the DecisionLog of a service that was given none.
type discardDecisions struct{}

func (discardDecisions) Record(EventName, Fields) {}

// jobField returns the id by which the caller knows a job: its own number, if it assigned one.
func jobField(id ident.JobID) string {
	if id.CallerAssigned() {
		return fmt.Sprintf("%016x", id.Seq)
	}
	return id.String()
}

func taskField(t ident.TaskID) string {
	return fmt.Sprintf("%s.%d.%d", jobField(t.Job), t.Group(), t.Member())
}

func (o *owner) logDecision(e EventName, f Fields) {
	f[FieldCell], f[FieldEpoch] = o.cellID, o.epoch
	o.cfg.DecisionLog.Record(e, f)
}

// logCommand logs the commands that decide about a task or a worker.
func (o *owner) logCommand(command lifecycle.Command) {
	switch c := command.(type) {
	case lifecycle.StartTask:
		o.logDecision(EventTaskStarted, Fields{
			FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker, FieldClass: c.Class, FieldResumes: c.Checkpoint != "",
			FieldLeaseToken: c.Token, FieldTable: o.tableRevision(),
		})
	case lifecycle.StopTasks:
		for _, r := range c.Attempts {
			o.logDecision(EventTaskStopped, Fields{FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldWorker: c.Worker})
		}
	case lifecycle.CheckpointTask:
		if c.Stop {
			o.logDecision(EventTaskMoved, Fields{FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker})
		}
	case lifecycle.ThrottleTask:
		if c.Fraction == 0 || c.Fraction == 1 {
			o.logDecision(EventTaskSlowed, Fields{FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: c.Worker, FieldFraction: c.Fraction})
		}
	case lifecycle.PutWorker:
		o.logQuarantine(c)
	case lifecycle.DropWorker:
		delete(o.quarantined, c.Worker)
		o.logDecision(EventWorkerLost, Fields{FieldWorker: c.Worker, FieldReason: "its leases have lapsed without an answer"})
	}
}

// logQuarantine logs the start and the end of a quarantine.
func (o *owner) logQuarantine(c lifecycle.PutWorker) {
	id := c.Worker.ID
	if _, before := o.quarantined[id]; before == c.Worker.Quarantined {
		return
	}
	if !c.Worker.Quarantined {
		delete(o.quarantined, id)
		o.logDecision(EventTrusted, Fields{FieldWorker: id})
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
	o.logDecision(EventQuarantined, Fields{FieldWorker: id, FieldReason: reason})
}

// logRecord logs a record that has become durable.
func (o *owner) logRecord(record lifecycle.Record, now time.Time) {
	switch r := record.(type) {
	case lifecycle.JobAccepted:
		o.logDecision(EventJobAccepted, Fields{
			FieldJob: jobField(r.Job), FieldClass: r.Spec.Class, FieldTasks: r.Spec.TaskCount(), FieldDurableMs: now.Sub(r.At).Milliseconds(),
			FieldTable: o.tableRevision(),
		})
	case lifecycle.JobCancelled:
		o.logDecision(EventJobCancelled, Fields{FieldJob: jobField(r.Job), FieldDurableMs: now.Sub(r.At).Milliseconds()})
	case lifecycle.TaskDone:
		o.logDecision(EventTaskEnded, Fields{
			FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldEnd: "done", FieldDurableMs: now.Sub(r.At).Milliseconds(),
		})
	case lifecycle.TaskFailed:
		o.logDecision(EventTaskEnded, Fields{
			FieldTask: taskField(r.Task), FieldAttempt: r.Attempt, FieldEnd: "failed", FieldWorker: r.Worker, FieldLast: r.Final,
			FieldReason: r.Message, FieldDurableMs: now.Sub(r.At).Milliseconds(),
		})
	}
}

// logFinishedJobs logs jobs that have reached their final state and records their latency.
func (o *owner) logFinishedJobs(finished []lifecycle.FinishedJob) {
	for _, f := range finished {
		o.logDecision(EventJobFinished, Fields{
			FieldJob: jobField(f.Job), FieldClass: f.Class, FieldState: f.State.String(), FieldTookMs: f.Elapsed.Milliseconds(),
			FieldObjectiveMs: f.Objective.Milliseconds(), FieldLate: f.Objective > 0 && f.Elapsed > f.Objective,
		})
		o.cfg.RecordLatency(f.Class, f.Elapsed)
	}
}

func (o *owner) tableRevision() uint64 {
	return uint64(o.cell.TableRevision())
}
