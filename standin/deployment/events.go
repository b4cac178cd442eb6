package deployment

import (
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Events returns the whole record of the run in order of time: what callers, targets and hosts did, and what ran on the
// workers.
func (d *Deployment) Events() []history.Event {
	return MergedEvents(d.Recorder, d.Executions)
}

// MergedEvents returns the record of callers, targets and hosts with that of the workers, in order of time.
func MergedEvents(recorder *history.Recorder, executions *worker.Recorder) []history.Event {
	events := recorder.Events()
	for _, e := range executions.Executions() {
		events = append(events, history.Event{
			At: e.StartedAt, Kind: history.TaskStarted, Task: e.Task.String(), Attempt: int(e.Attempt),
			Worker: string(e.Worker), Checkpoint: e.ResumedFrom,
		})
		if e.Stopped {
			events = append(events, history.Event{
				At: e.StoppedAt, Kind: history.TaskStopped, Task: e.Task.String(), Attempt: int(e.Attempt),
				Worker: string(e.Worker), Checkpoint: e.LastCheckpoint, Reason: endReason(e.End),
			})
		}
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return a.At.Compare(b.At) })
	return events
}

func endReason(e lifecycle.End) string {
	switch e {
	case lifecycle.EndDone:
		return "done"
	case lifecycle.EndFailed:
		return "failed"
	case lifecycle.EndEvicted:
		return history.ReasonEvicted
	case lifecycle.EndLapsed:
		return "lapsed"
	default:
		return "stopped"
	}
}

// OverloadedWorkers returns the workers that ever carried more than they hold, with what they carried.
func (d *Deployment) OverloadedWorkers() []string {
	return OverloadedWorkers(d.Executions)
}

// OverloadedWorkers returns the workers of a record that ever carried more than they hold, with what they carried.
func OverloadedWorkers(executions *worker.Recorder) []string {
	var out []string
	for id, peak := range executions.Peaks() {
		if dimension := peak.Used.ExceededDimension(peak.Capacity); dimension != "" {
			out = append(out, fmt.Sprintf("%s: %s of %s", id, peak.Used, peak.Capacity))
		}
	}
	slices.Sort(out)
	return out
}
