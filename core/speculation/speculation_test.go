package speculation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

var start = time.Unix(1_000_000, 0)

func runningTask(i int, ranFor time.Duration) Running {
	return Running{
		Kind: Kind{Class: "urgent", Image: "image"}, Task: ident.TaskID{Index: uint32(i)}, RanFor: ranFor, Eligible: true,
		Worker: ident.WorkerID(fmt.Sprintf("w%d", i)),
	}
}

// learnt returns a learner that knows the image "image" to take about a second.
func learnt() *Learner {
	l := NewLearner(nil)
	for i := range 40 {
		l.TaskEnded(Kind{Class: "urgent", Image: "image"}, false, time.Second+time.Duration(i-20)*10*time.Millisecond)
	}
	return l
}

func tasksOf(found []Candidate) []uint32 {
	var tasks []uint32
	for _, c := range found {
		tasks = append(tasks, c.Task.Index)
	}
	return tasks
}

// Guards against copies by a guess: without learnt run times no task is slow.
func TestNothingLearntMeansNoCopy(t *testing.T) {
	require.Empty(t, NewLearner(nil).Decide(start, []Running{runningTask(1, time.Hour)}, 10))
}

// Guards against copies of tasks that a new run would not overtake.
func TestOnlyOverdueTasks(t *testing.T) {
	l := learnt()
	found := l.Decide(start, []Running{
		runningTask(1, 1600*time.Millisecond), runningTask(2, 1800*time.Millisecond), runningTask(3, 5*time.Second),
	}, 10)
	require.Equal(t, []uint32{3, 2}, tasksOf(found), "the most overdue first")
	require.Equal(t, CauseSlowTask, found[0].Cause)
	require.Len(t, l.Decide(start, []Running{runningTask(2, 2*time.Second), runningTask(3, 5*time.Second)}, 1), 1)
	require.Empty(t, l.Decide(start, []Running{runningTask(3, 5*time.Second)}, 0))
}

// Guards against taking a group whose tasks are all long for slow because other tasks of its image are short.
func TestLongTasksOfAGroupAreNotSlow(t *testing.T) {
	l := learnt()
	r := runningTask(1, 5*time.Second)
	r.GroupTimes, r.GroupSize = &GroupTimes{}, 9
	for range minGroupTimes {
		r.GroupTimes.Observe(false, 4*time.Second)
	}
	require.Empty(t, l.Decide(start, []Running{r}, 10))
	r.RanFor = 7 * time.Second
	require.Len(t, l.Decide(start, []Running{r}, 10), 1)
}

// Guards against taking ordinary tasks of a group for slow because its short tasks have ended first.
func TestFirstEndsOfAGroupAreItsShortTasks(t *testing.T) {
	l := NewLearner(nil)
	r := runningTask(1, 2*time.Second)
	r.GroupTimes, r.GroupSize = &GroupTimes{}, 10
	for i := range 5 {
		r.GroupTimes.Observe(false, time.Duration(500+100*i)*time.Millisecond)
	}
	require.Empty(t, l.Decide(start, []Running{r}, 10), "half of the group tells nothing of the other half")
	r.GroupTimes.Observe(false, 1100*time.Millisecond)
	require.Empty(t, l.Decide(start, []Running{r}, 10), "the median of the group is 1.1 s, not 0.8 s, and the threshold 2.1 s")
	r.RanFor = 5 * time.Second
	require.Len(t, l.Decide(start, []Running{r}, 10), 1)
}

// Guards against taking tasks off the rack with their data for slow, and against copies off that rack that take longer than
// what is left of the first run.
func TestTasksOffTheirRackAreLearntApart(t *testing.T) {
	l := learnt()
	for range 40 {
		l.TaskEnded(Kind{Class: "urgent", Image: "image"}, true, 3*time.Second)
	}
	off, on := runningTask(1, 3*time.Second), runningTask(2, 2900*time.Millisecond)
	off.HasRack, off.OffRack = true, true
	on.HasRack = true
	require.Empty(t, l.Decide(start, []Running{off, on}, 10))
	off.RanFor, on.RanFor = 5*time.Second, 3*time.Second
	require.Equal(t, []uint32{1, 2}, tasksOf(l.Decide(start, []Running{off, on}, 10)))
}

// Guards against a second copy and against copies where they are not allowed.
func TestIneligibleTasksGetNone(t *testing.T) {
	r := runningTask(1, time.Hour)
	r.Eligible = false
	require.Empty(t, learnt().Decide(start, []Running{r}, 10))
}

// Guards against copies thrown away where a second run of a slow task is as long as the first, and against giving up
// for good.
func TestCopiesThatDoNotWinStopExceptProbes(t *testing.T) {
	l := learnt()
	kind := runningTask(1, 0).Kind
	slow := []Running{runningTask(1, 5*time.Second), runningTask(2, 5*time.Second)}
	for range 20 {
		l.CopyStarted(start, kind)
		l.CopyEnded(kind, CauseSlowTask, false)
	}
	require.Empty(t, l.Decide(start.Add(time.Second), slow, 10))
	require.Len(t, l.Decide(start.Add(probeInterval), slow, 10), 1, "one probe")
	l.CopyStarted(start.Add(probeInterval), kind)
	require.Empty(t, l.Decide(start.Add(probeInterval+time.Second), slow, 10))

	other := runningTask(3, 5*time.Second)
	other.Class = "other"
	require.Len(t, l.Decide(start.Add(time.Second), []Running{other}, 10), 1, "outcomes of one class do not count for another")

	for range 20 {
		l.CopyEnded(kind, CauseSlowTask, true)
	}
	require.Len(t, l.Decide(start.Add(probeInterval+time.Second), slow, 10), 2, "copies win again")
}

// Guards against leaving tasks on a hung or slow worker because copies of other tasks of their image do not win.
func TestSlowAndSilentWorkersDoNotDependOnOutcomes(t *testing.T) {
	l := learnt()
	for range 20 {
		l.CopyStarted(start, runningTask(1, 0).Kind)
		l.CopyEnded(runningTask(1, 0).Kind, CauseSlowTask, false)
	}
	silent := runningTask(1, 3*time.Second)
	silent.WorkerSilent = true
	running := []Running{silent, runningTask(2, 3*time.Second)}
	for i := range 3 {
		r := runningTask(10+i, 4*time.Second)
		r.Worker = "slow"
		running = append(running, r)
	}
	found := l.Decide(start.Add(time.Second), running, 10)
	require.Equal(t, []uint32{10, 11, 12, 1}, tasksOf(found))
	require.Equal(t, CauseSlowWorker, found[0].Cause)
	require.Equal(t, CauseSilentWorker, found[3].Cause)

	before := l.winRate(silent.Kind)
	l.CopyEnded(silent.Kind, CauseSilentWorker, true)
	require.InDelta(t, before, l.winRate(silent.Kind), 0, "the worker was the cause")
}

// Guards against memory that grows with the number of images ever seen.
func TestKindsAreBounded(t *testing.T) {
	l := NewLearner(nil)
	for i := range 3 * maxKinds {
		k := Kind{Class: ident.ClassName(fmt.Sprint("c", i)), Image: fmt.Sprint("i", i)}
		l.TaskEnded(k, false, time.Second)
		l.CopyStarted(start, k)
		l.CopyEnded(k, CauseSlowTask, true)
	}
	require.Len(t, l.kinds.entries, maxKinds)
	require.Len(t, l.classes.entries, maxKinds)
	require.NotNil(t, l.kinds.find(Kind{Class: ident.ClassName(fmt.Sprint("c", 3*maxKinds-1)), Image: fmt.Sprint("i", 3*maxKinds-1)}))
}

// TestReplay replays groups of ten tasks with a log-normal spread of 0.5 of which three in a hundred take seven times as
// long. It guards against copies that do not shorten groups although they could, and against copies without end where a
// second run of a slow task is as long as the first.
func TestReplay(t *testing.T) {
	const groups, step = 2000, 200 * time.Millisecond
	replay := func(sameAgain bool) (copies, won int, before, after float64) {
		rng := rand.New(rand.NewPCG(1, 2))
		draw := func() time.Duration {
			return time.Duration(0.88 * math.Exp(0.5*rng.NormFloat64()) * float64(time.Second))
		}
		l := NewLearner(nil)
		now := start
		for range groups {
			var ends, endsAlone [10]time.Duration
			var again [10]time.Duration
			for i := range ends {
				factor := time.Duration(1)
				if rng.Float64() < 0.03 {
					factor = 7
				}
				ends[i], again[i] = factor*draw(), draw()
				if sameAgain {
					again[i] = ends[i]
				}
			}
			endsAlone = ends
			copied := [10]time.Duration{}
			for at := step; ; at += step {
				var running []Running
				var times GroupTimes
				for _, end := range ends {
					if end <= at {
						times.Observe(false, end)
					}
				}
				for i, end := range ends {
					if end > at {
						r := runningTask(i, at)
						r.GroupTimes, r.GroupSize, r.Eligible = &times, len(ends), copied[i] == 0
						running = append(running, r)
					}
				}
				if len(running) == 0 {
					break
				}
				for _, c := range l.Decide(now.Add(at), running, 10) {
					i := c.Task.Index
					copied[i] = at
					copies++
					l.CopyStarted(now.Add(at), c.Kind)
					winner := at+again[i] < ends[i]
					if winner {
						won++
						ends[i] = at + again[i]
					}
					l.CopyEnded(c.Kind, c.Cause, winner)
				}
			}
			longest := func(d [10]time.Duration) (m float64) {
				for _, v := range d {
					m = max(m, v.Seconds())
				}
				return m
			}
			before, after = before+longest(endsAlone), after+longest(ends)
			for _, end := range ends {
				l.TaskEnded(runningTask(0, 0).Kind, false, end)
			}
			now = now.Add(time.Second)
		}
		return copies, won, before / groups, after / groups
	}
	copies, won, before, after := replay(false)
	t.Logf("independent second runs: %d copies, %d won, group %.2f s -> %.2f s", copies, won, before, after)
	require.Less(t, after, 0.75*before)
	require.Less(t, copies, groups*10/10, "at most one task in ten is copied")

	copies, won, before, after = replay(true)
	t.Logf("equal second runs: %d copies, %d won, group %.2f s -> %.2f s", copies, won, before, after)
	require.Less(t, copies, 150, "a few at first, then probes")
}
