package lifecycle

import "time"

// Releases and settings differ in the leases that owners grant, so that a new owner must know how long those of its
// predecessors are: a worker that does not answer may run tasks until the longest of them has lapsed. The Takeover record
// and the snapshots of an owner state the longest lease that may last.

// lapseAfter is how long a task may run after the token of its last renewal was received, by the clock of the owner.
func (p Policy) lapseAfter() time.Duration {
	return p.LeaseDuration + p.LeaseMargin
}

// lapseAfterLease is lapseAfter for another lease. The margin covers rates of clocks, so that it grows with the lease.
func (p Policy) lapseAfterLease(lease time.Duration) time.Duration {
	return lease + time.Duration(float64(p.LeaseMargin)*float64(lease)/float64(p.LeaseDuration))
}

// inheritLease takes over what the log says about the leases of predecessors. A log of an older release says nothing.
func (c *Cell) inheritLease() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inheritedLease = c.loggedLease
	if c.inheritedLease == 0 {
		c.inheritedLease = c.policy.LongestLease
	}
}

// longestLease returns the longest lease that may last on a worker.
func (c *Cell) longestLease(now time.Time) time.Duration {
	stopped := c.predecessorStoppedAt
	if !stopped.IsZero() && !now.Before(stopped.Add(c.policy.lapseAfterLease(c.inheritedLease))) {
		return c.policy.LeaseDuration
	}
	return max(c.policy.LeaseDuration, c.inheritedLease)
}

// inheritedLapseAfter is how long a task may run after the token of its last renewal, whoever renewed it.
func (c *Cell) inheritedLapseAfter() time.Duration {
	return c.policy.lapseAfterLease(max(c.policy.LeaseDuration, c.inheritedLease))
}

// lapseAt returns when the leases on a claimed worker have certainly lapsed. A shorter lease does not replace a longer one
// that a predecessor granted.
func (c *Cell) lapseAt(w *worker) time.Time {
	own := w.sentTokenReceivedAt.Add(c.policy.lapseAfter())
	if c.inheritedLease <= c.policy.LeaseDuration {
		return own
	}
	since := c.predecessorStoppedAt
	if since.IsZero() {
		// The predecessor has renewed nothing since the claim, and every token of this owner is newer than that.
		since = w.sentTokenReceivedAt
	}
	return laterOf(own, since.Add(c.inheritedLapseAfter()))
}
