package placement_test

import (
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

func cellWithFillers(images ...string) (*placement.Cell, *placement.Estimator) {
	tails := placement.NewEstimatorWithPrior(0.1, 0.25)
	c := placement.NewCell(1, placement.Options{Tails: tails})
	for i, image := range images {
		p := pendingTask(i+1, "etl", vec(1000, 1000, 0))
		p.Constraints = placement.Constraints{Filler: true, Image: image}
		c.Submit([]placement.Pending{p})
	}
	return c, tails
}

// Guards against a new owner of a cell that lacks the estimates of its predecessor, also if it numbers the images
// differently.
func TestEstimatesAreRestored(t *testing.T) {
	from, tails := cellWithFillers("web", "etl", "logs")
	for range 10 {
		tails.Learn(0, []placement.Load{{Class: 1, Part: 0.8}}, 1+1.2*0.8, 0.03)
		tails.Learn(0, []placement.Load{{Class: 2, Part: 0.8}}, 1, 0.03)
	}
	to, restored := cellWithFillers("logs", "etl")
	to.RestoreEstimates(from.Estimates())
	require.Equal(t, from.Estimates(), from.Estimates(), "the order of the pairs is not deterministic")
	// In the new cell, logs is image 0, etl 1 and web 2.
	for oldImage, newImage := range map[int]int{1: 1, 2: 0} {
		mean, deviation := tails.Expect(0, oldImage)
		restoredMean, restoredDeviation := restored.Expect(2, newImage)
		require.Equal(t, mean, restoredMean)
		require.Equal(t, deviation, restoredDeviation)
	}
}

// Guards against invalid stored values that distort the estimates of an owner permanently.
func TestRestoreEstimatesSkipsInvalidValues(t *testing.T) {
	c, tails := cellWithFillers("web", "etl")
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
