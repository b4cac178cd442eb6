// Package routing chooses the cell and the target of a request, and tracks the health of targets from what requests
// show.
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
	rng   *rand.Rand
	slots int
	byID  map[ident.TargetID]*target
	// all holds the targets in a fixed order, so that a run with the same random source makes the same choices.
	all []*target
	// avail holds the targets with free slots, in no order, so that a random one is found in constant time.
	avail []*target
	// paused holds the targets whose pause will end by itself.
	paused      []*target
	outstanding int
	free        int
	// open is the number of targets whose breaker is not closed.
	open   int
	usable int
	// latency is the recent latency over all targets, in seconds.
	latency float64
}

// NewTargets returns the state of a cell without targets. The caller does not use rng elsewhere.
func NewTargets(rng *rand.Rand) *Targets {
	return &Targets{rng: rng, byID: make(map[ident.TargetID]*target)}
}

// SetSlotsPerTarget sets how many requests each target may run for this owner. Requests above it are not stopped.
func (ts *Targets) SetSlotsPerTarget(n int) {
	if n == ts.slots {
		return
	}
	ts.slots = n
	for _, t := range ts.all {
		ts.refresh(t)
	}
}

// Set replaces the list of targets. Health and outstanding requests of known targets are kept. A target that is back
// after leaving, or has a new address, is another process, so that its health starts anew.
func (ts *Targets) Set(list []Target) {
	for _, t := range ts.all {
		t.listed = false
	}
	ts.usable = 0
	for _, l := range list {
		t, ok := ts.byID[l.ID]
		if !ok {
			t = &target{availPos: -1}
			ts.byID[l.ID] = t
			ts.all = append(ts.all, t)
		}
		if ok && (t.Address != l.Address || (t.Leaving && !l.Leaving)) {
			ts.countOpen(t, func() { t.health = health{} })
		}
		t.Target = l
		t.listed = true
		if !l.Leaving {
			ts.usable++
		}
	}
	for _, t := range slices.Clone(ts.all) {
		ts.refresh(t)
		ts.forget(t)
	}
}

// forget drops a target that is no longer listed and has no requests.
func (ts *Targets) forget(t *target) {
	if t.listed || t.outstanding > 0 {
		return
	}
	ts.countOpen(t, func() { t.health = health{} })
	delete(ts.byID, t.ID)
	ts.all = slices.DeleteFunc(ts.all, func(o *target) bool { return o == t })
}

// countOpen runs a change of health and keeps the number of open targets.
func (ts *Targets) countOpen(t *target, change func()) {
	if t.health.state != closed {
		ts.open--
	}
	change()
	if t.health.state != closed {
		ts.open++
	}
}

// refresh recomputes the free slots of a target after any change to it.
func (ts *Targets) refresh(t *target) {
	free := t.computeFree(ts.slots)
	ts.free += free - t.free
	t.free = free
	switch {
	case free > 0 && t.availPos < 0:
		t.availPos = len(ts.avail)
		ts.avail = append(ts.avail, t)
	case free == 0 && t.availPos >= 0:
		last := len(ts.avail) - 1
		ts.avail[t.availPos] = ts.avail[last]
		ts.avail[t.availPos].availPos = t.availPos
		ts.avail[last] = nil
		ts.avail = ts.avail[:last]
		t.availPos = -1
	}
	if !t.paused && !t.health.wake().IsZero() {
		t.paused = true
		ts.paused = append(ts.paused, t)
	}
}

// Capacity returns the number of slots that may be used: those taken and those that are free now.
func (ts *Targets) Capacity() int { return ts.outstanding + ts.free }

// Outstanding returns the number of requests at targets.
func (ts *Targets) Outstanding() int { return ts.outstanding }

// Latency returns the recent latency over all targets.
func (ts *Targets) Latency() time.Duration { return time.Duration(ts.latency * float64(time.Second)) }

// NumUsable returns the number of listed targets that are not leaving.
func (ts *Targets) NumUsable() int { return ts.usable }

// ExpirePauses ends the pauses that are over and returns when to call it again; zero if no target is paused.
func (ts *Targets) ExpirePauses(now time.Time) time.Time {
	var next time.Time
	still := ts.paused[:0]
	for _, t := range ts.paused {
		t.health.advance(now)
		wake := t.health.wake()
		t.paused = !wake.IsZero()
		if t.paused {
			still = append(still, t)
			if next.IsZero() || wake.Before(next) {
				next = wake
			}
		}
		ts.refresh(t)
	}
	clear(ts.paused[len(still):])
	ts.paused = still
	return next
}

// Pick takes a slot at the better of two random targets. It avoids one target, such as that of a failed attempt, if
// there is another. It reports false if no slot is free, or if the only one is a probe of the target to avoid while
// another target is healthy and only busy.
func (ts *Targets) Pick(now time.Time, avoid ident.TargetID) (Target, bool) {
	a := ts.sample()
	if a == nil {
		return Target{}, false
	}
	b := ts.sample()
	if a == b && len(ts.avail) > 1 {
		b = ts.avail[(a.availPos+1)%len(ts.avail)]
	}
	chosen := ts.better(now, a, b, avoid)
	if chosen.ID == avoid && chosen.health.state == probing && ts.otherHealthy(chosen) {
		return Target{}, false
	}
	chosen.outstanding++
	ts.outstanding++
	ts.refresh(chosen)
	return chosen.Target, true
}

// otherHealthy reports whether a target other than t takes requests, now or as soon as one of its own ends.
func (ts *Targets) otherHealthy(t *target) bool {
	return slices.ContainsFunc(ts.all, func(o *target) bool {
		return o != t && o.listed && !o.Leaving && o.health.state == closed
	})
}

func (ts *Targets) sample() *target {
	if len(ts.avail) == 0 {
		return nil
	}
	return ts.avail[ts.rng.IntN(len(ts.avail))]
}

// better prefers a target that needs a probe, because it would not win by its latency and never recover.
func (ts *Targets) better(now time.Time, a, b *target, avoid ident.TargetID) *target {
	switch {
	case a == b || b.ID == avoid:
		return a
	case a.ID == avoid:
		return b
	case a.health.state == probing:
		return a
	case b.health.state == probing:
		return b
	case ts.cost(now, b) < ts.cost(now, a):
		return b
	default:
		return a
	}
}

// cost is the expected time of one more request at the target.
func (ts *Targets) cost(now time.Time, t *target) float64 {
	const least = 1e-6
	return float64(t.outstanding+1) * max(least, t.recent(now, ts.latency))
}

// Observe notes what a request showed about its target, without returning its slot.
func (ts *Targets) Observe(now time.Time, id ident.TargetID, o Observation) {
	t, ok := ts.byID[id]
	if !ok {
		return
	}
	sample := o.Latency.Seconds()
	// A deadline that passed is only a lower bound, which must not make a slow target look fast.
	slow := o.Signal == SignalTimedOut && sample > t.recent(now, ts.latency)
	if o.Signal == SignalOK || o.Signal == SignalClosing || slow {
		t.observeLatency(now, sample, ts.latency)
		ts.noteLatency(sample)
	}
	if o.Signal == SignalClosing && !ts.leavingSign(t) {
		o.Signal = SignalOK
	} else if o.Signal == SignalOK {
		t.keeps = true
	}
	if ts.counts(t, o) {
		ts.countOpen(t, func() { t.health.observe(now, o.Signal, ts.rng.Float64()) })
	}
	ts.refresh(t)
}

// mostlyPaused reports whether so many other targets are paused that a further failure is hardly the target's own. The
// target itself does not count: a probe of one bad target of two would else say nothing, and probes would never end.
func (ts *Targets) mostlyPaused(t *target) bool {
	others := ts.open
	if t.health.state != closed {
		others--
	}
	return 2*others >= len(ts.all)
}

// leavingSign reports whether a closed connection says that the target is leaving.
func (ts *Targets) leavingSign(t *target) bool {
	return t.keeps && !ts.mostlyPaused(t)
}

func (ts *Targets) noteLatency(sample float64) {
	if ts.latency == 0 {
		ts.latency = sample
	}
	ts.latency += latencyWeight / 4 * (sample - ts.latency)
}

const (
	// timeoutLatencyFactor is how many times the usual latency a target may take before a deadline that passed counts
	// against it. A caller with a shorter deadline asked for too much.
	timeoutLatencyFactor = 4
	// timeoutAlwaysCounts is the time after which a deadline that passed counts in any case.
	timeoutAlwaysCounts = time.Second
)

// counts reports whether an observation says something about the target rather than about the caller.
func (ts *Targets) counts(t *target, o Observation) bool {
	switch o.Signal {
	case SignalErrorStatus:
		return !ts.mostlyPaused(t)
	case SignalTimedOut:
		return ts.longWait(o.Latency)
	default:
		return true
	}
}

func (ts *Targets) longWait(waited time.Duration) bool {
	return waited >= timeoutAlwaysCounts || (ts.latency > 0 && waited.Seconds() >= timeoutLatencyFactor*ts.latency)
}

// Release returns the slot that Pick took.
func (ts *Targets) Release(id ident.TargetID) {
	t, ok := ts.byID[id]
	if !ok || t.outstanding == 0 {
		return
	}
	t.outstanding--
	ts.outstanding--
	ts.refresh(t)
	ts.forget(t)
}

// DepositRetryBudget notes a first attempt at the target for its retry budget.
func (ts *Targets) DepositRetryBudget(id ident.TargetID) {
	if t, ok := ts.byID[id]; ok {
		t.budget.Deposit()
	}
}

// TakeRetry takes a retry from the budgets of the class and of the target that failed; false if either is used up.
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
