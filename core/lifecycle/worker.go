package lifecycle

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

type worker struct {
	member Member
	// listed is set while the host list shows the worker.
	listed  bool
	claimed bool
	// put is set while the planner knows the worker.
	put      bool
	lapsed   bool
	silent   bool
	capacity resource.Vector
	// incarnation names the process of the worker.
	incarnation string
	token       string
	// tokenAt is when the newest token arrived, which is not before it was issued. sentTokenAt is tokenAt of the
	// newest token sent back: no lease on the worker runs longer than LeaseDuration after it.
	tokenAt     time.Time
	sentTokenAt time.Time
	contactAt   time.Time
	// unanswered is set while the latest call for a report has failed. A worker is given up only then: an answer that has
	// arrived and waits for its turn, or a call in progress, may tell that a task has ended.
	unanswered bool
	// partial is set while more attempts may have ended than the reports have listed.
	partial bool
	runs    map[ident.TaskID]*task
	acks    map[AttemptID]struct{}
	health  health
	// tickAt is not after the time at which Tick has something to do for the worker; tickPos is its place in the queue.
	tickAt  time.Time
	tickPos int
}

// SyncRequest is what the owner sends in a sync.
type SyncRequest struct {
	Token    string
	Renewals []AttemptID
	Acks     []AttemptID
	// Seq is passed back with the report.
	Seq uint64
}

func (c *Cell) lapseAt(w *worker) time.Time {
	return w.sentTokenAt.Add(c.policy.lapse())
}

// size returns what the worker holds: what the list says, or else what the worker reports. A worker that reports nothing
// keeps what is known of it.
func (w *worker) size(reported resource.Vector) resource.Vector {
	switch {
	case !w.member.Capacity.IsZero():
		return w.member.Capacity
	case !reported.IsZero():
		return reported
	default:
		return w.capacity
	}
}

// leaving reports whether the worker gets no new tasks. The host list may drop a worker that still answers.
func (w *worker) leaving() bool {
	return w.member.Leaving || !w.listed
}

// usable reports whether the planner may place any task on the worker.
func (w *worker) usable() bool {
	return w.put && !w.leaving() && !w.silent && !w.health.quarantined
}

// SetMembers takes over the host list's view of the workers of the cell.
func (c *Cell) SetMembers(now time.Time, members []Member) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	listed := make(map[ident.WorkerID]struct{}, len(members))
	for _, m := range members {
		listed[m.ID] = struct{}{}
		c.setMember(now, m, &eff)
	}
	for _, w := range c.sortedWorkers() {
		if _, ok := listed[w.member.ID]; ok || !w.listed {
			continue
		}
		w.listed = false
		c.afterMemberChange(now, w, &eff)
	}
	return eff
}

func (c *Cell) setMember(now time.Time, m Member, eff *Effects) {
	w, ok := c.workers[m.ID]
	if !ok {
		w = c.addWorker(m)
		w.listed = true
		eff.do(ClaimWorker{Member: m})
		return
	}
	if w.listed && w.member == m {
		return
	}
	moved := w.member.Address != m.Address
	w.listed = true
	w.member = m
	w.capacity = w.size(w.capacity)
	if moved {
		eff.do(ClaimWorker{Member: m})
	}
	c.afterMemberChange(now, w, eff)
}

func (c *Cell) addWorker(m Member) *worker {
	w := &worker{
		member:  m,
		runs:    make(map[ident.TaskID]*task),
		acks:    make(map[AttemptID]struct{}),
		tickPos: notQueued,
	}
	c.workers[m.ID] = w
	c.sorted = nil
	return w
}

func (c *Cell) afterMemberChange(now time.Time, w *worker, eff *Effects) {
	if !w.claimed {
		c.forgetIfGone(w, eff)
		return
	}
	c.putWorker(w, eff)
	if w.leaving() {
		c.refreshAvoid(now, eff)
		c.moveAway(now, w, eff)
	}
}

// moveAway checkpoints and stops what runs on a leaving worker, so that it resumes elsewhere.
func (c *Cell) moveAway(now time.Time, w *worker, eff *Effects) {
	if c.doubt || c.recovering {
		return
	}
	for _, t := range w.sortedRuns() {
		if t.run.phase == phaseActive && t.movable() {
			c.evict(now, t, false, eff)
		}
	}
}

// movable reports whether it is worth stopping the task on a worker that leaves. A task that saves nothing may still
// end before the worker does.
func (t *task) movable() bool {
	return !t.group.Volatile || t.group.Lasting
}

func (c *Cell) forgetIfGone(w *worker, eff *Effects) {
	if w.listed || w.claimed || !w.lapsed || len(w.runs) > 0 {
		return
	}
	id := w.member.ID
	delete(c.workers, id)
	c.sorted = nil
	eff.do(ForgetWorker{Worker: id})
	if _, ok := c.logged[id]; ok {
		eff.log(WorkerRemoved{Worker: id})
	}
}

// putWorker describes a worker to the planner, once the log names it: a successor must know where tasks may run.
func (c *Cell) putWorker(w *worker, eff *Effects) {
	if _, ok := c.logged[w.member.ID]; !ok || !w.claimed || !c.takenOver {
		return
	}
	added := !w.put
	w.put = true
	eff.do(PutWorker{Silent: w.silent, Worker: placement.Worker{
		ID:           w.member.ID,
		Rack:         w.member.Rack,
		Pool:         w.member.Pool,
		Labels:       strings.Fields(w.member.Labels),
		Capacity:     w.capacity,
		Leaving:      w.leaving(),
		Quarantined:  w.health.quarantined || w.silent,
		AcceptsProbe: w.health.probing && !w.silent,
		LastResort:   w.health.quarantined && !w.silent,
	}})
	if !added {
		return
	}
	for _, t := range w.sortedRuns() {
		eff.do(Restore{Running: c.runningOf(t)})
	}
}

// ClaimAnswered takes over the inventory of a worker that accepted the epoch of this owner with the claim of the given number.
func (c *Cell) ClaimAnswered(now time.Time, id ident.WorkerID, seq uint64, incarnation string, report Report) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	w, ok := c.workers[id]
	if !ok {
		return eff
	}
	if w.claimed {
		// The worker restarted or has moved. What it ran before the claim and does not list is gone.
		c.takeReport(now, w, seq, incarnation, report, &eff)
		return eff
	}
	w.claimed = true
	w.lapsed = false
	w.silent = false
	w.incarnation = incarnation
	w.contactAt = now
	w.unanswered = false
	c.schedule(w)
	c.takeToken(now, w, report)
	// Leases of adopted tasks were renewed by the predecessor with tokens that this owner has not seen, but none
	// newer than the one issued by the claim.
	w.sentTokenAt = now
	w.capacity = w.size(report.Capacity)
	if _, known := c.logged[id]; known {
		c.putWorker(w, &eff)
	} else {
		eff.log(WorkerAdded{Worker: id, Address: w.member.Address})
	}
	c.reviveImpossible(now)
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
	if !w.partial {
		c.releaseLeftOn(now, id, &eff)
	}
	c.finishRecovery(now, &eff)
	return eff
}

func (c *Cell) takeToken(now time.Time, w *worker, report Report) {
	w.token = report.Token
	w.tokenAt = now
}

// adopt takes over a running attempt; false if it must be stopped.
func (c *Cell) adopt(now time.Time, w *worker, a ActiveAttempt, eff *Effects) bool {
	t := c.task(a.Task)
	if t == nil || !t.startable() || a.Attempt <= t.ended {
		return false
	}
	if _, held := c.held[a.Task]; !held {
		return false
	}
	delete(c.held, a.Task)
	// Only a clean hand-over tells that no other attempt runs elsewhere.
	t.freed = t.freed || t.leftOn == w.member.ID
	c.seq++
	t.maySent = true
	t.next = max(t.next, a.Attempt+1)
	t.ran(a.Attempt)
	t.wait = WaitNone
	t.run = &run{
		AttemptID: a.AttemptID, worker: w.member.ID, phase: phaseActive, booked: a.Booked, startedAt: now, seenAt: now,
		incarnation: w.incarnation, priorSent: true, confirmedSeq: c.seq,
	}
	if a.Checkpoint.ID != "" {
		t.checkpoint = Checkpoint{ID: a.Checkpoint.ID, At: now}
	}
	w.runs[t.id] = t
	c.setState(now, t, Running)
	if w.put {
		eff.do(Restore{Running: c.runningOf(t)})
	}
	return true
}

// SyncAnswered takes over a report that answers the sync with sequence number seq.
func (c *Cell) SyncAnswered(now time.Time, id ident.WorkerID, seq uint64, incarnation string, acks []AttemptID, r Report) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	w, ok := c.workers[id]
	if !ok || !w.claimed {
		return eff
	}
	for _, a := range acks {
		delete(w.acks, a)
	}
	c.takeReport(now, w, seq, incarnation, r, &eff)
	return eff
}

// sortedWorkers lists the workers by id. The list does not change while a caller goes through it.
func (c *Cell) sortedWorkers() []*worker {
	if c.sorted != nil {
		return c.sorted
	}
	all := make([]*worker, 0, len(c.workers))
	for _, w := range c.workers {
		all = append(all, w)
	}
	slices.SortFunc(all, compareWorkers)
	c.sorted = all
	return all
}

func compareWorkers(a, b *worker) int {
	return strings.Compare(string(a.member.ID), string(b.member.ID))
}

// sortedRuns returns the tasks of a worker in a fixed order, so that equal events give equal commands.
func (w *worker) sortedRuns() []*task {
	all := make([]*task, 0, len(w.runs))
	for _, t := range w.runs {
		all = append(all, t)
	}
	sortTasks(all)
	return all
}

func sortTasks(tasks []*task) {
	slices.SortFunc(tasks, func(a, b *task) int { return compareTasks(a.id, b.id) })
}
