package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

const (
	// restartSlack is the time for a new owner to claim the other workers, and for room: a batch task may have to end first.
	restartSlack = batchRunTime + 2*time.Second
	// disturbanceMemory is how long before a loss a failure of another worker counts: it may last until then, and the worker
	// may be in quarantine after its end.
	disturbanceMemory = 20 * time.Second
)

// performedStep is a step with the time at which it was performed.
type performedStep struct {
	at     time.Time
	action []string
}

// takeover is a change of the owner of a cell.
type takeover struct {
	cell ident.CellID
	at   time.Time
}

// restartCheck checks that the lasting tasks of a lost worker run again within one worker lease with its margin, the time of
// each takeover of their cell, and slack. Times at which the store is disturbed do not count. Tasks whose job was
// cancelled are left out, and those of cells in which no other worker was without a failure.
type restartCheck struct {
	// jobEnds holds when the cancellation of each lasting job was requested; zero if it was not.
	jobEnds     map[ident.JobID]time.Time
	endedAt     time.Time
	executions  []worker.Execution
	dataCentres []string
	performed   []performedStep
	losses      []workerLoss
	takeovers   []takeover

	// slack is restartSlack, or longer than any run.
	slack time.Duration

	checked int
	longest time.Duration
	// pending counts the tasks that do not run again yet, and leftOut those whose job was cancelled or that had no other worker.
	pending, leftOut int
}

// takeoverTime bounds the time from the loss of an owner to the claim of its cell: its lease ends, and one more preferred
// host leaves the cell to the next one.
func takeoverTime() time.Duration {
	c := ownership.DefaultConfig()
	return c.TTL + c.RankStep
}

func (c *restartCheck) run() (violations []string) {
	for _, loss := range c.losses {
		foundAt := c.foundAt(loss)
		for i := range c.executions {
			x := &c.executions[i]
			if !c.endedByLoss(x, loss, foundAt) {
				continue
			}
			restartedAt, restarted := c.restartOf(x)
			if !restarted {
				restartedAt = c.endedAt
			}
			bound := c.bound(loss, restartedAt)
			until := earliest(restartedAt, loss.at.Add(bound))
			if c.cancelledBefore(x.Task.Job, until) || !c.roomElsewhere(loss, until) {
				c.leftOut++
				continue
			}
			if restarted {
				c.checked++
				c.longest = max(c.longest, restartedAt.Sub(loss.at))
			} else {
				c.pending++
			}
			if waited := restartedAt.Sub(loss.at); waited > bound {
				violations = append(violations, fmt.Sprintf("restart: lasting task %s of %s, which was lost at %s, did not run for %s (restarted: %t); bound %s",
					x.Task, loss.worker, loss.at.Format("15:04:05.000"), waited, restarted, bound))
			}
		}
	}
	return violations
}

// foundAt returns when the loss ended. One worker is lost at a time.
func (c *restartCheck) foundAt(loss workerLoss) time.Time {
	for _, s := range c.performed {
		if s.at.After(loss.at) && (s.action[0] == "find" || c.concerns(s, loss.number)) {
			return s.at
		}
	}
	return c.endedAt
}

// endedByLoss reports whether the attempt of a lasting task ran on the lost worker and ended because of the loss.
func (c *restartCheck) endedByLoss(x *worker.Execution, loss workerLoss, foundAt time.Time) bool {
	_, lasting := c.jobEnds[x.Task.Job]
	return lasting && string(x.Worker) == loss.worker && x.StartedAt.Before(loss.at) &&
		x.Stopped && x.StoppedAt.After(loss.at) && !x.StoppedAt.After(foundAt) &&
		(x.End == lifecycle.EndLapsed || x.End == worker.EndCrashed)
}

// restartOf returns the start of the next attempt of the task.
func (c *restartCheck) restartOf(x *worker.Execution) (at time.Time, restarted bool) {
	for i := range c.executions {
		next := &c.executions[i]
		if next.Task == x.Task && next.StartedAt.After(x.StartedAt) {
			return next.StartedAt, true
		}
	}
	return time.Time{}, false
}

// bound returns how long after the loss the task may be without a run that starts at the given time.
func (c *restartCheck) bound(loss workerLoss, restartedAt time.Time) time.Duration {
	bound := lifecycle.LeaseDuration + lifecycle.LeaseMargin + c.slack + c.storeDisturbed(loss.at, restartedAt)
	for _, t := range c.takeovers {
		if t.cell == loss.cell && t.at.After(loss.at) && t.at.Before(restartedAt) {
			bound += takeoverTime()
		}
	}
	return bound
}

// storeDisturbed returns for how long the store was disturbed between two times. One such failure is in force at a time.
func (c *restartCheck) storeDisturbed(from, to time.Time) (disturbed time.Duration) {
	var since time.Time
	add := func(until time.Time) {
		if begin, end := latest(since, from), earliest(until, to); !since.IsZero() && end.After(begin) {
			disturbed += end.Sub(begin)
		}
		since = time.Time{}
	}
	for _, s := range c.performed {
		if s.action[0] != "store" {
			continue
		}
		add(s.at)
		if s.action[1] != "up" {
			since = s.at
		}
	}
	add(to)
	return disturbed
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *restartCheck) cancelledBefore(job ident.JobID, t time.Time) bool {
	cancelledAt := c.jobEnds[job]
	return !cancelledAt.IsZero() && cancelledAt.Before(t)
}

// roomElsewhere reports whether another worker of the cell had no failure from before the loss until the given time. The
// lasting tasks of a run need less than one worker, and they start before other tasks.
func (c *restartCheck) roomElsewhere(loss workerLoss, until time.Time) bool {
	from := loss.at.Add(-disturbanceMemory)
	return slices.ContainsFunc(loss.others, func(n int) bool {
		wasLost := func(l workerLoss) bool { return l.number == n && l.at.Before(until) && c.foundAt(l).After(from) }
		return !slices.ContainsFunc(c.losses, wasLost) && !slices.ContainsFunc(c.performed, func(s performedStep) bool {
			return s.at.After(from) && s.at.Before(until) && (c.concerns(s, n) || c.evacuates(s, n))
		})
	})
}

// concerns reports whether the step changes the worker or its connections.
func (c *restartCheck) concerns(s performedStep, n int) bool {
	number := fmt.Sprint(n)
	switch s.action[0] {
	case "worker":
		return s.action[2] == number
	case "proxy":
		return s.action[1] == workerProxy(n)
	default:
		return false
	}
}

// evacuates reports whether the step begins or ends the evacuation of the data centre of the worker.
func (c *restartCheck) evacuates(s performedStep, n int) bool {
	return s.action[0] == "evacuation" && s.action[2] == c.dataCentres[n%len(c.dataCentres)]
}
