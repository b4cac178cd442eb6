package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// runTwoStepFlood simulates batch jobs of two steps on one worker with capacity for one task. Three jobs arrive
// each second, of which the worker can complete one. It returns how many jobs met their objective.
func runTwoStepFlood(t *testing.T, withDeadlines bool) int {
	const (
		work      = 500 * time.Millisecond
		objective = 3 * time.Second
		jobs      = 60
		tick      = 50 * time.Millisecond
	)
	c := cellOf(1, vec(1000, 1000, 0))
	type state struct {
		accepted time.Time
		steps    int
	}
	states := map[int]*state{}
	submit := func(now time.Time, job int) {
		s := states[job]
		p := pendingTask(job, "etl", vec(1000, 1000, 0))
		p.Task.Index = ident.TaskIndex(s.steps, 0)
		if withDeadlines {
			p.Deadline = placement.Deadline{
				At: s.accepted.Add(objective), Objective: objective, CriticalPath: time.Duration(2-s.steps) * work, JobStarted: s.steps > 0,
			}
		}
		c.Submit([]placement.Pending{p})
	}
	metObjective, accepted := 0, 0
	var running *placement.Start
	var ends time.Time
	for now := epoch; accepted < jobs || running != nil; now = now.Add(tick) {
		for accepted < jobs && now.Sub(epoch) >= time.Duration(accepted)*time.Second/3 {
			states[accepted] = &state{accepted: now}
			submit(now, accepted)
			accepted++
		}
		if running != nil && !now.Before(ends) {
			job := int(running.Task.Job.Seq)
			c.Release(running.Task)
			running = nil
			s := states[job]
			if s.steps++; s.steps < 2 {
				submit(now, job)
			} else if now.Sub(s.accepted) <= objective {
				metObjective++
			}
		}
		if running == nil {
			if starts := c.Plan(now, 10).Starts; len(starts) > 0 {
				require.Len(t, starts, 1)
				running, ends = &starts[0], now.Add(work)
			}
		}
	}
	return metObjective
}

// Guards against an overload in which every job is late because jobs are served in the order of arrival. The load
// is three times what the worker can do, for 20 s.
func TestFloodServesJobsThatCanMeetTheirObjective(t *testing.T) {
	byArrival, byDeadline := runTwoStepFlood(t, false), runTwoStepFlood(t, true)
	require.GreaterOrEqual(t, byDeadline, 15, "the worker can complete a third of 60 jobs, less the first ones")
	require.Greater(t, byDeadline, 2*byArrival)
}

// Guards against a failed lasting task that waits behind queued tasks that fit no worker.
func TestRestartedLastingTaskGoesFirst(t *testing.T) {
	c := cellOf(1, vec(4000, 4000, 0))
	for i := range 40 {
		c.Submit([]placement.Pending{pendingTask(i, "web", vec(3000+int64(i), 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 100).Starts, 1)
	restart := pendingTask(100, "web", vec(1000, 1000, 0))
	restart.Lasting, restart.Restart, restart.Attempt = true, true, 2
	c.Submit([]placement.Pending{restart})
	starts := c.Plan(epoch.Add(time.Second), 100).Starts
	require.Len(t, starts, 1)
	require.Equal(t, restart.Task, starts[0].Task)
}
