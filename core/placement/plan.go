package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// planRun is the state of one Plan call.
type planRun struct {
	*Cell
	limit int
	plan  Plan
	// work is the work done on queued tasks, wastedVisits the index nodes visited by unsuccessful searches.
	work, wastedVisits int
	// blockedQueues counts the queues blocked by this Plan.
	blockedQueues int
	// moveTries counts the fillers for which a move was tried.
	moveTries int
	// failedDisplacements counts the tasks for which displacing others failed.
	failedDisplacements int
	// maxBatchShare is the largest weighted share of a batch class at the start of the Plan.
	maxBatchShare float64
	// idleJobSearches counts the searches for workers for idle jobs.
	idleJobSearches int
	// newClaims counts the claims made; each becomes a start later and counts against the limit.
	newClaims int
	// tooLarge lists bookings for which the index has no worker. Nothing becomes free while the queues are served,
	// so tasks that are at least as large need no search.
	tooLarge []resource.Vector
	// unplacedSignature is the signature of the last task that found no worker. Nothing becomes free while the
	// queues are served, so other tasks of the signature need no search.
	unplacedSignature taskSignature
	// undisplaceable lists the urgent tasks for which displacing others failed; larger ones of the same class are
	// not tried.
	undisplaceable []*task
	lookAheadWork
	kept keptRoom
	// rackForecasts counts the forecasts for full racks.
	rackForecasts int
	// touchedQueues lists the queues whose cursors are in use.
	touchedQueues []*tenantQueue
}

// outcome is the result of an attempt to place a task.
type outcome uint8

const (
	// placed tasks have left the queue.
	placed outcome = iota
	// limited tasks would exceed the limits of their class.
	limited
	// unplaced tasks fit no worker now.
	unplaced
	// postponed tasks wait for room near their data.
	postponed
)

// Plan implements Planner. Complete claims are started first, then restarts, then the queues in the order of their
// weighted shares.
func (c *Cell) Plan(now time.Time, limit int) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runPlan(now, limit).plan
}

func (c *Cell) runPlan(now time.Time, limit int) *planRun {
	if c.recheckDue {
		c.recheckWaiting()
	}
	if len(c.fillerMisses) > maxFillerMisses {
		clear(c.fillerMisses)
	}
	if c.shares.keysStale {
		c.shares.recomputeKeys()
	}
	if c.plannedAt.IsZero() {
		c.startClock(now)
	} else {
		c.advance(now)
	}
	c.shares.now = c.now
	r := &planRun{Cell: c, limit: limit, maxBatchShare: c.shares.maxBatchShare()}
	if c.shares.cyclePlans == 0 {
		c.lookAhead.startCycle()
		c.backfillDepth = min(c.opts.BackfillDepth, maxBackfillTasks/(1+c.shares.waitingClasses()))
	}
	r.plan.Impossible = c.impossibleReports
	c.impossibleReports = nil
	c.planSeq++
	r.relieveOverload()
	r.paceFillers()
	r.yielding = r.urgentWaits()
	r.reviewClaims()
	r.startCompleteClaims()
	r.tooLarge = r.tooLarge[:0]
	r.startRestarts()
	r.shares.unblockUrgent(maxUnblockedUrgent, r.fitsFreed)
	clear(r.freedNodes)
	r.freedNodes = r.freedNodes[:0]
	r.startQueued()
	r.startYielding()
	r.finishQueues()
	r.startIdleJobs()
	r.startCompleteClaims()
	r.unthrottle()
	return r
}

// limitReached reports whether the starts and new claims of the Plan reach the limit of the caller.
func (r *planRun) limitReached() bool { return len(r.plan.Starts)+r.newClaims >= r.limit }

// workExhausted reports whether the Plan has done the work that one Plan may do.
func (r *planRun) workExhausted() bool {
	return r.work >= maxPlanWork || r.wastedVisits >= maxWastedVisits || r.blockedQueues >= maxBlockedQueues
}

// startQueued places queued tasks until the limit or the work bound of the Plan is reached or nothing more fits.
func (r *planRun) startQueued() {
	for !r.limitReached() {
		q := r.shares.nextTenant()
		if q == nil {
			break
		}
		if q.tried == 0 && r.workExhausted() {
			break
		}
		if !q.class.urgent && r.startYielding() {
			continue
		}
		if q.tried == 0 && q.cursor == nil {
			q.cursor = q.first
			r.touchedQueues = append(r.touchedQueues, q)
		}
		t := q.cursor
		r.work++
		if newRank := t.rankAt(r.now); newRank > t.rank && newRank >= rankLate {
			q.cursor = q.demote(t, newRank)
			continue
		}
		switch r.place(t, t == q.first) {
		case placed:
			r.work += startWork
			r.blockIfExhausted(q)
		case limited:
			r.shares.blockClass(t.class)
		case unplaced:
			q.skip(t)
			q.tried++
			r.blockIfExhausted(q)
		case postponed:
			// Tasks that wait for one rack do not use up the tries of those behind them.
			q.skip(t)
			q.tried = max(q.tried, 1)
			r.blockIfExhausted(q)
		}
	}
}

// skip goes on behind a task that has not been placed.
func (q *tenantQueue) skip(t *task) {
	q.cursor = t.next
	if q.tried == 0 {
		q.minTried = t.desired
	}
	q.minTried = minPerDimension(q.minTried, t.desired)
}

// blockIfExhausted blocks a queue once all its tasks, or as many as the backfill depth allows, have been tried.
func (r *planRun) blockIfExhausted(q *tenantQueue) {
	if q.length > 0 && q.tried > 0 && (q.cursor == nil || q.tried > r.backfillDepth) {
		r.shares.blockTenant(q)
		r.blockedQueues++
	}
}

// finishQueues ends the work on the queues. It unblocks the blocked ones unless the Plan ended before it reached
// all others.
func (r *planRun) finishQueues() {
	for _, q := range r.touchedQueues {
		q.cursor, q.tried = nil, 0
	}
	waiting := r.shares.nextTenant() != nil
	if waiting && !r.limitReached() && r.shares.cyclePlans < maxCyclePlans {
		r.shares.cyclePlans++
		r.plan.More = true
		return
	}
	r.plan.More = waiting && r.limitReached()
	r.shares.unblockAll()
}

// place tries to start a task or to claim a worker for it.
func (r *planRun) place(t *task, first bool) outcome {
	t.desired = r.booking(t)
	if !t.class.allowsBooking(t.desired) {
		return limited
	}
	nearby, waits := r.chooseNearby(t)
	if waits {
		return postponed
	}
	n := nearby
	if n == nil {
		n = r.chooseNode(t)
	}
	if n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return placed
	}
	if n := r.chooseReserved(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return placed
	}
	if first && !r.opts.NoLookAhead {
		r.lookAhead.noteUnplaced(t)
	}
	if r.mayDisplace(t) {
		r.work += displaceWork
		if r.displace(t) {
			return placed
		}
		t.retryAt = r.now + stamp(displaceRetryDelay)
		r.failedDisplacements++
		r.undisplaceable = append(r.undisplaceable, t)
	}
	if first && r.failsToFit(t) {
		if n := r.chooseProbe(t); n != nil {
			r.shares.dequeue(t)
			r.start(t, n)
			return placed
		}
		if r.reserve(t) {
			return placed
		}
	}
	return unplaced
}

// start books a task that is in no queue and adds the start to the plan.
func (r *planRun) start(t *task, n *node) {
	t.startedAt = r.now
	t.startedInPlan = r.planSeq
	t.blockedSince = noTime
	r.book(t, n)
	n.tasksChangedAt = r.now
	r.distributeFree(n)
	r.plan.Starts = append(r.plan.Starts, Start{
		Task:    t.id,
		Attempt: t.attempt,
		Worker:  n.worker.ID,
		Booked:  t.booked,
	})
}

// chooseNode returns the best worker of a sample of those that fit, or nil.
func (r *planRun) chooseNode(t *task) *node {
	signature := r.signatureOf(t)
	if r.isTooLarge(t.desired) || r.unplacedSignature == signature || r.missedRecently(t, signature) {
		return nil
	}
	visited := r.sampleNodes(&r.free, t.desired)
	if len(r.sampledSlots) == 0 {
		r.wastedVisits += visited
		r.tooLarge = append(r.tooLarge, t.desired)
		return nil
	}
	req := r.request(t)
	r.filterSampled(&req)
	best := r.chooseTrialNode(&req)
	if best == nil {
		best = r.bestNode(&req)
	}
	if best == nil {
		r.wastedVisits += visited
		r.unplacedSignature = signature
		if t.constraints.Filler {
			r.fillerMisses[signature] = r.now
		}
	}
	return best
}

// missedRecently reports whether no worker was found for a filler of the signature within fillerRetryDelay. In a
// flood hundreds of signatures wait, and a search looks at every worker.
func (c *Cell) missedRecently(t *task, signature taskSignature) bool {
	if !t.constraints.Filler {
		return false
	}
	at, ok := c.fillerMisses[signature]
	return ok && c.now.since(at) < fillerRetryDelay
}

func (r *planRun) isTooLarge(need resource.Vector) bool {
	for _, v := range r.tooLarge {
		if v.Fits(need) {
			return true
		}
	}
	return false
}

// mayDisplace reports whether displacing other tasks for a task should be tried. A failed attempt is repeated after
// a pause, and the number of failures in each Plan is bounded.
func (r *planRun) mayDisplace(t *task) bool {
	if !t.class.urgent || r.now < t.retryAt || r.failedDisplacements >= maxFailedDisplacements || r.isUndisplaceable(t) {
		return false
	}
	return r.shares.weightedShare(t.class, t.class.charged.Add(t.desired)) <= r.maxBatchShare
}

func (r *planRun) isUndisplaceable(t *task) bool {
	for _, s := range r.undisplaceable {
		if s.class == t.class && s.desired.Fits(t.desired) {
			return true
		}
	}
	return false
}

func (c *Cell) request(t *task) Request {
	req := Request{
		Task: t.id, Class: t.class.index, Urgent: t.class.urgent, Booking: t.desired, Avoid: t.avoid,
		Lasting: t.lasting, HasWaited: c.hasQueued(t),
		Pool: t.pool, Constraints: t.constraints, DemandMilliCPU: t.demandMilliCPU,
		image:   t.image,
		MaxTail: c.maxTail(t),
	}
	if t.constraints.Filler {
		req.disturbance = c.disturbance(t)
	}
	return req
}

// sampleNodes fills sampledSlots with workers of an index that can hold need, starting at a random one. It returns
// the number of index nodes visited.
func (c *Cell) sampleNodes(index *maxTree, need resource.Vector) (visited int) {
	c.sampledSlots = c.sampledSlots[:0]
	if len(c.nodes) > 0 {
		start := c.rng.IntN(len(c.nodes))
		c.sampledSlots, visited = index.find(need, start, c.opts.Candidates, c.opts.SearchBudget, c.sampledSlots)
	}
	return visited
}

// filterSampled fills candidates with the sampled workers that pass the required filters.
func (c *Cell) filterSampled(req *Request) {
	c.candidates = c.candidates[:0]
	for _, slot := range c.sampledSlots {
		n := c.nodes[slot]
		if !passesAll(c.required, c.spread, req, n) {
			continue
		}
		if req.Constraints.Filler && !req.SharesProcessors && n.overTargetFor(c.now) >= maxOverTarget {
			// The filler would be paused at the next report.
			continue
		}
		if !req.Constraints.Filler || c.expectedTailWith(req, n) <= req.MaxTail {
			c.candidates = append(c.candidates, n)
		}
	}
}

// bestNode returns the candidate with the highest score that has the resources available. Candidates that pass the
// preferred filters go before those that do not.
func (c *Cell) bestNode(req *Request) *node {
	var (
		best          *node
		bestScore     float64
		bestPreferred bool
	)
	for _, n := range c.candidates {
		if !(fitFilter{}).Admits(c.spread, req, n) {
			continue
		}
		isPreferred := passesAll(c.preferred, c.spread, req, n)
		if bestPreferred && !isPreferred {
			continue
		}
		score := c.score(req, n)
		if best == nil || (isPreferred && !bestPreferred) || score > bestScore {
			best, bestScore, bestPreferred = n, score, isPreferred
		}
	}
	return best
}

// score returns the weighted sum of the scores that apply to the task.
func (c *Cell) score(req *Request, n *node) float64 {
	if req.Constraints.Filler {
		score := fillerScore{}.Score(c.spread, req, n) - tailPenaltyWeight*max(0, c.expectedTailWith(req, n)-lowTail)
		if n.serving == 0 {
			score -= noServingPenalty * (1 - req.disturbance)
		}
		return score
	}
	sum := -remainderWeight * c.lookAhead.lostRoom(req, n)
	if req.Constraints.Serving {
		sum += servingWeight * servingScore{}.Score(c.spread, req, n)
	}
	if req.Constraints.Rack != "" {
		sum += rackWeight * rackScore{}.Score(c.spread, req, n)
	}
	for _, s := range c.scores {
		sum += s.weight * s.Score.Score(c.spread, req, n)
	}
	return sum
}

func passesAll(filters []Filter, s Snapshot, req *Request, n *node) bool {
	for _, f := range filters {
		if !f.Admits(s, req, n) {
			return false
		}
	}
	return true
}
