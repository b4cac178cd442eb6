package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

var epoch = time.Unix(1_700_000_000, 0)

func vec(cpu, memory, accelerators int64) resource.Vector {
	return resource.Vector{MilliCPU: cpu, MemoryMB: memory, Accelerators: accelerators}
}

func taskID(n int) ident.TaskID {
	return ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 1, Seq: uint64(n)}}
}

func testTable() *table.Table {
	return table.New(1, []table.Row{
		{Name: "web", Kind: table.LatencyCritical, Weight: 10},
		{Name: "api", Kind: table.LatencyCritical, Weight: 5, Concurrency: 6},
		{Name: "etl", Kind: table.Batch, Weight: 2, Evictions: 2},
		{Name: "train", Kind: table.Batch, Weight: 1, Resources: vec(40_000, 0, 4)},
	})
}

var classKinds = map[ident.ClassName]table.Kind{
	"web": table.LatencyCritical, "api": table.LatencyCritical, "etl": table.Batch, "train": table.Batch,
}

// machine calls a cell in arbitrary ways and keeps its own account of the tasks on each worker.
type machine struct {
	cell     *placement.Cell
	now      time.Time
	lastTask int
	workers  map[ident.WorkerID]placement.Worker
	pending  map[ident.TaskID]placement.Pending
	starts   map[ident.TaskID]placement.Start
	evicted  map[ident.TaskID]placement.Evict
	lasting  map[ident.TaskID]struct{}
}

func newMachine(t *rapid.T) *machine {
	m := &machine{
		cell:    placement.NewCell(rapid.Uint64().Draw(t, "seed"), placement.Options{NoLookAhead: rapid.Bool().Draw(t, "noLookAhead")}),
		now:     epoch,
		workers: map[ident.WorkerID]placement.Worker{},
		pending: map[ident.TaskID]placement.Pending{},
		starts:  map[ident.TaskID]placement.Start{},
		evicted: map[ident.TaskID]placement.Evict{},
		lasting: map[ident.TaskID]struct{}{},
	}
	m.cell.SetTable(testTable())
	return m
}

func (m *machine) Submit(t *rapid.T) {
	class := rapid.SampledFrom([]ident.ClassName{"web", "api", "etl", "train"}).Draw(t, "class")
	n := rapid.IntRange(1, 8).Draw(t, "n")
	need := vec(rapid.Int64Range(0, 9000).Draw(t, "cpu"), rapid.Int64Range(0, 9000).Draw(t, "mem"),
		rapid.Int64Range(0, 2).Draw(t, "acc"))
	var tasks []placement.Pending
	for range n {
		m.lastTask++
		p := placement.Pending{
			Task: taskID(m.lastTask), Attempt: 1, Class: class, Tenant: "t", Kind: classKinds[class], Need: need,
			RunTime: 10 * time.Second, SubmittedAt: m.now,
		}
		tasks = append(tasks, p)
		m.pending[p.Task] = p
	}
	m.cell.Submit(tasks)
}

// Restart submits a lasting task, which may be a restart at any attempt.
func (m *machine) Restart(t *rapid.T) {
	class := rapid.SampledFrom([]ident.ClassName{"web", "etl"}).Draw(t, "class")
	m.lastTask++
	p := placement.Pending{
		Task: taskID(m.lastTask), Attempt: ident.Attempt(rapid.IntRange(1, 3).Draw(t, "attempt")), Class: class, Tenant: "t",
		Kind: classKinds[class], Need: vec(rapid.Int64Range(0, 9000).Draw(t, "cpu"), 500, 0), Lasting: true, SubmittedAt: m.now,
		Restart: rapid.Bool().Draw(t, "restart"),
	}
	m.pending[p.Task] = p
	m.lasting[p.Task] = struct{}{}
	m.cell.Submit([]placement.Pending{p})
}

// Resubmit submits a task again while its earlier attempt may still be booked, as after an eviction.
func (m *machine) Resubmit(t *rapid.T) {
	ids := sortedTaskIDs(m.evicted)
	if len(ids) == 0 {
		ids = sortedTaskIDs(m.starts)
	}
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "task")
	p := placement.Pending{
		Task: id, Attempt: m.starts[id].Attempt + 1, Class: "etl", Tenant: "t", Kind: table.Batch, Need: vec(500, 500, 0),
		Evictions: rapid.IntRange(0, 3).Draw(t, "evictions"),
	}
	_, p.Lasting = m.lasting[id]
	p.Restart = p.Lasting
	m.pending[id] = p
	m.cell.Submit([]placement.Pending{p})
}

// SetTable changes kinds, weights and limits while tasks wait and run.
func (m *machine) SetTable(t *rapid.T) {
	kind := rapid.SampledFrom([]table.Kind{table.Batch, table.LatencyCritical})
	var rows []table.Row
	for _, name := range []ident.ClassName{"api", "etl", "train", "web"} {
		rows = append(rows, table.Row{
			Name: name, Kind: kind.Draw(t, "kind"), Weight: rapid.IntRange(1, 20).Draw(t, "weight"),
			Concurrency: rapid.IntRange(0, 9).Draw(t, "concurrency"),
			Resources:   vec(rapid.Int64Range(0, 30_000).Draw(t, "cpu"), 0, 0),
		})
	}
	m.cell.SetTable(table.New(2, rows))
}

func (m *machine) UpsertWorker(t *rapid.T) {
	id := ident.WorkerID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id"))
	w := placement.Worker{
		ID: id, Rack: ident.Rack(id[:1]), Leaving: rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
		Quarantined: rapid.IntRange(0, 9).Draw(t, "quarantined") == 0, AcceptsProbe: rapid.Bool().Draw(t, "probe"),
		LastResort: rapid.Bool().Draw(t, "last resort"),
		Capacity: vec(rapid.Int64Range(0, 20_000).Draw(t, "cpu"), rapid.Int64Range(0, 20_000).Draw(t, "mem"),
			rapid.Int64Range(0, 4).Draw(t, "acc")),
	}
	m.workers[id] = w
	m.cell.UpsertWorker(w)
}

func (m *machine) RemoveWorker(t *rapid.T) {
	id := ident.WorkerID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id"))
	delete(m.workers, id)
	for _, lost := range m.cell.RemoveWorker(id) {
		require.Equal(t, id, lost.Worker)
		m.forget(lost.Task)
	}
}

func (m *machine) forget(id ident.TaskID) {
	delete(m.starts, id)
	delete(m.evicted, id)
}

func (m *machine) Release(t *rapid.T) {
	if ids := sortedTaskIDs(m.starts); len(ids) > 0 {
		id := rapid.SampledFrom(ids).Draw(t, "task")
		m.cell.Release(id)
		m.forget(id)
	}
}

func (m *machine) Cancel(t *rapid.T) {
	if m.lastTask == 0 {
		return
	}
	id := taskID(rapid.IntRange(1, m.lastTask).Draw(t, "task"))
	if _, runs := m.starts[id]; m.cell.Cancel(id) && runs {
		_, resubmitted := m.pending[id]
		require.True(t, resubmitted, "running task cancelled")
	}
	delete(m.pending, id)
}

func (m *machine) Restore(t *rapid.T) {
	if m.lastTask == 0 {
		return
	}
	id := taskID(rapid.IntRange(1, m.lastTask).Draw(t, "task"))
	w := ident.WorkerID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "worker"))
	p := placement.Pending{
		Task: id, Attempt: 1, Class: "etl", Kind: table.Batch,
		Need: vec(rapid.Int64Range(0, 9000).Draw(t, "cpu"), 100, 0),
	}
	_, p.Lasting = m.lasting[id]
	m.cell.Restore(placement.Running{Pending: p, Worker: w, StartedAt: m.now})
	if m.starts[id].Attempt > p.Attempt {
		return // An older attempt does not replace the one that is booked.
	}
	m.starts[id] = placement.Start{Task: id, Attempt: 1, Worker: w}
	delete(m.evicted, id)
}

func (m *machine) Observe(t *rapid.T) {
	if ids := sortedTaskIDs(m.starts); len(ids) > 0 {
		m.cell.Observe([]placement.Observation{{
			Task:     rapid.SampledFrom(ids).Draw(t, "task"),
			Usage:    vec(rapid.Int64Range(0, 12_000).Draw(t, "cpu"), rapid.Int64Range(0, 12_000).Draw(t, "mem"), 0),
			Slowdown: rapid.Float64Range(0, 5).Draw(t, "slowdown"),
			At:       m.now.Add(-time.Second),
		}})
	}
}

func (m *machine) Plan(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	limit := rapid.IntRange(0, 10).Draw(t, "limit")
	p := m.cell.Plan(m.now, limit)
	require.LessOrEqual(t, len(p.Starts), limit)
	for _, e := range p.Evictions {
		victim, runs := m.starts[e.Task]
		require.True(t, runs, "evicted task does not run")
		require.Equal(t, victim.Worker, e.Worker)
		require.NotContains(t, m.evicted, e.Task, "evicted twice")
		require.NotContains(t, m.lasting, e.Task, "lasting task evicted")
		m.evicted[e.Task] = e
	}
	for _, s := range p.Throttles {
		require.Contains(t, m.starts, s.Task)
		require.Greater(t, s.Fraction, 0.0)
		require.LessOrEqual(t, s.Fraction, 1.0)
	}
	for _, s := range p.Starts {
		w, known := m.workers[s.Worker]
		require.True(t, known, "start on an unknown worker")
		require.False(t, w.Leaving, "start on a leaving worker")
		restart := m.pending[s.Task].Restart
		require.True(t, !w.Quarantined || w.AcceptsProbe || w.LastResort && restart, "start on a quarantined worker")
		require.NotContains(t, m.starts, s.Task, "started twice")
		require.Contains(t, m.pending, s.Task, "started after its cancellation")
		require.True(t, m.pending[s.Task].Need.Fits(s.Booked), "booked less than declared")
		delete(m.pending, s.Task)
		m.starts[s.Task] = s
	}
}

// Check compares the bookings of each worker with its capacity after every call.
func (m *machine) Check(t *rapid.T) {
	for id, w := range m.workers {
		booked := m.cell.Booked(id)
		require.True(t, booked.NonNegative())
		require.True(t, booked.Fits(w.Capacity), "worker %s: booked %v above capacity %v", id, booked, w.Capacity)
	}
	require.NoError(t, m.cell.CheckInvariants())
}

// Guards against overcommitment, double starts, lost tasks and double evictions under arbitrary calls, including
// reduced capacities, inventories above the capacity and usage above the booking.
func TestBookingNeverExceedsCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"submit": m.Submit, "upsert": m.UpsertWorker, "remove": m.RemoveWorker, "release": m.Release,
			"cancel": m.Cancel, "restore": m.Restore, "observe": m.Observe, "plan": m.Plan, "plan again": m.Plan, "resubmit": m.Resubmit, "restart": m.Restart, "table": m.SetTable, "": m.Check,
		})
	})
}
