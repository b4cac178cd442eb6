package evacuation

import (
	"hash/fnv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// RampTime is how long it takes after a withdrawal until all workers of a data centre take tasks again. At once, the
	// whole queue would be placed on them.
	RampTime = 2 * time.Second
	// rampSteps is the number of equal shares of workers that return one after another.
	rampSteps = 8
)

// Ramp is the gradual return of the workers of a data centre after its evacuation has ended.
type Ramp struct {
	endedAt time.Time
	// released is the number of shares that take tasks again.
	released int
}

// NewRamp returns the ramp of an evacuation that has just ended. The first share returns at once.
func NewRamp(endedAt time.Time) Ramp {
	return Ramp{endedAt: endedAt, released: 1}
}

// Advance returns the ramp at a later time.
func (r Ramp) Advance(now time.Time) Ramp {
	steps := 1 + int(now.Sub(r.endedAt)/(RampTime/rampSteps))
	r.released = min(max(r.released, steps), rampSteps)
	return r
}

// Done reports whether all workers take tasks again.
func (r Ramp) Done() bool { return r.released >= rampSteps }

// Next returns when the next share returns.
func (r Ramp) Next() time.Time {
	return r.endedAt.Add(time.Duration(r.released) * (RampTime / rampSteps))
}

// Holds reports whether a worker takes no tasks yet.
func (r Ramp) Holds(id ident.WorkerID) bool {
	return share(id) >= r.released
}

// share returns the share of a worker. It depends on the id alone, so that two owners return the workers in the same
// order.
func share(id ident.WorkerID) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	// The low bits of FNV follow the last character of the id; the high bits mix all of them.
	return int(uint64(h.Sum32()) * rampSteps >> 32)
}
