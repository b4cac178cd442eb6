package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a time of day that is set without a line in the log, and against a line for each correction by clock
// synchronisation.
func TestSettingTheTimeOfDayIsNoticed(t *testing.T) {
	for _, c := range []struct {
		name              string
		timeOfDay, passed time.Duration
		step              time.Duration
		changed           bool
	}{
		{"ordinary second", time.Second, time.Second, 0, false},
		{"correction", 1010 * time.Millisecond, time.Second, 10 * time.Millisecond, false},
		{"set back", -599 * time.Second, time.Second, -10 * time.Minute, true},
		{"set ahead", 2400 * time.Millisecond, time.Second, 1400 * time.Millisecond, true},
	} {
		step, changed := clockStep(c.timeOfDay, c.passed)
		require.Equal(t, c.step, step, c.name)
		require.Equal(t, c.changed, changed, c.name)
	}
}
