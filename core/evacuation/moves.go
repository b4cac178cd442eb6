package evacuation

import (
	"github.com/bulrushrelay/bulrushrelay/core/disruption"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Running is a task that runs on an evacuated worker.
type Running struct {
	Task ident.TaskID
	// Lasting tasks run until they are cancelled. The others are left to end.
	Lasting bool
	// Available says whether the task is ready and no order to stop it has been sent.
	Available bool
	// Group is the state of its group, and GroupMoves says whether a task of the group is being moved.
	Group      disruption.Group
	GroupMoves bool
}

// Stay is why a task stays on an evacuated worker.
type Stay uint8

// The reasons. Moves means that the task need not stay.
const (
	Moves Stay = iota
	// Ends is the reason of tasks that end by themselves.
	Ends
	// NoBudget is the reason of lasting tasks whose group has no disruption budget.
	NoBudget
	// GroupUnavailable means that the budget is used up, or that another task of the group is being moved.
	GroupUnavailable
	// NoRoom means that no other worker has room for the task.
	NoRoom
	// StayReasons is the number of reasons.
	StayReasons
)

var stayNames = [StayReasons]string{"moves", "ends", "no_budget", "budget_used", "no_room"}

// String returns the external form of the reason.
func (s Stay) String() string { return stayNames[s] }

// WhyStays returns why a task stays on its evacuated worker. room reports whether another worker has room for it; it is
// called only if nothing else keeps the task.
func (r Running) WhyStays(room func() bool) Stay {
	switch {
	case !r.Lasting:
		return Ends
	case r.Group.Budget == 0:
		return NoBudget
	case r.GroupMoves || !r.Group.Allows(r.Available):
		return GroupUnavailable
	case !room():
		return NoRoom
	default:
		return Moves
	}
}
