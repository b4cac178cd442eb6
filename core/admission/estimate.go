package admission

import "time"

// estimateWait returns the expected wait of a request of the class behind rank other requests of the class; 0 if it can
// start at once.
func (c *Controller) estimateWait(now time.Time, cl *class, rank int) time.Duration {
	wait := max(c.slotWait(cl, rank), c.concurrencyWait(cl, now, rank), cl.tokenWait(now, rank+1))
	if untilSlots := c.grant.SlotsFrom.Sub(now); untilSlots > 0 {
		wait += untilSlots
	}
	if c.capacity == 0 {
		wait = max(wait, c.capacityExpectedAt.Sub(now))
	}
	return wait
}

// slotWait returns the expected wait for a slot. The class gets at least its weighted share of the slots; if it has
// been served faster than that, the measured interval between starts counts.
func (c *Controller) slotWait(cl *class, rank int) time.Duration {
	if c.inUse+c.waiting < c.capacity {
		return 0
	}
	if !cl.serviceTime.known || c.capacity == 0 {
		// There is nothing to estimate from: 1 ns only says that the request must wait. Its deadline ends the wait.
		return 1
	}
	weight := c.activeWeight
	if !cl.active {
		weight += cl.weight()
	}
	share := max(1, float64(c.capacity)) * cl.weight() / weight
	interval := cl.serviceTime.mean / share
	if cl.startInterval.known {
		interval = min(interval, cl.startInterval.mean)
	}
	return max(1, seconds(interval*float64(rank+1)))
}

// concurrencyWait returns the expected wait for the concurrency limit of the class.
func (c *Controller) concurrencyWait(cl *class, now time.Time, rank int) time.Duration {
	limit, limited := cl.limits.concurrency(now, now)
	if !limited || cl.inUse+rank < limit {
		return 0
	}
	if limit == 0 {
		// The request waits for a loan, whose time is not known: 1 ns only says that it must wait.
		return 1
	}
	return max(1, seconds(cl.serviceTime.mean*float64(cl.inUse+rank+1-limit)/float64(limit)))
}
