package placement

import "math"

// Interference estimates how much tasks of one class slow down tasks of another on the same worker. The slowdown of
// a task is modelled as 1 plus, for each class on the worker, a coefficient times the load of that class, which is
// the fraction of the worker's processors that the class has booked. Classes are numbered in the order of their
// first use.
type Interference interface {
	// Expect returns the coefficient of an ordered pair and its standard deviation.
	Expect(victim, aggressor int) (coefficient, deviation float64)
	// Learn updates the estimates with a measured slowdown. loads holds the classes on the worker of the victim;
	// measurementVariance is the variance of the measured slowdown.
	Learn(victim int, loads []Load, slowdown, measurementVariance float64)
}

// Load is the fraction of a worker's processors that a class has booked.
type Load struct {
	Class int
	Part  float64
}

const (
	// priorCoefficient and priorVariance describe an unseen pair: moderate interference with a wide deviation.
	priorCoefficient = 0.3
	priorVariance    = 0.25
	// driftVariance is added at each observation, so that old ones lose weight as the behaviour of classes changes.
	// The variance settles where about the last 30 observations count.
	driftVariance = 1e-4
	// maxPairs bounds the memory of the estimates to about 2 MB per cell; further pairs keep the prior.
	maxPairs = 1 << 16
)

// Estimator learns the coefficients of all pairs. It is a Kalman filter with a diagonal covariance: an observation
// of a task beside several classes corrects each pair in proportion to its load and its uncertainty.
type Estimator struct {
	pairs map[pair]estimate
	prior estimate
}

type pair struct {
	victim, aggressor int32
}

type estimate struct {
	mean, variance float32
}

var _ Interference = (*Estimator)(nil)

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return NewEstimatorWithPrior(priorCoefficient, priorVariance)
}

// NewEstimatorWithPrior returns an estimator without observations. The arguments are the coefficient and the
// variance of an unseen pair.
func NewEstimatorWithPrior(coefficient, variance float64) *Estimator {
	return &Estimator{pairs: make(map[pair]estimate), prior: estimate{float32(coefficient), float32(variance)}}
}

func (e *Estimator) lookup(victim, aggressor int) estimate {
	if v, ok := e.pairs[pair{int32(victim), int32(aggressor)}]; ok {
		return v
	}
	return e.prior
}

// Expect implements Interference.
func (e *Estimator) Expect(victim, aggressor int) (coefficient, deviation float64) {
	v := e.lookup(victim, aggressor)
	return float64(v.mean), math.Sqrt(float64(v.variance))
}

// Learn implements Interference.
func (e *Estimator) Learn(victim int, loads []Load, slowdown, measurementVariance float64) {
	expected, residualVariance := 1.0, measurementVariance
	for _, l := range loads {
		v := e.lookup(victim, l.Class)
		expected += float64(v.mean) * l.Part
		residualVariance += (float64(v.variance) + driftVariance) * l.Part * l.Part
	}
	residual := slowdown - expected
	for _, l := range loads {
		key := pair{int32(victim), int32(l.Class)}
		if _, known := e.pairs[key]; !known && len(e.pairs) >= maxPairs {
			continue
		}
		v := e.lookup(victim, l.Class)
		variance := min(float64(v.variance)+driftVariance, float64(e.prior.variance))
		gain := variance * l.Part / residualVariance
		e.pairs[key] = estimate{
			mean:     float32(max(0, float64(v.mean)+gain*residual)),
			variance: float32(variance * (1 - gain*l.Part)),
		}
	}
}
