package placement

import (
	"math"
	"slices"
	"time"
)

// Tail latencies are relative to the target: at 1 a serving task misses it.
const (
	// lowTail is the tail below which fillers are placed and sped up freely, highTail that above which they are
	// slowed down, and slowDownGoalTail the tail that a slowdown aims at.
	lowTail          = 0.75
	highTail         = 0.9
	slowDownGoalTail = 0.75
	// speedUpLimitTail is the highest expected tail up to which fillers are sped up.
	speedUpLimitTail = 0.85
	// impatientMaxTail is the tail that fillers may cause after they have waited for Options.FillerPatience. After
	// tailLimitTimeout they start on any worker with capacity. By then the result is of no use to most callers, but
	// every job has to be done eventually. Both are for cells that are full; see mostlyFreePatience.
	impatientMaxTail = 1.0
	tailLimitTimeout = time.Minute
	// maxExpectedTail caps expected tails, so that scores stay comparable.
	maxExpectedTail = 4
	// initialBaselineTail is the assumed tail of an unseen image without fillers, baselineLearningRate the weight of a
	// new measurement of it. Tails below minBaselineTail count as minBaselineTail.
	initialBaselineTail  = 0.35
	baselineLearningRate = 0.1
	minBaselineTail      = 0.02
	// useUnitMilliCPU is the processor use, in thousandths, that counts as a load of 1 in the estimates.
	useUnitMilliCPU = 10_000
	// priorLengthening and priorTailVariance describe an unseen pair of images: most pairs hardly affect each
	// other, some multiply the tail.
	priorLengthening  = 0.1
	priorTailVariance = 0.25
	// tailVariance is the variance of the growth of the logarithm of a tail between two measurements without
	// fillers.
	tailVariance = 0.03
	// Measurements are compared if they are minTailInterval to maxTailInterval apart: at least half of the half second
	// over which workers measure, and short compared with the duration of a variation in the load. minUseGrowth is
	// the smallest change of use that counts.
	minTailInterval = 250 * time.Millisecond
	maxTailInterval = 2500 * time.Millisecond
	minUseGrowth    = 0.05
	// maxBaselineUse is the total use of fillers, in units, below which a tail counts as one without fillers.
	maxBaselineUse = 0.02
	// maxHarmlessLogFactor is the expected logarithm of the tail factor below which a filler is harmless to a
	// serving task, if the standard deviation of the estimate is at most maxKnownDeviation, half that of an unseen
	// pair.
	maxHarmlessLogFactor = 0.15
	maxKnownDeviation    = 0.25
	// tailFadeTime is how long a tail takes to fall to its usual length after fillers have been slowed down. It
	// halves every third of a second.
	tailFadeTime = 1200 * time.Millisecond
	// maxImages bounds the images that are told apart; later ones count as image 0.
	maxImages = 4096
)

// image returns the number of an image, assigning one if needed.
func (c *Cell) image(name string) int {
	i, ok := c.images[name]
	if !ok && len(c.images) < maxImages {
		i = len(c.images)
		c.images[name] = i
		c.baselineTails = append(c.baselineTails, initialBaselineTail)
	}
	return i
}

// imageOf returns the number of a task's image and records images of serving tasks.
func (c *Cell) imageOf(constraints Constraints) int {
	i := c.image(constraints.Image)
	if constraints.Serving && !slices.Contains(c.servingImages, i) {
		c.servingImages = append(c.servingImages, i)
	}
	return i
}

func (c *Cell) noteMeasured(n *node) {
	if !n.measured {
		n.measured = true
		c.measuredNodes = append(c.measuredNodes, n)
	}
}

// use is what the fillers of one image use on a worker, in units of useUnitMilliCPU.
type use struct {
	image int
	units float64
}

// fillerUses returns the use of the fillers on a worker by image.
func (n *node) fillerUses() (uses []use, total float64) {
	for _, f := range n.tasks {
		if !f.constraints.Filler || f.usedMilliCPU == 0 {
			continue
		}
		units := float64(f.usedMilliCPU) / useUnitMilliCPU
		total += units
		if i := slices.IndexFunc(uses, func(u use) bool { return u.image == f.image }); i >= 0 {
			uses[i].units += units
		} else {
			uses = append(uses, use{f.image, units})
		}
	}
	return uses, total
}

// learnTail updates the estimates with a measured tail. The load of the serving task itself changes its tail as
// much as fillers do, but slowly. The growth of the tail since the last measurement is therefore attributed to the
// fillers that have started or sped up since. If the fillers of an image use less than before, nothing is learnt,
// because a tail falls slowly.
func (c *Cell) learnTail(t *task) {
	uses, total := t.node.fillerUses()
	previousUses, previousTail, previousAt := t.comparedUses, t.comparedTail, t.comparedAt
	t.comparedUses, t.comparedTail, t.comparedAt = uses, t.tail, t.tailAt
	if total < maxBaselineUse && len(previousUses) == 0 {
		baseline := c.baselineTails[t.image]
		c.baselineTails[t.image] = max(minBaselineTail, baseline+baselineLearningRate*(t.tail-baseline))
	}
	elapsed := t.tailAt.since(previousAt)
	if previousAt == noTime || elapsed < minTailInterval || elapsed > maxTailInterval || t.node.fading(t.tailAt) {
		return
	}
	loads := c.loadBuffer[:0]
	growth := 0.0
	for _, u := range uses {
		delta := u.units
		if i := slices.IndexFunc(previousUses, func(w use) bool { return w.image == u.image }); i >= 0 {
			delta -= previousUses[i].units
		}
		if delta < -minUseGrowth {
			return
		}
		loads = append(loads, Load{Class: u.image, Part: delta})
		growth += delta
	}
	for _, w := range previousUses {
		if w.units >= minUseGrowth && !slices.ContainsFunc(uses, func(u use) bool { return u.image == w.image }) {
			return
		}
	}
	c.loadBuffer = loads
	if growth >= minUseGrowth {
		c.opts.Tails.Learn(t.image, loads, 1+math.Log(max(t.tail, minBaselineTail)/max(previousTail, minBaselineTail)), tailVariance)
	}
}

// fading reports whether the tails on a worker may still reflect an earlier, higher pace of a filler.
func (n *node) fading(at stamp) bool {
	return slices.ContainsFunc(n.tasks, func(f *task) bool { return f.constraints.Filler && f.fading(at) })
}

// logTailFactor returns the expected logarithm of the factor by which a filler image lengthens the tails of a
// serving image, for a use in thousandths of a processor. The factors of fillers multiply: three fillers together
// do far more than three times the harm of one.
func (c *Cell) logTailFactor(serving, filler int, milliCPU float64) float64 {
	mean, _ := c.opts.Tails.Expect(serving, filler)
	return mean * milliCPU / useUnitMilliCPU
}

// imageDisturbance is the largest coefficient of a filler image with any serving image, as of one Plan.
type imageDisturbance struct {
	planSeq        uint64
	maxCoefficient float64
}

// disturbance returns how much a filler disturbs the serving image that suffers most from it: 0 for not at all, 1
// if its tail is multiplied by e or more.
func (c *Cell) disturbance(t *task) float64 {
	for len(c.disturbances) <= t.image {
		c.disturbances = append(c.disturbances, imageDisturbance{})
	}
	d := &c.disturbances[t.image]
	if d.planSeq != c.planSeq {
		*d = imageDisturbance{planSeq: c.planSeq}
		for _, serving := range c.servingImages {
			mean, _ := c.opts.Tails.Expect(serving, t.image)
			d.maxCoefficient = max(d.maxCoefficient, mean)
		}
	}
	return min(d.maxCoefficient*float64(t.demandMilliCPU)/useUnitMilliCPU, 1)
}

// unmeasuredUse is what a filler is expected to use beyond its last measurement, in thousandths of a processor.
type unmeasuredUse struct {
	image    int
	milliCPU float64
}

// unmeasuredUses lists the fillers on a worker that are expected to use more than measured. The list is valid until
// the next call.
func (c *Cell) unmeasuredUses(n *node) []unmeasuredUse {
	list := c.unmeasuredBuffer[:0]
	for _, f := range n.tasks {
		if !f.constraints.Filler {
			continue
		}
		if milliCPU := f.unmeasuredCPU(c.now); milliCPU > 0 {
			list = append(list, unmeasuredUse{f.image, milliCPU})
		}
	}
	c.unmeasuredBuffer = list
	return list
}

// unmeasuredLogFactor returns the logarithm of the factor by which the tail of a serving image is expected to grow
// beyond its last measurement because of use that is not measured yet.
func (c *Cell) unmeasuredLogFactor(serving int, unmeasured []unmeasuredUse) float64 {
	sum := 0.0
	for _, u := range unmeasured {
		sum += c.logTailFactor(serving, u.image, u.milliCPU)
	}
	return sum
}

// expectedTail holds the logarithm of the longest expected tail of the serving tasks of one image on a worker.
type expectedTail struct {
	image   int
	logTail float64
}

// expectedTails returns the expected tails of the serving tasks of a worker by image. They are computed once per
// Plan and after each start of a filler there.
func (c *Cell) expectedTails(n *node) []expectedTail {
	if n.expectedInPlan == c.planSeq && n.expectedWithFillers == n.fillers {
		return n.expectedTails
	}
	n.expectedInPlan, n.expectedWithFillers = c.planSeq, n.fillers
	n.expectedTails = n.expectedTails[:0]
	// Until the loop below takes the logarithms, logTail holds the measured tail itself.
	for _, s := range n.tasks {
		if !s.constraints.Serving {
			continue
		}
		i := slices.IndexFunc(n.expectedTails, func(e expectedTail) bool { return e.image == s.image })
		if i < 0 {
			n.expectedTails = append(n.expectedTails, expectedTail{s.image, s.tail})
			continue
		}
		n.expectedTails[i].logTail = max(n.expectedTails[i].logTail, s.tail)
	}
	if len(n.expectedTails) == 0 {
		return nil
	}
	unmeasured := c.unmeasuredUses(n)
	for i, e := range n.expectedTails {
		n.expectedTails[i].logTail = math.Log(max(e.logTail, c.baselineTails[e.image])) + c.unmeasuredLogFactor(e.image, unmeasured)
	}
	return n.expectedTails
}

// harmless reports whether a filler image is known to hardly lengthen the tail of a serving image, for a use in
// thousandths of a processor.
func (c *Cell) harmless(serving, filler int, milliCPU int64) bool {
	_, deviation := c.opts.Tails.Expect(serving, filler)
	return deviation <= maxKnownDeviation && c.logTailFactor(serving, filler, float64(milliCPU)) < maxHarmlessLogFactor
}

// harmlessTo reports whether a filler is harmless to every serving task on its worker.
func (c *Cell) harmlessTo(n *node, f *task) bool {
	return !slices.ContainsFunc(n.tasks, func(s *task) bool {
		return s.constraints.Serving && !c.harmless(s.image, f.image, f.demandMilliCPU)
	})
}

// expectedTailWith returns the longest expected tail on a worker if a filler starts there, among the serving tasks
// to which the filler is not harmless.
func (c *Cell) expectedTailWith(req *Request, n *node) float64 {
	logTail := math.Inf(-1)
	if n.overTargetFor(c.now) >= maxOverTarget {
		// Known coefficients do not explain the missed target: a tail of at least 1 is expected.
		logTail = 0
	}
	for _, e := range c.expectedTails(n) {
		if !c.harmless(e.image, req.image, req.DemandMilliCPU) {
			logTail = max(logTail, e.logTail+c.logTailFactor(e.image, req.image, float64(req.DemandMilliCPU)))
		}
	}
	return min(math.Exp(logTail), maxExpectedTail)
}

// fading reports whether a measurement at a time may still reflect an earlier, higher pace of a filler.
func (f *task) fading(at stamp) bool {
	return f.slowedAt != noTime && at.since(f.slowedAt) < tailFadeTime
}

// unmeasuredCPU returns the processors, in thousandths, that a filler that has just started or been sped up is
// expected to use beyond its last measurement.
func (f *task) unmeasuredCPU(now stamp) float64 {
	since := max(f.startedAt, f.pacedAt)
	if since == noTime || now.since(since) >= tailFadeTime {
		return 0
	}
	return max(0, f.pace*float64(f.demandMilliCPU)-float64(f.usedMilliCPU))
}
