package forecast

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// end is the expected end of a task and what it frees.
type end struct {
	in    time.Duration
	frees resource.Vector
}

// Timeline holds when the tasks of one worker are expected to end. Its memory is reused by Reset.
type Timeline struct {
	free   resource.Vector
	ends   []end
	sorted bool
}

// Reset starts the timeline of another worker. free is what can be used now; it may be negative where claims exceed what
// is free.
func (t *Timeline) Reset(free resource.Vector) {
	t.free, t.ends, t.sorted = free, t.ends[:0], true
}

// Add adds a task that is expected to end after a time.
func (t *Timeline) Add(in time.Duration, frees resource.Vector) {
	t.ends = append(t.ends, end{in, frees})
	t.sorted = false
}

// Take uses an amount from now on for a time. It may make free negative.
func (t *Timeline) Take(amount resource.Vector, length time.Duration) {
	t.free = t.free.Sub(amount)
	t.Add(length, amount)
}

// Fits returns after which time need fits; ok is false if it does not fit even when all tasks have ended.
func (t *Timeline) Fits(need resource.Vector) (in time.Duration, ok bool) {
	return t.FitsCopies(need, 1)
}

// FitsCopies returns after which time n requests of the same size fit at once.
func (t *Timeline) FitsCopies(need resource.Vector, n int) (in time.Duration, ok bool) {
	if !t.sorted {
		slices.SortFunc(t.ends, func(a, b end) int { return cmp.Compare(a.in, b.in) })
		t.sorted = true
	}
	need = need.Scale(int64(n))
	free := t.free
	if need.Fits(free) {
		return 0, true
	}
	for _, e := range t.ends {
		free = free.Add(e.frees)
		if need.Fits(free) {
			return e.in, true
		}
	}
	return 0, false
}

// Group returns after which times the first requests of a group of n, all of one size, fit on the workers, in ascending
// order. It has fewer than n entries if the workers never hold all at once. Entry k-1 is when the first k can have
// started.
func Group(workers []*Timeline, need resource.Vector, n int) []time.Duration {
	var times []time.Duration
	for _, w := range workers {
		for k := 1; k <= n; k++ {
			in, ok := w.FitsCopies(need, k)
			if !ok {
				break
			}
			times = append(times, in)
		}
	}
	slices.Sort(times)
	return times[:min(n, len(times))]
}
