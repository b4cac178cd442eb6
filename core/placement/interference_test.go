package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// noInterference is a model that expects no interference.
type noInterference struct{}

func (noInterference) Expect(int, int) (float64, float64)            { return 0, 0 }
func (noInterference) Learn(int, []placement.Load, float64, float64) {}

// trueModel is a model that knows the coefficients of the simulation.
type trueModel [][]float64

func (m trueModel) Expect(v, a int) (float64, float64)          { return m[v][a], 0 }
func (trueModel) Learn(int, []placement.Load, float64, float64) {}

var interferenceRows = []table.Row{
	{Name: "web", Kind: table.LatencyCritical, Weight: 10},
	{Name: "search", Kind: table.LatencyCritical, Weight: 10},
	{Name: "quiet", Kind: table.Batch, Weight: 2},
	{Name: "cache", Kind: table.Batch, Weight: 2},
	{Name: "stream", Kind: table.Batch, Weight: 2},
}

// trueCoefficients makes web suffer from cache and search from stream, and both little from anything else.
var trueCoefficients = [][]float64{
	{0.1, 0.1, 0.05, 2.5, 0.3},
	{0.1, 0.1, 0.05, 0.2, 2.5},
	{0.05, 0.05, 0.1, 0.1, 0.1},
	{0.1, 0.1, 0.1, 0.8, 0.2},
	{0.1, 0.1, 0.1, 0.2, 0.8},
}

// runInterference submits urgent work for about 30 % of the processors, and batchRate batch tasks in each step.
func runInterference(model placement.Interference, batchRate, minThrottle float64) *simModel {
	s := newSim(11, 20, interferenceRows, trueCoefficients, placement.Options{Interference: model, MinThrottle: minThrottle})
	s.evictions = 0
	dueTasks := 0.0
	for range 2400 {
		for range 2 {
			s.submit(s.rng.IntN(2), vec(4000, 8000, 0), 10*time.Second)
		}
		for dueTasks += batchRate; dueTasks >= 1; dueTasks-- {
			s.submit(2+s.rng.IntN(3), vec(4000, 8000, 0), 35*time.Second)
		}
		s.step()
	}
	return s
}

// Guards against estimates that do not help: with late and noisy measurements, urgent work must be slowed down less
// with learnt coefficients than without a model. The 99th percentile is compared only where workers have free
// capacity: in a full cell there is rarely a choice of workers, and even the true coefficients hardly improve it.
func TestLearntInterferenceReducesSlowdown(t *testing.T) {
	t.Logf("%-20s %-8s %12s %12s %12s %12s %10s", "load", "policy", "p50 slowdown", "p99 slowdown", "mean", "batch core-s", "evictions")
	for _, load := range []struct {
		name           string
		rate, throttle float64
	}{{"80 %", 0.9, 0.5}, {"full", 2, 0.5}, {"full, no throttling", 2, 1}} {
		results := map[string]*simModel{}
		for _, c := range []struct {
			name  string
			model placement.Interference
		}{{"blind", noInterference{}}, {"learnt", placement.NewEstimator()}, {"oracle", trueModel(trueCoefficients)}} {
			s := runInterference(c.model, load.rate, load.throttle)
			results[c.name] = s
			t.Logf("%-20s %-8s %12.3f %12.3f %12.3f %12.0f %10d", load.name, c.name, quantile(s.slowdowns, 0.5),
				quantile(s.slowdowns, 0.99), mean(s.slowdowns), batchCoreSeconds(s), s.evictions)
		}
		if load.rate < 1 {
			require.Less(t, quantile(results["learnt"].slowdowns, 0.99), quantile(results["blind"].slowdowns, 0.99))
		}
		require.Less(t, mean(results["learnt"].slowdowns), mean(results["blind"].slowdowns))
	}
}

func batchCoreSeconds(s *simModel) float64 {
	return s.doneCoreSeconds["quiet"] + s.doneCoreSeconds["cache"] + s.doneCoreSeconds["stream"]
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// Guards against an estimator that does not converge: after noisy observations the coefficient of a strong pair
// must be within three of its own standard deviations of the true value, and the deviation well below that of an
// unseen pair.
func TestEstimatorConverges(t *testing.T) {
	s := newSim(3, 1, interferenceRows[:1], nil, placement.Options{})
	e := placement.NewEstimator()
	_, unseen := e.Expect(0, 1)
	for range 400 {
		a, b := s.rng.Float64()*0.5, s.rng.Float64()*0.5
		loads := []placement.Load{{Class: 1, Part: a}, {Class: 2, Part: b}}
		e.Learn(0, loads, 1+2*a+0.1*b+0.2*s.rng.NormFloat64(), 0.04)
	}
	strong, deviation := e.Expect(0, 1)
	require.InDelta(t, 2.0, strong, 3*deviation)
	weak, _ := e.Expect(0, 2)
	require.InDelta(t, 0.1, weak, 3*deviation)
	require.Less(t, deviation, unseen/2)
}

// Guards against pairs that are never tried, and against unlimited trials: batch tasks that would always go to the
// other worker must sometimes be placed beside the urgent task, but less often once the pair is known to interfere.
func TestUnseenPairsAreTriedAtLowCost(t *testing.T) {
	c := cellOf(2, vec(64_000, 64_000, 0))
	c.Submit([]placement.Pending{pendingTask(0, "web", vec(32_000, 1000, 0))})
	urgent := c.Plan(epoch, 1).Starts[0]
	countBeside := func(from int) int {
		n := 0
		for i := range 400 {
			id := from + i
			now := epoch.Add(time.Duration(id) * time.Second)
			c.Submit([]placement.Pending{pendingTask(id, "etl", vec(4000, 100, 0))})
			for _, s := range c.Plan(now, 1).Starts {
				if s.Worker == urgent.Worker {
					n++
					c.Observe([]placement.Observation{{Task: urgent.Task, Slowdown: 3, At: now}})
				}
				c.Release(s.Task)
			}
		}
		return n
	}
	first, second := countBeside(1), countBeside(401)
	t.Logf("%d of the first and %d of the next 400 tasks were placed beside the urgent one", first, second)
	require.Positive(t, first)
	require.LessOrEqual(t, first, 400/10)
	require.Less(t, second, first)
}
