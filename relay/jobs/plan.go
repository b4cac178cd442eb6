package jobs

import (
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

const (
	// planInterval is the shortest time between two runs of the planner, so that a burst of events is planned
	// together.
	planInterval = 10 * time.Millisecond
	// replanInterval is the longest time between two runs of the planner, which also has to react to the passing of
	// time, such as deadlines that come near.
	replanInterval = time.Second
	// waitingReplanInterval replaces replanInterval while tasks wait: an idle job must have something running within 3 s,
	// whether or not other events come.
	waitingReplanInterval = 250 * time.Millisecond
	// maxStartsPerPlan bounds the starts of one run of the planner, so that other events wait only briefly.
	maxStartsPerPlan = 64
)

// longestPlanPause returns the longest time between two runs of the planner.
func (o *owner) longestPlanPause() time.Duration {
	if p, ok := o.planner.(QueuePlanner); ok && p.Queued() > 0 {
		return waitingReplanInterval
	}
	return replanInterval
}

func (o *owner) planDue(now time.Time) bool {
	since := now.Sub(o.lastPlanAt)
	return o.planUnfinished || o.planNeeded && since >= planInterval || since >= o.longestPlanPause()
}

// plan runs the planner if something has changed or enough time has passed.
func (o *owner) plan() {
	now := o.now()
	if !o.planDue(now) {
		return
	}
	if o.draining.Load() || o.authority() != ownership.Full {
		// Otherwise the loop would keep waking up and cutting off queued events for a plan that must not run.
		o.planUnfinished = false
		o.lastPlanAt = now
		return
	}
	o.lastPlanAt = now
	o.planNeeded = false
	o.planUnfinished = false
	// Tasks that the window has no room for stay with the planner, which starts the most urgent first. A start that is planned
	// keeps its place behind earlier ones.
	limit := min(maxStartsPerPlan, o.starts.Room())
	isWindowFull := limit < maxStartsPerPlan
	held := o.cell.StartsHeld()
	if held {
		// The work that runs is still paced.
		limit = 0
	}
	p := o.planner.Plan(now, limit)
	ended := o.now()
	o.eventsFirstUntil = ended.Add(ended.Sub(now))
	o.stats.PlannedStarts.Add(int64(len(p.Starts)))
	o.apply(o.cell.ApplyPlan(now, p))
	o.planUnfinished = p.More && !held && !isWindowFull
	o.planAwaitsWindow = p.More && !held && isWindowFull
	if f, ok := o.planner.(ForecastingPlanner); ok {
		now := f.LookAhead()
		o.stats.LookAhead.add(now, o.lookAhead)
		o.lookAhead = now
	}
}

// LookAheadStats sums up placement.LookAheadStats over all owners that have run on this host. ForecastError is in
// nanoseconds.
type LookAheadStats struct {
	Reserved, Kept, Elsewhere, Expired, Backfilled, Yielded, Forecasts, ForecastError atomic.Int64
}

// add adds what a planner has counted since before.
func (s *LookAheadStats) add(now, before placement.LookAheadStats) {
	s.Reserved.Add(now.Reserved - before.Reserved)
	s.Kept.Add(now.Kept - before.Kept)
	s.Elsewhere.Add(now.Elsewhere - before.Elsewhere)
	s.Expired.Add(now.Expired - before.Expired)
	s.Backfilled.Add(now.Backfilled - before.Backfilled)
	s.Yielded.Add(now.Yielded - before.Yielded)
	s.Forecasts.Add(now.Forecasts - before.Forecasts)
	s.ForecastError.Add(int64(now.ForecastError - before.ForecastError))
}

// setLimitShare tells the planner which share of the limits it may use.
func (o *owner) setLimitShare(shareShift uint8) {
	o.shareShift = shareShift
	if p, ok := o.planner.(LimitSharePlanner); ok {
		p.SetLimitShare(o.cfg.Cells, shareShift)
	}
}
