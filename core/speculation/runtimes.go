package speculation

import "time"

const (
	// keptTimes is how many of the latest run times of an image give its estimate.
	keptTimes = 64
	// refreshEvery is after how many observations a cached estimate is computed again.
	refreshEvery = 8
)

// sampledTimes estimates run times from the latest ones of each image.
type sampledTimes struct {
	images *recent[string, samples]
}

type samples struct {
	latest []time.Duration
	n      int
	// median and spread are those after computedAt observations.
	median, spread time.Duration
	computedAt     int
}

func newSampledTimes() *sampledTimes {
	return &sampledTimes{images: newRecent[string, samples](maxKinds)}
}

// Observe implements RunTimes.
func (t *sampledTimes) Observe(image string, took time.Duration) {
	s := t.images.get(image)
	if len(s.latest) < keptTimes {
		s.latest = append(s.latest, took)
	} else {
		s.latest[s.n%keptTimes] = took
	}
	s.n++
}

// Estimate implements RunTimes.
func (t *sampledTimes) Estimate(image string) (median, spread time.Duration, n int) {
	s := t.images.find(image)
	if s == nil {
		return 0, 0, 0
	}
	if s.computedAt == 0 || s.n-s.computedAt >= refreshEvery {
		s.median, s.spread = quartiles(s.latest)
		s.computedAt = s.n
	}
	return s.median, s.spread, s.n
}
