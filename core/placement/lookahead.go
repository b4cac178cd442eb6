package placement

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/forecast"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// defaultLookAheadAfter is how long the first task of a queue may fail to fit before a worker is reserved for it. An urgent
	// task of about 1 s must start within 0.7 s to be on time.
	defaultLookAheadAfter = 100 * time.Millisecond
	// maxClassReservations bounds the reservations of one class.
	maxClassReservations = 4
	// maxForecasts bounds the tasks for which one Plan looks for the worker that fits first, and maxLendTries the
	// reservations for which it forecasts whether another task delays them, so that look-ahead adds at most 0.3 ms
	// to a Plan.
	maxForecasts = 2
	maxLendTries = 64
	// maxWanted bounds the sizes of waiting tasks that the score considers.
	maxWanted = 4
	// remainderWeight makes a task avoid a worker where it takes the room of a waiting size. With 2, in place of 0.5,
	// urgent tasks wait longer and batch tasks shorter.
	remainderWeight = 0.5
)

// LookAheadStats counts what look-ahead did since the cell was created.
type LookAheadStats struct {
	// Reserved counts the reservations, Kept those whose task started on the reserved worker, Elsewhere those whose
	// task found room on another worker first, Expired those whose forecast was wrong. The others were withdrawn
	// with their worker or task.
	Reserved, Kept, Elsewhere, Expired int64
	// Backfilled counts the starts in reserved room that were not expected to delay the reserved task, Yielded those
	// of tasks that go before reservations.
	Backfilled, Yielded int64
	// Forecasts counts the forecasts whose outcome is known, ForecastError is the sum of their absolute errors.
	Forecasts     int64
	ForecastError time.Duration
}

// lookAhead is what the cell has learnt and noted for look-ahead placement.
type lookAhead struct {
	runTimes *forecast.RunTimes
	errors   forecast.Errors
	stats    LookAheadStats
	// timeline and lines are buffers.
	timeline forecast.Timeline
	lines    []*forecast.Timeline
	// wanted lists sizes of tasks that were the first of their queues and did not fit in the last cycle, unplaced
	// those of the current cycle.
	wanted, unplaced []wantedSize
}

// wantedSize is the size of a task that waits.
type wantedSize struct {
	resource.Vector
	urgent bool
}

// lookAheadWork is the work that look-ahead did in one Plan.
type lookAheadWork struct {
	forecasts, lendTries int
	// yielding is set while reservations of batch tasks give way to urgent tasks that have not been considered.
	yielding bool
	// unlent is the signature of the last task that may use no reserved room, if hasUnlent is set.
	unlent    taskSignature
	hasUnlent bool
}

// LookAhead returns the counters of look-ahead.
func (c *Cell) LookAhead() LookAheadStats {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.lookAhead.stats
	s.ForecastError, s.Forecasts = c.lookAhead.errors.Total()
	return s
}

// startCycle makes the sizes that did not fit in the last cycle the wanted ones.
func (l *lookAhead) startCycle() {
	l.wanted, l.unplaced = l.unplaced, l.wanted[:0]
}

func (l *lookAhead) noteUnplaced(t *task) {
	if t.constraints.Filler || len(l.unplaced) >= maxWanted {
		return
	}
	if size := (wantedSize{t.desired, t.class.urgent}); !slices.Contains(l.unplaced, size) {
		l.unplaced = append(l.unplaced, size)
	}
}

// lostRoom returns for which part of the wanted sizes a worker holds fewer tasks after a start than before it. Sizes that
// are not larger than the task do not count, and urgent tasks do not give way to the sizes of batch tasks.
func (l *lookAhead) lostRoom(r *Request, n NodeInfo) float64 {
	if len(l.wanted) == 0 {
		return 0
	}
	lost := 0
	free := n.Available()
	for _, size := range l.wanted {
		if r.Urgent && !size.urgent || !size.Fits(free) || size.Fits(r.Booking) {
			continue
		}
		if copies(free.Sub(r.Booking), size.Vector) < copies(free, size.Vector) {
			lost++
		}
	}
	return float64(lost) / float64(len(l.wanted))
}

// copies returns how many tasks of a size fit.
func copies(free, size resource.Vector) int64 {
	n := int64(unboundedAmount)
	for _, d := range [...][2]int64{{free.MilliCPU, size.MilliCPU}, {free.MemoryMB, size.MemoryMB}, {free.Accelerators, size.Accelerators}} {
		if d[1] > 0 {
			n = min(n, max(d[0], 0)/d[1])
		}
	}
	return n
}

// imageKey is the name under which the run times of a task are learnt.
func (t *task) imageKey() string {
	if t.constraints.Image != "" {
		return t.constraints.Image
	}
	return string(t.class.name)
}

// learnRunTime learns from a task that is released and was not told to stop.
func (c *Cell) learnRunTime(t *task) {
	if t.state == running && !t.lasting && t.startedAt != noTime && !c.opts.NoLookAhead {
		c.lookAhead.runTimes.Observe(t.imageKey(), c.now.since(t.startedAt))
	}
}

// reserveAfter returns how long the first task of a queue may fail to fit before a worker is reserved for it.
func (c *Cell) reserveAfter(t *task) time.Duration {
	if c.opts.NoLookAhead || t.constraints.Filler {
		return c.opts.ReserveAfter
	}
	return c.opts.lookAheadAfter
}

// reserveAhead reserves the sampled worker on which a task is expected to fit first. For a task that would only become
// late there, it does so after Options.ReserveAfter.
func (r *planRun) reserveAhead(t *task) bool {
	if r.now < t.reserveRetryAt || r.forecasts >= maxForecasts || !r.mayReserve(t.class) {
		return false
	}
	r.forecasts++
	t.reserveRetryAt = r.now + stamp(r.opts.lookAheadAfter)
	r.sampleFreeAfterFinite(t)
	req := r.request(t)
	r.filterSampled(&req)
	n, wait := r.soonestNode(t)
	if n == nil || t.rankAt(r.now+stamp(wait)) > t.rank && !r.hasQueued(t) {
		return false
	}
	r.claimNode(t, n, r.now, false)
	t.claim.expectedAt = r.now + stamp(wait)
	t.claim.expiresAt = t.claim.expectedAt + stamp(r.lookAhead.errors.Spread(wait)*time.Duration(1+t.expiredClaims))
	r.newClaims++
	r.lookAhead.stats.Reserved++
	return true
}

// soonestNode returns the candidate without a claim on which a task is expected to fit first, or nil.
func (c *Cell) soonestNode(t *task) (soonest *node, wait time.Duration) {
	for _, n := range c.candidates {
		if len(n.claims) > 0 || n.worker.Quarantined {
			continue
		}
		line := &c.lookAhead.timeline
		c.fillTimeline(line, n, n.Available())
		if in, ok := line.Fits(t.desired); ok && (soonest == nil || in < wait) {
			soonest, wait = n, in
		}
	}
	return soonest, wait
}

// fillTimeline fills a timeline with the expected ends on a worker.
func (c *Cell) fillTimeline(line *forecast.Timeline, n *node, free resource.Vector) {
	line.Reset(free)
	for _, t := range n.tasks {
		if !t.lasting {
			line.Add(c.lookAhead.runTimes.Remaining(t.imageKey(), t.runTime, c.now.since(t.startedAt)), t.booked)
		}
	}
}

// urgentWaits reports whether a task of an urgent class is queued.
func (c *Cell) urgentWaits() bool { return len(c.shares.urgent) > 0 || len(c.shares.blockedUrgent) > 0 }

// mustYield reports whether the task of a claim may not start yet, because urgent tasks go before it.
func (r *planRun) mustYield(cl *claim) bool {
	return r.yielding && cl.isReservation() && !cl.task.class.urgent
}

// startYielding starts what reservations of batch tasks allow, once the urgent tasks that go before them have been
// considered. It returns false if it has done so already.
func (r *planRun) startYielding() bool {
	if !r.yielding {
		return false
	}
	r.yielding = false
	r.reviewClaims()
	r.startCompleteClaims()
	r.tooLarge, r.unplacedSignature, r.hasUnlent = r.tooLarge[:0], taskSignature{}, false
	return true
}

// yieldable returns what reservations of batch tasks hold on a worker, which urgent tasks may get.
func (n *node) yieldable() (held resource.Vector) {
	for _, cl := range n.claims {
		if cl.isReservation() && !cl.task.class.urgent {
			held = held.Add(cl.held)
		}
	}
	return held
}

// Reserved implements NodeInfo.
func (n *node) Reserved() (held resource.Vector) {
	for _, cl := range n.claims {
		if cl.isReservation() {
			held = held.Add(cl.held)
		}
	}
	return held
}

// isReservation reports whether the claim is one of reserveAhead.
func (cl *claim) isReservation() bool { return cl.task != nil && cl.expectedAt != noTime }

// expireReservation ends a reservation that was not filled in time and requeues its task. The next one for the task gets
// more time, so that it does not lose what has become free for it again and again.
func (r *planRun) expireReservation(cl *claim) bool {
	if !cl.isReservation() || cl.isComplete() || r.now <= cl.expiresAt {
		return false
	}
	t := cl.task
	r.noteOutcome(cl)
	r.lookAhead.stats.Expired++
	t.expiredClaims = min(t.expiredClaims+1, 8)
	t.blockedSince = r.now
	r.releaseClaim(cl)
	r.shares.requeueFront(t)
	r.distributeFree(cl.node)
	return true
}

// noteOutcome learns from a forecast whose outcome is known.
func (c *Cell) noteOutcome(cl *claim) {
	c.lookAhead.errors.Observe(cl.expectedAt.since(cl.createdAt), c.now.since(cl.createdAt))
}

func (c *Cell) noteKept(cl *claim) {
	if cl.isReservation() {
		c.noteOutcome(cl)
		c.lookAhead.stats.Kept++
	}
}

func (c *Cell) noteStartElsewhere(cl *claim) {
	if cl.isReservation() {
		c.lookAhead.stats.Elsewhere++
	}
}

// chooseReserved returns the best worker on which a task may use what a reservation holds, and frees it there, or nil. For
// restarts see chooseKept.
func (r *planRun) chooseReserved(t *task) *node {
	if r.opts.NoLookAhead || len(r.claims) == 0 || t.constraints.Filler {
		return nil
	}
	if !r.anyHolds(t.desired) {
		return nil
	}
	signature := r.signatureOf(t)
	if r.hasUnlent && r.unlent == signature {
		return nil
	}
	req := r.request(t)
	withinGuarantee := r.shares.withinGuarantee(t.class, t.desired)
	length := forecast.Unknown
	if !t.lasting {
		length = r.lookAhead.runTimes.Length(t.imageKey(), t.runTime)
	}
	var (
		best      *claim
		bestScore float64
	)
	for _, cl := range r.claims {
		if !cl.lendable(t.desired) {
			continue
		}
		if !passesAll(r.required, r.spread, &req, cl.node) || !r.yields(cl, t, withinGuarantee) && !r.lends(cl, t, length) {
			continue
		}
		if score := r.score(&req, cl.node); best == nil || score > bestScore {
			best, bestScore = cl, score
		}
	}
	if best == nil {
		r.unlent, r.hasUnlent = signature, true
		return nil
	}
	if r.yields(best, t, withinGuarantee) {
		r.lookAhead.stats.Yielded++
	} else {
		r.lookAhead.stats.Backfilled++
	}
	n := best.node
	missing := t.desired.Sub(n.Available()).Max(resource.Vector{})
	best.held = best.held.Sub(missing)
	n.held = n.held.Sub(missing)
	return n
}

// lendable reports whether the claim is a reservation on whose worker a need fits in what it holds and what is free.
func (cl *claim) lendable(need resource.Vector) bool {
	return cl.isReservation() && need.Fits(cl.node.Available().Add(cl.held))
}

// anyHolds reports whether a need fits what some reservation holds.
func (c *Cell) anyHolds(need resource.Vector) bool {
	return slices.ContainsFunc(c.claims, func(cl *claim) bool { return cl.lendable(need) })
}

// yields reports whether a reservation gives way to a task whatever that delays: if it is of a batch class, to urgent
// tasks within their guaranteed share or of a class whose share is not above that of the batch class. For restarts see
// yieldsToRestart.
func (r *planRun) yields(cl *claim, t *task, withinGuarantee bool) bool {
	if !t.class.urgent || cl.task.class.urgent {
		return false
	}
	return withinGuarantee || r.shares.weightedShare(t.class, t.class.charged.Add(t.desired)) <= cl.task.class.key
}

// lends reports whether a reserved task is still expected to fit no later than promised, or than it would otherwise, if a
// task runs on its worker for a time.
func (r *planRun) lends(cl *claim, t *task, length time.Duration) bool {
	if cl.isComplete() || r.lendTries >= maxLendTries {
		return false
	}
	r.lendTries++
	n, need := cl.node, cl.task.desired
	line := &r.lookAhead.timeline
	r.fillTimeline(line, n, n.Available().Add(n.held).Sub(n.claimed).Add(need))
	latest := max(cl.expectedAt, r.now)
	if in, ok := line.Fits(need); ok {
		latest = max(latest, r.now+stamp(in))
	}
	line.Take(t.desired, length)
	in, ok := line.Fits(need)
	return ok && r.now+stamp(in) <= latest
}
