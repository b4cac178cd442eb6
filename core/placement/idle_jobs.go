package placement

import "slices"

const (
	// maxIdleJobTasks bounds the waiting tasks that one Plan looks at for jobs of which nothing runs, maxIdleJobSearches
	// the workers that it searches for them.
	maxIdleJobTasks    = 256
	maxIdleJobSearches = 16
)

// startIdleJobs starts one filler of each job that has had nothing running for mostlyFreePatience, while most of the
// capacity is free by what is booked. In a flood the other fillers use all processors, and jobs that can no longer be
// on time would wait behind newer ones for as long as it lasts. Such a filler shares the processors of its worker with
// the others.
func (r *planRun) startIdleJobs() {
	if r.idleJobCursor == nil {
		r.idleJobCursor = r.waiting.first
	}
	searches := 0
	for looked := 0; r.idleJobCursor != nil && looked < maxIdleJobTasks && searches < maxIdleJobSearches && !r.limitReached(); looked++ {
		t := r.idleJobCursor
		r.idleJobCursor = t.waitingNext
		if r.isOfIdleJob(t) {
			searches++
			r.startBesideOthers(t)
		}
	}
}

// isOfIdleJob reports whether a queued filler has waited for mostlyFreePatience and no task of its job is booked.
func (c *Cell) isOfIdleJob(t *task) bool {
	return t.state == queued && t.constraints.Filler && !t.restart && c.queuedFor(t) >= mostlyFreePatience &&
		c.spread.JobTasks(t.id.Job) == 0 && c.isMostlyFree(t.pool)
}

// startBesideOthers starts a filler on the best worker with memory for it on which no serving task misses its target,
// whether or not the other fillers leave it enough processors.
func (r *planRun) startBesideOthers(t *task) {
	t.desired = r.booking(t)
	if !t.class.allowsBooking(t.desired) {
		return
	}
	r.sampleNodes(&r.free, t.desired)
	req := r.request(t)
	req.SharesProcessors = true
	r.filterSampled(&req)
	// A start beside a serving task that misses its target would count as harm at once.
	r.candidates = slices.DeleteFunc(r.candidates, func(n *node) bool { return n.overTargetSince != noTime })
	if n := r.bestNode(&req); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
	}
}

// removeWaiting takes a task out of the list of waiting tasks.
func (c *Cell) removeWaiting(t *task) {
	if c.idleJobCursor == t {
		c.idleJobCursor = t.waitingNext
	}
	c.waiting.remove(t)
}
