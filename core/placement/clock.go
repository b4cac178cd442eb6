package placement

import (
	"math"
	"time"
)

// noTime stands for the zero time.Time in a stamp.
const noTime = stamp(math.MinInt64)

// maxStampDistance bounds how far a stamp is from the present, so that sums of stamps and durations cannot overflow.
const maxStampDistance = 100 * 365 * 24 * time.Hour

// stamp is a time in nanoseconds on the clock of a planner. It takes a third of the memory of a time.Time.
type stamp int64

// since returns the time from o to s, at least 0.
func (s stamp) since(o stamp) time.Duration {
	if o == noTime {
		return 0
	}
	return max(0, time.Duration(s-o))
}

// clock is the clock of a planner, which Plan advances. It starts at the time of day and then counts the time that
// passes, so that setting the time of day neither stops it nor makes it jump: the difference of two times with a
// monotonic reading does not depend on the time of day. Without one, a step back counts as no time, but a step ahead
// cannot be told from time that passes.
type clock struct {
	// now is the time of the last Plan, and plannedAt the same time as the caller gave it; zero before the first Plan.
	now       stamp
	plannedAt time.Time
}

func (c *clock) advance(t time.Time) {
	if c.plannedAt.IsZero() {
		c.now, c.plannedAt = c.stampOf(t), t
		return
	}
	switch passed := t.Sub(c.plannedAt); {
	case passed >= 0:
		c.now += stamp(min(passed, maxStampDistance))
		c.plannedAt = t
	case !hasMonotonicReading(t):
		// The time of day was set back.
		c.plannedAt = t
	}
}

func hasMonotonicReading(t time.Time) bool { return t != t.Round(0) }

func (c *clock) stampOf(t time.Time) stamp {
	switch {
	case t.IsZero():
		return noTime
	case c.plannedAt.IsZero():
		return stamp(t.UnixNano())
	}
	return c.now + stamp(min(max(t.Sub(c.plannedAt), -maxStampDistance), maxStampDistance))
}

func (c *clock) timeOf(s stamp) time.Time {
	switch {
	case s == noTime:
		return time.Time{}
	case c.plannedAt.IsZero():
		return time.Unix(0, int64(s))
	}
	return c.plannedAt.Add(time.Duration(s - c.now))
}
