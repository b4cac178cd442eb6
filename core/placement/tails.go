package placement

import (
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
	// harmlessShare is the expected logarithm of the factor below which a filler is harmless to a serving task, if the
	// deviation of the estimate is at most knownDeviation, half that of a pair not yet seen.
	harmlessShare  = 0.15
	knownDeviation = 0.25
	// fadeTime is how long a tail takes to fall to its usual length after fillers have been slowed down: it halves within
	// each third of a second.
	fadeTime = 1200 * time.Millisecond
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
func (n *node) filling() (uses []use, total float64) {
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
	uses, total := t.node.filling()
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

// lengthening returns the expected logarithm of the factor by which a filler image lengthens the tails of a serving image,
// for a use in thousandths of a processor. Fillers multiply a tail: three together harm far more than one three times.
func (c *Cell) lengthening(serving, filler int, milliCPU float64) float64 {
	mean, _ := c.opts.Tails.Expect(serving, filler)
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

// unseenUse is what a filler will use beyond what was measured, in thousandths of a processor.
type unseenUse struct {
	image    int
	milliCPU float64
}

// unseen lists the fillers on a worker that will use more than was measured. The list is valid until the next call.
func (c *Cell) unseen(n *node) []unseenUse {
	list := c.unseenUses[:0]
	for _, f := range n.tasks {
		if !f.constraints.Filler {
			continue
		}
		if more := f.unseen(c.now); more > 0 {
			list = append(list, unseenUse{f.image, more})
		}
	}
	c.unseenUses = list
	return list
}

// ahead returns the logarithm of the factor by which the tail of a serving image is expected to grow beyond its last
// measurement, by what the fillers beside it have not shown yet.
func (c *Cell) ahead(serving int, unseen []unseenUse) float64 {
	sum := 0.0
	for _, u := range unseen {
		sum += c.lengthening(serving, u.image, u.milliCPU)
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
		i := slices.IndexFunc(n.expected, func(e expectation) bool { return e.image == s.image })
		if i < 0 {
			n.expected = append(n.expected, expectation{s.image, s.tail})
			continue
		}
		n.expected[i].tail = max(n.expected[i].tail, s.tail)
	}
	if len(n.expected) == 0 {
		return nil
	}
	unseen := c.unseen(n)
	for i, e := range n.expected {
		n.expected[i].tail = math.Log(max(e.tail, c.quiet[e.image])) + c.ahead(e.image, unseen)
	}
	return n.expected
}

// harmless reports whether a filler image is known to hardly lengthen the tail of a serving image, for a use in thousandths
// of a processor.
func (c *Cell) harmless(serving, filler int, milliCPU int64) bool {
	_, deviation := c.opts.Tails.Expect(serving, filler)
	return deviation <= knownDeviation && c.lengthening(serving, filler, float64(milliCPU)) < harmlessShare
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
		if !c.harmless(e.image, req.image, req.Wish) {
			longest = max(longest, e.tail+c.lengthening(e.image, req.image, float64(req.Wish)))
		}
	}
	return min(math.Exp(longest), worstTail)
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
