package placement

import "time"

// Deadline says until when a task is of use. The zero value has no limit.
//
// It answers overload: when more work comes than the workers can do, serving in the order of arrival makes every job late.
// Jobs that can still meet their objective go before those that cannot, and begun jobs before others, because what has
// been done for them is lost otherwise.
type Deadline struct {
	// At is when the objective of the job ends, which is Objective long.
	At        time.Time
	Objective time.Duration
	// CriticalPath is the longest chain of declared run times from this task to the end of the job.
	CriticalPath time.Duration
	// JobStarted is set if tasks of the job have run.
	JobStarted bool
}

const (
	// usefulFor is for how many times the objective a result is of some use.
	usefulFor = 3
	// slowness is how much longer than declared the chain of a job that has not begun is expected to take, with its waits:
	// between the median and the upper quartile of fillers. A begun job keeps its place for as long as it could just make it.
	slowness = 1.6
)

// rank orders queued tasks; lower goes first.
type rank uint8

const (
	// rankBegun tasks belong to begun jobs that can meet their objective, and rankTimely ones to others. Tasks without an
	// objective are timely.
	rankBegun rank = iota
	rankTimely
	// rankLate tasks can only bring a late result, and rankUseless ones none that is of use.
	rankLate
	rankUseless
)

// rankAt returns the rank of a task at a time.
func (t *task) rankAt(now stamp) rank {
	if t.due == noTime {
		return rankTimely
	}
	left := float64(t.remainingChain)
	if !t.begun {
		left *= slowness
	}
	ready := now + stamp(left)
	switch {
	case ready <= t.due && t.begun:
		return rankBegun
	case ready <= t.due:
		return rankTimely
	case ready <= t.due+(usefulFor-1)*stamp(t.objective):
		return rankLate
	default:
		return rankUseless
	}
}

// before reports whether t is served before o in one queue.
func (t *task) before(o *task) bool {
	if t.rank != o.rank {
		return t.rank < o.rank
	}
	return t.due < o.due
}
