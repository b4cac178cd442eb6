package placement

const (
	// maxRestartTries bounds the restarts of one Plan that find no room, and maxRestartClaims the workers of a cell that are
	// reserved for restarts, restartPart their part of it. Room that is kept idle costs less than a lasting task that does
	// not run, but others have to get on if a large part of the workers is lost.
	maxRestartTries  = 32
	maxRestartClaims = 64
	restartPart      = 4
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
	if r.displace(t) || r.reserveRestart(t) {
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

// sampleEnding fills slots with workers that can hold the task once what does not last has ended, from a random one on.
func (r *round) sampleEnding(t *task) {
	r.slots = r.slots[:0]
	if len(r.nodes) == 0 {
		return
	}
	start := r.rng.IntN(len(r.nodes))
	for i := range min(len(r.nodes), r.opts.SearchBudget) {
		slot := (start + i) % len(r.nodes)
		if n := r.nodes[slot]; !n.accepts() || !t.want.Fits(n.ending()) {
			continue
		}
		if r.slots = append(r.slots, slot); len(r.slots) == r.opts.Candidates {
			return
		}
	}
}
