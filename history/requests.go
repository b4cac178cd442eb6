package history

import (
	"fmt"
	"time"
)

const (
	verdictRan    = "ran"
	verdictNotRun = "not-run"

	// VerdictUnsent is recorded for an attempt for which the caller got no connection: no relay host said anything, and
	// the attempt cannot have run.
	VerdictUnsent = "unsent"
)

type callAttempt struct {
	sent     Event
	answered *Event
}

// reachedLimit reports whether the answer came at or after the caller's limit.
func (a *callAttempt) reachedLimit() bool {
	limit := time.Duration(a.sent.TimeoutMS) * time.Millisecond
	return limit > 0 && a.answered.At.Sub(a.sent.At) >= limit
}

type operation struct {
	attempts map[int]*callAttempt
	runs     []Event
}

func operations(events []Event) (map[string]*operation, []string) {
	ops := make(map[string]*operation)
	var order []string
	get := func(id string) *operation {
		op, ok := ops[id]
		if !ok {
			op = &operation{attempts: make(map[int]*callAttempt)}
			ops[id] = op
			order = append(order, id)
		}
		return op
	}
	for i, e := range events {
		switch e.Kind {
		case CallSent:
			get(e.Operation).attempts[e.Attempt] = &callAttempt{sent: e}
		case CallAnswered:
			if a := get(e.Operation).attempts[e.Attempt]; a != nil {
				a.answered = &events[i]
			}
		case RunStarted:
			op := get(e.Operation)
			op.runs = append(op.runs, e)
		default:
		}
	}
	return ops, order
}

// checkRequests checks P4, P5 and P6 for each operation.
func checkRequests(events []Event) []Violation {
	var out []Violation
	ops, order := operations(events)
	for _, id := range order {
		op := ops[id]
		out = append(out, op.checkAnswers(id)...)
		out = append(out, op.checkNotRun(id)...)
		out = append(out, op.checkAtMostOnce(id)...)
	}
	return out
}

// checkAnswers checks that an answer belongs to its operation, and that "ran" is said only of operations that ran.
func (o *operation) checkAnswers(id string) []Violation {
	var out []Violation
	for _, a := range o.attempts {
		if a.answered == nil || a.answered.Verdict != verdictRan {
			continue
		}
		trace := []Event{a.sent, *a.answered}
		if a.answered.Answer != id {
			out = append(out, Violation{"P4", fmt.Sprintf("operation %s got the answer of %q", id, a.answered.Answer), trace})
		}
		if len(o.runs) == 0 {
			out = append(out, Violation{"P4", fmt.Sprintf("operation %s was answered without a run", id), trace})
		}
	}
	return out
}

// checkNotRun checks that each run can belong to an attempt that was not answered "not run".
func (o *operation) checkNotRun(id string) []Violation {
	var out []Violation
	for _, run := range o.runs {
		explained := false
		trace := []Event{run}
		for _, a := range o.attempts {
			refused := a.answered != nil && a.answered.Verdict == verdictNotRun
			if refused {
				trace = append(trace, a.sent, *a.answered)
			}
			unsent := a.answered != nil && a.answered.Verdict == VerdictUnsent
			explained = explained || (!refused && !unsent && !a.sent.At.After(run.At))
		}
		out = append(out, o.checkKeyed(id, run)...)
		if !explained && len(o.attempts) > 0 {
			out = append(out, Violation{"P5", fmt.Sprintf("operation %s ran although every attempt was answered not-run", id), trace})
		}
	}
	return out
}

// checkKeyed checks that no attempt of a non-idempotent operation was answered "not run" after the run began: all its
// attempts carry one key and are one request.
func (o *operation) checkKeyed(id string, run Event) []Violation {
	var out []Violation
	for _, a := range o.attempts {
		if a.sent.Idempotent || a.answered == nil || a.answered.Verdict != verdictNotRun || a.answered.At.Before(run.At) {
			continue
		}
		out = append(out, Violation{"P5", fmt.Sprintf("operation %s was answered not-run after it ran", id), []Event{run, a.sent, *a.answered}})
	}
	return out
}

func (o *operation) checkAtMostOnce(id string) []Violation {
	for _, a := range o.attempts {
		if !a.sent.Idempotent && len(o.runs) > 1 {
			return []Violation{{"P6", fmt.Sprintf("operation %s ran %d times", id, len(o.runs)), o.runs}}
		}
	}
	return nil
}

// checkLeaving checks P7: a leaving target gets no new work after the bound.
func checkLeaving(events []Event, bound time.Duration) []Violation {
	var out []Violation
	leaving := make(map[string]Event)
	for _, e := range events {
		switch e.Kind {
		case TargetLeaving:
			leaving[e.Target] = e
		case RunStarted:
			since, ok := leaving[e.Target]
			if ok && e.At.Sub(since.At) > bound {
				out = append(out, Violation{"P7", fmt.Sprintf("target %s got work %s after it announced to leave", e.Target, e.At.Sub(since.At)), []Event{since, e}})
			}
		default:
		}
	}
	return out
}
