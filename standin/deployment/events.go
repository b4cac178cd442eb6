package deployment

import (
	"fmt"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Events returns the events of callers, targets, hosts and workers so far, in order of time.
func (d *Deployment) Events() []history.Event {
	return MergedEvents(d.Recorder, d.Executions)
}

// MergedEvents returns the events of a recorder together with the starts and stops of executions on workers, in order
// of time.
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
				Worker: string(e.Worker), Checkpoint: e.LastCheckpoint, Reason: stopReason(e.End),
			})
		}
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return a.At.Compare(b.At) })
	return events
}

func stopReason(e lifecycle.End) string {
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

// OverloadedWorkers returns a line for each worker whose peak allocation exceeded its capacity, in order.
func (d *Deployment) OverloadedWorkers() []string {
	return OverloadedWorkers(d.Executions)
}

// OverloadedWorkers returns a line for each worker of a record whose peak allocation exceeded its capacity, in order.
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
