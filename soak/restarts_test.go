package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// lostTask is a check of one lasting task whose worker is lost after 60 s, with lapsed leases after 70 s and a restart
// elsewhere at the given time; 0 for none.
func lostTask(restartedAt time.Duration) (*restartCheck, func(time.Duration) time.Time) {
	start := time.UnixMilli(1_700_000_000_000)
	at := start.Add
	job := ident.JobID{Cell: 3, Epoch: 1, Seq: 1}
	attempt := func(n ident.Attempt) lifecycle.AttemptID {
		return lifecycle.AttemptID{Task: ident.TaskID{Job: job}, Attempt: n}
	}
	c := &restartCheck{
		jobEnds: map[ident.JobID]time.Time{job: {}}, endedAt: at(200 * time.Second), dataCentres: []string{"a", "b"}, slack: restartSlack,
		executions: []worker.Execution{{
			AttemptID: attempt(1), Worker: "worker-001", StartedAt: at(time.Second), Stopped: true, StoppedAt: at(70 * time.Second), End: lifecycle.EndLapsed,
		}},
		losses: []workerLoss{{number: 1, worker: "worker-001", cell: 3, at: at(time.Minute), others: []int{2}}},
	}
	if restartedAt > 0 {
		c.executions = append(c.executions, worker.Execution{AttemptID: attempt(2), Worker: "worker-002", StartedAt: at(restartedAt)})
	}
	return c, at
}

// Guards against a check of restarts that cannot fail, and against one that reports a restart in time: each takeover of the
// cell and each time without the store extends the bound, and nothing else does.
func TestLateRestartsAreFound(t *testing.T) {
	inTime := time.Minute + lifecycle.LeaseDuration + lifecycle.LeaseMargin + restartSlack
	late := inTime + time.Second
	for name, tc := range map[string]struct {
		restartedAt time.Duration
		change      func(c *restartCheck, at func(time.Duration) time.Time)
		violations  int
	}{
		"in time": {inTime, nil, 0},
		"late":    {late, nil, 1},
		"never":   {0, nil, 1},
		"late after a takeover": {late + takeoverTime(), func(c *restartCheck, at func(time.Duration) time.Time) {
			c.takeovers = []takeover{{3, at(65 * time.Second)}}
		}, 1},
		"in time after a takeover": {inTime + takeoverTime(), func(c *restartCheck, at func(time.Duration) time.Time) {
			c.takeovers = []takeover{{3, at(65 * time.Second)}}
		}, 0},
		"takeover of another cell": {late, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.takeovers = []takeover{{4, at(65 * time.Second)}}
		}, 1},
		"takeover before the loss": {late, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.takeovers = []takeover{{3, at(59 * time.Second)}}
		}, 1},
		"in time after an outage": {inTime + 4*time.Second, steps("62s store down", "66s store up"), 0},
		"late after an outage":    {late + 4*time.Second, steps("62s store down", "66s store up"), 1},
		"outage before the loss":  {late, steps("50s store down", "59s store up"), 1},
		"cancelled": {0, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.jobEnds[c.executions[0].Task.Job] = at(inTime - time.Second)
		}, 0},
		"cancelled too late": {0, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.jobEnds[c.executions[0].Task.Job] = at(late)
		}, 1},
		"cancelled after the restart": {late, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.jobEnds[c.executions[0].Task.Job] = at(late + time.Second)
		}, 1},
		"no other worker":          {late, func(c *restartCheck, _ func(time.Duration) time.Time) { c.losses[0].others = nil }, 0},
		"other worker cut off":     {late, steps("50s proxy worker/2 silent"), 0},
		"other worker evacuated":   {late, steps("50s evacuation start a"), 0},
		"another worker evacuated": {late, steps("50s evacuation start b", "64s evacuation stop b"), 1},
		"a third worker cut off":   {late, steps("50s proxy worker/3 silent"), 1},
		"other worker just lost": {late, func(c *restartCheck, at func(time.Duration) time.Time) {
			steps("50s find 2")(c, at)
			c.losses = append(c.losses, workerLoss{number: 2, worker: "worker-002", cell: 3, at: at(time.Second)})
		}, 0},
		"found before the lease": {late, steps("65s find 1"), 0},
		"found after the lease":  {late, steps("72s find 1"), 1},
		"task of another kind":   {late, func(c *restartCheck, _ func(time.Duration) time.Time) { clear(c.jobEnds) }, 0},
		"attempt that ended before": {late, func(c *restartCheck, at func(time.Duration) time.Time) {
			c.executions[0].StoppedAt = at(59 * time.Second)
		}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			c, at := lostTask(tc.restartedAt)
			if tc.change != nil {
				tc.change(c, at)
			}
			require.Len(t, c.run(), tc.violations)
		})
	}
}

// steps adds performed steps to a check.
func steps(lines ...string) func(c *restartCheck, at func(time.Duration) time.Time) {
	return func(c *restartCheck, at func(time.Duration) time.Time) {
		for _, line := range lines {
			s, err := Parse(strings.NewReader(line))
			if err != nil {
				panic(err)
			}
			c.performed = append(c.performed, performedStep{at(s[0].At), s[0].Action})
		}
	}
}
