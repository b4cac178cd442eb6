package placement

import (
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// fillerJob is a job that has fillers. It is in fillerJobs.idle while none of them works.
type fillerJob struct {
	id ident.JobID
	// waiting lists the fillers that wait for a worker by group, booked those on workers. working counts those that run
	// and are not known to be paused.
	waiting []jobGroup
	booked  jobTasks
	working int
	// idleSince is when the job became idle.
	idleSince stamp
	// shareItem.key is when startIdleJobs next looks at the job.
	shareItem
}

// jobGroup lists the waiting tasks of one group. They differ only in how long they have waited and in the workers that
// they avoid.
type jobGroup struct {
	group int
	tasks jobTasks
}

// jobTasks is a list of tasks of one job.
type jobTasks struct {
	first, last *task
	length      int
}

func (l *jobTasks) add(t *task) {
	t.jobPrev, t.jobNext = l.last, nil
	if l.last != nil {
		l.last.jobNext = t
	} else {
		l.first = t
	}
	l.last = t
	l.length++
}

func (l *jobTasks) remove(t *task) {
	if t.jobPrev != nil {
		t.jobPrev.jobNext = t.jobNext
	} else {
		l.first = t.jobNext
	}
	if t.jobNext != nil {
		t.jobNext.jobPrev = t.jobPrev
	} else {
		l.last = t.jobPrev
	}
	t.jobPrev, t.jobNext = nil, nil
	l.length--
}

// fillerJobs holds one entry for each job of fillers, so that a few large jobs do not hide the others.
type fillerJobs struct {
	byID map[ident.JobID]*fillerJob
	// idle orders the idle jobs by the time at which they are due.
	idle shareHeap[*fillerJob]
	seq  uint64
}

func newFillerJobs() *fillerJobs { return &fillerJobs{byID: make(map[ident.JobID]*fillerJob)} }

// joinJob adds a filler to the waiting or the booked ones of its job. It does nothing for other tasks.
func (c *Cell) joinJob(t *task) {
	if !t.constraints.Filler || t.restart {
		return
	}
	j := c.jobOf(t)
	if t.node != nil {
		j.booked.add(t)
	} else {
		j.group(t.id.Group()).add(t)
	}
	c.updateWorking(t)
}

// jobOf returns the job of a filler, creating it if needed.
func (c *Cell) jobOf(t *task) *fillerJob {
	j := c.fillerJobs.byID[t.id.Job]
	if j == nil {
		j = &fillerJob{id: t.id.Job}
		j.pos = -1
		c.fillerJobs.byID[j.id] = j
	}
	t.job = j
	return j
}

// group returns the list of the waiting tasks of a group.
func (j *fillerJob) group(group int) *jobTasks {
	i := slices.IndexFunc(j.waiting, func(g jobGroup) bool { return g.group == group })
	if i < 0 {
		i = len(j.waiting)
		j.waiting = append(j.waiting, jobGroup{group: group})
	}
	return &j.waiting[i].tasks
}

// leaveJob takes a filler out of its job.
func (c *Cell) leaveJob(t *task) {
	j := t.job
	if j == nil {
		return
	}
	if t.node != nil {
		j.booked.remove(t)
	} else {
		j.group(t.id.Group()).remove(t)
		j.waiting = slices.DeleteFunc(j.waiting, func(g jobGroup) bool { return g.tasks.first == nil })
	}
	if t.working {
		t.working = false
		j.working--
	}
	t.job = nil
	c.updateIdle(j)
}

// updateWorking records whether a filler works, after its state or its pace has changed.
func (c *Cell) updateWorking(t *task) {
	j := t.job
	if j == nil {
		return
	}
	if works := t.state == running && t.pace > 0 && t.paceKnown; works != t.working {
		t.working = works
		if works {
			j.working++
		} else {
			j.working--
		}
	}
	c.updateIdle(j)
}

// updateIdle puts a job into the heap when it becomes idle and takes it out when it no longer is.
func (c *Cell) updateIdle(j *fillerJob) {
	switch idle := j.isIdle(); {
	case idle && j.pos < 0:
		c.fillerJobs.seq++
		j.seq = c.fillerJobs.seq
		j.idleSince = c.now
		j.key = float64(c.idleJobDue(j))
		c.fillerJobs.idle.update(j, true)
	case !idle:
		c.fillerJobs.idle.update(j, false)
	}
	if len(j.waiting) == 0 && j.booked.first == nil {
		delete(c.fillerJobs.byID, j.id)
	}
}

// isIdle reports whether none of the fillers of a job works: those on workers are paused, or their pace is unknown.
func (j *fillerJob) isIdle() bool {
	return j.working == 0 && (len(j.waiting) > 0 || j.booked.first != nil)
}

// idleJobDue returns when a job that has just become idle is due: when its first task will have waited for
// mostlyFreePatience, or after that time if some of its fillers are paused.
func (c *Cell) idleJobDue(j *fillerJob) stamp {
	due := c.now + stamp(mostlyFreePatience)
	if j.booked.first != nil {
		return due
	}
	for _, g := range j.waiting {
		if queuedAt := g.tasks.first.queuedAt; queuedAt != noTime {
			due = min(due, queuedAt+stamp(mostlyFreePatience))
		}
	}
	return due
}

// keepIdleTime lets a job go on waiting where it was when its last task was moved, which ended its entry.
func (c *Cell) keepIdleTime(ended *fillerJob, id ident.TaskID) {
	t := c.tasks[id]
	if t == nil || t.job == nil || t.job == ended || t.job.pos < 0 {
		return
	}
	t.job.idleSince = ended.idleSince
	t.job.key = ended.key
	c.fillerJobs.idle.update(t.job, true)
}

// restartIdleWaits lets the idle jobs wait from now on.
func (c *Cell) restartIdleWaits() {
	for _, j := range slices.Clone(c.fillerJobs.idle) {
		j.idleSince = c.now
		j.key = float64(c.idleJobDue(j))
		c.fillerJobs.idle.update(j, true)
	}
}
