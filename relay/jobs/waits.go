package jobs

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

const (
	// longWait is how long a task waits before it is reported. Most tasks start within a second when there is room.
	longWait = 3 * time.Second
	// waitsInterval is how often an owner looks for tasks that wait, and maxExplained how many the planner explains
	// each time at most: each explanation looks at all workers of the cell.
	waitsInterval = time.Second
	maxExplained  = 24
	// maxSwept bounds the tasks that wait in the cell and are looked at each time.
	maxSwept = 64
	// maxTrackedWaits bounds the tasks whose waits are tracked. Their entries are dropped after trackedWaitTimeout,
	// in which the planner explains that many tasks.
	maxTrackedWaits    = 1024
	trackedWaitTimeout = 2 * time.Minute
	// waitAuthority is the reason of tasks that wait for the planner while the owner may start none.
	waitAuthority = "authority"
	// waitEvacuations is the reason while the owner has not read the requests for evacuations.
	waitEvacuations = "evacuations_unknown"
)

// taskWait is the present wait of one task.
type taskWait struct {
	class ident.ClassName
	// since is when the wait began, seenAt when it was last found to go on.
	since, seenAt time.Time
	reason        string
	// text is the reason for callers; empty if the task waits in the cell, which gives its own.
	text string
	// room and ruledOut describe the workers with room, jobRunning and poolUse what decides on the wait of a job of which
	// nothing runs, if fromPlanner is set.
	fromPlanner bool
	room        int
	ruledOut    string
	jobRunning  int
	poolUse     float64
	// roomIn is the time until room is expected; 0 without a forecast.
	roomIn time.Duration
	// loggedReasons holds the reasons for which the wait has been logged, and loggedWait how long it was at the last
	// line.
	loggedReasons []string
	loggedWait    time.Duration
}

// waitTracker holds the long waits of the tasks of one cell. The loop of the owner writes it, and callers that read
// jobs see the reasons.
type waitTracker struct {
	// mu guards the fields below.
	mu    sync.Mutex
	tasks map[ident.TaskID]*taskWait
	// classes holds the classes whose longest wait is on the meter.
	classes map[ident.ClassName]struct{}
}

// forget ends the wait of a task.
func (w *waitTracker) forget(id ident.TaskID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.tasks, id)
}

// explain sets the reasons of the tasks that wait for the planner.
func (w *waitTracker) explain(views []lifecycle.TaskView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := range views {
		if t, ok := w.tasks[views[i].Task]; ok && t.text != "" && views[i].Reason == lifecycle.ReasonPlacement {
			views[i].Reason = t.text
		}
	}
}

// note updates the wait of a task. A wait is to be logged once for each reason, and whenever it has doubled since the
// last line; newReason tells the first.
func (w *waitTracker) note(id ident.TaskID, now time.Time, found taskWait) (t taskWait, log, newReason bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	known, ok := w.tasks[id]
	if !ok {
		if len(w.tasks) >= maxTrackedWaits {
			return found, false, false
		}
		if w.tasks == nil {
			w.tasks = make(map[ident.TaskID]*taskWait)
		}
		known = &taskWait{}
		w.tasks[id] = known
	}
	if !found.fromPlanner && !known.fromPlanner && known.reason == found.reason {
		found.since = known.since
	}
	found.seenAt = now
	found.loggedReasons, found.loggedWait = known.loggedReasons, known.loggedWait
	if waited := now.Sub(found.since); waited >= longWait {
		newReason = !slices.Contains(found.loggedReasons, found.reason)
		log = newReason || waited >= 2*found.loggedWait
		if newReason {
			found.loggedReasons = append(found.loggedReasons, found.reason)
		}
		if log {
			found.loggedWait = waited
		}
	}
	*known = found
	return found, log, newReason
}

// report drops the waits that have not been found for long and passes the longest wait of each class to the meter.
func (w *waitTracker) report(now time.Time, m Meter, cell ident.CellID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	longest := make(map[ident.ClassName]time.Duration)
	for id, t := range w.tasks {
		if now.Sub(t.seenAt) > trackedWaitTimeout {
			delete(w.tasks, id)
			continue
		}
		end := now
		if !t.fromPlanner {
			// The wait in the cell may have ended since.
			end = t.seenAt
		}
		if waited := end.Sub(t.since); waited >= longWait {
			longest[t.class] = max(longest[t.class], waited)
		}
	}
	if w.classes == nil {
		w.classes = make(map[ident.ClassName]struct{})
	}
	for class := range longest {
		w.classes[class] = struct{}{}
	}
	for class := range w.classes {
		m.LongestWait(cell, class, longest[class])
		if longest[class] == 0 {
			delete(w.classes, class)
		}
	}
}

// clear ends all waits, because the owner stops.
func (w *waitTracker) clear(m Meter, cell ident.CellID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.tasks)
	for class := range w.classes {
		m.LongestWait(cell, class, 0)
	}
	clear(w.classes)
}

// checkWaits finds and logs the tasks that could run and have waited for long.
func (o *owner) checkWaits(now time.Time) {
	if now.Sub(o.waitsCheckedAt) < waitsInterval {
		return
	}
	o.waitsCheckedAt = now
	for _, t := range o.cell.WaitingTasks(maxSwept) {
		o.noteWait(t.Task, now, taskWait{class: t.Class, since: now, reason: t.Reason.Code()})
	}
	if p, ok := o.planner.(ExplainingPlanner); ok {
		held := ""
		switch {
		case o.draining.Load() || o.authority() != ownership.Full:
			held = waitAuthority
		case o.cell.StartsHeld():
			held = waitEvacuations
		}
		for _, t := range p.LongestWaiting(now, longWait, maxExplained) {
			o.noteWait(t.Task, now, plannerWait(now, t, held))
		}
	}
	o.waits.report(now, o.cfg.Meter, o.cellID)
}

// heldTexts says why the owner of a cell starts nothing.
var heldTexts = map[string]string{
	waitAuthority:   "waits until the owner of its cell may start tasks",
	waitEvacuations: "waits until the owner of its cell has read which data centres are under evacuation",
}

// plannerWait returns the wait of a task that the planner holds. held is the reason for which nothing may start; empty if
// there is none.
func plannerWait(now time.Time, t placement.Waiting, held string) taskWait {
	w := taskWait{
		class: t.Class, since: now.Add(-t.Waited), reason: string(t.Reason), fromPlanner: true,
		room: t.WorkersWithRoom, ruledOut: t.RuledOut.String(), jobRunning: t.JobRunning, poolUse: t.PoolUse,
	}
	w.text = fmt.Sprintf("waits for a worker: %s; %d workers have room", t.Reason.Description(), w.room)
	if len(t.RuledOut) > 0 {
		w.text += " (" + w.ruledOut + ")"
	}
	w.text += roomText(t.Room)
	w.roomIn = t.Room.In
	if held != "" {
		w.reason, w.text = held, heldTexts[held]
	}
	return w
}

// roomText says when room is expected, or nothing without a forecast.
func roomText(f placement.RoomForecast) string {
	if f.In == 0 {
		return ""
	}
	text := fmt.Sprintf("; room is expected within %.1f s", f.In.Seconds())
	if f.Alike > 1 && f.AllIn > 0 {
		text += fmt.Sprintf(", for all %d waiting tasks of its class and size within %.1f s", f.Alike, f.AllIn.Seconds())
	}
	return text
}

func (o *owner) noteWait(id ident.TaskID, now time.Time, found taskWait) {
	w, log, newReason := o.waits.note(id, now, found)
	if newReason {
		o.cfg.Meter.TaskWaits(w.reason)
	}
	if !log {
		return
	}
	fields := Fields{
		FieldTask: taskField(id), FieldClass: w.class, FieldWaitedMs: now.Sub(w.since).Milliseconds(), FieldReason: w.reason,
	}
	if w.fromPlanner {
		fields[FieldRoom], fields[FieldRuledOut] = w.room, w.ruledOut
		fields[FieldJobRunning], fields[FieldPoolUse] = w.jobRunning, int(100*w.poolUse)
		if w.roomIn > 0 {
			fields[FieldRoomExpectedMs] = w.roomIn.Milliseconds()
		}
	}
	o.logDecision(EventTaskWaits, fields)
}
