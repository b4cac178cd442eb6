package forecast_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/forecast"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

func cores(n int64) resource.Vector { return resource.Vector{MilliCPU: 1000 * n, MemoryMB: 1000} }

// Guards against stragglers that move the estimate: three runs in a hundred take seven times as long.
func TestStragglersLeaveTheMedian(t *testing.T) {
	r := forecast.NewRunTimes()
	rng := rand.New(rand.NewPCG(1, 1))
	for i := range 300 {
		took := time.Second + time.Duration(rng.IntN(200)-100)*time.Millisecond
		if i%33 == 0 {
			took *= 7
		}
		r.Observe("a", took)
	}
	median, spread, n := r.Estimate("a")
	require.Equal(t, 32, n)
	require.InDelta(t, 1.0, median.Seconds(), 0.05)
	require.InDelta(t, 0.07, spread.Seconds(), 0.05)
	_, _, n = r.Estimate("b")
	require.Zero(t, n)
}

// Guards against estimates that keep the run times of an earlier version of an image.
func TestRunTimesFollowAChange(t *testing.T) {
	r := forecast.NewRunTimes()
	for i := range 200 {
		r.Observe("a", time.Duration(1+i/100)*time.Second)
	}
	median, spread, _ := r.Estimate("a")
	require.InDelta(t, 2, median.Seconds(), 1e-6)
	require.Zero(t, spread)
}

// Guards against a task that outlasts what is known about it and is expected to end at once: it would be counted as free
// in every forecast for as long as it runs.
func TestRemainingOfAStragglerGrows(t *testing.T) {
	r := forecast.NewRunTimes()
	require.Equal(t, 3*time.Second, r.Remaining("a", 5*time.Second, 2*time.Second))
	require.Equal(t, 4*time.Second, r.Remaining("a", 5*time.Second, 9*time.Second))
	require.Equal(t, forecast.Unknown, r.Remaining("a", 0, 9*time.Second))
	require.Equal(t, forecast.Unknown, r.Length("a", 0))
	for i := range 20 {
		r.Observe("a", time.Second+time.Duration(i)*10*time.Millisecond)
	}
	require.InDelta(t, 0.6, r.Remaining("a", 5*time.Second, 500*time.Millisecond).Seconds(), 0.02)
	require.InDelta(t, 1.9, r.Remaining("a", 5*time.Second, 3*time.Second).Seconds(), 0.02)
	require.Positive(t, r.Remaining("a", 5*time.Second, 1190*time.Millisecond))
	require.InDelta(t, 1.15, r.Length("a", 5*time.Second).Seconds(), 0.05)
}

// Guards against memory that grows with the number of images ever seen, and against losing one in use.
func TestImagesAreBounded(t *testing.T) {
	r := forecast.NewRunTimes()
	for i := range 5000 {
		r.Observe(fmt.Sprint("image", i), time.Second)
		r.Observe("used", time.Second)
	}
	_, _, n := r.Estimate("used")
	require.Equal(t, 32, n)
	_, _, n = r.Estimate("image0")
	require.Zero(t, n)
}

// Guards against a forecast that does not add up what several ends free, or that ignores a dimension.
func TestTimelineAddsUpEnds(t *testing.T) {
	var w forecast.Timeline
	w.Reset(resource.Vector{MilliCPU: 1000, MemoryMB: 500})
	w.Add(3*time.Second, cores(4))
	w.Add(1*time.Second, cores(2))
	w.Add(2*time.Second, resource.Vector{MilliCPU: 1000})
	for need, want := range map[int64]time.Duration{1: time.Second, 3: time.Second, 4: 2 * time.Second, 5: 3 * time.Second, 8: 3 * time.Second} {
		in, ok := w.Fits(cores(need))
		require.True(t, ok)
		require.Equal(t, want, in, "%d cores", need)
	}
	in, ok := w.Fits(resource.Vector{MilliCPU: 1000, MemoryMB: 500})
	require.True(t, ok)
	require.Zero(t, in)
	_, ok = w.Fits(cores(9))
	require.False(t, ok)
	w.Take(resource.Vector{MilliCPU: 1000}, 4*time.Second)
	in, ok = w.Fits(cores(8))
	require.True(t, ok)
	require.Equal(t, 4*time.Second, in)
}

// Guards against a group forecast that counts the same room twice: the k-th start must be no earlier than with any
// assignment, which a brute-force count at each time gives.
func TestGroupForecastMatchesACount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type worker struct {
			free int64
			ends map[time.Duration]int64
		}
		var workers []worker
		var timelines []*forecast.Timeline
		for range rapid.IntRange(1, 5).Draw(t, "workers") {
			w := worker{rapid.Int64Range(0, 6).Draw(t, "free"), map[time.Duration]int64{}}
			line := &forecast.Timeline{}
			line.Reset(resource.Vector{MilliCPU: w.free})
			for range rapid.IntRange(0, 5).Draw(t, "tasks") {
				in, size := time.Duration(rapid.IntRange(1, 9).Draw(t, "in")), rapid.Int64Range(1, 5).Draw(t, "size")
				w.ends[in] += size
				line.Add(in, resource.Vector{MilliCPU: size})
			}
			workers, timelines = append(workers, w), append(timelines, line)
		}
		need := rapid.Int64Range(1, 6).Draw(t, "need")
		n := rapid.IntRange(1, 10).Draw(t, "n")
		var want []time.Duration
		for at := range time.Duration(10) {
			fit := int64(0)
			for _, w := range workers {
				free := w.free
				for in, size := range w.ends {
					if in <= at {
						free += size
					}
				}
				fit += free / need
			}
			for int64(len(want)) < min(fit, int64(n)) {
				want = append(want, at)
			}
		}
		require.Equal(t, want, append([]time.Duration(nil), forecast.Group(timelines, resource.Vector{MilliCPU: need}, n)...))
	})
}

// Guards against reservations that are kept long after wrong forecasts, or given up at once after good ones.
func TestMarginFollowsErrors(t *testing.T) {
	var e forecast.Errors
	require.Equal(t, time.Second, e.Spread(2*time.Second))
	for range 64 {
		e.Observe(time.Second, time.Second)
	}
	require.Equal(t, 500*time.Millisecond, e.Spread(2*time.Second))
	require.Equal(t, 100*time.Millisecond, e.Spread(0))
	for range 64 {
		e.Observe(time.Second, time.Minute)
	}
	require.Equal(t, 6*time.Second, e.Spread(2*time.Second))
	sum, n := e.Total()
	require.Equal(t, 64*59*time.Second, sum)
	require.EqualValues(t, 128, n)
}
