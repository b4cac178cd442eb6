// Package routing chooses the cell and the target of a request, and tracks the health of targets from the outcome of
// their requests.
//
// Targets is part of the shard of one cell, and the lock of that shard guards it together with the admission state.
package routing

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Targets is the routing state of one cell.
type Targets struct {
	rng            *rand.Rand
	slotsPerTarget int
	byID           map[ident.TargetID]*target
	// all holds the targets in a fixed order, so that a run with the same random source makes the same choices.
	all []*target
	// available holds the targets with free slots, in no order, so that a random one is found in constant time.
	available []*target
	// paused holds the targets with a pause in progress.
	paused      []*target
	outstanding int
	freeSlots   int
	// openBreakers is the number of targets whose breaker is not closed.
	openBreakers int
	numUsable    int
	// latency is the recent latency over all targets, in seconds.
	latency float64
}

// NewTargets returns the state of a cell without targets. The caller must not use rng elsewhere.
func NewTargets(rng *rand.Rand) *Targets {
	return &Targets{rng: rng, byID: make(map[ident.TargetID]*target)}
}

// SetSlotsPerTarget sets how many requests each target may run for this owner. Requests in progress above it are not
// stopped.
func (ts *Targets) SetSlotsPerTarget(n int) {
	if n == ts.slotsPerTarget {
		return
	}
	ts.slotsPerTarget = n
	for _, t := range ts.all {
		ts.updateFreeSlots(t)
	}
}

// Set replaces the list of targets. Health and outstanding requests of known targets are kept. A target that is back
// after leaving, or has a new address, is another process, so that its health is reset.
func (ts *Targets) Set(list []Target) {
	for _, t := range ts.all {
		t.listed = false
	}
	ts.numUsable = 0
	for _, l := range list {
		t, ok := ts.byID[l.ID]
		if !ok {
			t = &target{availablePos: -1}
			ts.byID[l.ID] = t
			ts.all = append(ts.all, t)
		}
		if ok && (t.Address != l.Address || (t.Leaving && !l.Leaving)) {
			ts.changeHealth(t, func() { t.health = health{} })
		}
		t.Target = l
		t.listed = true
		if !l.Leaving {
			ts.numUsable++
		}
	}
	for _, t := range slices.Clone(ts.all) {
		ts.updateFreeSlots(t)
		ts.removeIfUnused(t)
	}
}

// removeIfUnused removes a target that is no longer listed and has no requests in progress.
func (ts *Targets) removeIfUnused(t *target) {
	if t.listed || t.outstanding > 0 {
		return
	}
	ts.changeHealth(t, func() { t.health = health{} })
	delete(ts.byID, t.ID)
	ts.all = slices.DeleteFunc(ts.all, func(o *target) bool { return o == t })
}

// changeHealth runs a change of the health of t and updates openBreakers.
func (ts *Targets) changeHealth(t *target, change func()) {
	if t.health.state != breakerClosed {
		ts.openBreakers--
	}
	change()
	if t.health.state != breakerClosed {
		ts.openBreakers++
	}
}

// updateFreeSlots recomputes the free slots of a target after any change to it.
func (ts *Targets) updateFreeSlots(t *target) {
	free := t.computeFreeSlots(ts.slotsPerTarget)
	ts.freeSlots += free - t.freeSlots
	t.freeSlots = free
	switch {
	case free > 0 && t.availablePos < 0:
		t.availablePos = len(ts.available)
		ts.available = append(ts.available, t)
	case free == 0 && t.availablePos >= 0:
		last := len(ts.available) - 1
		ts.available[t.availablePos] = ts.available[last]
		ts.available[t.availablePos].availablePos = t.availablePos
		ts.available[last] = nil
		ts.available = ts.available[:last]
		t.availablePos = -1
	}
	if !t.paused && !t.health.pauseEnd().IsZero() {
		t.paused = true
		ts.paused = append(ts.paused, t)
	}
}

// Capacity returns the number of slots that may be used now, whether taken or free.
func (ts *Targets) Capacity() int { return ts.outstanding + ts.freeSlots }

// Outstanding returns the number of requests in progress at targets.
func (ts *Targets) Outstanding() int { return ts.outstanding }

// Latency returns the recent latency over all targets.
func (ts *Targets) Latency() time.Duration { return time.Duration(ts.latency * float64(time.Second)) }

// NumUsable returns the number of listed targets that are not leaving.
func (ts *Targets) NumUsable() int { return ts.numUsable }

// ExpirePauses ends the pauses whose time has passed. It returns when to call it again; zero if no target is paused.
func (ts *Targets) ExpirePauses(now time.Time) time.Time {
	var next time.Time
	stillPaused := ts.paused[:0]
	for _, t := range ts.paused {
		t.health.expirePauses(now)
		end := t.health.pauseEnd()
		t.paused = !end.IsZero()
		if t.paused {
			stillPaused = append(stillPaused, t)
			if next.IsZero() || end.Before(next) {
				next = end
			}
		}
		ts.updateFreeSlots(t)
	}
	clear(ts.paused[len(stillPaused):])
	ts.paused = stillPaused
	return next
}

// Pick takes a slot at the better of two random targets with free slots. It avoids one target, such as that of a failed
// attempt, if there is another. It reports false if no slot is free, or if the only free one is a probe of the target
// to avoid while another target is healthy and only busy.
func (ts *Targets) Pick(now time.Time, avoid ident.TargetID) (Target, bool) {
	a := ts.randomAvailable()
	if a == nil {
		return Target{}, false
	}
	b := ts.randomAvailable()
	if a == b && len(ts.available) > 1 {
		b = ts.available[(a.availablePos+1)%len(ts.available)]
	}
	chosen := ts.choose(now, a, b, avoid)
	if chosen.ID == avoid && chosen.health.state == breakerHalfOpen && ts.otherHealthy(chosen) {
		return Target{}, false
	}
	chosen.outstanding++
	ts.outstanding++
	ts.updateFreeSlots(chosen)
	return chosen.Target, true
}

// otherHealthy reports whether a target other than t is healthy, with free slots or only busy.
func (ts *Targets) otherHealthy(t *target) bool {
	return slices.ContainsFunc(ts.all, func(o *target) bool {
		return o != t && o.listed && !o.Leaving && o.health.state == breakerClosed
	})
}

// randomAvailable returns a random target with free slots; nil if there is none.
func (ts *Targets) randomAvailable() *target {
	if len(ts.available) == 0 {
		return nil
	}
	return ts.available[ts.rng.IntN(len(ts.available))]
}

// choose returns the better of two targets. A target that needs a probe comes before the others: by its latency it
// would not be chosen, and it would never recover.
func (ts *Targets) choose(now time.Time, a, b *target, avoid ident.TargetID) *target {
	switch {
	case a == b || b.ID == avoid:
		return a
	case a.ID == avoid:
		return b
	case a.health.state == breakerHalfOpen:
		return a
	case b.health.state == breakerHalfOpen:
		return b
	case ts.cost(now, b) < ts.cost(now, a):
		return b
	default:
		return a
	}
}

// cost returns the expected time of one more request at the target, in seconds.
func (ts *Targets) cost(now time.Time, t *target) float64 {
	const minLatencySeconds = 1e-6
	return float64(t.outstanding+1) * max(minLatencySeconds, t.decayedLatency(now, ts.latency))
}

// Observe updates the health and the latency of a target after a request. It does not release the slot.
func (ts *Targets) Observe(now time.Time, id ident.TargetID, o Observation) {
	t, ok := ts.byID[id]
	if !ok {
		return
	}
	sample := o.Latency.Seconds()
	// The time until a deadline passed is only a lower bound of the latency and must not make a slow target look fast.
	slow := o.Signal == SignalTimedOut && sample > t.decayedLatency(now, ts.latency)
	if o.Signal == SignalOK || o.Signal == SignalClosing || slow {
		t.observeLatency(now, sample, ts.latency)
		ts.updateLatency(sample)
	}
	if o.Signal == SignalClosing && !ts.closeMeansLeaving(t) {
		o.Signal = SignalOK
	} else if o.Signal == SignalOK {
		t.keepsConnections = true
	}
	if ts.concernsTarget(t, o) {
		ts.changeHealth(t, func() { t.health.observe(now, o.Signal, ts.rng.Float64()) })
	}
	ts.updateFreeSlots(t)
}

// othersMostlyPaused reports whether so many other targets are paused that a failure of t is probably not its own. t
// does not count: otherwise the failed probe of one bad target of two would be ignored, and probes would follow without
// pause.
func (ts *Targets) othersMostlyPaused(t *target) bool {
	others := ts.openBreakers
	if t.health.state != breakerClosed {
		others--
	}
	return 2*others >= len(ts.all)
}

// closeMeansLeaving reports whether the closing of a connection shows that the target is leaving.
func (ts *Targets) closeMeansLeaving(t *target) bool {
	return t.keepsConnections && !ts.othersMostlyPaused(t)
}

// updateLatency adds a sample, in seconds, to the moving average over all targets. Its weight is a quarter of that in
// the average of one target.
func (ts *Targets) updateLatency(sample float64) {
	if ts.latency == 0 {
		ts.latency = sample
	}
	ts.latency += latencyWeight / 4 * (sample - ts.latency)
}

const (
	// timeoutLatencyFactor is the multiple of the usual latency from which a passed deadline counts against the target.
	// A shorter deadline is the caller's fault.
	timeoutLatencyFactor = 4
	// alwaysCountedTimeout is the time from which a passed deadline counts against the target whatever its usual latency.
	alwaysCountedTimeout = time.Second
)

// concernsTarget reports whether an observation shows something about the target rather than about the caller.
func (ts *Targets) concernsTarget(t *target, o Observation) bool {
	switch o.Signal {
	case SignalErrorStatus:
		return !ts.othersMostlyPaused(t)
	case SignalTimedOut:
		return ts.timeoutConcernsTarget(o.Latency)
	default:
		return true
	}
}

func (ts *Targets) timeoutConcernsTarget(waited time.Duration) bool {
	return waited >= alwaysCountedTimeout || (ts.latency > 0 && waited.Seconds() >= timeoutLatencyFactor*ts.latency)
}

// Release frees the slot that Pick took.
func (ts *Targets) Release(id ident.TargetID) {
	t, ok := ts.byID[id]
	if !ok || t.outstanding == 0 {
		return
	}
	t.outstanding--
	ts.outstanding--
	ts.updateFreeSlots(t)
	ts.removeIfUnused(t)
}

// DepositRetryBudget records a first attempt at the target in its retry budget.
func (ts *Targets) DepositRetryBudget(id ident.TargetID) {
	if t, ok := ts.byID[id]; ok {
		t.budget.Deposit()
	}
}

// TakeRetry takes a retry from the budgets of the class and of the target that failed. It takes none and returns false
// if either is used up.
func (ts *Targets) TakeRetry(class *RetryBudget, failed ident.TargetID) bool {
	t, ok := ts.byID[failed]
	if !class.CanWithdraw() || (ok && !t.budget.CanWithdraw()) {
		return false
	}
	class.Withdraw()
	if ok {
		t.budget.Withdraw()
	}
	return true
}
