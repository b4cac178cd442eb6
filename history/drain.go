package history

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// plannedStop is one planned stop of a host.
type plannedStop struct {
	began Event
	// ended is when a new process of the host came up or the process was killed; the zero time if neither happened.
	ended time.Time
	// killed is set if the process was killed before the stop was over.
	killed bool
}

// plannedStops returns the planned stops in order. A host that is told to stop while it stops is stopped once.
func plannedStops(events []Event) []plannedStop {
	var out []plannedStop
	under := make(map[string]int)
	for _, e := range events {
		i, ok := under[e.Host]
		switch {
		case e.Kind == DrainStarted && !ok:
			under[e.Host] = len(out)
			out = append(out, plannedStop{began: e})
		case ok && (e.Kind == HostUp || e.Kind == HostKilled):
			out[i].ended, out[i].killed = e.At, e.Kind == HostKilled
			delete(under, e.Host)
		default:
		}
	}
	return out
}

// cutOff reports whether the stop cut off the attempt: it was in progress at the host when the stop began and got no
// definite verdict, or it was sent during the stop over a connection that the host had left open and got no answer. A
// whole answer to a new request may say that an earlier attempt may have run. A host that is killed meanwhile is no longer
// stopped as planned.
func (s plannedStop) cutOff(a *callAttempt) bool {
	if a.sent.Host != s.began.Host || a.answered == nil || a.answered.At.Before(s.began.At) {
		return false
	}
	over := !s.ended.IsZero()
	if over && s.killed && !a.answered.At.Before(s.ended) {
		return false
	}
	if a.sent.At.After(s.began.At) {
		return a.answered.ReusedConnection && a.answered.NoAnswer && (!over || a.sent.At.Before(s.ended))
	}
	v := a.answered.Verdict
	return v != verdictRan && v != verdictNotRun && v != VerdictUnsent
}

// reasonStop is in the reason of an answer that a host gives because it is being stopped.
const reasonStop = "draining"

// otherReasons are in the reasons of answers that traces have shown to come from another failure than a planned stop beside
// them: a connection to a target that was reset, a peer that was paused or cut off and failed the calls of all hosts at that
// moment, and keys whose issuer was paused or whose entry host had no table yet.
var otherReasons = []string{
	"the connection broke before the answer", "no reply from peer", "under this key", "the issuer of the key", "the outcome",
}

// hasOtherCause reports whether the attempt has a cause of its own beside the stop, in a run with other failures: it had
// reached its caller's limit, or it got a whole answer that gives one of the other reasons, and not the stop.
func (a *callAttempt) hasOtherCause() bool {
	if a.reachedLimit() {
		return true
	}
	said := a.answered.Reason
	return !a.answered.NoAnswer && !strings.Contains(said, reasonStop) &&
		slices.ContainsFunc(otherReasons, func(r string) bool { return strings.Contains(said, r) })
}

// checkDrain checks P8: a request that reaches a host before its planned stop, or during it over an open connection, is
// answered with a definite verdict.
func checkDrain(events []Event, otherFailures bool) []Violation {
	var out []Violation
	ops, order := operations(events)
	for _, stop := range plannedStops(events) {
		for _, id := range order {
			for _, a := range ops[id].attempts {
				if !stop.cutOff(a) || (otherFailures && a.hasOtherCause()) {
					continue
				}
				trace := []Event{a.sent, stop.began, *a.answered}
				if a.sent.At.After(stop.began.At) {
					trace = []Event{stop.began, a.sent, *a.answered}
				}
				out = append(out, Violation{"P8", fmt.Sprintf("the planned stop of %s cut off operation %s", stop.began.Host, id), trace})
			}
		}
	}
	return out
}
