package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// steppedFlood replays a flood of batch jobs of two steps on one worker with room for one task: each second 3 jobs come, of which
// it can do one. It returns how many jobs met their objective.
func steppedFlood(t *testing.T, due bool) int {
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
		if due {
			p.Deadline = placement.Deadline{
				At: s.accepted.Add(objective), Objective: objective, CriticalPath: time.Duration(2-s.steps) * work, JobStarted: s.steps > 0,
			}
		}
		c.Submit([]placement.Pending{p})
	}
	met, accepted := 0, 0
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
				met++
			}
		}
		if running == nil {
			if starts := c.Plan(now, 10).Starts; len(starts) > 0 {
				require.Len(t, starts, 1)
				running, ends = &starts[0], now.Add(work)
			}
		}
	}
	return met
}

// Guards against a flood in which every job comes late because jobs are served in the order of arrival: the load pattern is
// three times more work than the workers can do, for 20 s.
func TestFloodServesWhatCanStillMeetItsObjective(t *testing.T) {
	inOrder, byDue := steppedFlood(t, false), steppedFlood(t, true)
	require.GreaterOrEqual(t, byDue, 15, "a third of 60 jobs can be done, less the first that wait")
	require.Greater(t, byDue, 2*inOrder)
}

// Guards against a lasting task that waits behind tasks that fit nowhere after it has failed.
func TestLastingTaskThatRanGoesFirst(t *testing.T) {
	c := cellOf(1, vec(4000, 4000, 0))
	for i := range 40 {
		c.Submit([]placement.Pending{pendingTask(i, "web", vec(3000+int64(i), 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 100).Starts, 1)
	again := pendingTask(100, "web", vec(1000, 1000, 0))
	again.Lasting, again.Attempt = true, 2
	c.Submit([]placement.Pending{again})
	starts := c.Plan(epoch.Add(time.Second), 100).Starts
	require.Len(t, starts, 1)
	require.Equal(t, again.Task, starts[0].Task)
}
