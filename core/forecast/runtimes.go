// Package forecast estimates when running tasks end, when a request will fit on a worker, and how wrong such estimates
// have been.
package forecast

import (
	"slices"
	"time"
)

const (
	// window is how many run times of an image are remembered. One straggler in 32 leaves the quartiles unchanged.
	window = 32
	// maxImages bounds the images in a generation. Two generations of it take at most 1 MB.
	maxImages = 1536
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
	// recent holds the images observed since it last reached maxImages, older those of the time before.
	recent, older map[string]*samples
}

// samples holds the last run times of one image in seconds, in the order of arrival in ring and in ascending order in
// sorted.
type samples struct {
	ring, sorted []float32
	next         int
}

// NewRunTimes returns a learner without observations.
func NewRunTimes() *RunTimes { return &RunTimes{recent: make(map[string]*samples)} }

// Observe adds the run time of a task that has ended.
func (r *RunTimes) Observe(image string, took time.Duration) {
	s, ok := r.recent[image]
	if !ok {
		if s, ok = r.older[image]; !ok {
			s = &samples{}
		}
		if len(r.recent) >= maxImages {
			r.older, r.recent = r.recent, make(map[string]*samples)
		}
		r.recent[image] = s
	}
	s.add(float32(max(took, 0).Seconds()))
}

func (r *RunTimes) samplesOf(image string) (*samples, bool) {
	if s, ok := r.recent[image]; ok {
		return s, true
	}
	s, ok := r.older[image]
	return s, ok
}

func (s *samples) add(seconds float32) {
	if len(s.ring) < window {
		s.ring = append(s.ring, seconds)
	} else {
		i, _ := slices.BinarySearch(s.sorted, s.ring[s.next])
		s.sorted = slices.Delete(s.sorted, i, i+1)
		s.ring[s.next] = seconds
		s.next = (s.next + 1) % window
	}
	i, _ := slices.BinarySearch(s.sorted, seconds)
	s.sorted = slices.Insert(s.sorted, i, seconds)
}

func duration(seconds float32) time.Duration {
	return time.Duration(float64(seconds) * float64(time.Second))
}

// Estimate returns the median of the last run times of an image, their spread and their number. The spread is half the
// distance between the quantiles of 16 % and 84 %, which is one standard deviation of a normal distribution.
func (r *RunTimes) Estimate(image string) (median, spread time.Duration, n int) {
	s, ok := r.samplesOf(image)
	if !ok {
		return 0, 0, 0
	}
	return s.quantile(0.5), (s.quantile(0.84) - s.quantile(0.16)) / 2, len(s.sorted)
}

func (s *samples) quantile(q float64) time.Duration {
	return duration(s.sorted[int(q*float64(len(s.sorted)-1)+0.5)])
}

// Remaining estimates how much longer a task runs that has run for elapsed: the median of the remembered runs that took
// longer. A task that has outlasted them, or its declared run time if too few runs of the image are known, is expected to
// run for as long again as it has overrun.
func (r *RunTimes) Remaining(image string, declared, elapsed time.Duration) time.Duration {
	expected := declared
	if s, ok := r.samplesOf(image); ok && len(s.sorted) >= minSamples {
		i, _ := slices.BinarySearch(s.sorted, float32(elapsed.Seconds()))
		if longer := s.sorted[i:]; len(longer) >= minLonger {
			return max(duration(longer[len(longer)/2])-elapsed, 0)
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
