package placement

import (
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// round is the work of one Plan call.
type round struct {
	*Cell
	limit int
	plan  Plan
	// work is the work done on queued tasks, and vain counts the index nodes visited by searches in vain.
	work, vain int
	// blocked counts the queues left out.
	blocked int
	// moves counts the fillers that were tried to be moved.
	moves int
	// stuckTries counts the urgent tasks for which no room could be made.
	stuckTries int
	// mostServed is the largest weighted share of a batch class at the start of the Plan.
	mostServed float64
	// claims counts the claims made; each becomes a start later and counts against the limit.
	claims int
	// tooLarge lists bookings for which the index has no worker. While the queues are served nothing becomes free, so
	// tasks at least as large need no search.
	tooLarge []resource.Vector
	// misfit is the group of the last task that found no worker. While the queues are served nothing becomes free, so that
	// the others of the group need no search.
	misfit group
	// stuck lists urgent tasks for which no room could be made; larger ones of the same class are not tried.
	stuck []*task
	// touched lists the queues whose cursors are in use.
	touched []*tenantQueue
}

// outcome tells what became of one try to place a task.
type outcome uint8

const (
	// placed tasks have left the queue.
	placed outcome = iota
	// limited tasks would exceed the limits of their class.
	limited
	// unplaced tasks fit nowhere now.
	unplaced
)

// Plan implements Planner. Claimed workers come first, then restarts, then the queues in the order of their weighted shares.
func (c *Cell) Plan(now time.Time, limit int) Plan {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runRound(now, limit).plan
}

func (c *Cell) runRound(now time.Time, limit int) *round {
	if c.sweepDue {
		c.sweep()
	}
	if len(c.missed) > mostMissed {
		clear(c.missed)
	}
	if c.shares.stale {
		c.shares.rekey()
	}
	c.now = max(c.now, stampOf(now))
	c.shares.now = c.now
	r := &round{Cell: c, limit: limit, mostServed: c.shares.mostServed()}
	if c.shares.cycle == 0 {
		c.depth = min(c.opts.BackfillDepth, maxBackfill/(1+c.shares.waiting()))
	}
	r.plan.Impossible = c.reports
	c.reports = nil
	c.round++
	r.relieve()
	r.paceFillers()
	r.reviewClaims()
	r.startComplete()
	r.tooLarge = r.tooLarge[:0]
	r.startRestarts()
	r.shares.revisit(maxRevisited, r.hasFreed)
	clear(r.freed)
	r.freed = r.freed[:0]
	r.startQueued()
	r.startComplete()
	r.unthrottle()
	return r
}

// full reports whether the starts asked for have been decided.
func (r *round) full() bool { return len(r.plan.Starts)+r.claims >= r.limit }

// exhausted reports whether the Plan has done the work that one Plan may do.
func (r *round) exhausted() bool {
	return r.work >= maxWork || r.vain >= maxVain || r.blocked >= maxBlocked
}

// startQueued places queued tasks until the limit or the budget of the round is reached or nothing more fits.
func (r *round) startQueued() {
	for !r.full() {
		q := r.shares.next()
		if q == nil {
			break
		}
		if q.tried == 0 && r.exhausted() {
			break
		}
		if q.tried == 0 && q.cursor == nil {
			q.cursor = q.first
			r.touched = append(r.touched, q)
		}
		t := q.cursor
		r.work++
		if late := t.rankAt(r.now); late > t.rank && late >= rankLate {
			q.cursor = q.demote(t, late)
			continue
		}
		switch r.place(t, t == q.first) {
		case placed:
			r.work += startWork
			r.endOfQueue(q)
		case limited:
			r.shares.blockClass(t.class)
		case unplaced:
			q.cursor = t.next
			if q.tried == 0 {
				q.floor = t.want
			}
			q.floor = least(q.floor, t.want)
			q.tried++
			r.endOfQueue(q)
		}
	}
	r.endQueued()
}

// endOfQueue leaves a queue out once all its tasks, or as many as backfilling allows, have been tried.
func (r *round) endOfQueue(q *tenantQueue) {
	if q.length > 0 && q.tried > 0 && (q.cursor == nil || q.tried > r.depth) {
		r.shares.block(q)
		r.blocked++
	}
}

// endQueued ends the work on the queues. Those left out come back unless the Plan ended before it had seen all others.
func (r *round) endQueued() {
	for _, q := range r.touched {
		q.cursor, q.tried = nil, 0
	}
	waiting := r.shares.next() != nil
	if waiting && !r.full() && r.shares.cycle < maxCycle {
		r.shares.cycle++
		r.plan.More = true
		return
	}
	r.plan.More = waiting && r.full()
	r.shares.unblock()
}

// place tries to start a task, or to claim a worker for it.
func (r *round) place(t *task, first bool) outcome {
	t.want = r.booking(t)
	if !t.class.admits(t.want) {
		return limited
	}
	if n := r.choose(t); n != nil {
		r.shares.dequeue(t)
		r.start(t, n)
		return placed
	}
	if r.mayDisplace(t) {
		r.work += displaceWork
		if r.displace(t) {
			return placed
		}
		t.retryAt = r.now + stamp(displaceRetry)
		r.stuckTries++
		r.stuck = append(r.stuck, t)
	}
	if first && r.reserve(t) {
		return placed
	}
	return unplaced
}

// start books a task that is in no queue and adds the decision.
func (r *round) start(t *task, n *node) {
	t.started = r.now
	t.round = r.round
	t.blocked = noTime
	r.book(t, n)
	n.changed = r.now
	r.settle(n)
	r.plan.Starts = append(r.plan.Starts, Start{
		Task:    t.id,
		Attempt: t.attempt,
		Worker:  n.worker.ID,
		Booked:  t.booked,
	})
}

// choose returns the best worker of a sample of those that fit, or nil.
func (r *round) choose(t *task) *node {
	g := r.groupOf(t)
	if r.isTooLarge(t.want) || r.misfit == g || r.hasMissed(t, g) {
		return nil
	}
	visited := r.sample(&r.free, t.want)
	if len(r.slots) == 0 {
		r.vain += visited
		r.tooLarge = append(r.tooLarge, t.want)
		return nil
	}
	req := r.request(t)
	r.admit(&req)
	best := r.explore(&req)
	if best == nil {
		best = r.best(&req)
	}
	if best == nil {
		r.vain += visited
		r.misfit = g
		if t.constraints.Filler {
			r.missed[g] = r.now
		}
	}
	return best
}

// hasMissed reports whether no worker was found for a filler of the group a moment ago. In a flood hundreds of groups wait,
// and a search looks at every worker.
func (r *round) hasMissed(t *task, g group) bool {
	if !t.constraints.Filler {
		return false
	}
	at, ok := r.missed[g]
	return ok && r.now.since(at) < missPause
}

// group names the tasks that differ in nothing that placement looks at.
type group struct {
	job      ident.JobID
	group    int
	avoid    int
	mostTail float64
}

func (r *round) groupOf(t *task) group {
	return group{t.id.Job, t.id.Group(), len(t.avoid), r.mostTail(t)}
}

// mostTail returns how long a tail a filler may be expected to cause. It rises with the time for which the filler waits,
// so that one which harms all serving tasks runs in the end, at the speed that pacing leaves it.
func (r *round) mostTail(t *task) float64 {
	switch waits := r.now.since(t.queuedAt); {
	case waits < r.opts.FillerPatience:
		return nearTail
	case waits < lastResort:
		return impatientTail
	default:
		return math.Inf(1)
	}
}

func (r *round) isTooLarge(need resource.Vector) bool {
	for _, v := range r.tooLarge {
		if v.Fits(need) {
			return true
		}
	}
	return false
}

// mayDisplace reports whether it is worth trying to make room for a task. A try that failed is repeated after a pause,
// and a few tries in each Plan fail at most.
func (r *round) mayDisplace(t *task) bool {
	if !t.class.urgent || r.now < t.retryAt || r.stuckTries >= maxStuckTries || r.isStuck(t) {
		return false
	}
	return r.shares.normalized(t.class, t.class.charged.Add(t.want)) <= r.mostServed
}

func (r *round) isStuck(t *task) bool {
	for _, s := range r.stuck {
		if s.class == t.class && s.want.Fits(t.want) {
			return true
		}
	}
	return false
}

func (r *round) request(t *task) Request {
	req := Request{
		Task: t.id, Class: t.class.index, Urgent: t.class.urgent, Booking: t.want, Avoid: t.avoid,
		Lasting: t.lasting,
		Pool:    t.pool, Constraints: t.constraints, Wish: t.wish,
		image:    t.image,
		MostTail: r.mostTail(t),
	}
	if t.constraints.Filler {
		req.noise = r.noise(t)
	}
	return req
}

// sample fills slots with workers of an index that can hold need, from a random one on. It returns the work done.
func (c *Cell) sample(index *maxTree, need resource.Vector) (visited int) {
	c.slots = c.slots[:0]
	if len(c.nodes) > 0 {
		start := c.rng.IntN(len(c.nodes))
		c.slots, visited = index.find(need, start, c.opts.Candidates, c.opts.SearchBudget, c.slots)
	}
	return visited
}

// admit fills candidates with the sampled workers that pass the required filters.
func (c *Cell) admit(req *Request) {
	c.candidates = c.candidates[:0]
	for _, slot := range c.slots {
		n := c.nodes[slot]
		if !passes(c.required, c.spread, req, n) {
			continue
		}
		if !req.Constraints.Filler || c.tailBeside(req, n) <= req.MostTail {
			c.candidates = append(c.candidates, n)
		}
	}
}

// best returns the candidate with the highest score that has room. Candidates that pass the preferred filters go
// before those that do not.
func (c *Cell) best(req *Request) *node {
	var (
		best      *node
		bestScore float64
		preferred bool
	)
	for _, n := range c.candidates {
		if !(fitFilter{}).Admits(c.spread, req, n) {
			continue
		}
		p := passes(c.preferred, c.spread, req, n)
		if preferred && !p {
			continue
		}
		score := c.score(req, n)
		if best == nil || (p && !preferred) || score > bestScore {
			best, bestScore, preferred = n, score, p
		}
	}
	return best
}

// score returns the weighted sum of the scores.
func (c *Cell) score(req *Request, n *node) float64 {
	if req.Constraints.Filler {
		score := fillerScore{}.Score(c.spread, req, n) - tailWeight*max(0, c.tailBeside(req, n)-calmTail)
		if n.serving == 0 {
			score -= quietWeight * (1 - req.noise)
		}
		return score
	}
	sum := 0.0
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

func passes(filters []Filter, s Snapshot, req *Request, n *node) bool {
	for _, f := range filters {
		if !f.Admits(s, req, n) {
			return false
		}
	}
	return true
}
