package jobs

import "time"

// Clock returns the time. Timers are those of the Go runtime.
type Clock interface {
	Now() time.Time
}

// SystemClock is the Clock of the host. It starts at the time of day and then counts the time that passes: the cell log
// keeps times without their monotonic readings, and their differences must not depend on the time of day being set.
type SystemClock struct {
	startedAt time.Time
	// elapsed returns the time since startedAt.
	elapsed func() time.Duration
}

// NewSystemClock returns a clock that starts at the present time of day.
func NewSystemClock() SystemClock {
	startedAt := time.Now()
	return SystemClock{startedAt: startedAt, elapsed: func() time.Duration { return time.Since(startedAt) }}
}

// Now returns the time with a monotonic reading.
func (c SystemClock) Now() time.Time {
	return c.startedAt.Add(c.elapsed())
}
