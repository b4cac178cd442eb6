package placement

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// WaitReason is why a task that waits for a worker has none.
type WaitReason string

// The reasons. Those from WaitLeaving to WaitTail are why a worker with room does not take a task.
const (
	// WaitRoom means that no worker has room.
	WaitRoom WaitReason = "room"
	// WaitLimit means that the class is at its limit.
	WaitLimit WaitReason = "class_limit"
	// WaitQueue means that a worker would take the task, but others go before it.
	WaitQueue WaitReason = "queue"
	// WaitPause means that a worker would take the filler, but the pause after an unsuccessful search has not ended.
	WaitPause WaitReason = "search_pause"
	// WaitClaim means that room on one worker is being kept for the task and does not suffice yet.
	WaitClaim WaitReason = "claim"
	// WaitImpossible means that the task exceeds every worker or the limit of its class.
	WaitImpossible WaitReason = "impossible"

	WaitLeaving    WaitReason = "leaving"
	WaitEvacuated  WaitReason = "evacuated"
	WaitQuarantine WaitReason = "quarantine"
	WaitAvoid      WaitReason = "avoid"
	WaitPool       WaitReason = "pool"
	WaitLabel      WaitReason = "label"
	WaitPerWorker  WaitReason = "per_worker_limit"
	WaitProcessors WaitReason = "processors"
	WaitTail       WaitReason = "tail"
	waitOther      WaitReason = "other_filter"
)

// maxExplainWork bounds the workers that one call of LongestWaiting looks at, over all tasks, to about 2 ms.
const maxExplainWork = 4096

// Waiting describes a task that waits for a worker.
type Waiting struct {
	Task   ident.TaskID
	Class  ident.ClassName
	Waited time.Duration
	Reason WaitReason
	// WorkersWithRoom counts the workers with enough free resources, whether they may take the task or not.
	WorkersWithRoom int
	// RuledOut counts the workers with room by the reason for which they do not take the task.
	RuledOut RuledOutCounts
	// JobRunning is how many tasks of the job are booked, PoolUse the booked share of the pool, its unreached workers
	// included. They decide whether a job of fillers gets a task started beside others.
	JobRunning int
	PoolUse    float64
	// Room says when room is expected, if the task waits for room.
	Room RoomForecast
}

// RuledOutCounts counts, by reason, the workers with room that do not take a task.
type RuledOutCounts []RuledOut

// RuledOut is the number of workers with room that do not take a task for one reason.
type RuledOut struct {
	Reason  WaitReason
	Workers int
}

// String returns the counts for messages and logs, the most frequent reason first.
func (r RuledOutCounts) String() string {
	parts := make([]string, len(r))
	for i, count := range r {
		parts[i] = fmt.Sprintf("%s %d", count.Reason, count.Workers)
	}
	return strings.Join(parts, ", ")
}

var waitDescriptions = map[WaitReason]string{
	WaitRoom:       "no worker has enough free capacity",
	WaitLimit:      "its class is at its limit",
	WaitQueue:      "other tasks go before it",
	WaitPause:      "the pause after an unsuccessful search for a worker has not ended",
	WaitClaim:      "the room that is kept for it on one worker does not suffice yet",
	WaitImpossible: "it exceeds every worker or the limit of its class",
	WaitLeaving:    "the workers with room are shutting down",
	WaitEvacuated:  "the workers with room are in a data centre under evacuation",
	WaitQuarantine: "the workers with room are in quarantine",
	WaitAvoid:      "it has failed on the workers with room",
	WaitPool:       "the workers with room are in other pools",
	WaitLabel:      "the workers with room lack the label that it needs",
	WaitPerWorker:  "the workers with room run as many tasks of its group as one worker may",
	WaitProcessors: "the fillers on the workers with room leave it too few processors",
	WaitTail:       "it would bring serving tasks on the workers with room too close to their targets",
	waitOther:      "no worker with room takes it",
}

// Description returns the reason as a phrase for messages.
func (r WaitReason) Description() string { return waitDescriptions[r] }

// LongestWaiting explains tasks that have waited for minWait or longer since they were queued or last explained: at most
// limit, in a large cell fewer, and those that have waited for longest first, so that repeated calls reach all of them. It
// changes no decision.
func (c *Cell) LongestWaiting(now time.Time, minWait time.Duration, limit int) []Waiting {
	c.mu.Lock()
	defer c.mu.Unlock()
	at := c.stampOf(now)
	var found []Waiting
	workers := min(len(c.nodes), c.opts.SearchBudget)
	for t := c.waiting.first; t != nil && len(found) < limit && len(found)*workers < maxExplainWork; t = c.waiting.first {
		if at.since(max(t.queuedAt, t.explainedAt)) < minWait {
			break
		}
		t.explainedAt = at
		c.waiting.remove(t)
		c.waiting.add(t)
		found = append(found, c.explain(t, at))
	}
	return found
}

func (c *Cell) explain(t *task, now stamp) Waiting {
	w := Waiting{
		Task: t.id, Class: t.class.name, Waited: now.since(t.queuedAt),
		JobRunning: c.spread.JobTasks(t.id.Job), PoolUse: c.poolUse(t.pool).share,
	}
	switch t.state {
	case parked:
		w.Reason = WaitImpossible
		return w
	case claimed:
		w.Reason = WaitClaim
		w.Room = c.forecastRoom(t, nil, now)
		return w
	default:
	}
	req := c.request(t)
	req.Booking = c.booking(t)
	admitting := c.countWorkers(&req, &w)
	switch {
	case !t.class.allowsBooking(req.Booking):
		w.Reason = WaitLimit
	case w.WorkersWithRoom == 0:
		w.Reason = WaitRoom
		w.Room = c.forecastRoom(t, &req, now)
	case admitting == 0:
		w.Reason = w.RuledOut[0].Reason
	case c.missedRecently(t, c.signatureOf(t)):
		w.Reason = WaitPause
	default:
		w.Reason = WaitQueue
	}
	return w
}

// countWorkers counts the workers with room for a request, by the reason for which they do not take the task, and
// returns how many would take it. It looks at Options.SearchBudget workers at most.
func (c *Cell) countWorkers(req *Request, w *Waiting) (admitting int) {
	for _, n := range c.nodes[:min(len(c.nodes), c.opts.SearchBudget)] {
		if !n.described || !req.Booking.Fits(n.Available()) {
			continue
		}
		w.WorkersWithRoom++
		if reason := c.ruledOutBy(req, n); reason != "" {
			w.countRuledOut(reason)
		} else {
			admitting++
		}
	}
	slices.SortStableFunc(w.RuledOut, func(a, b RuledOut) int { return cmp.Compare(b.Workers, a.Workers) })
	return admitting
}

func (w *Waiting) countRuledOut(reason WaitReason) {
	for i := range w.RuledOut {
		if w.RuledOut[i].Reason == reason {
			w.RuledOut[i].Workers++
			return
		}
	}
	w.RuledOut = append(w.RuledOut, RuledOut{Reason: reason, Workers: 1})
}

// ruledOutBy returns the first reason for which a worker with room does not take a task; "" if it would.
func (c *Cell) ruledOutBy(req *Request, n *node) WaitReason {
	for _, f := range c.required {
		if !f.Admits(c.spread, req, n) {
			return reasonOf(f)
		}
	}
	if req.Constraints.Filler && c.expectedTailWith(req, n) > req.MaxTail {
		return WaitTail
	}
	return ""
}

func reasonOf(f Filter) WaitReason {
	switch f.(type) {
	case leavingFilter:
		return WaitLeaving
	case evacuatedFilter:
		return WaitEvacuated
	case quarantineFilter:
		return WaitQuarantine
	case avoidFilter:
		return WaitAvoid
	case poolFilter:
		return WaitPool
	case labelFilter:
		return WaitLabel
	case perWorkerFilter:
		return WaitPerWorker
	case fillerFilter:
		return WaitProcessors
	default:
		return waitOther
	}
}

// waitingList is a doubly linked list of the tasks that wait for a worker, in the order in which they were queued or
// last explained.
type waitingList struct {
	first, last *task
}

func (l *waitingList) add(t *task) {
	t.waitingPrev = l.last
	if l.last != nil {
		l.last.waitingNext = t
	} else {
		l.first = t
	}
	l.last = t
}

// remove takes a task out of the list, if it is in it.
func (l *waitingList) remove(t *task) {
	if t.waitingPrev == nil && l.first != t {
		return
	}
	if t.waitingPrev != nil {
		t.waitingPrev.waitingNext = t.waitingNext
	} else {
		l.first = t.waitingNext
	}
	if t.waitingNext != nil {
		t.waitingNext.waitingPrev = t.waitingPrev
	} else {
		l.last = t.waitingPrev
	}
	t.waitingPrev, t.waitingNext = nil, nil
}
