package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/reach"
)

// unreachedShare is the share of Policy.SilentAfter after which a worker that has left a call unanswered counts as out of
// reach: a cut must be noticed long before leases lapse.
const unreachedShare = 0.5

// Contact returns which workers of the cell the owner reaches. Workers that shut down are left out, as are those whose
// first claim has neither been answered nor failed yet, and those that are neither listed nor claimed.
func (c *Cell) Contact(now time.Time) reach.Contact {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := reach.Contact{Reached: make([]ident.WorkerID, 0, len(c.workers))}
	for _, w := range c.sortedWorkers() {
		switch reached, unreached := c.contactTo(now, w); {
		case reached:
			found.Reached = append(found.Reached, w.member.ID)
		case unreached:
			found.Unreached = append(found.Unreached, w.member.ID)
		}
	}
	return found
}

// contactTo reports whether the owner reaches a worker or does not; neither holds if the worker does not count.
func (c *Cell) contactTo(now time.Time, w *worker) (reached, unreached bool) {
	if w.member.Leaving || !w.listed && !w.claimed {
		return false, false
	}
	if unreached = c.outOfReach(now, w); unreached {
		return false, true
	}
	return w.claimed, false
}

// outOfReach reports whether a worker does not answer. One that has answered a call whose report is still to be handled
// does.
func (c *Cell) outOfReach(now time.Time, w *worker) bool {
	switch {
	case w.reportWaiting:
		return false
	case !w.claimed:
		return w.unanswered || w.lapsed
	case w.silent:
		return true
	default:
		limit := time.Duration(unreachedShare * float64(c.policy.SilentAfter))
		return w.unanswered && now.Sub(w.lastContact) > limit
	}
}

// Members returns the members among the given workers that the cell knows, in the given order.
func (c *Cell) Members(ids []ident.WorkerID) []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	members := make([]Member, 0, len(ids))
	for _, id := range ids {
		if w, ok := c.workers[id]; ok {
			members = append(members, w.member)
		}
	}
	return members
}
