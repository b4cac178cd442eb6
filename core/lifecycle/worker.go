package lifecycle

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// worker is the state of one worker of the cell.
type worker struct {
	member Member
	// listed is set while the host list contains the worker.
	listed bool
	// claimed is set from the claim that the worker accepted until its leases have lapsed.
	claimed bool
	// inPlanner is set while the planner knows the worker.
	inPlanner bool
	// mayHold is set if a predecessor may have started attempts on the worker: it is in the log.
	mayHold bool
	// lapsed is set once the leases of the worker have certainly ended, until it is claimed again.
	lapsed bool
	// evacuated is set while the worker takes no tasks because of an evacuation.
	evacuated bool
	// silent is set while the worker has not answered for Policy.SilentAfter.
	silent bool
	// unreachable is set from a start that could not be sent until the worker answers. A worker that has just gone down runs
	// nothing, so that it would get one start after the other until it counts as silent.
	unreachable bool
	capacity    resource.Vector
	// unreached is the part of the worker in Cell.unreached.
	unreached placement.Unreached
	// incarnation identifies the process of the worker.
	incarnation string
	token       string
	// tokenReceivedAt is when the newest token arrived, which is not before it was issued. sentTokenReceivedAt is the
	// same for the newest token sent back: no lease on the worker runs longer than LeaseDuration after it.
	tokenReceivedAt     time.Time
	sentTokenReceivedAt time.Time
	// silentSince is set while the log may say that the worker is silent: no lease token received later has been sent to
	// it. silenceEnding is set while the record that ends this is not durable; the newest token is withheld until then.
	silentSince             time.Time
	silenceEnding           bool
	withheldToken           string
	withheldTokenReceivedAt time.Time
	lastContact             time.Time
	// unanswered is set while the latest claim or sync has failed. A worker is given up only then: an answer that is
	// still to be handled, or a call in progress, may report that a task has ended.
	unanswered bool
	// reportWaiting is set while the report of a claim or sync that was answered is still to be handled.
	reportWaiting bool
	// partial is set while the reports may lack ended attempts. endsMissing is set while those may include attempts that
	// a predecessor started.
	partial     bool
	endsMissing bool
	// running holds the attempts on the worker; there is at most one of each task.
	running     map[ident.TaskID]*run
	pendingAcks map[AttemptID]struct{}
	health      health
	// tickAt is the deadline by which the queue orders the worker, which is never too late. tickIndex is its position.
	tickAt    time.Time
	tickIndex int
}

// SyncRequest is what the owner sends to a worker in a sync.
type SyncRequest struct {
	Token    string
	Renewals []AttemptID
	Acks     []AttemptID
	// Seq is passed to SyncAnswered with the report.
	Seq uint64
}

// effectiveCapacity returns the capacity by the host list, else the reported one, else the one known before.
func (w *worker) effectiveCapacity(reported resource.Vector) resource.Vector {
	switch {
	case !w.member.Capacity.IsZero():
		return w.member.Capacity
	case !reported.IsZero():
		return reported
	default:
		return w.capacity
	}
}

// leaving reports whether the worker gets no new tasks because it leaves or is not listed. Only the notice that it leaves
// moves its tasks: the host list also drops workers that are cut off from it but run and answer. If such a worker is gone,
// its leases lapse.
func (w *worker) leaving() bool {
	return w.member.Leaving || !w.listed
}

// usable reports whether the planner may place any task on the worker.
func (w *worker) usable() bool {
	return w.inPlanner && !w.leaving() && !w.evacuated && !w.unanswering() && !w.health.quarantined
}

// unanswering reports whether the worker gets no tasks because it does not answer, or because it has just answered again and
// the log still calls it silent.
func (w *worker) unanswering() bool { return w.silent || w.unreachable || w.silenceRecorded() }

// setUnreachable notes whether starts reach a worker that the planner knows.
func (c *Cell) setUnreachable(w *worker, unreachable bool, eff *Effects) {
	if w == nil || w.unreachable == unreachable || !w.inPlanner {
		return
	}
	w.unreachable = unreachable
	c.putWorker(w, eff)
}

// UpdateMembers applies workers of the cell by a host list that may lack others.
func (c *Cell) UpdateMembers(now time.Time, members []Member) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	for _, m := range members {
		c.setMember(now, m, &eff)
	}
	return eff
}

// SetMembers applies the workers of the cell by the host list. It must be called only with a complete list: a
// worker that it lacks counts as gone.
func (c *Cell) SetMembers(now time.Time, members []Member) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	first := !c.hostListKnown
	c.hostListKnown = true
	listed := make(map[ident.WorkerID]struct{}, len(members))
	for _, m := range members {
		listed[m.ID] = struct{}{}
		c.setMember(now, m, &eff)
	}
	for _, w := range c.sortedWorkers() {
		if _, ok := listed[w.member.ID]; ok || !w.listed && !first {
			continue
		}
		w.listed = false
		c.memberChanged(now, w, &eff)
	}
	return eff
}

func (c *Cell) setMember(now time.Time, m Member, eff *Effects) {
	w, ok := c.workers[m.ID]
	if !ok {
		c.addListedWorker(m, eff)
		return
	}
	if w.listed && w.member == m {
		return
	}
	moved := w.member.Address != m.Address
	w.listed = true
	w.member = m
	w.evacuated = c.isEvacuated(w)
	w.capacity = w.effectiveCapacity(w.capacity)
	if moved {
		eff.do(ClaimWorker{Member: m})
	}
	c.memberChanged(now, w, eff)
}

// addListedWorker adds a worker of the host list and claims it. Until it answers, its capacity is unreached.
func (c *Cell) addListedWorker(m Member, eff *Effects) {
	w := c.addWorker(m)
	w.listed = true
	w.capacity = w.effectiveCapacity(w.capacity)
	eff.do(ClaimWorker{Member: m})
	c.countUnreached(w, eff)
}

func (c *Cell) addWorker(m Member) *worker {
	w := &worker{
		member:      m,
		running:     make(map[ident.TaskID]*run),
		pendingAcks: make(map[AttemptID]struct{}),
		tickIndex:   notQueued,
	}
	w.evacuated = c.isEvacuated(w)
	c.workers[m.ID] = w
	c.sortedCache = nil
	return w
}

func (c *Cell) memberChanged(now time.Time, w *worker, eff *Effects) {
	c.countUnreached(w, eff)
	if !w.claimed {
		c.forgetIfGone(w, eff)
		return
	}
	c.putWorker(w, eff)
	if w.leaving() {
		c.refreshWorkersToAvoid(now, eff)
		c.evictFromLeaving(now, w, eff)
	}
}

// evictFromLeaving checkpoints and stops the tasks of a leaving worker, so that they resume elsewhere.
func (c *Cell) evictFromLeaving(now time.Time, w *worker, eff *Effects) {
	if c.inDoubt || !w.member.Leaving {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.phase == phaseActive && r.task.worthMoving() && !c.mustHold(r.task) {
			c.evict(now, r, false, eff)
		}
	}
}

// worthMoving reports whether to stop the task on a leaving worker. A task that saves no progress may still end before
// the worker does.
func (t *task) worthMoving() bool {
	return !t.group.Volatile || t.group.Lasting
}

// putWorker passes a worker to the planner once the log records it: a successor must know where tasks may run.
func (c *Cell) putWorker(w *worker, eff *Effects) {
	if _, ok := c.loggedWorkers[w.member.ID]; !ok || !w.claimed || !c.takeoverDurable {
		return
	}
	added := !w.inPlanner
	w.inPlanner = true
	c.countUnreached(w, eff)
	eff.do(PutWorker{Silent: w.unanswering(), Worker: placement.Worker{
		ID:           w.member.ID,
		Rack:         w.member.Rack,
		DataCentre:   w.member.DataCentre,
		Pool:         w.member.Pool,
		Labels:       strings.Fields(w.member.Labels),
		Capacity:     w.capacity,
		Leaving:      w.leaving(),
		Unlisted:     !w.listed && !w.member.Leaving,
		Evacuated:    w.evacuated,
		Quarantined:  w.health.quarantined || w.unanswering(),
		AcceptsProbe: w.health.probing && !w.unanswering() && !w.evacuated,
		LastResort:   w.health.quarantined && !w.unanswering() && !w.evacuated,
	}})
	if !added {
		return
	}
	for _, r := range w.sortedRuns() {
		eff.do(Restore{Running: c.runningOf(r)})
	}
}

// ClaimAnswered applies the inventory of a worker that accepted the epoch of this owner. seq is the number of the
// claim.
func (c *Cell) ClaimAnswered(now time.Time, id ident.WorkerID, seq uint64, incarnation string, report Report) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	w, ok := c.workers[id]
	if !ok {
		return eff
	}
	if w.claimed {
		// The worker restarted or has moved. Attempts from before the claim that it does not list are gone.
		c.applyReport(now, w, seq, incarnation, report, &eff)
		return eff
	}
	w.claimed = true
	w.lapsed = false
	w.silent, w.unreachable = false, false
	w.incarnation = incarnation
	w.lastContact = now
	w.unanswered = false
	w.reportWaiting = false
	c.scheduleTick(w)
	c.receiveToken(now, w, report.Token, &eff)
	// The predecessor renewed the leases of adopted tasks with tokens that this owner has not seen. None of them is
	// newer than the token that answers the claim, or than the silence that the log tells.
	w.sentTokenReceivedAt = now
	if w.silenceRecorded() {
		w.sentTokenReceivedAt = w.silentSince
	}
	w.capacity = w.effectiveCapacity(report.Capacity)
	if _, known := c.loggedWorkers[id]; known {
		c.putWorker(w, &eff)
	} else {
		eff.log(WorkerAdded{Worker: id, Address: w.member.Address})
	}
	c.clearImpossible(now)
	for _, e := range report.Ended {
		c.attemptEnded(now, w, e, &eff)
	}
	var orphans []AttemptID
	for _, a := range report.Active {
		if !c.adopt(now, w, a, &eff) {
			orphans = append(orphans, a.AttemptID)
		}
	}
	if len(orphans) > 0 {
		eff.do(StopTasks{Worker: id, Attempts: orphans})
	}
	w.partial = report.Partial
	w.endsMissing = report.Partial
	c.releaseTasksLeftOn(now, w, &eff)
	c.finishRecovery(now, &eff)
	return eff
}

// adopt takes over a running attempt of the predecessor. It returns false if the attempt must be stopped.
func (c *Cell) adopt(now time.Time, w *worker, a ActiveAttempt, eff *Effects) bool {
	t := c.task(a.Task)
	if t == nil || !t.open() || t.hasEnded(a.Attempt) {
		return false
	}
	if t.run != nil {
		return c.adoptSecond(now, w, t, a, eff)
	}
	if _, held := c.heldTasks[a.Task]; !held {
		return false
	}
	delete(c.heldTasks, a.Task)
	// Only a clean hand-over proves that no other attempt of the task runs elsewhere.
	t.knownIdle = t.knownIdle || t.leftOn == w.member.ID
	c.callSeq++
	t.maybeSent = true
	t.nextAttempt = max(t.nextAttempt, a.Attempt+1)
	t.noteRan(a.Attempt)
	t.wait = WaitNone
	t.run = &run{
		AttemptID: a.AttemptID, task: t, worker: w.member.ID, bookedAs: t.id, phase: phaseActive, booked: a.Booked,
		startedAt: now, firstSeenAt: now, incarnation: w.incarnation, maybeSentBefore: true, confirmedSeq: c.callSeq,
		ready: a.Ready, adopted: true,
	}
	if a.Checkpoint.ID != "" && a.Checkpoint.ID != t.checkpoint.ID {
		t.checkpoint = Checkpoint{ID: a.Checkpoint.ID, At: now}
	}
	w.running[t.id] = t.run
	c.trackSpeculative(t)
	c.setState(now, t, Running)
	if w.inPlanner {
		eff.do(Restore{Running: c.runningOf(t.run)})
	}
	return true
}

// SyncAnswered applies the report that answers the sync with sequence number seq.
func (c *Cell) SyncAnswered(now time.Time, id ident.WorkerID, seq uint64, incarnation string, acks []AttemptID, r Report) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	w, ok := c.workers[id]
	if !ok || !w.claimed {
		return eff
	}
	for _, a := range acks {
		delete(w.pendingAcks, a)
	}
	c.applyReport(now, w, seq, incarnation, r, &eff)
	return eff
}

// sortedWorkers lists the workers by id. The returned slice is never modified.
func (c *Cell) sortedWorkers() []*worker {
	if c.sortedCache != nil {
		return c.sortedCache
	}
	all := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, compareWorkers)
	c.sortedCache = all
	return all
}

func compareWorkers(a, b *worker) int {
	return strings.Compare(string(a.member.ID), string(b.member.ID))
}

// sortedRuns returns the running attempts in a fixed order, so that equal events give equal commands.
func (w *worker) sortedRuns() []*run {
	all := make([]*run, 0, len(w.running))
	for _, r := range w.running {
		all = append(all, r)
	}
	sortRuns(all)
	return all
}

func sortRuns(runs []*run) {
	slices.SortFunc(runs, func(a, b *run) int { return compareTasks(a.Task, b.Task) })
}

func sortTasks(tasks []*task) {
	slices.SortFunc(tasks, func(a, b *task) int { return compareTasks(a.id, b.id) })
}
