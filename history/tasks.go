package history

import "fmt"

// checkCapacity checks P1: no worker and no target carries more than its capacity.
func checkCapacity(events []Event) []Violation {
	var out []Violation
	for _, e := range events {
		switch e.Kind {
		case TaskStarted:
			if d := e.Used.ExceededDimension(e.Total); d != "" {
				out = append(out, Violation{"P1", fmt.Sprintf("worker %s is over its capacity of %s: %s of %s in use", e.Worker, d, e.Used, e.Total), []Event{e}})
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

// checkNoOverlap checks P2: the attempts of a task do not overlap.
func checkNoOverlap(events []Event) []Violation {
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

// eviction is one eviction of a task.
type eviction struct {
	stopped Event
	// resumes holds the starts of the task from the checkpoint of the eviction.
	resumes []Event
	// cancelled is set if the task was cancelled and therefore need not resume.
	cancelled bool
}

// checkResume checks P3: the checkpoint of each eviction is resumed exactly once, or not at all if the task was
// cancelled or the run was cut short.
func checkResume(events []Event, complete bool) []Violation {
	evictions := make(map[string]*eviction)
	var order []string
	for _, e := range events {
		switch e.Kind {
		case TaskStopped:
			if e.Reason == ReasonEvicted {
				id := e.Task + "/" + e.Checkpoint
				evictions[id] = &eviction{stopped: e}
				order = append(order, id)
			}
		case TaskStarted:
			if ev, ok := evictions[e.Task+"/"+e.Checkpoint]; ok && e.Checkpoint != "" {
				ev.resumes = append(ev.resumes, e)
			}
		case TaskCancelled:
			for _, ev := range evictions {
				ev.cancelled = ev.cancelled || ev.stopped.Task == e.Task
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

func (e *eviction) check(complete bool) []Violation {
	switch {
	case len(e.resumes) > 1 && !e.hasDistinctAttempts():
		return []Violation{{"P3", fmt.Sprintf("task %s resumed %d times from one checkpoint", e.stopped.Task, len(e.resumes)), append([]Event{e.stopped}, e.resumes...)}}
	case len(e.resumes) == 0 && complete && !e.cancelled:
		return []Violation{{"P3", fmt.Sprintf("task %s never resumed after its eviction", e.stopped.Task), []Event{e.stopped}}}
	default:
		return nil
	}
}

// hasDistinctAttempts reports whether every resume is a different attempt. That is allowed: if the worker dies after a
// resume, the attempt is lost, and the next one starts from the same checkpoint. One attempt must never resume twice.
func (e *eviction) hasDistinctAttempts() bool {
	seen := make(map[int]bool)
	for _, r := range e.resumes {
		if seen[r.Attempt] {
			return false
		}
		seen[r.Attempt] = true
	}
	return true
}
