package placement_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// replayTick is how often the replay plans, as an owner does while events come.
const replayTick = 10 * time.Millisecond

// replayClass is a stream of jobs of one class.
type replayClass struct {
	name ident.ClassName
	kind table.Kind
	// rate is the number of jobs a second on average, each with groups of tasks that follow one another.
	rate          float64
	groups, tasks int
	run           time.Duration
	// size draws the cores of the tasks of a job.
	size func(rng *rand.Rand) float64
	// large is the number of cores from which a task counts as large.
	large float64
	// objective is set for jobs with a deadline: 1.5 times the run times of their groups, and 0.3 s.
	objective bool
}

// replayLoad is a deployment and its load.
type replayLoad struct {
	workers []int64 // cores
	// serving is the part of the cores that lasting tasks of servingCores hold.
	serving, servingCores float64
	classes               []replayClass
	// demand is the relative rate of arrivals at a time.
	demand func(at time.Duration) float64
	length time.Duration
	// declaredError is by which part declared run times are off, stragglers the part of the tasks that take seven
	// times as long.
	declaredError, stragglers float64
}

// replayJob is a job of the load. Its groups are equal.
type replayJob struct {
	at       time.Duration
	class    *replayClass
	image    string
	need     float64
	declared time.Duration
	// runs holds the run times of the tasks by group.
	runs [][]time.Duration
}

// jobs draws the jobs of a load. Each image has its own mean run time; there are eight of each class.
func (l *replayLoad) jobs(seed uint64) []replayJob {
	rng := rand.New(rand.NewPCG(seed, 3))
	var jobs []replayJob
	for i := range l.classes {
		c := &l.classes[i]
		for at := time.Duration(0); ; {
			at += time.Duration(rng.ExpFloat64() / c.rate / max(l.demand(at), 0.01) * float64(time.Second))
			if at >= l.length {
				break
			}
			image := rng.IntN(8)
			mean := float64(c.run) * (0.6 + 0.1*float64(image)) / 0.95
			j := replayJob{at: at, class: c, image: fmt.Sprint(c.name, image), need: c.size(rng)}
			j.declared = time.Duration(mean * (1 + l.declaredError*(2*rng.Float64()-1)))
			for range c.groups {
				runs := make([]time.Duration, c.tasks)
				for k := range runs {
					took := mean * math.Exp(0.2*rng.NormFloat64())
					if rng.Float64() < l.stragglers {
						took *= 7
					}
					runs[k] = time.Duration(took)
				}
				j.runs = append(j.runs, runs)
			}
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b replayJob) int { return cmp.Compare(a.at, b.at) })
	return jobs
}

// replayResult holds the waits of tasks in seconds.
type replayResult struct {
	large, small   map[ident.ClassName][]float64
	onTime, late   int
	unstarted      int
	starts         []placement.Start
	stats          placement.LookAheadStats
	longest        float64
	invariantError error
}

func total(waits []float64) float64 {
	sum := 0.0
	for _, w := range waits {
		sum += w
	}
	return sum
}

// replayTotals sums up results: the total waits in seconds of the large tasks of the urgent class, of all large and of all
// small tasks.
type replayTotals struct {
	urgentLarge, large, small, longest float64
	onTime, late                       int
	stats                              placement.LookAheadStats
}

func (s *replayTotals) add(r *replayResult) {
	s.urgentLarge += total(r.large["web"])
	s.large += total(r.large["web"]) + total(r.large["etl"])
	s.small += total(r.small["web"]) + total(r.small["etl"])
	s.longest = max(s.longest, r.longest)
	s.onTime += r.onTime
	s.late += r.late
	s.stats.Reserved += r.stats.Reserved
	s.stats.Kept += r.stats.Kept
	s.stats.Elsewhere += r.stats.Elsewhere
	s.stats.Expired += r.stats.Expired
	s.stats.Backfilled += r.stats.Backfilled
	s.stats.Yielded += r.stats.Yielded
	s.stats.Forecasts += r.stats.Forecasts
	s.stats.ForecastError += r.stats.ForecastError
}

func (s replayTotals) String() string {
	return fmt.Sprintf("waits: urgent large %.0f s, all large %.0f s, small %.0f s, longest %.1f s; urgent jobs on time %d of %d; %+v",
		s.urgentLarge, s.large, s.small, s.longest, s.onTime, s.onTime+s.late, s.stats)
}

type replayTask struct {
	job, group, index int
	readyAt, endsAt   time.Duration
}

// replay is one run of a load.
type replay struct {
	cell    *placement.Cell
	jobs    []replayJob
	open    [][]int // tasks left by job and group
	tasks   map[ident.TaskID]*replayTask
	ends    map[time.Duration][]ident.TaskID
	pending map[ident.TaskID]placement.Pending
	now     time.Duration
	result  *replayResult
	// each runs after each tick.
	each func(r *replay)
}

func (l *replayLoad) cell(seed uint64, o placement.Options) *placement.Cell {
	o.Candidates, o.MinThrottle = 64, 1
	c := placement.NewCell(seed, o)
	c.SetTable(table.New(1, []table.Row{
		{Name: "web", Kind: table.LatencyCritical, Weight: 4},
		{Name: "etl", Kind: table.Batch, Weight: 2},
		{Name: "serving", Kind: table.Batch, Weight: 1},
	}))
	rng := rand.New(rand.NewPCG(seed, 5))
	held, total := 0.0, 0.0
	for i, cores := range l.workers {
		id := ident.WorkerID(fmt.Sprint("w", i))
		c.UpsertWorker(placement.Worker{ID: id, Rack: ident.Rack(fmt.Sprint("r", i/20)), Capacity: vec(cores*1000, 125_000, 0)})
		total += float64(cores)
		for used := 0.0; held < total*l.serving && used+l.servingCores <= float64(cores); used += l.servingCores {
			size := l.servingCores * (0.8 + 0.2*rng.Float64())
			p := placement.Pending{
				Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 1, Seq: uint64(1_000_000 + 100*i + int(used))}}, Attempt: 1, Class: "serving",
				Tenant: "s", Need: vec(int64(size*1000), 4000, 0), Lasting: true, Constraints: placement.Constraints{Serving: true, Image: "s"},
			}
			c.Restore(placement.Running{Pending: p, Worker: id, StartedAt: epoch})
			held += size
		}
	}
	return c
}

func (l *replayLoad) run(seed uint64, o placement.Options, each func(*replay)) *replayResult {
	r := &replay{
		cell: l.cell(seed, o), jobs: l.jobs(seed), tasks: map[ident.TaskID]*replayTask{}, ends: map[time.Duration][]ident.TaskID{},
		pending: map[ident.TaskID]placement.Pending{}, each: each,
		result: &replayResult{large: map[ident.ClassName][]float64{}, small: map[ident.ClassName][]float64{}},
	}
	for _, j := range r.jobs {
		left := make([]int, len(j.runs))
		for g := range left {
			left[g] = len(j.runs[g])
		}
		r.open = append(r.open, left)
	}
	next := 0
	for ; r.now < l.length+20*time.Second; r.now += replayTick {
		for _, id := range r.ends[r.now] {
			r.end(id)
		}
		delete(r.ends, r.now)
		for ; next < len(r.jobs) && r.jobs[next].at <= r.now; next++ {
			r.submit(next, 0)
		}
		r.plan()
		if r.each != nil {
			r.each(r)
		}
		if r.now%time.Second == 0 && r.result.invariantError == nil {
			r.result.invariantError = r.cell.CheckInvariants()
		}
	}
	r.result.unstarted = r.cell.Queued()
	r.result.stats = r.cell.LookAhead()
	return r.result
}

func (r *replay) submit(job, group int) {
	j := r.jobs[job]
	var list []placement.Pending
	for i := range j.runs[group] {
		id := ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 1, Seq: uint64(job + 1)}, Index: ident.TaskIndex(group, i)}
		p := placement.Pending{
			Task: id, Attempt: 1, Class: j.class.name, Tenant: "t", Kind: j.class.kind, Need: vec(int64(j.need*1000), 500, 0), RunTime: j.declared,
			Constraints: placement.Constraints{Image: j.image}, SubmittedAt: epoch.Add(r.now),
		}
		if j.class.objective {
			path := j.declared * time.Duration(j.class.groups)
			objective := path*3/2 + 300*time.Millisecond
			p.Deadline = placement.Deadline{
				At: epoch.Add(j.at + objective), Objective: objective, CriticalPath: j.declared * time.Duration(j.class.groups-group),
				JobStarted: group > 0,
			}
		}
		r.tasks[id] = &replayTask{job: job, group: group, index: i, readyAt: r.now}
		r.pending[id] = p
		list = append(list, p)
	}
	r.cell.Submit(list)
}

func (r *replay) plan() {
	for more := true; more; {
		p := r.cell.Plan(epoch.Add(r.now), 64)
		more = p.More
		for _, e := range p.Evictions {
			// The task stops at once and waits again.
			r.cell.Release(e.Task)
			again := r.pending[e.Task]
			again.Attempt++
			again.Evictions++
			r.pending[e.Task] = again
			r.tasks[e.Task].endsAt = 0
			r.tasks[e.Task].readyAt = r.now
			r.cell.Submit([]placement.Pending{again})
			more = true
		}
		for _, s := range p.Starts {
			r.start(s)
		}
	}
}

func (r *replay) start(s placement.Start) {
	t := r.tasks[s.Task]
	j := r.jobs[t.job]
	r.result.starts = append(r.result.starts, s)
	waited := (r.now - t.readyAt).Seconds()
	r.result.longest = max(r.result.longest, waited)
	into := r.result.small
	if j.need >= j.class.large {
		into = r.result.large
	}
	into[j.class.name] = append(into[j.class.name], waited)
	t.endsAt = (r.now + j.runs[t.group][t.index] + replayTick).Truncate(replayTick)
	r.ends[t.endsAt] = append(r.ends[t.endsAt], s.Task)
}

func (r *replay) end(id ident.TaskID) {
	t := r.tasks[id]
	if t == nil || t.endsAt != r.now {
		return
	}
	r.cell.Release(id)
	delete(r.tasks, id)
	delete(r.pending, id)
	j := r.jobs[t.job]
	r.open[t.job][t.group]--
	if r.open[t.job][t.group] > 0 {
		return
	}
	if t.group+1 < len(j.runs) {
		r.submit(t.job, t.group+1)
		return
	}
	if j.class.objective {
		path := j.class.run * time.Duration(j.class.groups)
		if r.now-j.at <= path*3/2+300*time.Millisecond {
			r.result.onTime++
		} else {
			r.result.late++
		}
	}
}
