package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
)

// NoteEvacuations makes a set of requests apply to the starts that are still to be decided or sent. It does not wait for
// the events that were queued earlier; ApplyEvacuations has to follow as an event.
func (c *Cell) NoteEvacuations(set evacuation.Set) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evacuations = set
}

// ApplyEvacuations passes the set that was noted last on to the planner: evacuated workers get no new tasks, and those of
// data centres that are no longer under evacuation return one after another. An unknown set changes no worker. It returns
// the set.
func (c *Cell) ApplyEvacuations(now time.Time) (set evacuation.Set, eff Effects) {
	c.mu.Lock()
	defer c.mu.Unlock()
	set = c.evacuations
	if !set.Known() {
		return set, eff
	}
	for _, r := range c.appliedEvacuations.Without(set) {
		c.returns[r.DataCentre] = evacuation.NewRamp(now)
	}
	for _, r := range set.Requests() {
		delete(c.returns, r.DataCentre)
	}
	c.appliedEvacuations = set
	switch {
	case len(set.Requests()) == 0:
		c.nextMoveAt = time.Time{}
	case c.nextMoveAt.IsZero():
		c.nextMoveAt = now.Add(moveInterval)
	}
	c.updateEvacuated(now, &eff)
	return set, eff
}

// StartsHeld reports whether nothing may start because the requests for evacuations are not known well enough.
func (c *Cell) StartsHeld() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsHeld()
}

func (c *Cell) startsHeld() bool {
	return c.policy.AwaitEvacuations && !c.evacuations.Current()
}

// mayStartOn reports whether a start on the worker may be decided or sent.
func (c *Cell) mayStartOn(w *worker) bool {
	return !c.startsHeld() && !w.evacuated && !c.evacuations.Contains(w.member.DataCentre)
}

// isEvacuated reports whether the worker takes no tasks because of an evacuation or because its data centre has not
// returned in full.
func (c *Cell) isEvacuated(w *worker) bool {
	if c.appliedEvacuations.Contains(w.member.DataCentre) {
		return true
	}
	ramp, returning := c.returns[w.member.DataCentre]
	return returning && ramp.Holds(w.member.ID)
}

// updateEvacuated passes the workers to the planner that are evacuated or return, and abandons the starts on evacuated
// workers that wait for their log record.
func (c *Cell) updateEvacuated(now time.Time, eff *Effects) {
	fewer := false
	for _, w := range c.sortedWorkers() {
		evacuated := c.isEvacuated(w)
		if evacuated == w.evacuated {
			continue
		}
		w.evacuated = evacuated
		c.putWorker(w, eff)
		if evacuated {
			fewer = true
			c.abandonWaitingStarts(now, w, eff)
		}
	}
	if fewer {
		c.refreshWorkersToAvoid(now, eff)
	}
}

// abandonWaitingStarts ends the attempts on a worker whose start waits for its log record.
func (c *Cell) abandonWaitingStarts(now time.Time, w *worker, eff *Effects) {
	for _, t := range w.sortedTasks() {
		if t.run.phase == phaseLogging {
			c.endRun(now, t, eff)
			c.requeue(now, t, 0, WaitNone, eff)
		}
	}
}

// advanceReturns lets the next share of the workers of a data centre take tasks again once it is due.
func (c *Cell) advanceReturns(now time.Time, eff *Effects) {
	due := false
	for dc, ramp := range c.returns {
		if now.Before(ramp.Next()) {
			continue
		}
		due = true
		if ramp = ramp.Advance(now); ramp.Done() {
			delete(c.returns, dc)
		} else {
			c.returns[dc] = ramp
		}
	}
	if due {
		c.updateEvacuated(now, eff)
	}
}
