package history

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// plannedStop is one planned stop of a host.
type plannedStop struct {
	start Event
	// endedAt is when a new process of the host came up or the process was killed, or the zero time if neither
	// happened.
	endedAt time.Time
	// killed is set if the process was killed before a new process came up.
	killed bool
}

// plannedStops returns the planned stops in order. A second order to stop during a stop does not start another one, and
// neither does an order to stop a process that has been killed.
func plannedStops(events []Event) []plannedStop {
	var out []plannedStop
	inProgress, killed := make(map[string]int), make(map[string]bool)
	for _, e := range events {
		if e.Kind == HostUp || e.Kind == HostKilled {
			killed[e.Host] = e.Kind == HostKilled
		}
		i, ok := inProgress[e.Host]
		switch {
		case e.Kind == DrainStarted && !ok && !killed[e.Host]:
			inProgress[e.Host] = len(out)
			out = append(out, plannedStop{start: e})
		case ok && (e.Kind == HostUp || e.Kind == HostKilled):
			out[i].endedAt, out[i].killed = e.At, e.Kind == HostKilled
			delete(inProgress, e.Host)
		default:
		}
	}
	return out
}

// cutsOff reports whether the stop cut off the attempt. There are two cases: the attempt was in progress at the host
// when the stop began and got no definite verdict, or it was sent during the stop over a connection that the host had
// left open and got no answer at all. In the second case a may-have-run answer is allowed, because it may refer to an
// earlier attempt of the operation. From the moment at which the host is killed, the stop is no longer a planned one.
func (s plannedStop) cutsOff(a *callAttempt) bool {
	if a.sent.Host != s.start.Host || a.answered == nil || a.answered.At.Before(s.start.At) {
		return false
	}
	ended := !s.endedAt.IsZero()
	if ended && s.killed && !a.answered.At.Before(s.endedAt) {
		return false
	}
	if a.sent.At.After(s.start.At) {
		return a.answered.ReusedConnection && a.answered.NoAnswer && (!ended || a.sent.At.Before(s.endedAt))
	}
	v := a.answered.Verdict
	return v != verdictRan && v != verdictNotRun && v != VerdictUnsent
}

// reasonDraining is part of the reason of every answer that a host gives because it is draining.
const reasonDraining = "draining"

// otherFailureReasons are parts of the reasons of answers that traces have shown to be caused by a failure other than
// the planned stop: a connection to a target that was reset, a peer that was paused or cut off and failed the calls of
// all hosts at that moment, keys whose issuer was paused or whose entry host had no table yet, and keys whose issuer was
// killed and has started again as another instance.
var otherFailureReasons = []string{
	"the connection broke before the answer", "no reply from peer", "under this key", "the issuer of the key", "the outcome",
	"this host does not answer for",
}

// issuerGoneReason matches the reason of an answer whose host knows no host that answers for the issuer of the key. Its
// groups are the host and the incarnation of the issuer.
var issuerGoneReason = regexp.MustCompile(`([^\s/"]+)/(\d+), which issued the key, is gone`)

// namesKilledIssuer reports whether the reason of the answer is that the issuer of the key is gone, and that process was
// killed before the attempt was sent. A process that ends by a planned stop hands its keys over. ends holds the kills and
// the begins of planned stops of each host.
func (a *callAttempt) namesKilledIssuer(ends map[string][]Event) bool {
	issuer := issuerGoneReason.FindStringSubmatch(a.answered.Reason)
	if issuer == nil {
		return false
	}
	incarnation, err := strconv.ParseInt(issuer[2], 10, 64)
	if err != nil {
		return false
	}
	// The incarnation of a process is the time of its start.
	startedAt := time.Unix(0, incarnation)
	for _, e := range ends[issuer[1]] {
		if e.At.After(startedAt) {
			return e.Kind == HostKilled && e.At.Before(a.sent.At)
		}
	}
	return false
}

// hasOtherCause reports whether, in a run with other failures, the lack of a definite verdict has another cause than
// the stop: the attempt reached its caller's time limit, or it got an answer whose reason names another failure and not
// the stop.
func (a *callAttempt) hasOtherCause(ends map[string][]Event) bool {
	if a.reachedLimit() {
		return true
	}
	reason := a.answered.Reason
	if a.answered.NoAnswer || strings.Contains(reason, reasonDraining) {
		return false
	}
	return a.namesKilledIssuer(ends) ||
		slices.ContainsFunc(otherFailureReasons, func(r string) bool { return strings.Contains(reason, r) })
}

// processEnds returns the kills and the begins of planned stops of each host.
func processEnds(events []Event) map[string][]Event {
	ends := make(map[string][]Event)
	for _, e := range events {
		if e.Kind == HostKilled || e.Kind == DrainStarted {
			ends[e.Host] = append(ends[e.Host], e)
		}
	}
	return ends
}

// checkDrain checks P8: a request that reaches a host before its planned stop gets a definite verdict, and one that
// reaches it during the stop over an open connection gets an answer.
func checkDrain(events []Event, otherFailures bool) []Violation {
	var out []Violation
	ops, order := groupByOperation(events)
	ends := processEnds(events)
	for _, stop := range plannedStops(events) {
		for _, id := range order {
			for _, a := range ops[id].attempts {
				if !stop.cutsOff(a) || (otherFailures && a.hasOtherCause(ends)) {
					continue
				}
				trace := []Event{a.sent, stop.start, *a.answered}
				if a.sent.At.After(stop.start.At) {
					trace = []Event{stop.start, a.sent, *a.answered}
				}
				out = append(out, Violation{"P8", fmt.Sprintf("the planned stop of %s cut off operation %s", stop.start.Host, id), trace})
			}
		}
	}
	return out
}
