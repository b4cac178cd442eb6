package jobs

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against times in the cell log that jump when the time of day is set: the clock must depend on nothing but its
// start and the time that has passed.
func TestSystemClockCountsPassingTime(t *testing.T) {
	c := NewSystemClock()
	start := c.Now()
	require.NotEqual(t, start, start.Round(0), "the monotonic reading is kept")
	passed := 20 * time.Second
	c.elapsed = func() time.Duration { return passed }
	first := c.Now()
	passed += time.Hour
	require.Equal(t, first.Round(0).Add(time.Hour), c.Now().Round(0))
	require.Equal(t, time.Hour, c.Now().Sub(first))
}
