package jobs

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/reach"
)

// Meter receives the delays that owners measure. Its methods must not block.
type Meter interface {
	// LoopDelay records the longest time that an event was queued before one iteration of an owner's loop.
	LoopDelay(d time.Duration)
	// CommitDelay records, for one commit, the longest time from a decision until its record was durable and its
	// effect visible.
	CommitDelay(d time.Duration)
	// LongestWait records the longest present wait of a task of a class in a cell; 0 if none waits for long. TaskWaits
	// counts a task that has waited for long, once for each reason of the wait.
	LongestWait(cell ident.CellID, class ident.ClassName, d time.Duration)
	TaskWaits(reason string)
	// InboxWait records how long an entry was in the inbox, by the clocks of two hosts.
	InboxWait(d time.Duration)
}

// discardMeasurements is the Meter of a service that was given none.
type discardMeasurements struct{}

func (discardMeasurements) LoopDelay(time.Duration)   {}
func (discardMeasurements) CommitDelay(time.Duration) {}
func (discardMeasurements) InboxWait(time.Duration)   {}

func (discardMeasurements) LongestWait(ident.CellID, ident.ClassName, time.Duration) {}
func (discardMeasurements) TaskWaits(string)                                         {}

// Load describes the work that is queued in the cells of this host.
type Load struct {
	// LateCells counts the cells whose owner does not keep up with its events.
	LateCells int
	// TableWait is the longest time that an owner has been waiting for its first table; 0 if none waits.
	TableWait time.Duration
	// WorkerContact covers the claimed workers of all cells.
	lifecycle.WorkerContact
	// ReachedWorkers and UnreachedWorkers count the workers that answer and those that do not.
	ReachedWorkers, UnreachedWorkers int
	// RunningCopies counts the second attempts of tasks that hold resources.
	RunningCopies int
	// QueuedTasks counts the tasks that wait for a worker, QueuedCalls the calls to workers that wait behind others to
	// the same worker, SyncsInProgress the syncs in progress, and QueuedEvents the events that wait for a loop.
	QueuedTasks, QueuedCalls, SyncsInProgress, QueuedEvents int64
}

// Load returns the sum over all cells of this host.
func (s *Service) Load() Load {
	var sum Load
	for _, o := range s.allOwners() {
		cellLoad := o.load(o.now())
		sum.LateCells += cellLoad.LateCells
		sum.TableWait = max(sum.TableWait, cellLoad.TableWait)
		sum.LongestSilence = max(sum.LongestSilence, cellLoad.LongestSilence)
		sum.SilentWorkers += cellLoad.SilentWorkers
		sum.ReachedWorkers += cellLoad.ReachedWorkers
		sum.UnreachedWorkers += cellLoad.UnreachedWorkers
		sum.RunningCopies += cellLoad.RunningCopies
		sum.QueuedTasks += cellLoad.QueuedTasks
		sum.QueuedCalls += cellLoad.QueuedCalls
		sum.SyncsInProgress += cellLoad.SyncsInProgress
		sum.QueuedEvents += cellLoad.QueuedEvents
	}
	return sum
}

// Contact returns which workers of a cell its owner on this host reaches; ok is false if this host has not acquired it.
func (s *Service) Contact(cell ident.CellID) (c reach.Contact, ok bool) {
	o, ok := s.owners.Get(cell)
	if !ok {
		return c, false
	}
	return o.cell.Contact(o.now()), true
}

// Members returns those of the given workers that a cell of this host knows.
func (s *Service) Members(cell ident.CellID, ids []ident.WorkerID) []lifecycle.Member {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil
	}
	return o.cell.Members(ids)
}

func (o *owner) load(now time.Time) Load {
	l := Load{WorkerContact: o.cell.WorkerContact(now), QueuedCalls: o.queuedCalls.Load(), SyncsInProgress: o.syncsInProgress.Load(), QueuedEvents: o.queuedEvents.Load()}
	contact := o.cell.Contact(now)
	l.ReachedWorkers, l.UnreachedWorkers = len(contact.Reached), len(contact.Unreached)
	l.RunningCopies = o.cell.CopyUsage().Running
	if o.late.Load() {
		l.LateCells = 1
	}
	if since := o.withoutTableSince.Load(); since != nil {
		l.TableWait = now.Sub(*since)
	}
	if p, ok := o.planner.(QueuePlanner); ok {
		l.QueuedTasks = int64(p.Queued())
	}
	return l
}

// runEvent runs an event and notes how long it was queued until now.
func (o *owner) runEvent(now time.Time, e event) {
	o.queuedEvents.Add(-1)
	o.longestWait = max(o.longestWait, now.Sub(e.at))
	e.run()
}

// checkLateness records the longest wait of this iteration of the loop and logs if the owner falls behind or catches
// up.
func (o *owner) checkLateness(now time.Time) {
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
		o.logDecision(EventOwnerLate, fields)
		return
	}
	fields[FieldLateMs] = change.Duration.Milliseconds()
	o.logDecision(EventOwnerOnTime, fields)
}

// QueuePlanner is implemented by planners that report how many tasks wait for a worker.
type QueuePlanner interface {
	Queued() int
}

// longestQueued returns the age of the oldest record of a batch.
func longestQueued(now time.Time, batch []*pendingRecord) time.Duration {
	var longest time.Duration
	for _, rec := range batch {
		longest = max(longest, now.Sub(rec.queuedAt))
	}
	return longest
}
