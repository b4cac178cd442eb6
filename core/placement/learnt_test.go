package placement_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

func learningCell(images ...string) (*placement.Cell, *placement.Estimator) {
	tails := placement.NewEstimatorWithPrior(0.1, 0.25)
	c := placement.NewCell(1, placement.Options{Tails: tails})
	for i, image := range images {
		p := pendingTask(i+1, "etl", vec(1000, 1000, 0))
		p.Constraints = placement.Constraints{Filler: true, Image: image}
		c.Submit([]placement.Pending{p})
	}
	return c, tails
}

// Guards against a new owner that has to learn anew what its predecessor knew, also if it met the images in another order.
func TestLearntIsPassedOn(t *testing.T) {
	from, tails := learningCell("web", "etl", "logs")
	for range 10 {
		tails.Learn(0, []placement.Load{{Class: 1, Part: 0.8}}, 1+1.2*0.8, 0.03)
		tails.Learn(0, []placement.Load{{Class: 2, Part: 0.8}}, 1, 0.03)
	}
	to, recalled := learningCell("logs", "etl")
	to.RestoreEstimates(from.Estimates())
	require.Equal(t, from.Estimates(), from.Estimates(), "the order is fixed")
	// In the new cell, logs is 0, etl is 1 and web is 2.
	for was, is := range map[int]int{1: 1, 2: 0} {
		mean, deviation := tails.Expect(0, was)
		mean2, deviation2 := recalled.Expect(2, is)
		require.Equal(t, mean, mean2)
		require.Equal(t, deviation, deviation2)
	}
}

// Guards against a broken value that spoils the estimates of an owner for good.
func TestRecallLeavesOutWhatMakesNoSense(t *testing.T) {
	c, tails := learningCell("web", "etl")
	c.RestoreEstimates(placement.Estimates{
		Images: []placement.ImageEstimate{{Name: "web", BaselineTail: math.NaN()}, {Name: "etl", BaselineTail: -1}},
		Pairs: []placement.PairEstimate{
			{Serving: 0, Filler: 7, Mean: 1, Variance: 0.1},
			{Serving: -1, Filler: 0, Mean: 1, Variance: 0.1},
			{Serving: 0, Filler: 1, Mean: math.Inf(1), Variance: 0.1},
			{Serving: 0, Filler: 1, Mean: 1, Variance: 0},
			{Serving: 1, Filler: 0, Mean: -1, Variance: 0.1},
			{Serving: 1, Filler: 0, Mean: 1, Variance: math.NaN()},
		},
	})
	for _, pair := range [][2]int{{0, 1}, {1, 0}} {
		mean, deviation := tails.Expect(pair[0], pair[1])
		require.InDelta(t, 0.1, mean, 1e-6)
		require.InDelta(t, 0.5, deviation, 1e-6)
	}
	for _, im := range c.Estimates().Images {
		require.Greater(t, im.BaselineTail, 0.0)
	}
}
