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

// GroupTimes holds the run times of the ended tasks of a group. The zero value holds none.
type GroupTimes struct {
	onRack, offRack Times
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
