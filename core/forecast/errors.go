package forecast

import (
	"slices"
	"time"
)

const (
	// errorWindow is how many ratios are remembered.
	errorWindow = 64
	// priorFactor is by how much a wait is assumed to exceed its forecast before errors have been observed: declared
	// run times are off by half.
	priorFactor = 1.5
	// minFactor and maxFactor bound the learnt factor, so that a reservation neither expires at the forecast itself
	// nor is kept for a multiple of a run time.
	minFactor, maxFactor = 1.25, 4
	// marginQuantile is the part of the waits that end within the margin.
	marginQuantile = 0.8
	// minMargin covers what does not grow with the forecast: the time until an end is reported and planned.
	minMargin = 100 * time.Millisecond
	// minForecast is the smallest forecast whose ratio counts; for shorter ones the ratio says nothing.
	minForecast = 50 * time.Millisecond
)

// Errors learns by how much waits exceed their forecasts. The zero value has no observations. It is not safe for
// concurrent use.
type Errors struct {
	ratios []float64
	next   int
	// sum is the sum of the absolute errors, n their number.
	sum time.Duration
	n   int64
}

// Observe adds a forecast and the wait that followed. For a reservation that expired, the wait so far counts.
func (e *Errors) Observe(expected, actual time.Duration) {
	e.sum += (actual - expected).Abs()
	e.n++
	if expected < minForecast {
		return
	}
	ratio := min(float64(actual)/float64(expected), maxFactor)
	if len(e.ratios) < errorWindow {
		e.ratios = append(e.ratios, ratio)
		return
	}
	e.ratios[e.next] = ratio
	e.next = (e.next + 1) % errorWindow
}

// Spread returns by how much the wait may exceed the forecast in four of five cases.
func (e *Errors) Spread(expected time.Duration) time.Duration {
	factor := priorFactor
	if len(e.ratios) >= minSamples {
		sorted := slices.Sorted(slices.Values(e.ratios))
		factor = min(max(sorted[int(marginQuantile*float64(len(sorted)-1)+0.5)], minFactor), maxFactor)
	}
	return max(time.Duration(float64(expected)*(factor-1)), minMargin)
}

// Total returns the sum of the absolute errors and their number.
func (e *Errors) Total() (sum time.Duration, n int64) { return e.sum, e.n }
