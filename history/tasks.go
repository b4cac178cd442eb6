package history

import "fmt"

// checkCapacity checks P1 for workers and targets.
func checkCapacity(events []Event) []Violation {
	var out []Violation
	for _, e := range events {
		switch e.Kind {
		case TaskStarted:
			if d := e.Used.ExceededDimension(e.Total); d != "" {
				out = append(out, Violation{"P1", fmt.Sprintf("worker %s carries more %s than it holds: %s of %s", e.Worker, d, e.Used, e.Total), []Event{e}})
			}
		case RunStarted:
			if e.Capacity > 0 && e.InProgress > e.Capacity {
				out = append(out, Violation{"P1", fmt.Sprintf("target %s runs %d requests in %d slots", e.Target, e.InProgress, e.Capacity), []Event{e}})
			}
		default:
		}
	}
	return out
}

// checkSinglePlace checks P2: the runs of a task do not overlap.
func checkSinglePlace(events []Event) []Violation {
	var out []Violation
	running := make(map[string]Event)
	for _, e := range events {
		switch e.Kind {
		case TaskStarted:
			if other, ok := running[e.Task]; ok {
				out = append(out, Violation{"P2", fmt.Sprintf("task %s runs on %s and on %s", e.Task, other.Worker, e.Worker), []Event{other, e}})
			}
			running[e.Task] = e
		case TaskStopped:
			if r, ok := running[e.Task]; ok && r.Worker == e.Worker && r.Attempt == e.Attempt {
				delete(running, e.Task)
			}
		default:
		}
	}
	return out
}

// ReasonEvicted is the Reason of a TaskStopped event whose checkpoint must be resumed.
const ReasonEvicted = "evicted"

type evictedTask struct {
	stopped Event
	resumes []Event
	// ended is set if the task was cancelled, so that it need not resume.
	ended bool
}

// checkResume checks P3: the checkpoint of each eviction is resumed exactly once, or not at all if the task was
// cancelled or the record ends early.
func checkResume(events []Event, complete bool) []Violation {
	evictions := make(map[string]*evictedTask)
	var order []string
	for _, e := range events {
		switch e.Kind {
		case TaskStopped:
			if e.Reason == ReasonEvicted {
				id := e.Task + "/" + e.Checkpoint
				evictions[id] = &evictedTask{stopped: e}
				order = append(order, id)
			}
		case TaskStarted:
			if ev, ok := evictions[e.Task+"/"+e.Checkpoint]; ok && e.Checkpoint != "" {
				ev.resumes = append(ev.resumes, e)
			}
		case TaskCancelled:
			for _, ev := range evictions {
				ev.ended = ev.ended || ev.stopped.Task == e.Task
			}
		default:
		}
	}
	var out []Violation
	for _, id := range order {
		out = append(out, evictions[id].check(complete)...)
	}
	return out
}

func (e *evictedTask) check(complete bool) []Violation {
	switch {
	case len(e.resumes) > 1 && !e.repeatsAfterFailure():
		return []Violation{{"P3", fmt.Sprintf("task %s resumed %d times from one checkpoint", e.stopped.Task, len(e.resumes)), append([]Event{e.stopped}, e.resumes...)}}
	case len(e.resumes) == 0 && complete && !e.ended:
		return []Violation{{"P3", fmt.Sprintf("task %s never resumed after its eviction", e.stopped.Task), []Event{e.stopped}}}
	default:
		return nil
	}
}

// repeatsAfterFailure reports whether every resume is a new attempt: a worker that dies after a resume loses the
// attempt, and the next attempt starts from the same checkpoint. Two resumes of one attempt are never allowed.
func (e *evictedTask) repeatsAfterFailure() bool {
	seen := make(map[int]bool)
	for _, r := range e.resumes {
		if seen[r.Attempt] {
			return false
		}
		seen[r.Attempt] = true
	}
	return true
}
