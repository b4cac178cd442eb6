// Package forecast estimates when running tasks end, when a request will fit on a worker, and how wrong such estimates
// have been.
package forecast

import (
	"slices"
	"time"
)

const (
	// window is how many run times of an image are remembered. With 64, three stragglers in a hundred leave the
	// quartiles unchanged.
	window = 64
	// maxImages bounds the remembered images; 512 of them take about 600 KB.
	maxImages = 512
	// minSamples is how many ended runs replace the declared run time.
	minSamples = 5
	// minLonger is how many of the remembered runs must have taken longer than a task has run for them to say when
	// it ends.
	minLonger = 3
	// Unknown is the run time assumed for a task without a declared or learnt one.
	Unknown = time.Hour
)

// RunTimes learns how long tasks of an image run. It is not safe for concurrent use.
type RunTimes struct {
	images map[string]*samples
	// observed counts the observations, so that the image whose last one is the oldest can be dropped.
	observed uint64
}

// samples holds the last run times of one image, in the order of arrival in ring and in ascending order in sorted.
type samples struct {
	ring, sorted []time.Duration
	next         int
	lastObserved uint64
}

// NewRunTimes returns a learner without observations.
func NewRunTimes() *RunTimes { return &RunTimes{images: make(map[string]*samples)} }

// Observe adds the run time of a task that has ended.
func (r *RunTimes) Observe(image string, took time.Duration) {
	took = max(took, 0)
	r.observed++
	s, ok := r.images[image]
	if !ok {
		if len(r.images) >= maxImages {
			r.dropOldest()
		}
		s = &samples{}
		r.images[image] = s
	}
	s.lastObserved = r.observed
	s.add(took)
}

func (s *samples) add(took time.Duration) {
	if len(s.ring) < window {
		s.ring = append(s.ring, took)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.ring[s.next])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.ring[s.next] = took
		s.next = (s.next + 1) % window
	}
	i, _ := slices.BinarySearch(s.sorted, took)
	s.sorted = slices.Insert(s.sorted, i, took)
}

func (r *RunTimes) dropOldest() {
	oldest, first := "", true
	for image, s := range r.images {
		if first || s.lastObserved < r.images[oldest].lastObserved {
			oldest, first = image, false
		}
	}
	delete(r.images, oldest)
}

// Estimate returns the median of the last run times of an image, their spread and their number. The spread is half the
// distance between the quantiles of 16 % and 84 %, which is one standard deviation of a normal distribution.
func (r *RunTimes) Estimate(image string) (median, spread time.Duration, n int) {
	s, ok := r.images[image]
	if !ok {
		return 0, 0, 0
	}
	return s.quantile(0.5), (s.quantile(0.84) - s.quantile(0.16)) / 2, len(s.sorted)
}

func (s *samples) quantile(q float64) time.Duration {
	return s.sorted[int(q*float64(len(s.sorted)-1)+0.5)]
}

// Remaining estimates how much longer a task runs that has run for elapsed: the median of the remembered runs that took
// longer. A task that has outlasted them, or its declared run time if too few runs of the image are known, is expected to
// run for as long again as it has overrun.
func (r *RunTimes) Remaining(image string, declared, elapsed time.Duration) time.Duration {
	expected := declared
	if s, ok := r.images[image]; ok && len(s.sorted) >= minSamples {
		i, _ := slices.BinarySearch(s.sorted, elapsed+1)
		if longer := s.sorted[i:]; len(longer) >= minLonger {
			return longer[len(longer)/2] - elapsed
		}
		expected = s.quantile(0.5)
	}
	switch {
	case expected <= 0:
		return Unknown
	case elapsed >= expected:
		return max(elapsed-expected, expected/8)
	default:
		return expected - elapsed
	}
}

// Length estimates how long a task that is to be started runs, with one spread in addition, so that it ends earlier
// more often than not.
func (r *RunTimes) Length(image string, declared time.Duration) time.Duration {
	median, spread, n := r.Estimate(image)
	switch {
	case n >= minSamples:
		return median + spread
	case declared > 0:
		return declared
	default:
		return Unknown
	}
}
