package history

import (
	"fmt"
	"time"
)

// checkTable checks P9: the revision in force on a host never decreases, even across restarts, and an accepted revision
// is in force on every live host within the bound. Hosts that come up after the acceptance are not considered.
func checkTable(events []Event, bound time.Duration) []Violation {
	var out []Violation
	inForce := make(map[string]Event)
	for _, e := range events {
		if e.Kind != TableInForce {
			continue
		}
		if before, ok := inForce[e.Host]; ok && before.Revision > e.Revision {
			out = append(out, Violation{"P9", fmt.Sprintf("host %s went back from revision %d to %d", e.Host, before.Revision, e.Revision), []Event{before, e}})
		}
		inForce[e.Host] = e
	}
	for i, e := range events {
		if e.Kind == TableAccepted {
			out = append(out, checkAccepted(events, i, bound)...)
		}
	}
	return out
}

// checkAccepted checks that the revision accepted by the event with index accepted is in force within the bound on
// every host that was live then, except on hosts that go down before.
func checkAccepted(events []Event, accepted int, bound time.Duration) []Violation {
	limit := events[accepted].At.Add(bound)
	if events[len(events)-1].At.Before(limit) {
		return nil // the history ends before the bound
	}
	pendingHosts := make(map[string]bool)
	for _, e := range events[:accepted] {
		switch e.Kind {
		case HostUp:
			pendingHosts[e.Host] = true
		case HostDown:
			delete(pendingHosts, e.Host)
		default:
		}
	}
	for _, e := range events {
		if e.At.After(limit) {
			break
		}
		isInForce := e.Kind == TableInForce && e.Revision >= events[accepted].Revision
		if isInForce || (e.Kind == HostDown && e.At.After(events[accepted].At)) {
			delete(pendingHosts, e.Host)
		}
	}
	var out []Violation
	for host := range pendingHosts {
		out = append(out, Violation{"P9", fmt.Sprintf("revision %d was not in force on %s within %s", events[accepted].Revision, host, bound), []Event{events[accepted]}})
	}
	return out
}
