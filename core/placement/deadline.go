package placement

import "time"

// Deadline is the time by which the result of a task is needed. The zero value sets no limit.
//
// Deadlines matter under overload: if more work arrives than the workers can do, serving in the order of arrival
// makes every job late. Jobs that can still meet their objective go before those that cannot, and started jobs
// before others, because the work done for them would be lost otherwise.
type Deadline struct {
	// At is when the objective of the job ends. Objective is its length.
	At        time.Time
	Objective time.Duration
	// CriticalPath is the longest chain of declared run times from this task to the end of the job.
	CriticalPath time.Duration
	// JobStarted is set if tasks of the job have run.
	JobStarted bool
}

const (
	// usefulObjectives is how many times the objective may pass before the result of a job is of no use.
	usefulObjectives = 3
	// unstartedSlowdown is the expected ratio of the actual length of the critical path, with all waits, to the
	// declared one for a job that has not started. It lies between the median and the upper quartile of fillers.
	// For a started job the declared length counts, so that it keeps its rank for as long as it could just meet its
	// objective.
	unstartedSlowdown = 1.6
)

// rank orders queued tasks; lower values go first.
type rank uint8

const (
	// rankStarted tasks belong to started jobs that can meet their objective, rankTimely tasks to other jobs that
	// can. Tasks without an objective are timely.
	rankStarted rank = iota
	rankTimely
	// rankLate tasks can only produce a late result, and rankExpired tasks one that is no longer of use.
	rankLate
	rankExpired
)

// rankAt returns the rank of a task at a time.
func (t *task) rankAt(now stamp) rank {
	if t.deadline == noTime {
		return rankTimely
	}
	left := float64(t.criticalPath)
	if !t.jobStarted {
		left *= unstartedSlowdown
	}
	ready := now + stamp(left)
	switch {
	case ready <= t.deadline && t.jobStarted:
		return rankStarted
	case ready <= t.deadline:
		return rankTimely
	case ready <= t.deadline+(usefulObjectives-1)*stamp(t.objective):
		return rankLate
	default:
		return rankExpired
	}
}

// before reports whether t goes before o in one queue.
func (t *task) before(o *task) bool {
	if t.rank != o.rank {
		return t.rank < o.rank
	}
	return t.deadline < o.deadline
}
