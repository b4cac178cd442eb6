package placement

import (
	"cmp"
	"math"
	"slices"
)

// Estimates is what a Cell has learnt about the images of its tasks, to be passed on to the next owner of the cell.
// An owner needs tens of seconds of measurements to learn how images disturb each other; until then it starts
// fillers where they do harm.
type Estimates struct {
	Images []ImageEstimate
	Pairs  []PairEstimate
}

// ImageEstimate describes one image.
type ImageEstimate struct {
	Name string
	// BaselineTail is the usual tail latency without fillers, relative to the target.
	BaselineTail float64
}

// PairEstimate is how much a filler image lengthens the tail latency of a serving image. Serving and Filler are
// indexes of Estimates.Images.
type PairEstimate struct {
	Serving, Filler int
	// Mean and Variance describe the estimated coefficient; see Interference.
	Mean, Variance float64
}

// maxExportedPairs bounds the exported pairs to about 100 KB. The pairs with the smallest variance are kept.
const maxExportedPairs = 4096

// exportableModel is an Interference whose estimates can be exported and restored.
type exportableModel interface {
	estimates() []PairEstimate
	restore(p PairEstimate)
}

// Estimates returns the estimates that the next owner of the cell needs.
func (c *Cell) Estimates() Estimates {
	c.mu.Lock()
	defer c.mu.Unlock()
	exported := Estimates{Images: make([]ImageEstimate, len(c.images))}
	for name, i := range c.images {
		exported.Images[i] = ImageEstimate{Name: name, BaselineTail: c.baselineTails[i]}
	}
	tails, ok := c.opts.Tails.(exportableModel)
	if !ok {
		return exported
	}
	exported.Pairs = tails.estimates()
	slices.SortFunc(exported.Pairs, func(a, b PairEstimate) int {
		return cmp.Or(cmp.Compare(a.Variance, b.Variance), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	exported.Pairs = exported.Pairs[:min(len(exported.Pairs), maxExportedPairs)]
	return exported
}

// RestoreEstimates loads the estimates of an earlier owner, before the first task is submitted. Invalid values are
// skipped.
func (c *Cell) RestoreEstimates(saved Estimates) {
	c.mu.Lock()
	defer c.mu.Unlock()
	numbers := make([]int, len(saved.Images))
	for i, image := range saved.Images {
		numbers[i] = c.image(image.Name)
		if isFinite(image.BaselineTail) && image.BaselineTail >= minBaselineTail {
			c.baselineTails[numbers[i]] = min(image.BaselineTail, maxExpectedTail)
		}
	}
	tails, ok := c.opts.Tails.(exportableModel)
	if !ok {
		return
	}
	for _, p := range saved.Pairs {
		valid := p.Serving >= 0 && p.Serving < len(numbers) && p.Filler >= 0 && p.Filler < len(numbers)
		if !valid || !isFinite(p.Mean) || !isFinite(p.Variance) || p.Mean < 0 || p.Variance <= 0 {
			continue
		}
		p.Serving, p.Filler = numbers[p.Serving], numbers[p.Filler]
		tails.restore(p)
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

func (e *Estimator) restore(p PairEstimate) {
	if len(e.pairs) >= maxPairs {
		return
	}
	e.pairs[pair{int32(p.Serving), int32(p.Filler)}] = estimate{
		mean: float32(p.Mean), variance: float32(min(p.Variance, float64(e.prior.variance))),
	}
}
