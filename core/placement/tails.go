package placement

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Tails are parts of the target: at 1 a serving task misses it.
const (
	// calmTail is where fillers are placed and sped up without concern, nearTail where they are slowed down, and goalTail
	// what slowing down aims at.
	calmTail = 0.75
	nearTail = 0.9
	goalTail = 0.75
	// speedTail is what speeding up keeps to.
	speedTail = 0.85
	// impatientTail is what fillers may cause that have waited in vain for Options.FillerPatience. After lastResort they
	// start wherever there is room; by then a job is of no use to most callers, but each is to be done in the end.
	impatientTail = 1.0
	lastResort    = time.Minute
	// worstTail bounds what is expected, so that scores stay comparable.
	worstTail = 4
	// firstQuiet is the usual tail without fillers of an image not yet seen, and quietRate how fast it is learnt.
	firstQuiet = 0.35
	quietRate  = 0.1
	leastQuiet = 0.02
	// partUnit is the use in thousandths of a processor that counts as 1 in the estimates.
	partUnit = 10_000
	// priorLengthening and priorTailVariance describe a pair of images not yet seen: most pairs hardly matter, some
	// multiply a tail.
	priorLengthening  = 0.1
	priorTailVariance = 0.25
	// tailNoise is the variance of the growth of the logarithm of a tail between two measurements without fillers.
	tailNoise = 0.03
	// Measurements are compared if they lie leastElapsed to mostElapsed apart: further than the half second over which
	// workers measure, and near against the swing of the load. leastGrowth is the smallest change of use that counts.
	leastElapsed = 250 * time.Millisecond
	mostElapsed  = 2500 * time.Millisecond
	leastGrowth  = 0.05
	// quietUse is the use of all fillers, in units, below which a tail counts as one without fillers.
	quietUse = 0.02
	// leastShare is the expected part of the logarithm of a tail below which slowing a filler down is no use.
	leastShare = 0.03
	// harmlessShare is the expected logarithm of the factor below which a filler is harmless to a serving task, if the
	// deviation of the estimate is at most knownDeviation, half that of a pair not yet seen.
	harmlessShare  = 0.15
	knownDeviation = 0.25
	// settleTime is how long a pace takes until it shows: the time until it takes effect and the half second over which
	// workers measure.
	settleTime = 700 * time.Millisecond
	// fadeTime is how long a tail takes to fall to its usual length after fillers have been slowed down: it halves within
	// each third of a second.
	fadeTime = 1200 * time.Millisecond
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
	// maxImages bounds the images that are told apart; later ones count as the first.
	maxImages = 4096
)

// image returns the number of an image.
func (c *Cell) image(name string) int {
	i, ok := c.images[name]
	if !ok && len(c.images) < maxImages {
		i = len(c.images)
		c.images[name] = i
		c.quiet = append(c.quiet, firstQuiet)
	}
	return i
}

// imageOf returns the number of a task's image, and notes which images serve.
func (c *Cell) imageOf(constraints Constraints) int {
	i := c.image(constraints.Image)
	if constraints.Serving && !slices.Contains(c.serving, i) {
		c.serving = append(c.serving, i)
	}
	return i
}

func (c *Cell) noteMeasured(n *node) {
	if !n.measured {
		n.measured = true
		c.measured = append(c.measured, n)
	}
}

// use is what the fillers of one image use on a worker, in units of partUnit.
type use struct {
	image int
	part  float64
}

// filling returns the use of the fillers on a worker by image.
func (n *node) filling(into []use) (uses []use, total float64) {
	uses = into[:0]
	for _, f := range n.tasks {
		if !f.constraints.Filler || f.using == 0 {
			continue
		}
		part := float64(f.using) / partUnit
		total += part
		if i := slices.IndexFunc(uses, func(u use) bool { return u.image == f.image }); i >= 0 {
			uses[i].part += part
		} else {
			uses = append(uses, use{f.image, part})
		}
	}
	return uses, total
}

// learnTail takes a measured tail into account. The load of the serving task itself changes its tail as much as fillers
// do, but slowly. What the tail has grown by since the last measurement is therefore put down to the fillers that have
// come or sped up since. Decreases teach little, because a tail falls slowly.
func (c *Cell) learnTail(t *task) {
	uses, total := t.node.filling(nil)
	was, before, at := t.usesBefore, t.tailBefore, t.beforeAt
	t.usesBefore, t.tailBefore, t.beforeAt = uses, t.tail, t.tailAt
	if total < quietUse && len(was) == 0 {
		quiet := c.quiet[t.image]
		c.quiet[t.image] = max(leastQuiet, quiet+quietRate*(t.tail-quiet))
	}
	elapsed := t.tailAt.since(at)
	if at == noTime || elapsed < leastElapsed || elapsed > mostElapsed || t.node.fading(t.tailAt) {
		return
	}
	loads := c.loads[:0]
	grown := 0.0
	for _, u := range uses {
		part := u.part
		if i := slices.IndexFunc(was, func(w use) bool { return w.image == u.image }); i >= 0 {
			part -= was[i].part
		}
		if part < -leastGrowth {
			return
		}
		loads = append(loads, Load{Class: u.image, Part: part})
		grown += part
	}
	for _, w := range was {
		if w.part >= leastGrowth && !slices.ContainsFunc(uses, func(u use) bool { return u.image == w.image }) {
			return
		}
	}
	c.loads = loads
	if grown >= leastGrowth {
		c.opts.Tails.Learn(t.image, loads, 1+math.Log(max(t.tail, leastQuiet)/max(before, leastQuiet)), tailNoise)
	}
}

// fading reports whether the tails on a worker may still show an earlier, higher speed of a filler.
func (n *node) fading(at stamp) bool {
	return slices.ContainsFunc(n.tasks, func(f *task) bool { return f.constraints.Filler && f.unsettled(at) })
}

// lengthening returns the expected logarithm of the factor by which a filler image lengthens the tail of a serving task,
// for a use in thousandths of a processor. Fillers multiply a tail: three together harm far more than one three times.
func (c *Cell) lengthening(serving *task, filler int, milliCPU float64) float64 {
	mean, _ := c.opts.Tails.Expect(serving.image, filler)
	return mean * milliCPU / partUnit
}

// noisiness is the largest coefficient of a filler image with any image that serves, as of one Plan.
type noisiness struct {
	round uint64
	most  float64
}

// noise tells how much a filler disturbs the image that it disturbs the most: 0 for not at all, 1 if its tail is
// multiplied by e or more.
func (c *Cell) noise(t *task) float64 {
	for len(c.noises) <= t.image {
		c.noises = append(c.noises, noisiness{})
	}
	n := &c.noises[t.image]
	if n.round != c.round {
		*n = noisiness{round: c.round}
		for _, serving := range c.serving {
			mean, _ := c.opts.Tails.Expect(serving, t.image)
			n.most = max(n.most, mean)
		}
	}
	return min(n.most*float64(t.wish)/partUnit, 1)
}

// ahead returns the logarithm of the factor by which the tail of a serving task is expected to grow beyond its last
// measurement, by what the fillers beside it have not shown yet.
func (c *Cell) ahead(serving *task) float64 {
	sum := 0.0
	for _, f := range serving.node.tasks {
		if f.constraints.Filler {
			sum += c.lengthening(serving, f.image, f.unseen(c.now))
		}
	}
	return sum
}

// expectation is the longest expected tail of the serving tasks of one image on a worker, as a logarithm.
type expectation struct {
	image int
	tail  float64
}

// expect returns what is expected of the serving tasks of a worker in this Plan, by image. It is computed once for each
// Plan and after each start of a filler there.
func (c *Cell) expect(n *node) []expectation {
	if n.expectedIn == c.round && n.expectedFor == n.fillers {
		return n.expected
	}
	n.expectedIn, n.expectedFor = c.round, n.fillers
	n.expected = n.expected[:0]
	for _, s := range n.tasks {
		if !s.constraints.Serving {
			continue
		}
		tail := math.Log(max(s.tail, c.quiet[s.image])) + c.ahead(s)
		i := slices.IndexFunc(n.expected, func(e expectation) bool { return e.image == s.image })
		if i < 0 {
			n.expected = append(n.expected, expectation{s.image, tail})
			continue
		}
		n.expected[i].tail = max(n.expected[i].tail, tail)
	}
	return n.expected
}

// harmless reports whether a filler image is known to hardly lengthen the tail of a serving image, for a use in thousandths
// of a processor.
func (c *Cell) harmless(serving, filler int, milliCPU int64) bool {
	mean, deviation := c.opts.Tails.Expect(serving, filler)
	return deviation <= knownDeviation && mean*float64(milliCPU)/partUnit < harmlessShare
}

// harmlessTo reports whether a filler is harmless to every serving task on its worker.
func (c *Cell) harmlessTo(n *node, f *task) bool {
	return !slices.ContainsFunc(n.tasks, func(s *task) bool {
		return s.constraints.Serving && !c.harmless(s.image, f.image, f.wish)
	})
}

// tailBeside returns the longest tail that is expected on a worker if a filler starts there, of the serving tasks to which
// it is not harmless.
func (c *Cell) tailBeside(req *Request, n *node) float64 {
	longest := math.Inf(-1)
	if n.overFor(c.now) >= overLimit {
		// What is known does not explain the missed target.
		longest = 0
	}
	for _, e := range c.expect(n) {
		if c.harmless(e.image, req.image, req.Wish) {
			continue
		}
		mean, _ := c.opts.Tails.Expect(e.image, req.image)
		longest = max(longest, e.tail+mean*float64(req.Wish)/partUnit)
	}
	return min(math.Exp(longest), worstTail)
}

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
			if factor := r.lengthening(s, f.image, float64(f.using)); factor >= leastShare {
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

// unsettled reports whether a measurement at a time may still show an earlier, higher speed of a filler.
func (f *task) unsettled(at stamp) bool {
	return f.slowedAt != noTime && at.since(f.slowedAt) < fadeTime
}

// unseen returns what a filler will use beyond what the last measurement shows, in thousandths of a processor: it has
// just started or been sped up.
func (f *task) unseen(now stamp) float64 {
	since := max(f.started, f.pacedAt)
	if since == noTime || now.since(since) >= fadeTime {
		return 0
	}
	return max(0, f.pace*float64(f.wish)-float64(f.using))
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
		image  int
		factor float64
	}
	var serving []*task
	var room []float64
	for _, s := range n.tasks {
		if s.constraints.Serving {
			serving = append(serving, s)
			room = append(room, math.Log(speedTail/max(s.tail, leastQuiet))-r.ahead(s))
		}
	}
	var list []slowed
	for _, f := range n.tasks {
		if !f.constraints.Filler || f.pace == 1 && f.paceKnown || f.settling(r.now) {
			continue
		}
		sl := slowed{filler: f, image: f.image}
		for _, s := range serving {
			sl.factor = max(sl.factor, r.lengthening(s, sl.image, float64(f.wish)))
		}
		list = append(list, sl)
	}
	slices.SortStableFunc(list, func(a, b slowed) int { return cmp.Compare(a.factor, b.factor) })
	for _, sl := range list {
		more := sl.filler.limit(r.now) - sl.filler.pace
		for i, s := range serving {
			if full := r.lengthening(s, sl.image, float64(sl.filler.wish)); full*more > room[i] {
				more = max(0, room[i]/full)
			}
		}
		if more < leastPace && sl.filler.paceKnown {
			continue
		}
		for i, s := range serving {
			room[i] -= more * r.lengthening(s, sl.image, float64(sl.filler.wish))
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
