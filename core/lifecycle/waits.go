package lifecycle

import "github.com/bulrushrelay/bulrushrelay/core/ident"

// maxSweepTasks is how many tasks one call of WaitingTasks looks at, and at most one further job.
const maxSweepTasks = 2048

// TaskWait describes a task that waits in the cell before the planner gets it.
type TaskWait struct {
	Task   ident.TaskID
	Class  ident.ClassName
	Reason WaitReason
}

var waitCodes = map[WaitReason]string{
	WaitGroups: "groups", WaitLog: "log", WaitRecovery: "recovery", WaitTable: "table", WaitBackoff: "backoff", WaitRefused: "refused", WaitWorker: "worker",
}

// Code returns the reason as an identifier for logs and metrics.
func (r WaitReason) Code() string { return waitCodes[r] }

// WaitingTasks returns at most limit tasks that wait in the cell for something other than earlier groups of their job.
// Each call looks at a bounded number of tasks, and the next one continues behind them.
func (c *Cell) WaitingTasks(limit int) []TaskWait {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found []TaskWait
	looked := 0
	for range len(c.jobOrder) {
		if looked >= maxSweepTasks || len(found) >= limit {
			break
		}
		c.sweepPosition = (c.sweepPosition + 1) % len(c.jobOrder)
		j := c.jobs[c.jobOrder[c.sweepPosition]]
		looked++
		if j.final() || j.cancelling {
			continue
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.waitsInCell() && len(found) < limit {
				found = append(found, TaskWait{Task: t.id, Class: j.spec.Class, Reason: t.wait})
			}
		}
		looked += len(j.tasks)
	}
	return found
}

// waitsInCell reports whether the task needs another attempt and waits for something other than the planner or earlier
// groups.
func (t *task) waitsInCell() bool {
	if t.wait == WaitNone || t.wait == WaitGroups {
		return false
	}
	return t.startable() || !t.settled && t.run != nil && t.run.phase == phaseLogging
}
