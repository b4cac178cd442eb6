package disruption

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a group that loses more tasks than its budget, and against a budget of 0 that allows one.
func TestBudget(t *testing.T) {
	for _, tc := range []struct {
		budget, unavailable int
		available, want     bool
	}{
		{0, 0, true, false},
		{0, 1, false, false},
		{1, 0, true, true},
		{1, 1, true, false},
		{1, 1, false, true},
		{1, 2, false, false},
		{3, 2, true, true},
		{3, 3, true, false},
	} {
		require.Equal(t, tc.want, Group{Budget: tc.budget, Unavailable: tc.unavailable}.Allows(tc.available), "%+v", tc)
	}
}
