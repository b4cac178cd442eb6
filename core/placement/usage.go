package placement

import (
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// usageQuantilePercent is the percentage of the observations of a class that its bookings cover.
	usageQuantilePercent = 95
	// usageWindowCount is the number of observations in a window. The current and the previous window count.
	usageWindowCount = 1024
	// quantileRefreshCount is how many observations pass between two computations of the quantile.
	quantileRefreshCount = 16
	// maxUsagePercent caps the recorded usage relative to the declared size.
	maxUsagePercent = 10_000
)

// usage holds the measured usage of the tasks of one class.
type usage struct {
	// dims is indexed like dimensions.
	dims [3]dimensionUsage
}

// dimensionUsage is the usage in one dimension, relative to the declared size where one is declared. Sizes differ
// inside a class, so that an absolute quantile would book small tasks as large ones.
type dimensionUsage struct {
	// current and previous hold usage in percent of the declared size.
	current, previous *hdrhistogram.Histogram
	// currentMax and previousMax are the largest amounts in the current and the previous window; undeclaredMax is
	// the largest amount ever used by tasks that declared none.
	currentMax, previousMax, undeclaredMax int64
	// factor is the quantile of the usage relative to the declared size, at least 1.
	factor float64
}

// dimensions returns pointers to the amounts of a vector.
func dimensions(v *resource.Vector) [3]*int64 {
	return [3]*int64{&v.MilliCPU, &v.MemoryMB, &v.Accelerators}
}

// observe records the usage of a task. Dimensions of 0 were not measured.
func (u *usage) observe(declared, used resource.Vector) {
	declaredDims, usedDims := dimensions(&declared), dimensions(&used)
	for i := range u.dims {
		if *usedDims[i] > 0 {
			u.dims[i].observe(*declaredDims[i], *usedDims[i])
		}
	}
}

func (d *dimensionUsage) observe(declared, used int64) {
	if declared == 0 {
		d.undeclaredMax = max(d.undeclaredMax, used)
		return
	}
	if d.current == nil {
		d.current = hdrhistogram.New(1, maxUsagePercent, 1)
	}
	d.currentMax = max(d.currentMax, used)
	percent := math.Ceil(float64(used) / float64(declared) * 100)
	_ = d.current.RecordValue(int64(min(percent, maxUsagePercent)))
	n := d.current.TotalCount()
	if n <= quantileRefreshCount || n%quantileRefreshCount == 0 {
		d.factor = max(1, d.quantile())
	}
	if n >= usageWindowCount {
		d.previous, d.current = d.current, d.previous
		d.previousMax, d.currentMax = d.currentMax, 0
		if d.current != nil {
			d.current.Reset()
		}
	}
}

// quantile returns the larger quantile of the two windows, relative to the declared size. With few observations it
// is their maximum.
func (d *dimensionUsage) quantile() float64 {
	percent := d.current.ValueAtQuantile(usageQuantilePercent)
	if d.previous != nil {
		percent = max(percent, d.previous.ValueAtQuantile(usageQuantilePercent))
	}
	return float64(percent) / 100
}

// correct returns the booking for a declared amount. It does not exceed the largest amount seen, because the factor
// of a task that declared very little says nothing about the others.
func (d *dimensionUsage) correct(declared int64) int64 {
	if declared == 0 {
		return d.undeclaredMax
	}
	expected := int64(math.Ceil(float64(declared) * d.factor))
	return max(declared, min(expected, max(d.currentMax, d.previousMax)))
}

// booking returns what a task is to have booked: at least its declared size, and more if its class has been
// measured to use more. The correction does not make a task impossible: it is limited to the largest worker that
// can hold the declared size and to the limit of the class.
func (c *Cell) booking(t *task) resource.Vector {
	b := t.declared
	for i, d := range dimensions(&b) {
		*d = min(t.class.usage.dims[i].correct(*d), maxAmount)
	}
	if b == t.declared {
		return b
	}
	if c.shapes.failingDimension(b) != "" {
		b = minPerDimension(b, c.shapes.largestFitting(t.declared))
	}
	return minPerDimension(b, t.class.limit()).Max(t.declared)
}

// observeUsage updates the usage of the class with a measurement of a booked task. A task that uses more than it
// has booked is booked for what it uses, at most the whole worker; if the worker cannot hold that, the next Plan
// relieves it. Processors of throttled tasks are not counted, because throttling changes them.
func (c *Cell) observeUsage(t *task, o Observation) {
	used := minPerDimension(clampAmounts(o.Usage), t.node.worker.Capacity)
	if t.unthrottledCPU > 0 {
		used.MilliCPU = 0
	}
	t.class.usage.observe(t.declared, used)
	c.learnSlowdown(t, o)
	if desired := t.desired.Max(used); desired != t.desired {
		c.setDesired(t, desired)
		c.distributeFree(t.node)
	}
}
