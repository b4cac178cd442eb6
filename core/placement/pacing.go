package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// leastShare is the expected part of the logarithm of a tail below which slowing a filler down is no use.
	leastShare = 0.03
	// settleTime is how long a pace takes until it shows: the time until it takes effect and the half second over which
	// workers measure.
	settleTime = 700 * time.Millisecond
	// harmMemory is how long a filler keeps below harmMargin of the speed at which it was slowed down: about half a swing
	// of the load of serving tasks.
	harmMemory = 5 * time.Second
	harmMargin = 0.6
	// overLimit is how long a serving task may be over its target before the fillers beside it stand still, but for those
	// that are known to be harmless: they get the time until harmlessLimit, in which the others show whether it is them.
	// Platforms allow 4 s, of which the next report and slowing down take up to 1.8 s.
	overLimit     = 1500 * time.Millisecond
	harmlessLimit = 2200 * time.Millisecond
	// metTail is below 1 because measurements are rough: a target counts as missed until a tail is below it.
	metTail = 0.9
	// stuckAfter is how long a filler may stand still before it is moved: longer than a tail takes to fall once the cause
	// has gone. mostMoves bounds how often a task is moved, and triedMoves how many are tried in one Plan.
	stuckAfter = 3 * time.Second
	mostMoves  = 3
	triedMoves = 4
	// leastChange is the smallest change of a speed that is worth a call. Below leastPace fillers stand still.
	leastChange = 0.25
	leastPace   = 0.1
)

// paceFillers adjusts the speed of the fillers on the workers that were measured since the last Plan.
func (r *round) paceFillers() {
	for _, n := range r.measured {
		n.measured = false
		if n.known && n.fillers > 0 {
			r.paceNode(n)
		} else {
			n.overSince = noTime
		}
	}
	clear(r.measured)
	r.measured = r.measured[:0]
}

func (r *round) paceNode(n *node) {
	var worst *task
	for _, t := range n.tasks {
		if t.constraints.Serving && (worst == nil || t.tail > worst.tail) {
			worst = t
		}
	}
	n.noteOver(worst)
	over := n.overFor(r.now)
	switch {
	case worst == nil || worst.tail < calmTail:
		r.speedUp(n)
	case over >= overLimit:
		for _, f := range n.tasks {
			if over >= harmlessLimit || !r.harmlessTo(n, f) {
				r.setPace(f, 0)
			}
		}
	case worst.tail >= nearTail:
		r.slowDown(n, worst)
	}
	if worst != nil && worst.tail >= calmTail && worst.tail < 1 {
		r.speedUpHarmless(n)
	}
	r.moveStuck(n)
}

// moveStuck stops fillers that have stood still for long, if there is a worker where they are expected to disturb none.
func (r *round) moveStuck(n *node) {
	for _, f := range n.tasks {
		stuck := f.constraints.Filler && f.state == running && f.pace == 0 && f.paceKnown && r.now.since(f.pacedAt) >= stuckAfter
		if !stuck || f.evictions >= mostMoves {
			continue
		}
		if r.moves++; r.moves > triedMoves {
			return
		}
		r.sample(&r.free, f.want)
		req := r.request(f)
		req.MostTail = calmTail
		r.admit(&req)
		if to := r.best(&req); to != nil && to != n {
			r.evict(f, f)
		}
	}
}

// noteOver notes since when the worst tail of a worker may have been over the target: since the last report in which it
// was not.
func (n *node) noteOver(worst *task) {
	switch {
	case worst == nil || worst.tail < metTail:
		n.overSince = noTime
	case n.overSince == noTime && worst.tail >= 1:
		n.overSince = max(n.metAt, worst.started)
	}
	if worst != nil && worst.tail < 1 {
		n.metAt = worst.tailAt
	}
}

// overFor returns for how long a serving task on a worker may have been over its target.
func (n *node) overFor(now stamp) time.Duration {
	if n.overSince == noTime {
		return 0
	}
	return now.since(n.overSince)
}

// speedUpHarmless lets the fillers work that stand still for the sake of tasks to which they are harmless.
func (r *round) speedUpHarmless(n *node) {
	for _, f := range n.tasks {
		if f.constraints.Filler && f.pace < 1 && !f.settling(r.now) && r.harmlessTo(n, f) {
			r.setPace(f, 1)
		}
	}
}

// slowDown slows down the fillers that lengthen the tail of a serving task the most, as far as needed. If none is known to
// while a target is missed, and no earlier change is still to show, all are slowed down but those that are harmless.
func (r *round) slowDown(n *node, s *task) {
	type share struct {
		filler *task
		factor float64
	}
	var shares []share
	var others []*task
	showing := false
	for _, f := range n.tasks {
		switch {
		case !f.constraints.Filler || r.harmless(s.image, f.image, f.wish):
		case f.settling(r.now):
			showing = showing || f.unsettled(r.now)
		case f.pace > 0:
			if factor := r.lengthening(s.image, f.image, float64(f.using)); factor >= leastShare {
				shares = append(shares, share{f, factor})
			} else {
				others = append(others, f)
			}
		}
	}
	slices.SortStableFunc(shares, func(a, b share) int { return cmp.Compare(b.factor, a.factor) })
	excess := math.Log(s.tail / goalTail)
	for _, sh := range shares {
		if excess <= 0 {
			return
		}
		cut := min(1, excess/sh.factor)
		excess -= cut * sh.factor
		r.setPace(sh.filler, sh.filler.pace*(1-cut))
	}
	if len(shares) > 0 || showing || s.tail < 1 {
		return
	}
	for _, f := range others {
		r.setPace(f, f.pace/2)
	}
}

// settling reports whether the last change of a filler's speed may not show in the measurements yet.
func (f *task) settling(now stamp) bool {
	return f.pacedAt != noTime && now.since(f.pacedAt) < settleTime
}

// speedUp lets slowed fillers work as fast as no serving task is expected to come near its target, those that harm the
// least first.
func (r *round) speedUp(n *node) {
	type slowed struct {
		filler *task
		factor float64
	}
	var serving []*task
	var room []float64
	unseen := r.unseen(n)
	for _, s := range n.tasks {
		if s.constraints.Serving {
			serving = append(serving, s)
			room = append(room, math.Log(speedTail/max(s.tail, leastQuiet))-r.ahead(s.image, unseen))
		}
	}
	var list []slowed
	for _, f := range n.tasks {
		if !f.constraints.Filler || f.pace == 1 && f.paceKnown || f.settling(r.now) {
			continue
		}
		sl := slowed{filler: f}
		for _, s := range serving {
			sl.factor = max(sl.factor, r.lengthening(s.image, f.image, float64(f.wish)))
		}
		list = append(list, sl)
	}
	slices.SortStableFunc(list, func(a, b slowed) int { return cmp.Compare(a.factor, b.factor) })
	for _, sl := range list {
		more := sl.filler.limit(r.now) - sl.filler.pace
		for i, s := range serving {
			if full := r.lengthening(s.image, sl.filler.image, float64(sl.filler.wish)); full*more > room[i] {
				more = max(0, room[i]/full)
			}
		}
		if more < leastPace && sl.filler.paceKnown {
			continue
		}
		for i, s := range serving {
			room[i] -= more * r.lengthening(s.image, sl.filler.image, float64(sl.filler.wish))
		}
		r.setPace(sl.filler, min(1, sl.filler.pace+more))
	}
}

// limit returns the speed that a filler may have: for some time less than that at which it harmed a serving task.
func (f *task) limit(now stamp) float64 {
	if f.slowedAt != noTime && now.since(f.slowedAt) < harmMemory {
		return max(f.pace, f.harmful*harmMargin)
	}
	return 1
}

// setPace adds the decision on the speed of a filler.
func (r *round) setPace(f *task, pace float64) {
	if pace < leastPace {
		pace = 0
	}
	if !f.constraints.Filler || f.state != running || pace == f.pace && f.paceKnown {
		return
	}
	if pace > 0 && pace < 1 && f.paceKnown && math.Abs(pace-f.pace) < leastChange {
		return
	}
	if pace < f.pace {
		f.harmful, f.slowedAt = f.pace, r.now
	}
	f.pace, f.pacedAt, f.paceKnown = pace, r.now, true
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		Task: f.id, Attempt: f.attempt, Worker: f.node.worker.ID, Fraction: pace,
	})
}
