package placement

import (
	"cmp"
	"math"
	"slices"
)

// Estimates is what a Cell has learnt about the images of its tasks, for the next owner of the cell. What is measured shows an
// owner within tens of seconds how images disturb each other; until then it starts fillers where they do harm.
type Estimates struct {
	Images []ImageEstimate
	Pairs  []PairEstimate
}

// ImageEstimate is what is known of an image.
type ImageEstimate struct {
	Name string
	// BaselineTail is the usual tail without fillers, as a part of the target.
	BaselineTail float64
}

// PairEstimate is how much a filler image lengthens the tails of a serving image. Both are positions in Learnt.Images.
type PairEstimate struct {
	Serving, Filler int
	// Mean and Variance are those of the estimate; see Interference.
	Mean, Variance float64
}

// mostLearnt bounds the pairs that are passed on, to about 100 KB. Those that are known best come first.
const mostLearnt = 4096

// memory is an Interference whose estimates can be passed on.
type memory interface {
	estimates() []PairEstimate
	recall(p PairEstimate)
}

// Estimates returns what is to be passed on.
func (c *Cell) Estimates() Estimates {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Estimates{Images: make([]ImageEstimate, len(c.images))}
	for name, i := range c.images {
		l.Images[i] = ImageEstimate{Name: name, BaselineTail: c.quiet[i]}
	}
	tails, ok := c.opts.Tails.(memory)
	if !ok {
		return l
	}
	l.Pairs = tails.estimates()
	slices.SortFunc(l.Pairs, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	l.Pairs = l.Pairs[:min(len(l.Pairs), mostLearnt)]
	return l
}

// RestoreEstimates takes over what an earlier owner has learnt, before the first task is known. What makes no sense is left out.
func (c *Cell) RestoreEstimates(l Estimates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	numbers := make([]int, len(l.Images))
	for i, im := range l.Images {
		numbers[i] = c.image(im.Name)
		if isFinite(im.BaselineTail) && im.BaselineTail >= leastQuiet {
			c.quiet[numbers[i]] = min(im.BaselineTail, worstTail)
		}
	}
	tails, ok := c.opts.Tails.(memory)
	if !ok {
		return
	}
	for _, p := range l.Pairs {
		known := p.Serving >= 0 && p.Serving < len(numbers) && p.Filler >= 0 && p.Filler < len(numbers)
		if !known || !isFinite(p.Mean) || !isFinite(p.Variance) || p.Mean < 0 || p.Variance <= 0 {
			continue
		}
		p.Serving, p.Filler = numbers[p.Serving], numbers[p.Filler]
		tails.recall(p)
	}
}

func isFinite(x float64) bool { return !math.IsNaN(x) && !math.IsInf(x, 0) }

func (e *Estimator) estimates() []PairEstimate {
	all := make([]PairEstimate, 0, len(e.pairs))
	for p, v := range e.pairs {
		all = append(all, PairEstimate{
			Serving: int(p.victim), Filler: int(p.aggressor), Mean: float64(v.mean), Variance: float64(v.variance),
		})
	}
	return all
}

func (e *Estimator) recall(p PairEstimate) {
	if len(e.pairs) >= maxPairs {
		return
	}
	e.pairs[pair{int32(p.Serving), int32(p.Filler)}] = estimate{
		mean: float32(p.Mean), variance: float32(min(p.Variance, float64(e.prior.variance))),
	}
}
