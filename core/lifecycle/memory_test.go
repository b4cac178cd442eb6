package lifecycle

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// tasksPerJob is about the mean size of a job at the target size.
const tasksPerJob = 50

func heapBytes() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkMemory reports the memory of a running task in one cell, including its share of the job and the worker. Run
// it with go test -run '^$' -bench Memory -benchtime 1x ./core/lifecycle.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("tasks=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				c := runningCell(b, n)
				b.ReportMetric(float64(heapBytes()-before)/float64(n), "B/task")
				runtime.KeepAlive(c)
			}
		})
	}
}

// runningCell returns a cell with n running tasks, 12 on each worker.
func runningCell(b testing.TB, n int) *Cell {
	const perWorker = 12
	c := NewCell(1, 7, table.New(1, []table.Row{{Name: "batch", Kind: table.Batch}}))
	c.SetAuthority(testStart, true, true)
	commit := func(eff Effects) {
		for len(eff.Records) > 0 {
			eff = c.RecordsCommitted(testStart, eff.Records)
		}
	}
	members := make([]Member, (n+perWorker-1)/perWorker)
	for i := range members {
		members[i] = Member{ID: ident.WorkerID(fmt.Sprintf("worker-%05d", i)), Address: "127.0.0.1:7000"}
	}
	commit(c.Recover(testStart, false, members))
	for _, m := range members {
		commit(c.ClaimAnswered(testStart, m.ID, c.NextClaimSeq(), "p1", Report{Capacity: capacity, Token: "token"}))
	}
	for started := 0; started < n; started += tasksPerJob {
		job, eff, err := c.Accept(testStart, JobSpec{
			Class: "batch", Groups: []TaskGroup{{Count: tasksPerJob, Need: resource.Vector{MilliCPU: 1000}, Command: "run"}},
		})
		require.NoError(b, err)
		commit(eff)
		for i := range tasksPerJob {
			workerID := members[(started+i)/perWorker%len(members)].ID
			id := ident.TaskID{Job: job, Index: uint32(i)}
			t := c.task(id)
			attempt := AttemptID{Task: id, Attempt: t.nextAttempt}
			start := placement.Start{Task: id, Attempt: attempt.Attempt, Worker: workerID}
			commit(c.ApplyPlan(testStart, placement.Plan{Starts: []placement.Start{start}}))
			commit(c.StartAnswered(testStart, workerID, attempt, Answer{Outcome: Applied}))
			require.Equal(b, Running, t.state)
		}
	}
	return c
}
