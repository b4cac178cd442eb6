package placement

import "time"

const (
	// maxRestartTries bounds the restarts of one Plan that find no room, and maxRestartClaims the workers of a cell that are
	// reserved for restarts, restartPart their part of it. Room that is kept idle costs less than a lasting task that does
	// not run, but others have to get on if a large part of the workers is lost.
	maxRestartTries  = 32
	maxRestartClaims = 64
	restartPart      = 4
	// lastResortPause is how often a worker in quarantine gets a restart. It may fail each at once; within the 6 s in which a
	// lasting task has to run again several tries are left.
	lastResortPause = time.Second
)

// restarts reports whether the task is a restart: a lasting task that may have run before, so that its users miss it.
//
// Restarts go first: before all new starts, whatever the share of their class, because the class that has the most is the
// one whose tasks fail or are lost with their workers. A restart may displace any batch task that does not last, and where
// none can give way a worker is reserved for it at once.
func (t *task) restarts() bool { return t.lasting && t.attempt > 1 }

// startRestarts places restarts, in the order in which they came. If more than a Plan may try find no room, the next one
// goes on with the others. What the tries cost does not count against the work on the queues.
func (r *round) startRestarts() {
	list := &r.shares.restarts
	if list.first == nil {
		return
	}
	if list.cursor == nil {
		list.cursor = list.first
	}
	vain := r.vain
	for failed := 0; failed < maxRestartTries && list.cursor != nil && !r.full(); {
		t := list.cursor
		list.cursor = t.next
		if !r.placeRestart(t) {
			failed++
		}
	}
	r.vain = vain
	r.stuckTries = 0
}

// placeRestart starts a restart, makes room for it or reserves a worker; false if it has to wait in the list.
func (r *round) placeRestart(t *task) bool {
	t.want = r.booking(t)
	if !t.class.admits(t.want) {
		return false
	}
	if n := r.choose(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return true
	}
	if r.now < t.retryAt || r.stuckTries >= maxStuckTries {
		return false
	}
	if r.displace(t) {
		return true
	}
	if n := r.lastResort(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return true
	}
	if r.reserveRestart(t) {
		return true
	}
	t.retryAt = r.now + stamp(displaceRetry)
	r.stuckTries++
	return false
}

// reserveRestart claims a worker of a sample of those where the restart fits once what does not last has ended, urgent
// tasks too.
func (r *round) reserveRestart(t *task) bool {
	claims := 0
	for _, cl := range r.Cell.claims {
		if cl.task != nil && cl.task.restarts() {
			claims++
		}
	}
	if claims >= min(maxRestartClaims, max(1, len(r.nodes)/restartPart)) {
		return false
	}
	r.sampleEnding(t)
	return r.reserveSampled(t, func(v *task) bool { return !v.lasting })
}

// lastResort returns a worker in quarantine that has room for a restart, or nil. A restart that fails there has been tried at
// least, and one that goes on shows that the worker is sound again.
func (r *round) lastResort(t *task) *node {
	r.sampleWhere(func(n *node) bool {
		w := &n.worker
		return w.Quarantined && w.LastResort && n.known && r.now >= n.resortAt && t.want.Fits(n.Available())
	})
	req := r.request(t)
	req.LastResort = true
	r.admit(&req)
	best := r.best(&req)
	if best != nil {
		best.resortAt = r.now + stamp(lastResortPause)
	}
	return best
}

// sampleEnding fills slots with workers that can hold the task once what does not last has ended.
func (r *round) sampleEnding(t *task) {
	r.sampleWhere(func(n *node) bool { return n.accepts() && t.want.Fits(n.ending()) })
}

// sampleWhere fills slots with workers for which fits holds, from a random one on. It is for what no index tells.
func (r *round) sampleWhere(fits func(*node) bool) {
	r.slots = r.slots[:0]
	if len(r.nodes) == 0 {
		return
	}
	start := r.rng.IntN(len(r.nodes))
	for i := range min(len(r.nodes), r.opts.SearchBudget) {
		slot := (start + i) % len(r.nodes)
		if !fits(r.nodes[slot]) {
			continue
		}
		if r.slots = append(r.slots, slot); len(r.slots) == r.opts.Candidates {
			return
		}
	}
}
