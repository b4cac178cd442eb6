package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxIdleJobs bounds the idle jobs that one Plan looks at, maxIdleJobSearches the searches for workers for them.
	maxIdleJobs        = 256
	maxIdleJobSearches = 16
	// idleJobRetryDelay is the pause before the next look at an idle job for which nothing could be done.
	idleJobRetryDelay = 500 * time.Millisecond
	// minIdleJobPace is the lowest pace at which a filler of an idle job is resumed. The margin to earlier harmful paces
	// alone would bring it to a standstill in a few turns.
	minIdleJobPace = 0.5
	// maxOverTargetOfStart is how long a serving task may miss its target before fillers of idle jobs no longer start
	// beside it as usual. It leaves them a second until maxOverTarget.
	maxOverTargetOfStart = 500 * time.Millisecond
	// idleJobTurn is how long fillers of idle jobs work beside a serving task that misses its target without them. A turn
	// and the time until the tail shows that it has ended stay well below the 4 s that platforms allow.
	idleJobTurn = time.Second
	// maxTurnFillers bounds the fillers that work on one worker in a turn: the calls that end it must not queue, because at
	// most that many go to a worker at the same time. maxPausedFillers bounds the fillers that are placed paused on a
	// worker, so that they leave memory to tasks that can work.
	maxTurnFillers   = 8
	maxPausedFillers = 16
	// pausedStartPatience is how long a job may have nothing on any worker before one of its fillers is placed although it
	// may not work there yet.
	pausedStartPatience = 2 * time.Second
)

// startIdleJobs lets one filler of each job work that has had none at work for mostlyFreePatience, while most of the
// capacity is free by what is booked. In a flood the other fillers use all processors, and jobs that can no longer be
// on time would wait behind newer ones for as long as it lasts. Such a filler shares the processors of its worker with
// the others. If its work bound is reached first, the next Plan goes on with the jobs that have been due for longest.
func (r *planRun) startIdleJobs() {
	idle := &r.fillerJobs.idle
	for range maxIdleJobs {
		if len(*idle) == 0 || r.limitReached() {
			return
		}
		j := (*idle)[0]
		if j.key > float64(r.now) {
			return
		}
		if r.idleJobSearches >= maxIdleJobSearches {
			r.plan.More = true
			return
		}
		j.key = float64(r.now + stamp(idleJobRetryDelay))
		idle.update(j, true)
		r.serveIdleJob(j)
	}
	r.plan.More = r.plan.More || r.idleJobSearches > 0
}

// serveIdleJob resumes a paused filler of a job, starts a waiting one, or moves a paused one.
func (r *planRun) serveIdleJob(j *fillerJob) {
	if r.spread.JobTasks(j.id) > j.booked.length {
		// A task that is no filler is booked.
		return
	}
	_ = r.resumeIdleJob(j, r.mayStartBeside) || r.startInTurn(j, r.mayStartBeside) || r.moveIdleJob(j) ||
		r.resumeIdleJob(j, r.mayTakeTurn) || r.startInTurn(j, r.mayTakeTurn) || r.placePaused(j)
}

// placePaused starts a filler of a job that has nothing on any worker, paused, on the best worker with memory for it. It
// works as soon as the tails there allow it, or is moved.
func (r *planRun) placePaused(j *fillerJob) bool {
	if j.booked.first != nil || r.now.since(j.idleSince) < pausedStartPatience {
		return false
	}
	f := r.startIdleJob(j, func(n *node) bool { return n.countFillers((*task).isPaused) < maxPausedFillers })
	if f == nil {
		return false
	}
	f.pace, f.pacedAt = 0, r.now
	r.updateWorking(f)
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Task: f.id, Attempt: f.attempt, Worker: f.node.worker.ID})
	return true
}

// mayStartBeside reports whether fillers may start to work on a worker because no serving task there has missed its
// target for long. Beyond that, a start would count as harm almost at once.
func (r *planRun) mayStartBeside(n *node) bool {
	if n.overTargetSince == noTime {
		// The time is not recorded without fillers.
		worst := n.worstServing()
		return worst == nil || worst.tail < 1
	}
	return n.overTargetFor(r.now) < maxOverTargetOfStart
}

// mayTakeTurn reports whether fillers may work for a turn on a worker where a serving task misses its target: no filler
// that may be the cause has worked there for so long that the tail no longer shows it, or a turn has begun.
func (r *planRun) mayTakeTurn(n *node) bool {
	if r.now < n.turnUntil {
		return n.countFillers(func(f *task) bool { return f.pace > 0 }) < maxTurnFillers
	}
	disturbs := func(t *task) bool { return t.constraints.Filler && t.pace > 0 && r.mayDisturb(n, t) }
	return !slices.ContainsFunc(n.tasks, disturbs) && (n.workedUntil == noTime || r.now.since(n.workedUntil) >= tailFadeTime)
}

// mayDisturb reports whether a filler may be the cause of a missed target on a worker. One that is known to be harmless
// may be if a target is missed now: what has been learnt may be wrong.
func (c *Cell) mayDisturb(n *node, f *task) bool {
	worst := n.worstServing()
	return worst != nil && (worst.tail >= 1 || !c.harmlessTo(n, f))
}

// beginTurn lets the fillers of idle jobs on a worker work for idleJobTurn if a serving task there misses its target.
func (r *planRun) beginTurn(n *node) {
	if r.mayStartBeside(n) || r.now < n.turnUntil {
		return
	}
	n.turnUntil = r.now + stamp(idleJobTurn)
	var paused []*task
	for _, f := range n.tasks {
		if f.isPaused() && f.job != nil && f.job.isIdle() && r.isMostlyFree(f.pool) {
			paused = append(paused, f)
		}
	}
	slices.SortStableFunc(paused, func(a, b *task) int { return cmp.Compare(a.pacedAt, b.pacedAt) })
	working := n.countFillers(func(f *task) bool { return f.pace > 0 })
	for _, f := range paused[:min(len(paused), max(maxTurnFillers-working, 0))] {
		r.resume(f)
	}
}

// resume lets a paused filler of an idle job work again.
func (r *planRun) resume(f *task) {
	r.setPace(f, max(f.maxPace(r.now), minIdleJobPace))
}

// countFillers returns how many fillers of a worker match.
func (n *node) countFillers(matches func(f *task) bool) int {
	count := 0
	for _, f := range n.tasks {
		if f.constraints.Filler && matches(f) {
			count++
		}
	}
	return count
}

// resumeIdleJob resumes the longest paused filler of a job on a worker that may be used.
func (r *planRun) resumeIdleJob(j *fillerJob, mayUse func(n *node) bool) bool {
	f := r.longestPaused(j, func(n *node) bool { return !n.worker.Quarantined && mayUse(n) })
	if f == nil {
		return false
	}
	r.resume(f)
	r.beginTurn(f.node)
	return true
}

// longestPaused returns the filler of a job that has been paused for longest on a worker that may be used, or nil.
func (r *planRun) longestPaused(j *fillerJob, mayUse func(n *node) bool) *task {
	var longest *task
	for f := j.booked.first; f != nil; f = f.jobNext {
		if f.isPaused() && mayUse(f.node) && r.isMostlyFree(f.pool) && (longest == nil || f.pacedAt < longest.pacedAt) {
			longest = f
		}
	}
	return longest
}

// startInTurn starts a waiting filler of a job on a worker that may be used, for a turn if a target is missed there.
func (r *planRun) startInTurn(j *fillerJob, mayUse func(n *node) bool) bool {
	t := r.startIdleJob(j, mayUse)
	if t == nil {
		return false
	}
	r.beginTurn(t.node)
	return true
}

// startIdleJob starts one waiting filler of a job and returns it, or nil if it finds no worker. It takes the groups and
// their tasks in turn: the first ones may need what no worker has.
func (r *planRun) startIdleJob(j *fillerJob, mayUse func(n *node) bool) *task {
	for i := range j.waiting {
		tasks := &j.waiting[i].tasks
		t := tasks.first
		waited := max(r.queuedFor(t), r.now.since(j.idleSince)) >= mostlyFreePatience
		if waited && t.state == queued && r.isMostlyFree(t.pool) {
			r.idleJobSearches++
			if n := r.chooseBesideOthers(t, mayUse); n != nil {
				r.shares.dequeue(t)
				r.start(t, n)
				return t
			}
		}
		tasks.remove(t)
		tasks.add(t)
	}
	return nil
}

// moveIdleJob evicts the longest paused filler of a job if it may start on another worker.
func (r *planRun) moveIdleJob(j *fillerJob) bool {
	f := r.longestPaused(j, func(*node) bool { return true })
	if f == nil || f.evictions >= maxMovesPerTask {
		return false
	}
	r.idleJobSearches++
	n := r.chooseBesideOthers(f, r.mayStartBeside)
	if n == nil || n == f.node {
		return false
	}
	r.evict(f, f)
	return true
}

// chooseBesideOthers returns the best worker with memory for a filler that may be used, whether or not the other
// fillers leave it enough processors, or nil.
func (r *planRun) chooseBesideOthers(t *task, mayUse func(n *node) bool) *node {
	if t.node == nil {
		t.desired = r.booking(t)
		if !t.class.allowsBooking(t.desired) {
			return nil
		}
	}
	r.sampleNodes(&r.free, t.desired)
	req := r.request(t)
	req.SharesProcessors = true
	req.MaxTail = math.Inf(1)
	r.filterSampled(&req)
	r.candidates = slices.DeleteFunc(r.candidates, func(n *node) bool { return !mayUse(n) })
	return r.bestNode(&req)
}
