package placement

import "time"

const (
	// maxRestartTries bounds the restarts of one Plan that find no worker. maxRestartClaims bounds the workers of a
	// cell reserved for restarts, and restartClaimDivisor limits them to that fraction of the workers. Idle
	// capacity costs less than a lasting task that does not run, but other tasks must still make progress if a
	// large part of the workers is lost.
	maxRestartTries     = 32
	maxRestartClaims    = 64
	restartClaimDivisor = 4
	// lastResortInterval is how often a quarantined worker gets a restart. The worker may fail each at once; the
	// interval leaves several attempts within the 6 s in which a lasting task has to run again.
	lastResortInterval = time.Second
)

// isRestart reports whether the task is a restart: a lasting task that may have run before, so that its users miss it
// until it runs again.
//
// Restarts go before all new starts, whatever the share of their class, because the class with the largest share is
// the one whose tasks fail or are lost with their workers. A restart may displace any batch task that does not
// last. If none can be displaced, a worker is reserved for the restart at once.
func (t *task) isRestart() bool { return t.lasting && t.restart }

// startRestarts places restarts, oldest first. If more than maxRestartTries find no worker, the next Plan goes on
// with the remaining ones. The cost of these attempts does not count against the work bounds of the queues.
func (r *planRun) startRestarts() {
	list := &r.shares.restarts
	if list.first == nil {
		return
	}
	if list.cursor == nil {
		list.cursor = list.first
	}
	wastedVisits := r.wastedVisits
	for failed := 0; failed < maxRestartTries && list.cursor != nil && !r.limitReached(); {
		t := list.cursor
		list.cursor = t.next
		if !r.placeRestart(t) {
			failed++
		}
	}
	r.wastedVisits = wastedVisits
	r.failedDisplacements = 0
}

// placeRestart starts a restart, displaces other tasks for it or reserves a worker. It returns false if the restart
// stays in the list.
func (r *planRun) placeRestart(t *task) bool {
	t.desired = r.booking(t)
	if !t.class.allowsBooking(t.desired) {
		return false
	}
	if n := r.chooseNode(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return true
	}
	if n := r.chooseKept(t); n != nil {
		r.shares.dequeue(t)
		r.startInKept(t, n)
		return true
	}
	if r.now < t.retryAt || r.failedDisplacements >= maxFailedDisplacements {
		return false
	}
	if r.displace(t) {
		return true
	}
	if n := r.chooseLastResort(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return true
	}
	if r.reserveRestart(t) {
		return true
	}
	t.retryAt = r.now + stamp(displaceRetryDelay)
	r.failedDisplacements++
	return false
}

// reserveRestart claims a sampled worker on which the restart fits once all tasks that do not last, including
// urgent ones, have ended.
func (r *planRun) reserveRestart(t *task) bool {
	count := 0
	for _, cl := range r.claims {
		if cl.task != nil && cl.task.isRestart() {
			count++
		}
	}
	if count >= min(maxRestartClaims, max(1, len(r.nodes)/restartClaimDivisor)) {
		return false
	}
	r.sampleFreeAfterFinite(t)
	return r.reserveSampled(t, func(v *task) bool { return !v.lasting })
}

// chooseLastResort returns a quarantined worker that can hold a restart, or nil. A restart that fails there has at
// least been tried, and one that keeps running shows that the worker is sound again.
func (r *planRun) chooseLastResort(t *task) *node {
	req := r.request(t)
	req.LastResort = true
	return r.chooseQuarantined(t, &req, func(n *node) bool { return n.worker.LastResort && n.described })
}

// chooseQuarantined returns a quarantined worker for which takes holds and that can hold the task, or nil. A worker gets
// one such task in each lastResortInterval.
func (r *planRun) chooseQuarantined(t *task, req *Request, takes func(*node) bool) *node {
	r.sampleNodesWhere(func(n *node) bool {
		return n.worker.Quarantined && takes(n) && r.now >= n.nextLastResortAt && t.desired.Fits(n.Available())
	})
	r.filterSampled(req)
	best := r.bestNode(req)
	if best != nil {
		best.nextLastResortAt = r.now + stamp(lastResortInterval)
	}
	return best
}

// sampleFreeAfterFinite samples workers that can hold the task once all tasks that do not last have ended.
func (r *planRun) sampleFreeAfterFinite(t *task) {
	r.sampleNodesWhere(func(n *node) bool { return n.acceptsTasks() && t.desired.Fits(n.freeAfterFinite()) })
}

// sampleNodesWhere fills sampledSlots with workers for which fits holds, starting at a random one. It serves
// conditions that no index covers.
func (r *planRun) sampleNodesWhere(fits func(*node) bool) {
	r.sampledSlots = r.sampledSlots[:0]
	if len(r.nodes) == 0 {
		return
	}
	start := r.rng.IntN(len(r.nodes))
	for i := range min(len(r.nodes), r.opts.SearchBudget) {
		slot := (start + i) % len(r.nodes)
		if !fits(r.nodes[slot]) {
			continue
		}
		if r.sampledSlots = append(r.sampledSlots, slot); len(r.sampledSlots) == r.opts.Candidates {
			return
		}
	}
}
