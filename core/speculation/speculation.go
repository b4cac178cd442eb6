// Package speculation decides which running tasks get a copy: a second attempt on another worker, of which the first to
// succeed counts. It has no clock, and its callers guard its state.
package speculation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// spreadsAboveMedian is how many spreads above the median a run counts as overdue. For run times with a log-normal
	// spread of 0.5 the threshold is 1.7 medians. In replays (TestReplay, TestCopiesOfSlowTasks) more spreads gave fewer copies,
	// and left more groups waiting for a slow task.
	spreadsAboveMedian = 2
	// minOverdueRatio and restartCost keep the threshold above the time that a new run takes, however narrow the spread:
	// a start, its answer and a stop take up to 200 ms more than the run.
	minOverdueRatio = 1.5
	restartCost     = 200 * time.Millisecond
	// minGroupTimes and minImageTimes are how many ended tasks give a usable median. Tasks of a group are alike; those of
	// an image may differ in size.
	minGroupTimes = 5
	minImageTimes = 20
	// suspectTasks is how many tasks must be overdue on a worker for the worker to be the likely cause. With one task in
	// ten overdue by chance and eight on a worker, three meet rarely.
	suspectTasks = 3
)

// RunTimes estimates how long tasks of an image take. Spread is half the distance between the quartiles, and n the number
// of observations.
type RunTimes interface {
	Observe(image string, took time.Duration)
	Estimate(image string) (median, spread time.Duration, n int)
}

// Kind is the program and the class of a task, by which run times and outcomes are learnt.
type Kind struct {
	Class ident.ClassName
	Image string
}

// key returns the name under which run times are learnt: the image, or the class of a task without one. Tasks off the rack
// with their data take several times as long and are learnt apart.
func (k Kind) key(offRack bool) string {
	name := k.Image
	if name == "" {
		name = "class " + string(k.Class)
	}
	if offRack {
		name += " off rack"
	}
	return name
}

// Running is a running task of a group that allows copies.
type Running struct {
	Kind
	Task   ident.TaskID
	Worker ident.WorkerID
	// RanFor is how long the attempt is known to have run.
	RanFor time.Duration
	// GroupTimes holds the run times of ended tasks of the group; nil if there are none. GroupSize is the number of its tasks.
	GroupTimes *GroupTimes
	GroupSize  int
	// HasRack is set if a rack holds the data of the task, and OffRack if the attempt runs on another one.
	HasRack, OffRack bool
	// Eligible is false for a task that must get no copy. It still shows whether its worker is slow.
	Eligible bool
	// WorkerSilent is set if the worker does not answer.
	WorkerSilent bool
}

// Cause is why a task deserves a copy.
type Cause string

// The causes.
const (
	// CauseSlowTask means that the task alone is overdue.
	CauseSlowTask Cause = "slow task"
	// CauseSlowWorker means that several tasks on the worker are overdue.
	CauseSlowWorker Cause = "slow worker"
	// CauseSilentWorker means that the worker does not answer.
	CauseSilentWorker Cause = "silent worker"
)

// Candidate is a task that deserves a copy.
type Candidate struct {
	Kind
	Task  ident.TaskID
	Cause Cause
	// RanFor is how long the task has run, and Expected how long a new run is expected to take.
	RanFor, Expected time.Duration
}

// Decide returns the tasks that deserve a copy, the most overdue first, at most limit.
func (l *Learner) Decide(now time.Time, running []Running, limit int) []Candidate {
	if limit <= 0 {
		return nil
	}
	var overdue []int
	var expected []time.Duration
	onWorker := make(map[ident.WorkerID]int)
	for i, r := range running {
		median, spread, ok := l.expect(r, r.OffRack)
		if !ok {
			continue
		}
		newRun := median
		if r.HasRack && !r.OffRack {
			// The copy runs on another rack.
			if slower, _, known := l.expect(r, true); known {
				newRun = max(newRun, slower)
			}
		}
		if r.RanFor < max(newRun, threshold(median, spread)) {
			continue
		}
		overdue, expected = append(overdue, i), append(expected, newRun)
		onWorker[r.Worker]++
	}
	var found []Candidate
	for n, i := range overdue {
		r := running[i]
		cause := CauseSlowTask
		switch {
		case r.WorkerSilent:
			cause = CauseSilentWorker
		case onWorker[r.Worker] >= suspectTasks:
			cause = CauseSlowWorker
		}
		if !r.Eligible || cause == CauseSlowTask && !l.allows(now, r.Kind) {
			continue
		}
		found = append(found, Candidate{Kind: r.Kind, Task: r.Task, Cause: cause, RanFor: r.RanFor, Expected: expected[n]})
	}
	slices.SortFunc(found, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(b.overdueBy(), a.overdueBy()), compareTasks(a.Task, b.Task))
	})
	found = l.limitProbes(found)
	return found[:min(limit, len(found))]
}

// expect returns the median and the spread of runs of the task on or off the rack with its data; ok is false if too little
// is known. If both its group and its image are known, the later threshold counts.
func (l *Learner) expect(r Running, offRack bool) (median, spread time.Duration, ok bool) {
	median, spread, n := l.times.Estimate(r.key(offRack))
	byImage := n >= minImageTimes && median > 0
	groupMedian, groupSpread, byGroup := r.GroupTimes.estimate(offRack, r.GroupSize)
	if byGroup && (!byImage || threshold(groupMedian, groupSpread) > threshold(median, spread)) {
		median, spread = groupMedian, groupSpread
	}
	return median, spread, byImage || byGroup
}

// threshold returns from when on a run is overdue.
func threshold(median, spread time.Duration) time.Duration {
	byRatio := time.Duration(minOverdueRatio*float64(median)) + restartCost
	return max(median+spreadsAboveMedian*spread, byRatio)
}

// overdueBy returns the time run as a multiple of the expected one.
func (c Candidate) overdueBy() float64 {
	return float64(c.RanFor) / float64(c.Expected)
}

func compareTasks(a, b ident.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job.Epoch, b.Job.Epoch), cmp.Compare(a.Job.Seq, b.Job.Seq), cmp.Compare(a.Index, b.Index))
}
