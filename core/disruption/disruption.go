// Package disruption decides whether one more task of a group of lasting tasks may be made unavailable.
package disruption

// Group is the state of the tasks of a group.
type Group struct {
	// Budget is how many tasks may be unavailable at the same time because of our own orders; 0 allows no disruption.
	Budget int
	// Unavailable counts the tasks that are not ready, whatever the cause.
	Unavailable int
}

// Allows reports whether a task of the group may be disrupted. available says whether the task is ready now: one that is
// not adds nothing to the unavailable tasks.
func (g Group) Allows(available bool) bool {
	after := g.Unavailable
	if available {
		after++
	}
	return g.Budget > 0 && after <= g.Budget
}
