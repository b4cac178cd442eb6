package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// jobOfFillers returns the tasks of one job, each of which would use a quarter of a worker.
func jobOfFillers(job, tasks int) []placement.Pending {
	list := make([]placement.Pending, tasks)
	for i := range list {
		list[i] = fillerTask(job, "filler")
		list[i].Need = vec(16_000, 2000, 0)
		list[i].Task.Index = ident.TaskIndex(0, i)
	}
	return list
}

// idleJobs submits a flood of jobs of fillers to workers that each run a task of the given size, and returns how many
// of them have nothing running after some seconds.
func idleJobs(bookedMilliCPU int64) (idle int) {
	const workers, jobs, tasksOfJob = 24, 60, 8
	c := cellOf(workers, vec(64_000, 64_000, 0))
	for i := range workers {
		p := pendingTask(1, "web", vec(bookedMilliCPU, 1000, 0))
		p.Task.Index = uint32(i)
		p.Constraints.MaxPerWorker = 1
		c.Submit([]placement.Pending{p})
	}
	c.Plan(epoch, workers)
	for job := range jobs {
		c.Submit(jobOfFillers(10+job, tasksOfJob))
	}
	started := make(map[ident.JobID]int)
	for now := epoch; now.Sub(epoch) < 3*time.Second; now = now.Add(20 * time.Millisecond) {
		for _, s := range c.Plan(now, 64).Starts {
			if s.Task.Job.Seq >= 10 {
				started[s.Task.Job]++
			}
		}
	}
	return jobs - len(started)
}

// Guards against accepted jobs that wait without end in a flood of newer ones while less than half of the capacity is
// in use: fillers that use the rest of the processors are not counted there.
func TestEachJobHasATaskRunningWhileMostOfTheCapacityIsFree(t *testing.T) {
	require.Zero(t, idleJobs(20_000))
	// In a fuller cell jobs wait for processors.
	require.Positive(t, idleJobs(40_000))
}
