package evacuation

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/disruption"
)

// Guards against moves that the requirements forbid: tasks that end, groups without a budget or with a used one, two tasks
// of a group at a time, and tasks without room elsewhere.
func TestWhyTasksStay(t *testing.T) {
	movable := Running{Lasting: true, Available: true, Group: disruption.Group{Budget: 2}}
	for want, change := range map[Stay]func(r *Running){
		Moves:            func(*Running) {},
		Ends:             func(r *Running) { r.Lasting = false },
		NoBudget:         func(r *Running) { r.Group.Budget = 0 },
		GroupUnavailable: func(r *Running) { r.Group.Unavailable = 2 },
	} {
		r := movable
		change(&r)
		require.Equal(t, want, r.WhyStays(func() bool { return true }), want.String())
	}
	movable.GroupMoves = true
	require.Equal(t, GroupUnavailable, movable.WhyStays(func() bool { return true }))
	movable.GroupMoves = false
	require.Equal(t, NoRoom, movable.WhyStays(func() bool { return false }))
}
