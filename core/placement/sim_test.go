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
	// simStop is how long an evicted task takes to stop.
	simStop = 500 * time.Millisecond
	// simLag is how old measurements are when they arrive.
	simLag = 3 * time.Second
)

// simTask is a running task of the model.
type simTask struct {
	p        placement.Pending
	class    int
	worker   ident.WorkerID
	cpu      int64
	fraction float64
	left     time.Duration
	stopsAt  time.Time
	// slow and ran sum up the slowdown over the run.
	slow, ran float64
}

// simModel is a small seeded model of one cell: workers, running tasks, evictions that take time and measurements that
// arrive late. truth[v][a] is the slowdown of class v by each unit of load of class a.
type simModel struct {
	cell    *placement.Cell
	rng     *rand.Rand
	now     time.Time
	names   []ident.ClassName
	kinds   []table.Kind
	truth   [][]float64
	workers int
	seq     int
	tasks   map[ident.TaskID]*simTask
	work    map[ident.TaskID]time.Duration
	late    []simReport

	held      map[ident.ClassName]float64
	done      map[ident.ClassName]float64
	waits     map[ident.ClassName][]float64
	slowdowns []float64
	evictions int
	pendingOf map[ident.TaskID]placement.Pending
	// awaited holds the workers on which evictions were decided for a task that has not started since.
	awaited map[ident.TaskID]ident.WorkerID
	// misplaced counts tasks that started elsewhere than on the worker where others were evicted for them.
	misplaced int
	maxEvicts int
}

type simReport struct {
	at  time.Time
	obs placement.Observation
}

func newSim(seed uint64, workers int, rows []table.Row, truth [][]float64, o placement.Options) *simModel {
	s := &simModel{
		cell: placement.NewCell(seed, o), rng: rand.New(rand.NewPCG(seed, 7)), now: epoch, truth: truth, workers: workers,
		tasks: map[ident.TaskID]*simTask{}, work: map[ident.TaskID]time.Duration{},
		held: map[ident.ClassName]float64{}, done: map[ident.ClassName]float64{}, waits: map[ident.ClassName][]float64{},
		pendingOf: map[ident.TaskID]placement.Pending{}, awaited: map[ident.TaskID]ident.WorkerID{},
	}
	s.cell.SetTable(table.New(1, rows))
	for _, r := range rows {
		s.names = append(s.names, r.Name)
		s.kinds = append(s.kinds, r.Kind)
		// One task of each class is submitted and cancelled, so that the cell numbers the classes in this order.
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
	s.pendingOf[p.Task] = p
	s.work[p.Task] = run
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
		s.tasks[e.Task].stopsAt = s.now.Add(simStop)
		s.evictions++
		s.maxEvicts = max(s.maxEvicts, s.tasks[e.Task].p.Evictions+1)
		s.awaited[e.Beneficiary] = e.Worker
	}
	for _, t := range p.Throttles {
		s.tasks[t.Task].fraction = t.Fraction
	}
	for _, st := range p.Starts {
		pending := s.pendingOf[st.Task]
		if w, ok := s.awaited[st.Task]; ok && w != st.Worker {
			s.misplaced++
		}
		delete(s.awaited, st.Task)
		s.tasks[st.Task] = &simTask{
			p: pending, class: slices.Index(s.names, pending.Class), worker: st.Worker, cpu: st.Booked.MilliCPU, fraction: 1,
			left: s.work[st.Task],
		}
		s.waits[pending.Class] = append(s.waits[pending.Class], s.now.Sub(pending.SubmittedAt).Seconds())
	}
}

// loads returns the processors in use on each worker by class.
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

// slowdown grows faster than the load, which the estimator's linear model does not.
func (s *simModel) slowdown(t *simTask, loads []float64) float64 {
	if s.truth == nil {
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
		slow += s.truth[t.class][a] * l * (0.6 + 0.6*total)
	}
	return slow
}

func (s *simModel) progress() {
	loads := s.loads()
	for _, id := range sortedKeys(s.tasks) {
		t := s.tasks[id]
		slow := s.slowdown(t, loads[t.worker])
		t.slow += slow
		t.ran++
		t.left -= time.Duration(float64(simStep) * t.fraction / slow)
		cpu := float64(t.cpu) / 1000 * simStep.Seconds()
		s.held[t.p.Class] += cpu
		if s.truth != nil && s.rng.IntN(20) == 0 {
			s.late = append(s.late, simReport{s.now.Add(simLag), placement.Observation{
				Task: id, Slowdown: max(1, slow+0.15*s.rng.NormFloat64()), At: s.now,
			}})
		}
		switch {
		case !t.stopsAt.IsZero() && !s.now.Before(t.stopsAt):
			s.stop(id)
			p := t.p
			p.Attempt++
			p.Evictions++
			s.pendingOf[id] = p
			s.cell.Submit([]placement.Pending{p})
		case t.left <= 0:
			s.stop(id)
			s.done[t.p.Class] += float64(t.cpu) / 1000 * t.p.RunTime.Seconds()
			if t.p.Kind == table.LatencyCritical {
				s.slowdowns = append(s.slowdowns, t.slow/t.ran)
			}
		}
	}
	for len(s.late) > 0 && !s.late[0].at.After(s.now) {
		s.cell.Observe([]placement.Observation{s.late[0].obs})
		s.late = s.late[1:]
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
