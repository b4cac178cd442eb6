package history

import (
	"fmt"
	"strings"
	"time"
)

// Bounds are the time limits of the guarantees, and what is known about the run that was recorded.
type Bounds struct {
	// LeavingDelay is how long after the announcement of its leaving a target may still get new work.
	LeavingDelay time.Duration
	// InForceDelay is how long an accepted table may take to be in force on every live host.
	InForceDelay time.Duration
	// RunComplete is set if the run was not cut short, so that evicted work must have resumed by the end of the
	// history.
	RunComplete bool
	// WithOtherFailures is set if other failures happened during planned stops. A request then does not count as cut
	// off by the stop if it reached its caller's time limit, or if its answer gives one of otherFailureReasons: another
	// host, or a connection to a target, may have failed.
	WithOtherFailures bool
}

// DefaultBounds returns the limits that the design page states for a deployment of the present size.
func DefaultBounds() Bounds {
	return Bounds{LeavingDelay: 3 * time.Second, InForceDelay: 2 * time.Second}
}

// Violation is one violation of a guarantee.
type Violation struct {
	// Guarantee is the number of the guarantee on the design page, P1 to P9.
	Guarantee string
	Message   string
	// Trace holds the events that show the violation.
	Trace []Event
}

// String returns the violation and its trace, one event per line.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.Guarantee, v.Message)
	for _, e := range v.Trace {
		fmt.Fprintf(&b, "\n    %s %s%s", e.At.Format("15:04:05.000000"), e.Kind, e.details())
	}
	return b.String()
}

// details returns the fields of the event that are set, in the form name=value.
func (e Event) details() string {
	var b strings.Builder
	for _, f := range []struct{ name, value string }{
		{"operation", e.Operation},
		{"class", e.Class},
		{"host", e.Host},
		{"verdict", e.Verdict},
		{"answer", e.Answer},
		{"target", e.Target},
		{"task", e.Task},
		{"worker", e.Worker},
		{"checkpoint", e.Checkpoint},
		{"reason", e.Reason},
	} {
		if f.value != "" {
			fmt.Fprintf(&b, " %s=%s", f.name, f.value)
		}
	}
	for _, f := range []struct {
		name  string
		value uint64
	}{{"attempt", uint64(e.Attempt)}, {"in_progress", uint64(e.InProgress)}, {"capacity", uint64(e.Capacity)}, {"revision", e.Revision}} {
		if f.value != 0 {
			fmt.Fprintf(&b, " %s=%d", f.name, f.value)
		}
	}
	return b.String()
}

// Check returns every violation that the events show. The events must be sorted by time.
func Check(events []Event, bounds Bounds) []Violation {
	var out []Violation
	out = append(out, checkCapacity(events)...)
	out = append(out, checkNoOverlap(events)...)
	out = append(out, checkResume(events, bounds.RunComplete)...)
	out = append(out, checkRequests(events)...)
	out = append(out, checkLeaving(events, bounds.LeavingDelay)...)
	out = append(out, checkDrain(events, bounds.WithOtherFailures)...)
	out = append(out, checkTable(events, bounds.InForceDelay)...)
	return out
}
