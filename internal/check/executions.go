// Package check checks the executions that workers recorded against the guarantees.
package check

import (
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Executions returns a message for each violation that the workers recorded: a task that ran in two places at once, a
// worker over its capacity, an attempt number that was used twice, a task that ran again after its completion, and
// evicted work that did not resume from its checkpoint.
func Executions(r *worker.Recorder) []string {
	return ExecutionsWithCopies(r, func(ident.TaskID) bool { return false })
}

// ExecutionsWithCopies is Executions for tasks of which some may run twice at once.
func ExecutionsWithCopies(r *worker.Recorder, mayBeCopied func(ident.TaskID) bool) []string {
	var faults []string
	tasks := make(map[ident.TaskID][]worker.Execution)
	for _, e := range r.Executions() {
		tasks[e.Task] = append(tasks[e.Task], e)
	}
	for id, executions := range tasks {
		slices.SortStableFunc(executions, func(a, b worker.Execution) int { return a.StartedAt.Compare(b.StartedAt) })
		if mayBeCopied(id) {
			faults = append(faults, checkCopies(id, executions)...)
			continue
		}
		faults = append(faults, checkOverlaps(id, executions)...)
		faults = append(faults, checkResumptions(id, executions)...)
	}
	for id, p := range r.Peaks() {
		if dim := p.Used.ExceededDimension(p.Capacity); dim != "" {
			faults = append(faults, fmt.Sprintf("P1: worker %s held %s of %s: over its %s", id, p.Used, p.Capacity, dim))
		}
	}
	slices.Sort(faults)
	return faults
}

func checkOverlaps(id ident.TaskID, executions []worker.Execution) []string {
	var faults []string
	for i, e := range executions {
		for _, later := range executions[i+1:] {
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

// checkCopies checks that no attempt number is used twice, that at most two attempts run at once, and that none starts
// after a success was acknowledged.
func checkCopies(id ident.TaskID, executions []worker.Execution) []string {
	var faults []string
	for i, e := range executions {
		running := 0
		for j, other := range executions {
			if j < i && e.Attempt == other.Attempt {
				faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d ran twice, on %s and %s", id, e.Attempt, other.Worker, e.Worker))
			}
			if j <= i && (!other.Stopped || other.StoppedAt.After(e.StartedAt)) {
				running++
			}
			if other.End == lifecycle.EndDone && !other.AckedAt.IsZero() && other.AckedAt.Before(e.StartedAt) {
				faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d started after the success of attempt %d was acknowledged",
					id, e.Attempt, other.Attempt))
			}
		}
		if running > 2 {
			faults = append(faults, fmt.Sprintf("P2: task %s ran %d times at once from %s on", id, running, e.StartedAt.Format("15:04:05.000")))
		}
	}
	return faults
}

// isEndUnknown reports whether the owner that started the later attempt cannot have known how the earlier one ended:
// neither the owner nor a predecessor had acknowledged the end, and the worker either was out of contact until the
// lease lapsed, or crashed and forgot the end. The earlier attempt then counts as lost, although its worker may report
// the end later.
func isEndUnknown(ended, later worker.Execution) bool {
	acknowledged := !ended.AckedAt.IsZero() && !ended.AckedAt.After(later.StartedAt) && ended.AckEpoch <= later.Epoch
	forgotten := !ended.LostAt.IsZero() && !ended.LostAt.After(later.StartedAt)
	return !acknowledged && (forgotten || !later.StartedAt.Before(ended.LeaseEnd))
}

// checkResumptions checks that the attempt after an eviction starts from the checkpoint of that eviction, and that no
// attempt follows a completion. Attempts whose end was unknown to the next owner are skipped, so several attempts may
// start from one checkpoint if those before left no result.
func checkResumptions(id ident.TaskID, executions []worker.Execution) []string {
	var faults []string
	for i, e := range executions {
		if !e.Stopped || i+1 == len(executions) || isEndUnknown(e, executions[i+1]) {
			continue
		}
		if e.End == lifecycle.EndDone {
			faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d started after attempt %d had completed the task",
				id, executions[i+1].Attempt, e.Attempt))
		}
		if e.End == lifecycle.EndEvicted && executions[i+1].ResumedFrom != e.LastCheckpoint {
			faults = append(faults, fmt.Sprintf("P3: task %s: attempt %d was evicted at %q, attempt %d resumed from %q",
				id, e.Attempt, e.LastCheckpoint, executions[i+1].Attempt, executions[i+1].ResumedFrom))
		}
	}
	return faults
}

// Job returns a message for each contradiction between what a caller was told about a job and the recorded executions:
// a task reported as done must have completed, and a task reported as not run must have no execution. Executions checks
// that nothing ran after a known completion.
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

// UnfinishedTasks describes the tasks of a job that are not done, one per message.
func UnfinishedTasks(v lifecycle.JobView) []string {
	var unfinished []string
	for _, t := range v.Tasks {
		if t.State != lifecycle.Done {
			unfinished = append(unfinished, fmt.Sprintf("task %s is %s on %q after %d attempts: %s", t.Task, t.State, t.Worker, t.Attempts, t.Reason))
		}
	}
	return unfinished
}
