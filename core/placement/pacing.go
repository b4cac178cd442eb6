package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minLogFactor is the smallest expected effect of a filler on the logarithm of a tail that makes slowing it
	// down worthwhile.
	minLogFactor = 0.03
	// paceSettleTime is how long a change of pace takes to show in measurements: the time until it takes effect and
	// the half second over which workers measure.
	paceSettleTime = 700 * time.Millisecond
	// harmfulPaceHold is how long a filler is not sped up beyond harmfulPaceMargin times the pace from which it was
	// slowed down. It is about half the duration of a variation in the load of serving tasks.
	harmfulPaceHold   = 5 * time.Second
	harmfulPaceMargin = 0.6
	// maxOverTarget is how long a serving task may miss its target before the fillers on its worker are paused.
	// Fillers known to be harmless run until maxOverTargetHarmless, which shows whether pausing the others was
	// enough. Platforms allow 4 s, of which the next report and the slowdown take up to 1.8 s.
	maxOverTarget         = 1500 * time.Millisecond
	maxOverTargetHarmless = 2200 * time.Millisecond
	// targetMetTail is below 1 because measurements are rough: a target counts as missed until a tail is below this
	// value.
	targetMetTail = 0.9
	// movePausedAfter is how long a filler may be paused before it is moved: longer than a tail takes to fall once
	// the cause has gone. maxMovesPerTask bounds how often a task is moved, maxMoveTriesPerPlan how many moves one
	// Plan tries.
	movePausedAfter     = 3 * time.Second
	maxMovesPerTask     = 3
	maxMoveTriesPerPlan = 4
	// minPaceChange is the smallest change of a pace that is worth a call to the worker. Fillers with a pace below
	// minPace are paused.
	minPaceChange = 0.25
	minPace       = 0.1
)

// paceFillers adjusts the pace of the fillers on the workers that were measured since the last Plan.
func (r *planRun) paceFillers() {
	for _, n := range r.measuredNodes {
		n.measured = false
		if n.described && n.fillers > 0 {
			r.paceNode(n)
		} else {
			n.overTargetSince = noTime
		}
	}
	clear(r.measuredNodes)
	r.measuredNodes = r.measuredNodes[:0]
}

func (r *planRun) paceNode(n *node) {
	worst := n.worstServing()
	n.updateOverTarget(worst)
	over := n.overTargetFor(r.now)
	switch {
	case worst == nil || worst.tail < lowTail:
		r.speedUp(n)
	case over >= maxOverTarget && r.now < n.turnUntil:
	case over >= maxOverTarget:
		for _, f := range n.tasks {
			if over >= maxOverTargetHarmless || !r.harmlessTo(n, f) {
				r.setPace(f, 0)
			}
		}
	case worst.tail >= highTail:
		r.slowDown(n, worst)
	}
	if worst != nil && worst.tail >= lowTail && worst.tail < 1 {
		r.speedUpHarmless(n)
	}
	r.movePaused(n)
}

// worstServing returns the serving task of a worker with the longest tail, or nil.
func (n *node) worstServing() *task {
	var worst *task
	for _, t := range n.tasks {
		if t.constraints.Serving && (worst == nil || t.tail > worst.tail) {
			worst = t
		}
	}
	return worst
}

// movePaused evicts fillers that have been paused for movePausedAfter if another worker has capacity where they
// are expected to disturb no serving task.
func (r *planRun) movePaused(n *node) {
	for _, f := range n.tasks {
		paused := f.constraints.Filler && f.state == running && f.pace == 0 && f.paceKnown && r.now.since(f.pacedAt) >= movePausedAfter
		if !paused || f.evictions >= maxMovesPerTask {
			continue
		}
		if r.moveTries++; r.moveTries > maxMoveTriesPerPlan {
			return
		}
		r.sampleNodes(&r.free, f.desired)
		req := r.request(f)
		req.MaxTail = lowTail
		r.filterSampled(&req)
		if destination := r.bestNode(&req); destination != nil && destination != n {
			r.evict(f, f)
		}
	}
}

// isPaused reports whether a task is a filler that does not work on its worker, as far as is known.
func (f *task) isPaused() bool {
	return f.constraints.Filler && f.state == running && (f.pace == 0 || !f.paceKnown)
}

// updateOverTarget updates since when the worst tail of a worker may have been above its target: since the last
// report in which it was not.
func (n *node) updateOverTarget(worst *task) {
	switch {
	case worst == nil || worst.tail < targetMetTail:
		n.overTargetSince = noTime
	case n.overTargetSince == noTime && worst.tail >= 1:
		n.overTargetSince = max(n.targetsMetAt, worst.startedAt)
	}
	if worst != nil && worst.tail < 1 {
		n.targetsMetAt = worst.tailAt
	}
}

// overTargetFor returns for how long a serving task on a worker may have missed its target.
func (n *node) overTargetFor(now stamp) time.Duration {
	if n.overTargetSince == noTime {
		return 0
	}
	return now.since(n.overTargetSince)
}

// speedUpHarmless restores the full pace of slowed fillers that are harmless to the serving tasks of the worker.
func (r *planRun) speedUpHarmless(n *node) {
	for _, f := range n.tasks {
		if f.constraints.Filler && f.pace < 1 && !f.settling(r.now) && r.harmlessTo(n, f) {
			r.setPace(f, 1)
		}
	}
}

// slowDown reduces the pace of the fillers that lengthen the tail of a serving task the most, as far as needed. If
// a target is missed, no filler is known as the cause and no earlier change is still to show, it halves the pace of
// all fillers but the harmless ones.
func (r *planRun) slowDown(n *node, s *task) {
	type contribution struct {
		filler    *task
		logFactor float64
	}
	var contributions []contribution
	var unexplained []*task
	changePending := false
	for _, f := range n.tasks {
		switch {
		case !f.constraints.Filler || r.harmless(s.image, f.image, f.demandMilliCPU):
		case f.settling(r.now):
			changePending = changePending || f.fading(r.now)
		case f.pace > 0:
			if factor := r.logTailFactor(s.image, f.image, float64(f.usedMilliCPU)); factor >= minLogFactor {
				contributions = append(contributions, contribution{f, factor})
			} else {
				unexplained = append(unexplained, f)
			}
		}
	}
	slices.SortStableFunc(contributions, func(a, b contribution) int { return cmp.Compare(b.logFactor, a.logFactor) })
	excess := math.Log(s.tail / slowDownGoalTail)
	for _, cause := range contributions {
		if excess <= 0 {
			return
		}
		cut := min(1, excess/cause.logFactor)
		excess -= cut * cause.logFactor
		r.setPace(cause.filler, cause.filler.pace*(1-cut))
	}
	if len(contributions) > 0 || changePending || s.tail < 1 {
		return
	}
	for _, f := range unexplained {
		r.setPace(f, f.pace/2)
	}
}

// settling reports whether the last change of a filler's pace may not show in the measurements yet.
func (f *task) settling(now stamp) bool {
	return f.pacedAt != noTime && now.since(f.pacedAt) < paceSettleTime
}

// speedUp raises the pace of slowed fillers, the least harmful first, as far as no serving task is expected to come
// near its target.
func (r *planRun) speedUp(n *node) {
	type candidate struct {
		filler    *task
		logFactor float64
	}
	var serving []*task
	var headroom []float64
	unmeasured := r.unmeasuredUses(n)
	for _, s := range n.tasks {
		if s.constraints.Serving {
			serving = append(serving, s)
			headroom = append(headroom, math.Log(speedUpLimitTail/max(s.tail, minBaselineTail))-r.unmeasuredLogFactor(s.image, unmeasured))
		}
	}
	var candidates []candidate
	for _, f := range n.tasks {
		if !f.constraints.Filler || f.pace == 1 && f.paceKnown || f.settling(r.now) {
			continue
		}
		cand := candidate{filler: f}
		for _, s := range serving {
			cand.logFactor = max(cand.logFactor, r.logTailFactor(s.image, f.image, float64(f.demandMilliCPU)))
		}
		candidates = append(candidates, cand)
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.logFactor, b.logFactor) })
	for _, cand := range candidates {
		increase := cand.filler.maxPace(r.now) - cand.filler.pace
		for i, s := range serving {
			if full := r.logTailFactor(s.image, cand.filler.image, float64(cand.filler.demandMilliCPU)); full*increase > headroom[i] {
				increase = max(0, headroom[i]/full)
			}
		}
		if increase < minPace && cand.filler.paceKnown {
			continue
		}
		for i, s := range serving {
			headroom[i] -= increase * r.logTailFactor(s.image, cand.filler.image, float64(cand.filler.demandMilliCPU))
		}
		r.setPace(cand.filler, min(1, cand.filler.pace+increase))
	}
}

// maxPace returns the highest pace that a filler may have: for harmfulPaceHold it stays below the one that harmed a
// serving task.
func (f *task) maxPace(now stamp) float64 {
	if f.slowedAt != noTime && now.since(f.slowedAt) < harmfulPaceHold {
		return max(f.pace, f.harmfulPace*harmfulPaceMargin)
	}
	return 1
}

// setPace adds a decision on the pace of a filler, unless the change is too small.
func (r *planRun) setPace(f *task, pace float64) {
	if pace < minPace {
		pace = 0
	}
	if !f.constraints.Filler || f.state != running || pace == f.pace && f.paceKnown {
		return
	}
	if pace > 0 && pace < 1 && f.paceKnown && math.Abs(pace-f.pace) < minPaceChange {
		return
	}
	if pace < f.pace {
		f.harmfulPace, f.slowedAt = f.pace, r.now
	}
	if pace == 0 && r.mayDisturb(f.node, f) {
		f.node.workedUntil = r.now
	}
	f.pace, f.pacedAt, f.paceKnown = pace, r.now, true
	r.updateWorking(f)
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		Task: f.id, Attempt: f.attempt, Worker: f.node.worker.ID, Fraction: pace,
	})
}
