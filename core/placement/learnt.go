package placement

import (
	"cmp"
	"math"
	"slices"
)

// Learnt is what a Cell has learnt about the images of its tasks, for the next owner of the cell. What is measured shows an
// owner within tens of seconds how images disturb each other; until then it starts fillers where they do harm.
type Learnt struct {
	Images []ImageLearnt
	Pairs  []PairLearnt
}

// ImageLearnt is what is known of an image.
type ImageLearnt struct {
	Name string
	// Quiet is the usual tail without fillers, as a part of the target.
	Quiet float64
}

// PairLearnt is how much a filler image lengthens the tails of a serving image. Both are positions in Learnt.Images.
type PairLearnt struct {
	Serving, Filler int
	// Mean and Variance are those of the estimate; see Interference.
	Mean, Variance float64
}

// mostLearnt bounds the pairs that are passed on, to about 100 KB. Those that are known best come first.
const mostLearnt = 4096

// memory is an Interference whose estimates can be passed on.
type memory interface {
	estimates() []PairLearnt
	recall(p PairLearnt)
}

// Learnt returns what is to be passed on.
func (c *Cell) Learnt() Learnt {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := Learnt{Images: make([]ImageLearnt, len(c.images))}
	for name, i := range c.images {
		l.Images[i] = ImageLearnt{Name: name, Quiet: c.quiet[i]}
	}
	tails, ok := c.opts.Tails.(memory)
	if !ok {
		return l
	}
	l.Pairs = tails.estimates()
	slices.SortFunc(l.Pairs, func(a, b PairLearnt) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	l.Pairs = l.Pairs[:min(len(l.Pairs), mostLearnt)]
	return l
}

// Recall takes over what an earlier owner has learnt, before the first task is known. What makes no sense is left out.
func (c *Cell) Recall(l Learnt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	numbers := make([]int, len(l.Images))
	for i, im := range l.Images {
		numbers[i] = c.image(im.Name)
		if isFinite(im.Quiet) && im.Quiet >= leastQuiet {
			c.quiet[numbers[i]] = min(im.Quiet, worstTail)
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

func (e *Estimator) estimates() []PairLearnt {
	all := make([]PairLearnt, 0, len(e.pairs))
	for p, v := range e.pairs {
		all = append(all, PairLearnt{
			Serving: int(p.victim), Filler: int(p.aggressor), Mean: float64(v.mean), Variance: float64(v.variance),
		})
	}
	return all
}

func (e *Estimator) recall(p PairLearnt) {
	if len(e.pairs) >= maxPairs {
		return
	}
	e.pairs[pair{int32(p.Serving), int32(p.Filler)}] = estimate{
		mean: float32(p.Mean), variance: float32(min(p.Variance, float64(e.prior.variance))),
	}
}
