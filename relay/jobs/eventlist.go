package jobs

import (
	"fmt"
	"slices"
	"strings"
)

// EventName is the name of a kind of event in the decision log.
type EventName string

// The events. Each concerns a call, a job, a task or a worker, or a change in what a host assumes about others.
const (
	EventCallRefused        EventName = "call_refused"
	EventJobAccepted        EventName = "job_accepted"
	EventJobRefused         EventName = "job_refused"
	EventJobCancelled       EventName = "job_cancelled"
	EventJobInInbox         EventName = "job_in_inbox"
	EventInboxTaken         EventName = "inbox_taken"
	EventJobFinished        EventName = "job_finished"
	EventTaskStarted        EventName = "task_started"
	EventStartRefused       EventName = "task_start_refused"
	EventTaskEnded          EventName = "task_ended"
	EventTaskMoved          EventName = "task_moved"
	EventTaskStopped        EventName = "task_stopped"
	EventTaskSlowed         EventName = "task_slowed"
	EventTaskWaits          EventName = "task_waits"
	EventCopyStarted        EventName = "copy_started"
	EventCopyWon            EventName = "copy_won"
	EventCopyStopped        EventName = "copy_stopped"
	EventWorkerClaimed      EventName = "worker_claimed"
	EventWorkerLost         EventName = "worker_lost"
	EventQuarantined        EventName = "worker_quarantined"
	EventTrusted            EventName = "worker_trusted"
	EventOwnerLate          EventName = "owner_late"
	EventOwnerOnTime        EventName = "owner_on_time"
	EventRecoveryWaits      EventName = "recovery_waits"
	EventRecoveryReleased   EventName = "recovery_released"
	EventTableMissing       EventName = "table_missing"
	EventTableReceived      EventName = "table_received"
	EventDependencyLost     EventName = "dependency_lost"
	EventDependencyRegained EventName = "dependency_regained"
	EventClockSet           EventName = "clock_set"
	EventWorkersUnreached   EventName = "workers_unreached"
	EventWorkersReached     EventName = "workers_reached"
	EventCellHandedOver     EventName = "cell_handed_over"
	EventEvacuationStarted  EventName = "evacuation_started"
	EventEvacuationEnded    EventName = "evacuation_ended"
	EventEvacuationIgnored  EventName = "evacuation_ignored"
	EventLinesDropped       EventName = "lines_dropped"
)

// FieldName is the name of a field of an event. A field has the same meaning in every event.
type FieldName string

// The fields. fieldMeanings describes their values.
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
	FieldStepMs      FieldName = "step_ms"
	FieldWaitedMs    FieldName = "waited_ms"
	FieldRoom        FieldName = "workers_with_room"
	FieldRuledOut    FieldName = "ruled_out"
	FieldJobRunning  FieldName = "job_running"
	FieldPoolUse     FieldName = "pool_use_percent"
	FieldReached     FieldName = "reached"
	FieldUnreached   FieldName = "unreached"
	FieldSuccessor   FieldName = "successor"
	FieldAsked       FieldName = "asked"
	FieldAnswering   FieldName = "answering"
	FieldDataCentre  FieldName = "data_centre"
	FieldRevision    FieldName = "revision"
	FieldAgeMs       FieldName = "age_ms"
	FieldRanMs       FieldName = "ran_ms"
	FieldLasting     FieldName = "lasting"
	FieldUnanswered  FieldName = "unanswered"
	FieldRunsEndMs   FieldName = "runs_end_ms"

	FieldRoomExpectedMs FieldName = "room_expected_ms"
)

// EventKind describes a kind of event.
type EventKind struct {
	Name EventName
	// Description is one line for the reference.
	Description string
	// Fields lists every field that an event of this kind may have.
	Fields []FieldName
}

// EventKinds returns the descriptions of all kinds of events.
func EventKinds() []EventKind {
	return slices.Concat(workEventKinds(), ownerEventKinds())
}

// workEventKinds describes the events about jobs, their tasks and their attempts.
func workEventKinds() []EventKind {
	return []EventKind{
		{EventCallRefused, "the host that took the call answered it without executing it", []FieldName{
			FieldJob, FieldMethod, FieldPath, FieldStatus, FieldReason, FieldTable,
		}},
		{EventJobAccepted, "the record of a job is durable", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldTasks, FieldDurableMs, FieldTable,
		}},
		{EventJobRefused, "the owner did not accept a job, or does not know whether it did", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldVerdict, FieldCode, FieldReason, FieldAuthority, FieldTable,
		}},
		{EventJobCancelled, "the record of a cancellation is durable", []FieldName{FieldCell, FieldEpoch, FieldJob, FieldDurableMs}},
		{EventJobInInbox, "a host has made a job durable in the inbox of its cell, because the owner did not take it in time", []FieldName{
			FieldCell, FieldJob, FieldClass, FieldReason, FieldDurableMs,
		}},
		{EventInboxTaken, "the owner has removed a job from the inbox; reason says why if the job is not new or cannot run, or what the owner does not know", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldWaitedMs, FieldReason,
		}},
		{EventJobFinished, "all tasks of a job have ended", []FieldName{
			FieldCell, FieldEpoch, FieldJob, FieldClass, FieldState, FieldTookMs, FieldObjectiveMs, FieldLate,
		}},
		{EventTaskStarted, "an attempt was placed on a worker", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldClass, FieldResumes, FieldLeaseToken, FieldTable,
		}},
		{EventStartRefused, "a worker did not start an attempt", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldReason,
		}},
		{EventTaskEnded, "the record of an attempt's end is durable; worker, last and reason are set only after a failure", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldEnd, FieldDurableMs, FieldWorker, FieldLast, FieldReason,
		}},
		{EventTaskMoved, "an attempt was told to write a checkpoint and stop", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker,
		}},
		{EventTaskStopped, "an attempt was told to stop", []FieldName{FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker}},
		{EventTaskSlowed, "an attempt was throttled to a halt, or told to continue at full speed", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldFraction,
		}},
		{EventTaskWaits, "a task has waited for more than 3 s; again for each other reason, and when its wait has doubled", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldClass, FieldWaitedMs, FieldReason, FieldRoom, FieldRuledOut,
			FieldJobRunning, FieldPoolUse, FieldRoomExpectedMs,
		}},
		{EventCopyStarted, "a second attempt of a running task was placed on a worker, because the first one is overdue; ran_ms is that of the first", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldReason, FieldRanMs,
		}},
		{EventCopyWon, "a copy completed its task before the first attempt", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldRanMs,
		}},
		{EventCopyStopped, "a copy ended without completing its task", []FieldName{
			FieldCell, FieldEpoch, FieldTask, FieldAttempt, FieldWorker, FieldReason, FieldRanMs,
		}},
	}
}

// ownerEventKinds describes the events about workers, owners and hosts.
func ownerEventKinds() []EventKind {
	return []EventKind{
		{EventWorkerClaimed, "a worker accepts commands from this owner only", []FieldName{
			FieldCell, FieldEpoch, FieldWorker, FieldLife, FieldRunning, FieldEnded,
		}},
		{EventWorkerLost, "the owner has given up a worker", []FieldName{FieldCell, FieldEpoch, FieldWorker, FieldReason}},
		{EventQuarantined, "a worker gets no tasks, or only single tasks as probes", []FieldName{FieldCell, FieldEpoch, FieldWorker, FieldReason}},
		{EventTrusted, "a quarantine has ended", []FieldName{FieldCell, FieldEpoch, FieldWorker}},
		{EventOwnerLate, "the owner does not keep up: an event was queued for longer than 250 ms", []FieldName{
			FieldCell, FieldEpoch, FieldLoopMs, FieldContactMs, FieldSilent, FieldWaiting, FieldUnsent, FieldEvents,
		}},
		{EventOwnerOnTime, "the owner keeps up again: no event has been queued for long during the last second", []FieldName{
			FieldCell, FieldEpoch, FieldLoopMs, FieldLateMs, FieldContactMs, FieldSilent, FieldWaiting, FieldUnsent, FieldEvents,
		}},
		{EventRecoveryWaits, "after a change of owner, tasks are held because they may still run, or may have been completed, on a worker", []FieldName{
			FieldCell, FieldEpoch, FieldReason, FieldWaitedMs, FieldTasks, FieldLasting, FieldUnanswered, FieldRunsEndMs,
		}},
		{EventRecoveryReleased, "the wait that recovery_waits names is over", []FieldName{
			FieldCell, FieldEpoch, FieldReason, FieldWaitedMs, FieldTasks, FieldLasting, FieldUnanswered,
		}},
		{EventTableMissing, "the owner has taken its cell over without a table: it starts and accepts nothing until it has one", []FieldName{
			FieldCell, FieldEpoch,
		}},
		{EventTableReceived, "the owner has its first table, after table_missing", []FieldName{FieldCell, FieldEpoch, FieldTable, FieldWaitedMs}},
		{EventDependencyLost, "several consecutive calls to a dependency failed", []FieldName{
			FieldDependency, FieldFailures, FieldReason,
		}},
		{EventDependencyRegained, "a call to a lost dependency succeeded", []FieldName{FieldDependency, FieldFailures, FieldLostMs}},
		{EventClockSet, "the time of day of the host was set, or jumped because the host was suspended", []FieldName{FieldStepMs}},
		{EventWorkersUnreached, "the owner reaches less than half of the workers", []FieldName{FieldCell, FieldEpoch, FieldReached, FieldUnreached}},
		{EventWorkersReached, "the owner reaches half of the workers again, after workers_unreached", []FieldName{
			FieldCell, FieldEpoch, FieldReached, FieldUnreached,
		}},
		{EventCellHandedOver, "the owner gives the cell to a host that reaches more of the workers", []FieldName{
			FieldCell, FieldEpoch, FieldSuccessor, FieldAsked, FieldAnswering, FieldReached, FieldUnreached,
		}},
		{EventEvacuationStarted, "the owner starts nothing more in a data centre, because an operator has requested its evacuation", []FieldName{
			FieldCell, FieldEpoch, FieldDataCentre, FieldRevision, FieldAgeMs,
		}},
		{EventEvacuationEnded, "the request for an evacuation was withdrawn: the workers of the data centre take tasks again within 2 s", []FieldName{
			FieldCell, FieldEpoch, FieldDataCentre, FieldRevision, FieldAgeMs,
		}},
		{EventEvacuationIgnored, "a request for an evacuation names no data centre of the deployment, or cannot be read", []FieldName{
			FieldDataCentre, FieldRevision, FieldReason,
		}},
		{EventLinesDropped, "events above the rate limit were not logged; one field for each kind of event holds their number", nil},
	}
}

var fieldMeanings = map[FieldName]string{
	FieldCell:        "number of the cell",
	FieldEpoch:       "epoch of the owner; a later owner has a higher epoch",
	FieldJob:         "id of the job: the number that the caller assigned, as 16 hexadecimal digits, or the id that the cell assigned",
	FieldTask:        "job, group and index of the task",
	FieldAttempt:     "number of the attempt, from 1",
	FieldWorker:      "worker that runs, ran or refused the attempt",
	FieldClass:       "class of the job",
	FieldTasks:       "number of tasks",
	FieldTable:       "revision of the table in force on the host",
	FieldDurableMs:   "milliseconds from the decision until its record was durable",
	FieldResumes:     "whether the attempt resumes from a checkpoint",
	FieldLeaseToken:  "token of the lease under which the attempt is sent",
	FieldFraction:    "new speed as a fraction of full speed: 0 or 1",
	FieldReason:      "reason for the decision, as text",
	FieldEnd:         "done or failed",
	FieldLast:        "whether the task has no further attempt",
	FieldState:       "final state of the job",
	FieldTookMs:      "milliseconds from the acceptance of the job to its end",
	FieldObjectiveMs: "latency objective in milliseconds; 0 without one",
	FieldLate:        "whether the latency objective was missed",
	FieldVerdict:     "whether the job may have been accepted",
	FieldCode:        "error code",
	FieldAuthority:   "authority of the owner under the lease of the cell",
	FieldLife:        "incarnation of the worker",
	FieldRunning:     "number of attempts that the worker still runs",
	FieldEnded:       "number of ended attempts that the worker still reports",
	FieldLoopMs:      "longest time that an event was queued since the owner became late, in milliseconds",
	FieldContactMs:   "milliseconds since the last answer of the claimed worker that has been silent for longest",
	FieldSilent:      "number of claimed workers that get no new tasks because they do not answer",
	FieldWaiting:     "number of tasks that wait for a worker",
	FieldUnsent:      "number of calls to workers that wait behind others to the same worker",
	FieldEvents:      "number of events queued for the owner",
	FieldLateMs:      "milliseconds during which the owner was late",
	FieldMethod:      "method of the call",
	FieldPath:        "path of the call",
	FieldStatus:      "HTTP status of the answer",
	FieldDependency:  "name of the dependency",
	FieldFailures:    "number of consecutive calls that failed",
	FieldLostMs:      "milliseconds during which the dependency was lost",
	FieldStepMs:      "milliseconds by which the time of day changed beyond the time that has passed",
	FieldWaitedMs:    "milliseconds for which the task has waited, or the owner for its first table or since it took the cell over",
	FieldRoom:        "number of workers with enough free resources, whether they may take the task or not",
	FieldRuledOut:    "workers with room that do not take the task, by reason",
	FieldJobRunning:  "number of tasks of the job that are booked on workers",
	FieldReached:     "number of workers that answer the owner",
	FieldUnreached:   "number of workers that exist and do not answer the owner",
	FieldSuccessor:   "host to which the cell goes, with its incarnation",
	FieldAsked:       "number of workers that the successor was asked to call",
	FieldAnswering:   "number of these workers that answered the successor",
	FieldDataCentre:  "data centre that the request names",
	FieldRevision:    "store revision of the request",
	FieldAgeMs:       "milliseconds since this host first read the request",
	FieldRanMs:       "milliseconds for which the attempt is known to have run",
	FieldLasting:     "number of lasting tasks among tasks",
	FieldUnanswered:  "number of workers of the predecessor that have neither answered nor lapsed",
	FieldRunsEndMs:   "milliseconds until the leases on these workers have certainly lapsed; absent if that is not known",
	FieldPoolUse:     "booked share of the pool, workers that take no tasks included, in percent",

	FieldRoomExpectedMs: "time until a worker is expected to have room for the task, by learnt run times; absent without a forecast",
}

// EventReference returns the reference of all events and fields as Markdown.
func EventReference() string {
	var b strings.Builder
	b.WriteString("# Events of the decision log\n\n" +
		"Generated by `.ci/generate` from `relay/jobs/eventlist.go`. `docs/OPERATIONS.md` says how to read them.\n\n" +
		"| Event | Meaning | Fields |\n|---|---|---|\n")
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
