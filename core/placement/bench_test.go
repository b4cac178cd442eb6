package placement_test

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sys/unix"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// benchTasksPerWorker corresponds to 200,000 running tasks on 17,000 workers.
	benchTasksPerWorker = 200_000.0 / 17_000
	benchTenants        = 1_100
)

// benchTable has one class for each tenant, a quarter of them urgent.
func benchTable() *table.Table {
	rows := make([]table.Row, benchTenants)
	for i := range rows {
		rows[i] = table.Row{Name: benchClass(i), Kind: table.Batch, Weight: 1 + i%4}
		if i%4 == 0 {
			rows[i].Kind = table.LatencyCritical
			rows[i].Weight = 10
		}
	}
	return table.New(1, rows)
}

func benchClass(i int) ident.ClassName {
	return ident.ClassName(fmt.Sprintf("class-%04d", i))
}

// benchCell keeps one cell at a constant number of running tasks: each step submits one task, plans, and releases
// one.
type benchCell struct {
	cell          *placement.Cell
	rng           *rand.Rand
	now           time.Time
	seq           int
	targetRunning int
	running       []ident.TaskID
	starts        int
	evicted       int
	planTimes     *hdrhistogram.Histogram
	// cpuTimes records the processor time of the Plans, without the time for which the thread waited for a core.
	cpuTimes *hdrhistogram.Histogram
}

// threadTime returns the processor time of the calling thread.
func threadTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &ts); err != nil {
		panic(err)
	}
	return time.Duration(ts.Nano())
}

func newBenchCell(id, workers int, t *table.Table) *benchCell {
	b := &benchCell{
		cell:          placement.NewCell(uint64(id), placement.Options{Cell: ident.CellID(id), Cells: 128}),
		rng:           rand.New(rand.NewPCG(1, uint64(id))),
		now:           epoch,
		targetRunning: int(float64(workers) * benchTasksPerWorker),
		planTimes:     hdrhistogram.New(1, int64(time.Minute), 3),
		cpuTimes:      hdrhistogram.New(1, int64(time.Minute), 3),
	}
	b.cell.SetTable(t)
	for w := range workers {
		capacity := vec(64_000, 250_000, 0)
		if w%10 == 0 {
			capacity.Accelerators = 8
		}
		b.cell.UpsertWorker(placement.Worker{
			ID: ident.WorkerID(fmt.Sprintf("w%d-%d", id, w)), Rack: ident.Rack(fmt.Sprintf("r%d-%d", id, w/8)), Capacity: capacity,
		})
	}
	return b
}

// submit queues a task of about 1/14 of a worker, so that the cell is 85 % full at targetRunning tasks.
func (b *benchCell) submit() {
	b.seq++
	i := b.rng.IntN(benchTenants)
	p := placement.Pending{
		Task:    ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 1, Seq: uint64(b.seq / 4)}, Index: uint32(b.seq % 4)},
		Attempt: 1, Class: benchClass(i), Tenant: ident.TenantName(benchClass(i)), Kind: table.Batch,
		Need: vec(1000+b.rng.Int64N(7400), 2000+b.rng.Int64N(30_000), 0), RunTime: time.Minute, SubmittedAt: b.now,
	}
	if i%4 == 0 {
		p.Kind = table.LatencyCritical
	}
	if b.rng.IntN(100) == 0 {
		p.Need.Accelerators = 1
	}
	b.cell.Submit([]placement.Pending{p})
}

func (b *benchCell) step() {
	b.now = b.now.Add(10 * time.Millisecond)
	b.submit()
	begin, used := time.Now(), threadTime()
	plan := b.cell.Plan(b.now, 64)
	_ = b.cpuTimes.RecordValue(int64(threadTime() - used))
	_ = b.planTimes.RecordValue(int64(time.Since(begin)))
	for _, e := range plan.Evictions {
		b.cell.Release(e.Task)
		i := slices.Index(b.running, e.Task)
		b.running = slices.Delete(b.running, i, i+1)
		b.evicted++
	}
	for _, s := range plan.Starts {
		b.running = append(b.running, s.Task)
		b.starts++
	}
	for range len(b.running) - b.targetRunning {
		i := b.rng.IntN(len(b.running))
		b.cell.Release(b.running[i])
		b.running[i] = b.running[len(b.running)-1]
		b.running = b.running[:len(b.running)-1]
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

var benchSizes = [][2]int{{1, 50}, {1, 500}, {1, 5000}, {1, 17_000}, {128, 50}, {128, 133}}

// BenchmarkDecision measures Plan in cells that are 85 % full, on all cores with one goroutine per core.
func BenchmarkDecision(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("cells=%d/workers=%d", size[0], size[1]), func(b *testing.B) {
			benchDecision(b, size[0], size[1], 0)
		})
	}
}

// BenchmarkSaturated measures Plan in full cells with a backlog of twice as many tasks as run, so that tasks are
// placed only as others end, and urgent tasks cause evictions.
func BenchmarkSaturated(b *testing.B) {
	for _, size := range benchSizes {
		b.Run(fmt.Sprintf("cells=%d/workers=%d", size[0], size[1]), func(b *testing.B) {
			benchDecision(b, size[0], size[1], 2)
		})
	}
}

// benchDecision submits backlog times the target number of tasks of each cell before it measures.
func benchDecision(b *testing.B, n, workers, backlog int) {
	t := benchTable()
	heapBefore := heapBytes()
	cells := make([]*benchCell, n)
	for i := range cells {
		cells[i] = newBenchCell(i, workers, t)
	}
	emptyHeap := heapBytes()
	inParallel(cells, func(c *benchCell) {
		for len(c.running) < c.targetRunning && c.seq < 2*c.targetRunning {
			c.step()
		}
		for range backlog * c.targetRunning {
			c.submit()
		}
		if backlog > 0 {
			c.targetRunning = 1 << 30
			for range 200 {
				c.step()
			}
			c.targetRunning = len(c.running)
		}
		c.starts, c.evicted = 0, 0
		c.planTimes.Reset()
		c.cpuTimes.Reset()
	})
	fullHeap := heapBytes()
	tasks := 0
	for _, c := range cells {
		tasks += len(c.running)
	}
	steps := b.N/n + 1
	b.ResetTimer()
	inParallel(cells, func(c *benchCell) {
		for range steps {
			c.step()
		}
	})
	b.StopTimer()
	allPlanTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	allCPUTimes := hdrhistogram.New(1, int64(time.Minute), 3)
	starts, evicted := 0, 0
	for _, c := range cells {
		allPlanTimes.Merge(c.planTimes)
		allCPUTimes.Merge(c.cpuTimes)
		starts += c.starts
		evicted += c.evicted
	}
	b.ReportMetric(float64(starts)/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(allPlanTimes.ValueAtQuantile(50))/1e3, "p50-µs")
	b.ReportMetric(float64(allPlanTimes.ValueAtQuantile(99))/1e3, "p99-µs")
	b.ReportMetric(float64(allCPUTimes.ValueAtQuantile(99))/1e3, "cpu-p99-µs")
	b.ReportMetric(float64(emptyHeap-heapBefore)/float64(n*workers), "B/worker")
	b.ReportMetric(float64(fullHeap-emptyHeap)/float64(tasks), "B/task")
	b.ReportMetric(float64(tasks), "tasks")
	b.ReportMetric(float64(evicted)/float64(starts), "evictions/start")
}

// inParallel runs f on every cell, on as many goroutines as there are cores.
func inParallel(cells []*benchCell, f func(*benchCell)) {
	work := make(chan *benchCell, len(cells))
	for _, c := range cells {
		work <- c
	}
	close(work)
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			runtime.LockOSThread()
			defer runtime.UnlockOSThread()
			for c := range work {
				f(c)
			}
		})
	}
	wg.Wait()
}
