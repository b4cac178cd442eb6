package placement_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	simStep = 250 * time.Millisecond
	// simStopTime is how long an evicted task takes to stop.
	simStopTime = 500 * time.Millisecond
	// simReportDelay is how old measurements are when they arrive.
	simReportDelay = 3 * time.Second
)

// simTask is a running task of the model.
type simTask struct {
	pending   placement.Pending
	class     int
	worker    ident.WorkerID
	cpu       int64
	fraction  float64
	remaining time.Duration
	stopsAt   time.Time
	// slowdownSum sums up the slowdown of each of the steps.
	slowdownSum, steps float64
}

// simModel is a small seeded simulation of one cell: workers, running tasks, evictions that take time and
// measurements that arrive late. coefficients[v][a] is the slowdown of class v per unit of load of class a.
type simModel struct {
	cell           *placement.Cell
	rng            *rand.Rand
	now            time.Time
	names          []ident.ClassName
	kinds          []table.Kind
	coefficients   [][]float64
	workers        int
	seq            int
	tasks          map[ident.TaskID]*simTask
	runTimes       map[ident.TaskID]time.Duration
	pendingReports []simReport

	heldCoreSeconds map[ident.ClassName]float64
	doneCoreSeconds map[ident.ClassName]float64
	waitSeconds     map[ident.ClassName][]float64
	slowdowns       []float64
	evictions       int
	submitted       map[ident.TaskID]placement.Pending
	// awaitedOn holds the worker on which tasks were evicted for a task that has not started since.
	awaitedOn map[ident.TaskID]ident.WorkerID
	// misplaced counts tasks that started on another worker than the one where tasks were evicted for them.
	misplaced    int
	maxEvictions int
}

type simReport struct {
	arrivesAt   time.Time
	observation placement.Observation
}

func newSim(seed uint64, workers int, rows []table.Row, coefficients [][]float64, o placement.Options) *simModel {
	s := &simModel{
		cell: placement.NewCell(seed, o), rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, coefficients: coefficients, workers: workers,
		tasks: map[ident.TaskID]*simTask{}, runTimes: map[ident.TaskID]time.Duration{},
		heldCoreSeconds: map[ident.ClassName]float64{}, doneCoreSeconds: map[ident.ClassName]float64{}, waitSeconds: map[ident.ClassName][]float64{},
		submitted: map[ident.TaskID]placement.Pending{}, awaitedOn: map[ident.TaskID]ident.WorkerID{},
	}
	s.cell.SetTable(table.New(1, rows))
	for _, r := range rows {
		s.names = append(s.names, r.Name)
		s.kinds = append(s.kinds, r.Kind)
		// Submitting and cancelling one task of each class makes the cell number the classes in this order.
		s.cell.Cancel(s.submit(len(s.names)-1, vec(1, 1, 0), time.Second))
	}
	for w := range workers {
		s.cell.UpsertWorker(placement.Worker{ID: workerID(w), Rack: ident.Rack(rune('a' + w/8)), Capacity: vec(64_000, 250_000, 0)})
	}
	return s
}

func workerID(w int) ident.WorkerID { return ident.WorkerID([]rune{'w', rune('A' + w)}) }

func (s *simModel) submit(class int, need resource.Vector, run time.Duration) ident.TaskID {
	s.seq++
	p := placement.Pending{
		Task: taskID(s.seq), Attempt: 1, Class: s.names[class], Tenant: "t", Kind: s.kinds[class], Need: need, RunTime: run,
		SubmittedAt: s.now,
	}
	s.submitted[p.Task] = p
	s.runTimes[p.Task] = run
	s.cell.Submit([]placement.Pending{p})
	return p.Task
}

func (s *simModel) step() {
	s.now = s.now.Add(simStep)
	s.progress()
	for more := true; more; {
		p := s.cell.Plan(s.now, 1000)
		s.apply(p)
		more = p.More
	}
}

func (s *simModel) apply(p placement.Plan) {
	for _, e := range p.Evictions {
		s.tasks[e.Task].stopsAt = s.now.Add(simStopTime)
		s.evictions++
		s.maxEvictions = max(s.maxEvictions, s.tasks[e.Task].pending.Evictions+1)
		s.awaitedOn[e.Beneficiary] = e.Worker
	}
	for _, t := range p.Throttles {
		s.tasks[t.Task].fraction = t.Fraction
	}
	for _, st := range p.Starts {
		pending := s.submitted[st.Task]
		if w, ok := s.awaitedOn[st.Task]; ok && w != st.Worker {
			s.misplaced++
		}
		delete(s.awaitedOn, st.Task)
		s.tasks[st.Task] = &simTask{
			pending: pending, class: slices.Index(s.names, pending.Class), worker: st.Worker, cpu: st.Booked.MilliCPU, fraction: 1,
			remaining: s.runTimes[st.Task],
		}
		s.waitSeconds[pending.Class] = append(s.waitSeconds[pending.Class], s.now.Sub(pending.SubmittedAt).Seconds())
	}
}

// loads returns the used fraction of the processors on each worker by class.
func (s *simModel) loads() map[ident.WorkerID][]float64 {
	loads := map[ident.WorkerID][]float64{}
	for _, t := range s.tasks {
		if loads[t.worker] == nil {
			loads[t.worker] = make([]float64, len(s.names))
		}
		loads[t.worker][t.class] += float64(t.cpu) * t.fraction / 64_000
	}
	return loads
}

// slowdown grows faster than the load, unlike in the estimator's linear model.
func (s *simModel) slowdown(t *simTask, loads []float64) float64 {
	if s.coefficients == nil {
		return 1
	}
	total, slow := 0.0, 1.0
	for _, l := range loads {
		total += l
	}
	for a, l := range loads {
		if a == t.class {
			l -= float64(t.cpu) * t.fraction / 64_000
		}
		slow += s.coefficients[t.class][a] * l * (0.6 + 0.6*total)
	}
	return slow
}

func (s *simModel) progress() {
	loads := s.loads()
	for _, id := range sortedTaskIDs(s.tasks) {
		t := s.tasks[id]
		slow := s.slowdown(t, loads[t.worker])
		t.slowdownSum += slow
		t.steps++
		t.remaining -= time.Duration(float64(simStep) * t.fraction / slow)
		cpu := float64(t.cpu) / 1000 * simStep.Seconds()
		s.heldCoreSeconds[t.pending.Class] += cpu
		if s.coefficients != nil && s.rng.IntN(20) == 0 {
			s.pendingReports = append(s.pendingReports, simReport{s.now.Add(simReportDelay), placement.Observation{
				Task: id, Slowdown: max(1, slow+0.15*s.rng.NormFloat64()), At: s.now,
			}})
		}
		switch {
		case !t.stopsAt.IsZero() && !s.now.Before(t.stopsAt):
			s.stop(id)
			p := t.pending
			p.Attempt++
			p.Evictions++
			s.submitted[id] = p
			s.cell.Submit([]placement.Pending{p})
		case t.remaining <= 0:
			s.stop(id)
			s.doneCoreSeconds[t.pending.Class] += float64(t.cpu) / 1000 * t.pending.RunTime.Seconds()
			if t.pending.Kind == table.LatencyCritical {
				s.slowdowns = append(s.slowdowns, t.slowdownSum/t.steps)
			}
		}
	}
	for len(s.pendingReports) > 0 && !s.pendingReports[0].arrivesAt.After(s.now) {
		s.cell.Observe([]placement.Observation{s.pendingReports[0].observation})
		s.pendingReports = s.pendingReports[1:]
	}
}

func (s *simModel) stop(id ident.TaskID) {
	s.cell.Release(id)
	delete(s.tasks, id)
}

// quantile returns the q-quantile of values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[int(q*float64(len(sorted)-1))]
}
