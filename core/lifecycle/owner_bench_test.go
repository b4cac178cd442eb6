package lifecycle

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// The load on a cell of loadWorkers workers, taken from a recording of a saturated owner. It scales with the number of
// workers.
const (
	loadWorkers        = 350
	loadJobsPerSecond  = 65
	loadTasksPerJob    = 12
	loadSyncsPerSecond = 1500
	loadLastingTasks   = 1600
	loadLastingPerJob  = 16
	loadPeriod         = 10 * time.Millisecond
	loadCommitInterval = 20 * time.Millisecond
	loadRunTime        = 2 * time.Second
	loadImages         = 10
	loadStartsPerPlan  = 64
)

// loadedWorker is a worker that answers every call at once.
type loadedWorker struct {
	id      ident.WorkerID
	running []ActiveAttempt
	endsAt  []time.Time
	ended   []EndedAttempt
	report  []ActiveAttempt
}

// loadedCell is a cell with its planner under a steady load. It has its own clock and calls the cell as the event loop
// of an owner does.
type loadedCell struct {
	b           testing.TB
	c           *Cell
	planner     *placement.Cell
	rng         *rand.Rand
	now         time.Time
	workers     []*loadedWorker
	byID        map[ident.WorkerID]*loadedWorker
	nextWorker  int
	records     []Record
	committedAt time.Time
	plannedAt   time.Time
	unanswered  []StartTask
	lastJob     int
	dueSyncs    float64
	dueJobs     float64
	// events, starts and finished count what happened. planTime is the time spent in the planner.
	events, starts, finished int
	planTime                 time.Duration
	// digest covers every command if digestCommands is set, so that two versions of the code can be compared.
	digest         uint64
	digestCommands bool
}

func newLoadedCell(b testing.TB, workers int) *loadedCell {
	l := &loadedCell{
		b: b, now: testStart, rng: rand.New(rand.NewPCG(1, 2)), byID: make(map[ident.WorkerID]*loadedWorker),
		c: NewCell(1, 7, table.New(1, []table.Row{
			{Name: "serve", Kind: table.LatencyCritical, Tenant: "a"},
			{Name: "fill", Kind: table.Batch, Tenant: "b", Retries: 3},
			{Name: "batch", Kind: table.Batch, Tenant: "c", Retries: 3},
		})),
		planner: placement.NewCell(1, placement.Options{Cell: 1, Candidates: 64, BackfillDepth: 512, MinThrottle: 1}),
	}
	l.c.SetPolicy(Policy{
		LeaseDuration: 6 * time.Second, LeaseMargin: 240 * time.Millisecond, SilentAfter: 2 * time.Second,
		FirstBackoff: time.Second, MaxBackoff: time.Minute, StopRepeatDelay: time.Second, SyncRenewsAll: true, ChargeAllFailures: true,
	})
	l.c.SetAuthority(l.now, true, true)
	var members []Member
	for i := range workers {
		w := &loadedWorker{id: ident.WorkerID(fmt.Sprintf("worker-%05d", i))}
		l.workers = append(l.workers, w)
		l.byID[w.id] = w
		members = append(members, Member{ID: w.id, Rack: ident.Rack(fmt.Sprint(i / 8)), Capacity: capacity})
	}
	l.apply(l.c.Recover(l.now, false, members))
	for _, w := range l.workers {
		l.apply(l.c.ClaimAnswered(l.now, w.id, l.c.NextClaimSeq(), "p1", Report{Token: "token"}))
	}
	l.commit()
	for n := 0; n < loadLastingTasks*workers/loadWorkers; n += loadLastingPerJob {
		l.submit(l.lastingJob())
	}
	for range 500 {
		l.period()
	}
	return l
}

func (l *loadedCell) lastingJob() JobSpec {
	l.lastJob++
	return JobSpec{Class: "serve", ClientNumber: uint64(l.lastJob), Groups: []TaskGroup{{
		Count: loadLastingPerJob, Need: resource.Vector{MilliCPU: 10_000, MemoryMB: 20_000}, Command: "serve", Lasting: true,
		Volatile: true, TailTarget: 100 * time.Millisecond,
		Constraints: placement.Constraints{Serving: true, Image: fmt.Sprintf("serve-%d", l.lastJob%loadImages)},
	}}}
}

// batchJob returns a job of three dependent groups. Two out of three jobs are fillers.
func (l *loadedCell) batchJob() JobSpec {
	l.lastJob++
	class, need := ident.ClassName("fill"), resource.Vector{MilliCPU: 7000, MemoryMB: 2000}
	if l.lastJob%3 == 0 {
		class, need = "batch", resource.Vector{MilliCPU: 1000, MemoryMB: 2000}
	}
	s := JobSpec{Class: class, ClientNumber: uint64(l.lastJob), FailFast: true, Stretch: 5, Grace: time.Second}
	for g := range 3 {
		group := TaskGroup{
			Count: loadTasksPerJob / 3, Need: need, Command: "work", RunTime: loadRunTime,
			Constraints: placement.Constraints{Filler: class == "fill", Image: fmt.Sprintf("%s-%d", class, l.lastJob%loadImages)},
		}
		if g > 0 {
			group.After = []int{g - 1}
		}
		s.Groups = append(s.Groups, group)
	}
	return s
}

func (l *loadedCell) submit(s JobSpec) {
	_, eff, err := l.c.Accept(l.now, s)
	require.NoError(l.b, err)
	l.apply(eff)
	l.afterEvent()
}

// period simulates loadPeriod.
func (l *loadedCell) period() {
	scale := float64(len(l.workers)) / loadWorkers * loadPeriod.Seconds()
	for l.dueJobs += loadJobsPerSecond * scale; l.dueJobs >= 1; l.dueJobs-- {
		l.submit(l.batchJob())
	}
	for l.dueSyncs += loadSyncsPerSecond * scale; l.dueSyncs >= 1; l.dueSyncs-- {
		l.sync(l.workers[l.nextWorker])
		// The workers sync in an order that differs from that of their ids.
		l.nextWorker = (l.nextWorker + 37) % len(l.workers)
	}
	answers := l.unanswered
	l.unanswered = nil
	for _, s := range answers {
		l.apply(l.c.StartAnswered(l.now, s.Worker, s.AttemptID, Answer{Outcome: Applied}))
		l.afterEvent()
	}
	if l.now.Sub(l.committedAt) >= loadCommitInterval {
		l.commit()
	}
	l.now = l.now.Add(loadPeriod)
}

func (l *loadedCell) commit() {
	l.committedAt = l.now
	for len(l.records) > 0 {
		records := l.records
		l.records = nil
		l.apply(l.c.RecordsCommitted(l.now, records))
		l.afterEvent()
	}
}

// afterEvent does what the event loop does after each event.
func (l *loadedCell) afterEvent() {
	l.events++
	l.apply(l.c.Tick(l.now))
	if l.now.Sub(l.plannedAt) >= loadPeriod {
		l.plannedAt = l.now
		began := time.Now()
		p := l.planner.Plan(l.now, loadStartsPerPlan)
		l.planTime += time.Since(began)
		l.starts += len(p.Starts)
		l.apply(l.c.ApplyPlan(l.now, p))
	}
	l.c.TakeChangedJobs()
	l.finished += len(l.c.TakeFinishedJobs())
	l.c.NextTick()
}

// sync answers a sync of a worker with all of its attempts and a measurement for each running one.
func (l *loadedCell) sync(w *loadedWorker) {
	for i := 0; i < len(w.running); {
		if w.endsAt[i].IsZero() || l.now.Before(w.endsAt[i]) {
			i++
			continue
		}
		w.ended = append(w.ended, EndedAttempt{AttemptID: w.running[i].AttemptID, End: EndDone})
		last := len(w.running) - 1
		w.running[i], w.endsAt[i] = w.running[last], w.endsAt[last]
		w.running, w.endsAt = w.running[:last], w.endsAt[:last]
	}
	l.c.AcksAwaitLog(w.id)
	req, ok := l.c.SyncRequest(w.id)
	require.True(l.b, ok)
	for _, attempt := range req.Acks {
		for i := range w.ended {
			if w.ended[i].AttemptID == attempt {
				w.ended = append(w.ended[:i], w.ended[i+1:]...)
				break
			}
		}
	}
	w.report = w.report[:0]
	for i, a := range w.running {
		a.Measurement = 3000 + 4000*l.rng.Float64()
		if w.endsAt[i].IsZero() {
			a.Measurement = 30 + 50*l.rng.Float64()
		}
		w.report = append(w.report, a)
	}
	l.apply(l.c.SyncAnswered(l.now, w.id, req.Seq, "p1", req.Acks, Report{Token: "token", Active: w.report, Ended: w.ended}))
	l.afterEvent()
}

func (l *loadedCell) apply(eff Effects) {
	l.records = append(l.records, eff.Records...)
	for _, command := range eff.Commands {
		if l.digestCommands {
			h := fnv.New64a()
			_, _ = fmt.Fprintf(h, "%d %T%+v", l.digest, command, command)
			l.digest = h.Sum64()
		}
		l.perform(command)
	}
}

func (l *loadedCell) perform(command Command) {
	began := time.Now()
	switch c := command.(type) {
	case Enqueue:
		l.planner.Submit(c.Tasks)
	case Dequeue:
		for _, id := range c.Tasks {
			l.planner.Cancel(id)
		}
	case Release:
		l.planner.Release(c.Task)
	case Restore:
		l.planner.Restore(c.Running)
	case PutWorker:
		l.planner.UpsertWorker(c.Worker)
	case Observe:
		l.planner.Observe(c.Observations)
	case StartTask:
		w := l.byID[c.Worker]
		w.running = append(w.running, ActiveAttempt{AttemptID: c.AttemptID})
		until := time.Time{}
		if c.Class != "serve" {
			until = l.now.Add(loadRunTime/2 + time.Duration(l.rng.Int64N(int64(loadRunTime))))
		}
		w.endsAt = append(w.endsAt, until)
		l.unanswered = append(l.unanswered, c)
	case ThrottleTask:
		l.apply(l.c.ThrottleAnswered(c.Worker, c.AttemptID, c.Fraction, Answer{Outcome: Applied}))
	}
	l.planTime += time.Since(began)
}

// BenchmarkOwner measures the decisions of an owner. One operation is 10 ms of a loaded cell, so ns/op / 1e7 is the
// fraction of a core that they use. Run it with go test -run '^$' -bench Owner -benchtime 1000x ./core/lifecycle.
func BenchmarkOwner(b *testing.B) {
	for _, workers := range []int{loadWorkers, 4 * loadWorkers} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			l := newLoadedCell(b, workers)
			l.events, l.starts, l.finished, l.planTime = 0, 0, 0, 0
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				l.period()
			}
			b.StopTimer()
			seconds := float64(b.N) * loadPeriod.Seconds()
			running := 0
			for _, w := range l.workers {
				running += len(w.running)
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(l.events), "ns/event")
			b.ReportMetric(b.Elapsed().Seconds()/seconds, "core")
			b.ReportMetric(l.planTime.Seconds()/seconds, "planner-core")
			b.ReportMetric(float64(l.events)/seconds, "events/s")
			b.ReportMetric(float64(l.starts)/seconds, "starts/s")
			b.ReportMetric(float64(running), "running")
		})
	}
}

// Guards against commands that depend on map order: equal events must give equal commands. The logged digest changes
// whenever a change of the cell or the planner changes a decision.
func TestEqualEventsGiveEqualCommands(t *testing.T) {
	run := func() *loadedCell {
		l := newLoadedCell(t, 35)
		l.digestCommands = true
		for range 700 {
			l.period()
		}
		return l
	}
	first, second := run(), run()
	require.NotZero(t, first.finished)
	require.Equal(t, first.digest, second.digest)
	t.Logf("%d starts, %d jobs finished, digest %x", first.starts, first.finished, first.digest)
}
