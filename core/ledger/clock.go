package ledger

import (
	"sync/atomic"
	"time"
)

// clock starts at the first time that it is asked for and then counts the time that passes, so that setting the time of
// day does not change the age of a key. It is safe for concurrent use.
type clock struct {
	// start is the first time; nil before it.
	start atomic.Pointer[time.Time]
}

// at returns the time of the clock at now.
func (c *clock) at(now time.Time) time.Time {
	start := c.start.Load()
	if start == nil {
		first := now
		c.start.CompareAndSwap(nil, &first)
		start = c.start.Load()
	}
	return start.Add(now.Sub(*start))
}
