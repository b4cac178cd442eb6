package jobs_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Size of one cell at the target size of a deployment.
const (
	benchWorkers = 133
	benchCores   = 64
)

type fixedGrant ownership.Grant

func (g fixedGrant) Grant(ident.CellID) ownership.Grant { return ownership.Grant(g) }

// benchCell is a cell of the target size with its current owner.
type benchCell struct {
	engine  *kv.Engine
	fleet   worker.Fleet
	members []lifecycle.Member
	svc     *jobs.Service
}

func newBenchCell(b *testing.B) *benchCell {
	rec := worker.NewRecorder()
	fleet := worker.Fleet{}
	var members []lifecycle.Member
	for i := range benchWorkers {
		id := ident.WorkerID(fmt.Sprintf("w%03d", i))
		fleet[id] = worker.New(worker.Config{
			ID: id, Rack: ident.Rack(fmt.Sprint(i / 8)), Recorder: rec,
			Capacity: resource.Vector{MilliCPU: benchCores * 1000, MemoryMB: 250_000},
		})
		members = append(members, fleet[id].Member())
	}
	x := &benchCell{engine: kv.New(kv.Config{}), fleet: fleet, members: members}
	x.acquire(b)
	return x
}

// acquire gives the cell to a new host.
func (x *benchCell) acquire(b *testing.B) {
	if _, err := x.engine.Txn(bg, nil, []store.Op{{Key: "/own/1", Delete: true}}); err != nil {
		b.Fatal(err)
	}
	res, err := x.engine.Txn(bg, nil, []store.Op{{Key: "/own/1", Value: []byte("h")}})
	if err != nil {
		b.Fatal(err)
	}
	g := ownership.Grant{Cell: cell, Epoch: ident.Epoch(res.Revision), Authority: ownership.Full}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	x.svc = jobs.New(jobs.Config{
		Store: x.engine, Codec: cellpb.Codec{}, Workers: worker.NewLink(x.fleet), Grants: fixedGrant(g), Logger: logger,
		NewPlanner: func(ident.CellID, *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: cell})
		},
	}, testTable)
	if err := x.svc.Acquire(bg, g, x.members); err != nil {
		b.Fatal(err)
	}
}

// await waits until ready returns true for the job.
func (x *benchCell) await(b *testing.B, id ident.JobID, ready func(lifecycle.JobView) bool) {
	updates, err := x.svc.Watch(bg, id)
	if err != nil {
		b.Fatal(err)
	}
	for v := range updates {
		if ready(v) {
			return
		}
	}
}

func (x *benchCell) submit(b *testing.B, s lifecycle.JobSpec) ident.JobID {
	id, err := x.svc.Submit(bg, cell, s)
	if err != nil {
		b.Fatal(err)
	}
	return id
}

func isFinal(v lifecycle.JobView) bool { return v.State.Final() }

func atLeastRunning(n int) func(lifecycle.JobView) bool {
	return func(v lifecycle.JobView) bool { return v.Counts[lifecycle.Running] >= n }
}

// BenchmarkTasks measures the tasks per second that one cell takes from submission to a durable end, with workers in
// the same process and tasks of 1 ms.
func BenchmarkTasks(b *testing.B) {
	x := newBenchCell(b)
	defer x.svc.StopCell(cell)
	start := time.Now()
	for n := b.N; n > 0; n -= 5000 {
		x.await(b, x.submit(b, spec("batch", min(n, 5000), "work=1ms")), isFinal)
	}
	b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "tasks/s")
	b.ReportMetric(float64(x.engine.Counts().Txns)/time.Since(start).Seconds(), "txns/s")
}

// BenchmarkUrgentDuringCancelWave measures the time from the submission of an urgent task with 1 ms of work to its
// durable end, while a job of 10,000 tasks, of which at least 8,000 run, is cancelled.
func BenchmarkUrgentDuringCancelWave(b *testing.B) {
	x := newBenchCell(b)
	defer x.svc.StopCell(cell)
	var quiet, wave time.Duration
	urgent := func() time.Duration {
		start := time.Now()
		x.await(b, x.submit(b, spec("urgent", 1, "work=1ms")), isFinal)
		return time.Since(start)
	}
	for range b.N {
		id := x.submit(b, spec("batch", 10_000, "work=1h"))
		x.await(b, id, atLeastRunning(8000))
		quiet += urgent()
		done := make(chan error, 1)
		go func() { done <- x.svc.Cancel(bg, id) }()
		wave += urgent()
		if err := <-done; err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(quiet.Milliseconds())/float64(b.N), "quiet-ms")
	b.ReportMetric(float64(wave.Milliseconds())/float64(b.N), "wave-ms")
}

// BenchmarkTakeover measures the time from a new grant until every worker is claimed and all running tasks are taken
// over, after the previous owner died: go test -run xxx -bench Takeover -benchtime 3x ./relay/jobs.
func BenchmarkTakeover(b *testing.B) {
	for _, tasks := range []int{500, 2000, 8000} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) { benchTakeover(b, tasks) })
	}
}

func benchTakeover(b *testing.B, tasks int) {
	x := newBenchCell(b)
	id := x.submit(b, spec("batch", tasks, "work=1h"))
	x.await(b, id, atLeastRunning(tasks))
	b.ResetTimer()
	for range b.N {
		x.svc.StopCell(cell)
		x.acquire(b)
		x.await(b, id, atLeastRunning(tasks))
	}
	b.StopTimer()
	x.svc.StopCell(cell)
}
