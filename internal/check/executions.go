// Package check names the guarantee that a recorded run broke. It is used by tests and by the development program.
package check

import (
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Executions checks what workers recorded: no task ran in two places at once, no worker was over its capacity, no
// attempt number was used twice, and evicted work resumed from its checkpoint.
func Executions(r *worker.Recorder) []string {
	var faults []string
	tasks := make(map[ident.TaskID][]worker.Execution)
	for _, e := range r.Executions() {
		tasks[e.Task] = append(tasks[e.Task], e)
	}
	for id, list := range tasks {
		slices.SortStableFunc(list, func(a, b worker.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
		faults = append(faults, overlaps(id, list)...)
		faults = append(faults, resumptions(id, list)...)
	}
	for id, p := range r.Peaks() {
		if dim := p.Used.ExceededDimension(p.Capacity); dim != "" {
			faults = append(faults, fmt.Sprintf("P1: worker %s held %s of %s: over its %s", id, p.Used, p.Capacity, dim))
		}
	}
	slices.Sort(faults)
	return faults
}

func overlaps(id ident.TaskID, list []worker.Execution) []string {
	var faults []string
	for i, e := range list {
		for _, later := range list[i+1:] {
			if e.Attempt == later.Attempt {
				faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d ran twice, on %s and %s", id, e.Attempt,
					e.Worker, later.Worker))
			}
			if !e.Stopped || e.StoppedAt.After(later.StartedAt) {
				faults = append(faults, fmt.Sprintf("P2: task %s ran on %s (attempt %d) and from %s on %s (attempt %d) at once",
					id, e.Worker, e.Attempt, later.StartedAt.Format("15:04:05.000"), later.Worker, later.Attempt))
			}
		}
	}
	return faults
}

// unknown reports whether the owner that started a later attempt cannot have known how an earlier one ended: neither it
// nor a predecessor had acknowledged the end, and the worker was out of contact until the lease had lapsed, or crashed and forgot the end. The
// attempt then counts as lost, although its worker may report the end later.
func unknown(ended, later worker.Execution) bool {
	acked := !ended.AckedAt.IsZero() && !ended.AckedAt.After(later.StartedAt) && ended.AckEpoch <= later.Epoch
	forgotten := !ended.LostAt.IsZero() && !ended.LostAt.After(later.StartedAt)
	return !acked && (forgotten || !later.StartedAt.Before(ended.LeaseEnd))
}

// resumptions checks that the attempt after an eviction, and only that one, continues from its checkpoint. A further
// attempt may start from the same checkpoint only if the one before it left no result.
func resumptions(id ident.TaskID, list []worker.Execution) []string {
	var faults []string
	for i, e := range list {
		if !e.Stopped || i+1 == len(list) || unknown(e, list[i+1]) {
			continue
		}
		if e.End == lifecycle.EndDone {
			faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d started after attempt %d had completed the task",
				id, list[i+1].Attempt, e.Attempt))
		}
		if e.End == lifecycle.EndEvicted && list[i+1].ResumedFrom != e.LastCheckpoint {
			faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d was evicted at %q, attempt %d resumed from %q",
				id, e.Attempt, e.LastCheckpoint, list[i+1].Attempt, list[i+1].ResumedFrom))
		}
	}
	return faults
}

// Job checks what a caller was told about a job against the record: a task that was reported as done completed, and a
// task that was reported as not run has no execution. Executions checks that nothing ran after a known completion.
func Job(r *worker.Recorder, v lifecycle.JobView) []string {
	var faults []string
	ran := make(map[ident.TaskID]int)
	done := make(map[ident.TaskID]int)
	for _, e := range r.Executions() {
		ran[e.Task]++
		if e.Stopped && e.End == lifecycle.EndDone {
			done[e.Task]++
		}
	}
	for _, t := range v.Tasks {
		if t.State == lifecycle.Done && done[t.Task] == 0 {
			faults = append(faults, fmt.Sprintf("task %s is reported as done and never completed", t.Task))
		}
		if t.State.Final() && t.Verdict == verdict.NotRun && ran[t.Task] > 0 {
			faults = append(faults, fmt.Sprintf("P5: task %s is reported not-run and ran %d times", t.Task, ran[t.Task]))
		}
	}
	return faults
}

// UnfinishedTasks names the tasks of a job that are not done.
func UnfinishedTasks(v lifecycle.JobView) []string {
	var open []string
	for _, t := range v.Tasks {
		if t.State != lifecycle.Done {
			open = append(open, fmt.Sprintf("task %s is %s on %q after %d attempts: %s", t.Task, t.State, t.Worker, t.Attempts, t.Reason))
		}
	}
	return open
}
