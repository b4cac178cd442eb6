package jobs

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Meter takes the times that owners measure of themselves. It must not block.
type Meter interface {
	// LoopDelay takes the longest wait of an event for its turn in one run of the loop of an owner.
	LoopDelay(d time.Duration)
	// CommitDelay takes the longest time from a decision until its effect was durable and visible, of the records of a commit.
	CommitDelay(d time.Duration)
}

// noMeter is the Meter of a service that was given none.
type noMeter struct{}

func (noMeter) LoopDelay(time.Duration)   {}
func (noMeter) CommitDelay(time.Duration) {}

// Load is what waits in the cells of this host.
type Load struct {
	// LateCells counts the cells whose owner does not keep up with its events.
	LateCells int
	// Contact covers the claimed workers of all cells.
	lifecycle.WorkerContact
	// QueuedTasks counts the tasks that wait for a worker, QueuedCalls the calls to workers that wait for others to the same worker,
	// SyncsInProgress the syncs in progress, and QueuedEvents the events that wait for the loop.
	QueuedTasks, QueuedCalls, SyncsInProgress, QueuedEvents int64
}

// Load returns what waits in the cells of this host.
func (s *Service) Load() Load {
	var sum Load
	for _, o := range s.all() {
		one := o.load(o.now())
		sum.LateCells += one.LateCells
		sum.LongestSilence = max(sum.LongestSilence, one.LongestSilence)
		sum.SilentWorkers += one.SilentWorkers
		sum.QueuedTasks += one.QueuedTasks
		sum.QueuedCalls += one.QueuedCalls
		sum.SyncsInProgress += one.SyncsInProgress
		sum.QueuedEvents += one.QueuedEvents
	}
	return sum
}

func (o *owner) load(now time.Time) Load {
	l := Load{WorkerContact: o.cell.WorkerContact(now), QueuedCalls: o.unsent.Load(), SyncsInProgress: o.syncing.Load(), QueuedEvents: o.waiting.Load()}
	if o.late.Load() {
		l.LateCells = 1
	}
	if p, ok := o.planner.(QueuePlanner); ok {
		l.QueuedTasks = int64(p.Queued())
	}
	return l
}

// turn runs an event whose turn has come at now.
func (o *owner) turn(now time.Time, e event) {
	o.waiting.Add(-1)
	o.longestWait = max(o.longestWait, now.Sub(e.at))
	e.run()
}

// noteLateness judges the waits of one run of the loop.
func (o *owner) noteLateness(now time.Time) {
	waited := o.longestWait
	o.longestWait = 0
	o.cfg.Meter.LoopDelay(waited)
	change, changed := o.lateness.Observe(now, waited)
	if !changed {
		return
	}
	o.late.Store(change.Late)
	load := o.load(now)
	fields := Fields{
		FieldLoopMs: change.MaxWait.Milliseconds(), FieldContactMs: load.LongestSilence.Milliseconds(), FieldSilent: load.SilentWorkers,
		FieldWaiting: load.QueuedTasks, FieldUnsent: load.QueuedCalls, FieldEvents: load.QueuedEvents,
	}
	if change.Late {
		o.note(EventOwnerLate, fields)
		return
	}
	fields[FieldLateMs] = change.Duration.Milliseconds()
	o.note(EventOwnerOnTime, fields)
}

// QueuePlanner is a planner that tells how many tasks wait for a worker.
type QueuePlanner interface {
	Queued() int
}

// longestQueued returns the longest time since the records of a batch were queued.
func longestQueued(now time.Time, batch []*item) time.Duration {
	var longest time.Duration
	for _, it := range batch {
		longest = max(longest, now.Sub(it.queuedAt))
	}
	return longest
}
