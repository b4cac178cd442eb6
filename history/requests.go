package history

import (
	"fmt"
	"time"
)

const (
	verdictRan    = "ran"
	verdictNotRun = "not-run"

	// VerdictUnsent is recorded for an attempt that the caller could not send, because it had no usable connection. It
	// is not the verdict of a relay host, and the attempt cannot have run.
	VerdictUnsent = "unsent"
)

// callAttempt is one attempt of an operation. answered is nil if the history has no answer.
type callAttempt struct {
	sent     Event
	answered *Event
}

// reachedLimit reports whether the answer came at or after the caller's time limit.
func (a *callAttempt) reachedLimit() bool {
	limit := time.Duration(a.sent.TimeoutMS) * time.Millisecond
	return limit > 0 && a.answered.At.Sub(a.sent.At) >= limit
}

// operation holds the attempts of an operation by number, and its runs at targets.
type operation struct {
	attempts map[int]*callAttempt
	runs     []Event
}

// groupByOperation returns the operations by ID, and their IDs in the order in which they first occur.
func groupByOperation(events []Event) (map[string]*operation, []string) {
	ops := make(map[string]*operation)
	var order []string
	operationOf := func(id string) *operation {
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
			operationOf(e.Operation).attempts[e.Attempt] = &callAttempt{sent: e}
		case CallAnswered:
			if a := operationOf(e.Operation).attempts[e.Attempt]; a != nil {
				a.answered = &events[i]
			}
		case RunStarted:
			op := operationOf(e.Operation)
			op.runs = append(op.runs, e)
		default:
		}
	}
	return ops, order
}

// checkRequests checks P4, P5 and P6 for each operation.
func checkRequests(events []Event) []Violation {
	var out []Violation
	ops, order := groupByOperation(events)
	for _, id := range order {
		op := ops[id]
		out = append(out, op.checkAnswers(id)...)
		out = append(out, op.checkNotRun(id)...)
		out = append(out, op.checkAtMostOnce(id)...)
	}
	return out
}

// checkAnswers checks P4: an answer with the verdict "ran" belongs to its operation, and the operation ran.
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

// checkNotRun checks P5: each run can belong to an attempt that was not answered "not-run", and no answer "not-run" to a
// non-idempotent operation follows a run.
func (o *operation) checkNotRun(id string) []Violation {
	var out []Violation
	for _, run := range o.runs {
		accountedFor := false
		trace := []Event{run}
		for _, a := range o.attempts {
			answeredNotRun := a.answered != nil && a.answered.Verdict == verdictNotRun
			if answeredNotRun {
				trace = append(trace, a.sent, *a.answered)
			}
			unsent := a.answered != nil && a.answered.Verdict == VerdictUnsent
			accountedFor = accountedFor || (!answeredNotRun && !unsent && !a.sent.At.After(run.At))
		}
		out = append(out, o.checkNotRunAfterRun(id, run)...)
		if !accountedFor && len(o.attempts) > 0 {
			out = append(out, Violation{"P5", fmt.Sprintf("operation %s ran although every attempt was answered not-run", id), trace})
		}
	}
	return out
}

// checkNotRunAfterRun checks that no attempt of a non-idempotent operation was answered "not-run" after the run began.
// All attempts of such an operation carry the same key and are one request.
func (o *operation) checkNotRunAfterRun(id string, run Event) []Violation {
	var out []Violation
	for _, a := range o.attempts {
		if a.sent.Idempotent || a.answered == nil || a.answered.Verdict != verdictNotRun || a.answered.At.Before(run.At) {
			continue
		}
		out = append(out, Violation{"P5", fmt.Sprintf("operation %s was answered not-run after it ran", id), []Event{run, a.sent, *a.answered}})
	}
	return out
}

// checkAtMostOnce checks P6: a non-idempotent operation runs at most once.
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
			announced, ok := leaving[e.Target]
			if ok && e.At.Sub(announced.At) > bound {
				out = append(out, Violation{"P7", fmt.Sprintf("target %s got work %s after it announced that it leaves", e.Target, e.At.Sub(announced.At)), []Event{announced, e}})
			}
		default:
		}
	}
	return out
}
