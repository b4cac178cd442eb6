package jobs

import (
	"fmt"
	"strings"
)

// EventName names a kind of line in the decision log.
type EventName string

// The events. Each touches a call or a job, or changes what a host believes.
const (
	EventCallRefused        EventName = "call_refused"
	EventJobAccepted        EventName = "job_accepted"
	EventJobRefused         EventName = "job_refused"
	EventJobCancelled       EventName = "job_cancelled"
	EventJobFinished        EventName = "job_finished"
	EventTaskStarted        EventName = "task_started"
	EventStartRefused       EventName = "task_start_refused"
	EventTaskEnded          EventName = "task_ended"
	EventTaskMoved          EventName = "task_moved"
	EventTaskStopped        EventName = "task_stopped"
	EventTaskSlowed         EventName = "task_slowed"
	EventWorkerClaimed      EventName = "worker_claimed"
	EventWorkerLost         EventName = "worker_lost"
	EventQuarantined        EventName = "worker_quarantined"
	EventTrusted            EventName = "worker_trusted"
	EventOwnerLate          EventName = "owner_late"
	EventOwnerOnTime        EventName = "owner_on_time"
	EventDependencyLost     EventName = "dependency_lost"
	EventDependencyRegained EventName = "dependency_regained"
	EventLinesDropped       EventName = "lines_dropped"
)

// FieldName names a value of a line. A field means the same in every event.
type FieldName string

// The fields. fieldMeanings says what each holds.
const (
	FieldCell        FieldName = "cell"
	FieldEpoch       FieldName = "epoch"
	FieldJob         FieldName = "job"
	FieldTask        FieldName = "task"
	FieldAttempt     FieldName = "attempt"
	FieldWorker      FieldName = "worker"
	FieldClass       FieldName = "class"
	FieldTasks       FieldName = "tasks"
	FieldTable       FieldName = "table"
	FieldDurableMs   FieldName = "durable_ms"
	FieldResumes     FieldName = "resumes"
	FieldLeaseToken  FieldName = "lease_token"
	FieldFraction    FieldName = "fraction"
	FieldReason      FieldName = "reason"
	FieldEnd         FieldName = "end"
	FieldLast        FieldName = "last"
	FieldState       FieldName = "state"
	FieldTookMs      FieldName = "took_ms"
	FieldObjectiveMs FieldName = "objective_ms"
	FieldLate        FieldName = "late"
	FieldVerdict     FieldName = "verdict"
	FieldCode        FieldName = "code"
	FieldAuthority   FieldName = "authority"
	FieldLife        FieldName = "life"
	FieldRunning     FieldName = "running"
	FieldEnded       FieldName = "ended"
	FieldLoopMs      FieldName = "loop_ms"
	FieldContactMs   FieldName = "oldest_contact_ms"
	FieldSilent      FieldName = "silent"
	FieldWaiting     FieldName = "waiting"
	FieldUnsent      FieldName = "unsent"
	FieldEvents      FieldName = "events"
	FieldLateMs      FieldName = "late_ms"
	FieldMethod      FieldName = "method"
	FieldPath        FieldName = "path"
	FieldStatus      FieldName = "status"
	FieldDependency  FieldName = "dependency"
	FieldFailures    FieldName = "failures"
	FieldLostMs      FieldName = "lost_ms"
)

// EventKind describes a kind of event.
type EventKind struct {
	Name EventName
	// Description is what the line tells.
	Description string
	// Fields are all that a line of the kind may have.
	Fields []FieldName
}

// EventKinds returns all kinds of events.
func EventKinds() []EventKind {
	return []EventKind{
		{EventCallRefused, "the entry host answered a call without carrying it out", []FieldName{
			FieldJob, FieldMethod, FieldPath, FieldStatus, FieldReason, FieldTable,
		}},
		{EventJobAccepted, "the record of a job is durable", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldTasks, FieldDurableMs, FieldTable,
		}},
		{EventJobRefused, "the owner did not take a job, or does not know whether it did", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldVerdict, FieldCode, FieldReason, FieldAuthority, FieldTable,
		}},
		{EventJobCancelled, "the record of a cancellation is durable", []FieldName{FieldCell, FieldEpoch, FieldJob, FieldDurableMs}},
		{EventJobFinished, "all tasks of a job have come to an end", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldState, FieldTookMs, FieldObjectiveMs, FieldLate,
		}},
		{EventTaskStarted, "an attempt was placed on a worker", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldClass, FieldResumes, FieldLeaseToken, FieldTable,
		}},
		{EventStartRefused, "a worker did not start an attempt", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldReason,
		}},
		{EventTaskEnded, "the record of an end is durable; worker, last and reason only with a failure", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldEnd, FieldDurableMs, FieldWorker, FieldLast, FieldReason,
		}},
		{EventTaskMoved, "an attempt was told to save its state and stop", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker,
		}},
		{EventTaskStopped, "an attempt was told to stop", []FieldName{FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker}},
		{EventTaskSlowed, "an attempt was told to stand still, or to go on at full speed", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldFraction,
		}},
		{EventWorkerClaimed, "a worker takes orders from this owner alone", []FieldName{
			FieldCell, FieldEpoch, FieldWorker, FieldLife, FieldRunning, FieldEnded,
		}},
		{EventWorkerLost, "the owner counts on a worker no longer", []FieldName{FieldCell, FieldEpoch, FieldWorker, FieldReason}},
		{EventQuarantined, "a worker gets no tasks, or probes only", []FieldName{FieldCell, FieldEpoch, FieldWorker, FieldReason}},
		{EventTrusted, "a quarantine has ended", []FieldName{FieldCell, FieldEpoch, FieldWorker}},
		{EventOwnerLate, "the owner does not keep up: an event waited for its turn for longer than 250 ms", []FieldName{
			FieldCell, FieldEpoch, FieldLoopMs, FieldContactMs, FieldSilent, FieldWaiting, FieldUnsent, FieldEvents,
		}},
		{EventOwnerOnTime, "no event has waited for long for a second", []FieldName{
			FieldCell, FieldEpoch, FieldLoopMs, FieldLateMs, FieldContactMs, FieldSilent, FieldWaiting, FieldUnsent, FieldEvents,
		}},
		{EventDependencyLost, "several calls in a row to a dependency failed", []FieldName{
			FieldDependency, FieldFailures, FieldReason,
		}},
		{EventDependencyRegained, "a call to a lost dependency succeeded", []FieldName{FieldDependency, FieldFailures, FieldLostMs}},
		{EventLinesDropped, "lines above the bound were left out; one field a kind of event, with their number", nil},
	}
}

var fieldMeanings = map[FieldName]string{
	FieldCell:        "number of the cell",
	FieldEpoch:       "epoch of the owner; the higher of two is the later",
	FieldJob:         "id of the job: the number of 16 hexadecimal digits that the caller chose, or the id that the cell gave",
	FieldTask:        "job, group and index of the task",
	FieldAttempt:     "number of the attempt, from 1",
	FieldWorker:      "worker that ran, runs or refuses the attempt",
	FieldClass:       "class of the job",
	FieldTasks:       "number of tasks",
	FieldTable:       "revision of the table in force on the host",
	FieldDurableMs:   "milliseconds from the decision until its record was durable",
	FieldResumes:     "whether the attempt goes on from a checkpoint",
	FieldLeaseToken:  "token of the lease under which the attempt is sent",
	FieldFraction:    "share of full speed from now on: 0 or 1",
	FieldReason:      "what decided it, in words",
	FieldEnd:         "done or failed",
	FieldLast:        "whether no attempt is left",
	FieldState:       "final state of the job",
	FieldTookMs:      "milliseconds from acceptance to the end",
	FieldObjectiveMs: "milliseconds that the objective allows; 0 without one",
	FieldLate:        "whether the objective was missed",
	FieldVerdict:     "whether the job may have been taken",
	FieldCode:        "kind of the error",
	FieldAuthority:   "what the lease of the cell allowed the owner",
	FieldLife:        "incarnation of the worker",
	FieldRunning:     "attempts that the worker still runs",
	FieldEnded:       "ends that the worker still keeps",
	FieldLoopMs:      "longest wait of an event for its turn since the owner became late, in milliseconds",
	FieldContactMs:   "milliseconds since the last answer of the claimed worker that has not answered for the longest time",
	FieldSilent:      "claimed workers that get no new tasks because they do not answer",
	FieldWaiting:     "tasks that wait for a worker",
	FieldUnsent:      "calls to workers that wait for others to the same worker",
	FieldEvents:      "events that wait for the owner",
	FieldLateMs:      "milliseconds for which the owner was late",
	FieldMethod:      "method of the call",
	FieldPath:        "path of the call",
	FieldStatus:      "HTTP status of the answer",
	FieldDependency:  "what the host depends on",
	FieldFailures:    "calls in a row that failed",
	FieldLostMs:      "milliseconds without the dependency",
}

// EventReference returns the description of all events and fields as Markdown.
func EventReference() string {
	var b strings.Builder
	b.WriteString("# Events of the decision log\n\n" +
		"Generated by `.ci/generate` from `relay/jobs/eventlist.go`. `docs/OPERATIONS.md` says how to read them.\n\n" +
		"| Event | What it tells | Fields |\n|---|---|---|\n")
	used := make(map[FieldName]bool)
	var order []FieldName
	for _, k := range EventKinds() {
		var fields []string
		for _, f := range k.Fields {
			fields = append(fields, "`"+string(f)+"`")
			if !used[f] {
				used[f] = true
				order = append(order, f)
			}
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", k.Name, k.Description, strings.Join(fields, ", "))
	}
	b.WriteString("\n| Field | Value |\n|---|---|\n")
	for _, f := range order {
		fmt.Fprintf(&b, "| `%s` | %s |\n", f, fieldMeanings[f])
	}
	return strings.TrimRight(b.String(), "\n")
}
