package speculation

import (
	"slices"
	"time"
)

const (
	// keptTimes is how many of the latest run times give an estimate.
	keptTimes = 64
	// refreshEvery is after how many observations the cached estimate of an image is computed again.
	refreshEvery = 8
)

// Times holds the latest run times of similar tasks. The zero value holds none.
type Times struct {
	latest []time.Duration
	n      int
	// median and spread are those after computedAt observations.
	median, spread time.Duration
	computedAt     int
	// censoredSize is the size for which censored computed the estimate.
	censoredSize int
}

// Observe adds a run time.
func (t *Times) Observe(took time.Duration) {
	if len(t.latest) < keptTimes {
		t.latest = append(t.latest, took)
	} else {
		t.latest[t.n%keptTimes] = took
	}
	t.n++
}

// estimate returns the median, half the distance between the quartiles and the number of observations. The estimate may
// lack the latest observations, fewer than refresh.
func (t *Times) estimate(refresh int) (median, spread time.Duration, n int) {
	if t == nil || t.n == 0 {
		return 0, 0, 0
	}
	if t.computedAt == 0 || t.n-t.computedAt >= refresh {
		sorted := slices.Sorted(slices.Values(t.latest))
		k := len(sorted)
		t.median, t.spread = sorted[k/2], (sorted[k*3/4]-sorted[k/4])/2
		t.computedAt = t.n
	}
	return t.median, t.spread, t.n
}

// censored returns the estimate for size tasks of which those that have not ended take longer than the ended ones.
func (t *Times) censored(size int) (median, spread time.Duration) {
	if t.n > keptTimes {
		median, spread, _ = t.estimate(refreshEvery)
		return median, spread
	}
	if t.computedAt != t.n || t.censoredSize != size {
		sorted := slices.Sorted(slices.Values(t.latest))
		median, lower := sorted[min(size/2, len(sorted)-1)], sorted[min(size/4, len(sorted)-1)]
		// The logarithms of run times are about symmetrical, which gives the upper quartile before it has been seen.
		upper := float64(median) * float64(median) / float64(max(lower, 1))
		t.median, t.spread = median, time.Duration((upper-float64(lower))/2)
		t.computedAt, t.censoredSize = t.n, size
	}
	return t.median, t.spread
}

// GroupTimes holds the run times of the ended tasks of a group. The zero value holds none.
type GroupTimes struct {
	onRack, offRack Times
}

// estimate returns the median and the spread of the tasks of a group of size tasks on or off their rack; ok is false while
// less than half of the group has ended, because the first tasks to end are the short ones.
func (g *GroupTimes) estimate(offRack bool, size int) (median, spread time.Duration, ok bool) {
	t := g.of(offRack)
	if t == nil || t.n < minGroupTimes {
		return 0, 0, false
	}
	ended := g.onRack.n + g.offRack.n
	if 2*ended <= size {
		return 0, 0, false
	}
	median, spread = t.censored(t.n * max(size, ended) / ended)
	return median, spread, true
}

// Observe adds the run time of a task that ran on or off the rack with its data.
func (g *GroupTimes) Observe(offRack bool, took time.Duration) {
	g.of(offRack).Observe(took)
}

func (g *GroupTimes) of(offRack bool) *Times {
	switch {
	case g == nil:
		return nil
	case offRack:
		return &g.offRack
	default:
		return &g.onRack
	}
}

// sampledTimes estimates run times from the latest ones of each image.
type sampledTimes struct {
	images *recent[string, Times]
}

func newSampledTimes() *sampledTimes {
	return &sampledTimes{images: newRecent[string, Times](maxKinds)}
}

// Observe implements RunTimes.
func (t *sampledTimes) Observe(image string, took time.Duration) {
	t.images.get(image).Observe(took)
}

// Estimate implements RunTimes.
func (t *sampledTimes) Estimate(image string) (median, spread time.Duration, n int) {
	return t.images.find(image).estimate(refreshEvery)
}
