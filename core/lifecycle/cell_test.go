package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

var (
	testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	capacity  = resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000}
)

// fixture drives one cell. Its records are durable at once unless holdLog is set.
type fixture struct {
	t        *testing.T
	c        *Cell
	now      time.Time
	log      []Record
	commands []Command
	holdLog  bool
}

func newFixture(t *testing.T, epoch ident.Epoch, workers ...ident.WorkerID) *fixture {
	rows := []table.Row{{Name: "batch", Kind: table.Batch, Retries: 2, Tenant: "team"}}
	f := &fixture{t: t, c: NewCell(1, epoch, table.New(1, rows)), now: testStart}
	f.c.SetAuthority(f.now, true, true)
	var members []Member
	for _, id := range workers {
		members = append(members, Member{ID: id})
	}
	f.apply(f.c.Recover(f.now, false, members))
	f.apply(f.c.SetMembers(f.now, members))
	for _, id := range workers {
		f.claim(id, Report{})
	}
	return f
}

func (f *fixture) claim(id ident.WorkerID, r Report) {
	r.Capacity = capacity
	r.Token = "token"
	f.apply(f.c.ClaimAnswered(f.now, id, f.c.NextClaimSeq(), "p1", r))
}

func (f *fixture) apply(eff Effects) {
	f.commands = append(f.commands, eff.Commands...)
	f.log = append(f.log, eff.Records...)
	if len(eff.Records) > 0 && !f.holdLog {
		f.apply(f.c.RecordsCommitted(f.now, eff.Records))
	}
}

func (f *fixture) submit(tasks int) ident.JobID {
	id, eff, err := f.c.Accept(f.now, JobSpec{
		Class: "batch", Groups: []TaskGroup{{Count: tasks, Need: resource.Vector{MilliCPU: 1000}}},
	})
	require.NoError(f.t, err)
	f.apply(eff)
	return id
}

// planStart starts the next attempt of a task as the planner would, and returns the attempt. The start is not answered.
func (f *fixture) planStart(task ident.TaskID, w ident.WorkerID) AttemptID {
	attempt := AttemptID{Task: task, Attempt: f.c.task(task).nextAttempt}
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Starts: []placement.Start{{Task: task, Attempt: attempt.Attempt, Worker: w}}}))
	return attempt
}

func (f *fixture) startTask(task ident.TaskID, w ident.WorkerID) AttemptID {
	attempt := f.planStart(task, w)
	f.apply(f.c.StartAnswered(f.now, w, attempt, Answer{Outcome: Applied}))
	return attempt
}

func (f *fixture) sync(w ident.WorkerID, active []AttemptID, ended ...EndedAttempt) {
	req, ok := f.c.SyncRequest(w)
	require.True(f.t, ok)
	rep := Report{Capacity: capacity, Token: "token", Ended: ended}
	for _, attempt := range active {
		rep.Active = append(rep.Active, ActiveAttempt{AttemptID: attempt})
	}
	f.apply(f.c.SyncAnswered(f.now, w, req.Seq, "p1", req.Acks, rep))
}

func (f *fixture) tickUntil(at time.Time) {
	for {
		next := f.c.NextTick()
		if next.IsZero() || next.After(at) {
			break
		}
		f.now = laterOf(f.now, next)
		f.apply(f.c.Tick(f.now))
	}
	f.now = at
	f.apply(f.c.Tick(at))
}

func (f *fixture) taskView(id ident.JobID, i int) TaskView {
	v, err := f.c.Get(id, i, 1)
	require.NoError(f.t, err)
	return v.Tasks[0]
}

func commandsOf[C Command](f *fixture) []C {
	var out []C
	for _, c := range f.commands {
		if typed, ok := c.(C); ok {
			out = append(out, typed)
		}
	}
	return out
}

// Guards against a false NotRun verdict: an attempt with an unknown outcome may have run, a refused one has not.
func TestCancelVerdictNeedsProof(t *testing.T) {
	for name, tc := range map[string]struct {
		answer *Answer
		end    *End
		want   verdict.Verdict
	}{
		"never sent":               {nil, nil, verdict.NotRun},
		"refused":                  {&Answer{Outcome: Refused, Reason: ReasonCapacity}, nil, verdict.NotRun},
		"unknown":                  {&Answer{}, nil, verdict.MayHaveRun},
		"unknown, then never seen": {&Answer{}, new(End), verdict.NotRun},
		"applied":                  {&Answer{Outcome: Applied}, nil, verdict.MayHaveRun},
		"applied, then never seen": {&Answer{Outcome: Applied}, new(End), verdict.MayHaveRun},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 7, "w1")
			job := f.submit(1)
			task := ident.TaskID{Job: job}
			if tc.answer != nil {
				attempt := f.planStart(task, "w1")
				f.apply(f.c.StartAnswered(f.now, "w1", attempt, *tc.answer))
				eff, _, err := f.c.Cancel(f.now, job)
				require.NoError(t, err)
				f.apply(eff)
				if tc.end != nil {
					ends := []EndedAttempt{{AttemptID: attempt, End: *tc.end}}
					f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{attempt}, Answer{Outcome: Applied}, "p1", ends))
				}
			} else {
				eff, _, err := f.c.Cancel(f.now, job)
				require.NoError(t, err)
				f.apply(eff)
			}
			require.Equal(t, Cancelled, f.taskView(job, 0).State)
			require.Equal(t, tc.want, f.taskView(job, 0).Verdict)
		})
	}
}

// Guards against a restarted worker whose answer counts as proof that its earlier process never ran an attempt.
func TestRestartedWorkerDoesNotProveNotRun(t *testing.T) {
	f := newFixture(t, 7, "w1")
	job := f.submit(1)
	attempt := f.planStart(ident.TaskID{Job: job}, "w1")
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{}))
	f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{attempt}, Answer{Outcome: Applied}, "p2", []EndedAttempt{{AttemptID: attempt}}))
	eff, _, err := f.c.Cancel(f.now, job)
	require.NoError(t, err)
	f.apply(eff)
	require.Equal(t, verdict.MayHaveRun, f.taskView(job, 0).Verdict)
}

// Guards against a task that runs twice: a silent worker's task is moved only 11 s after the newest token sent to it.
func TestSilentWorkerCountsAsRunningUntilLapse(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	job := f.submit(1)
	attempt := f.startTask(ident.TaskID{Job: job}, "w1")
	f.now = f.now.Add(2 * time.Second)
	f.sync("w1", []AttemptID{attempt})
	f.now = f.now.Add(2 * time.Second)
	_, ok := f.c.SyncRequest("w1") // sends the token that arrived at 2 s; its answer is lost
	require.True(t, ok)
	f.c.CallFailed("w1")
	f.tickUntil(testStart.Add(13*time.Second - time.Millisecond))
	require.Equal(t, Running, f.taskView(job, 0).State)
	f.tickUntil(testStart.Add(13 * time.Second))
	require.Equal(t, Queued, f.taskView(job, 0).State)
}

// Guards against a task that runs twice after a change of owner: tasks that may run on a worker that has not answered
// are held, even if the predecessor is not known to have stopped.
func TestRecoveryHoldsUnlocatedTasks(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	job := old.submit(2)
	old.planStart(ident.TaskID{Job: job}, "w1")

	f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
	for _, r := range old.log {
		f.c.Replay(r)
	}
	f.c.SetAuthority(f.now, true, false)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}, {ID: "w2"}}))
	f.claim("w2", Report{})
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(time.Minute))
	require.True(t, f.c.Recovering())
	require.Empty(t, commandsOf[Enqueue](f))

	f.apply(f.c.SetAuthority(f.now, true, true))
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin - time.Millisecond))
	require.True(t, f.c.Recovering())
	f.tickUntil(f.now.Add(time.Millisecond))
	require.False(t, f.c.Recovering())
	queued := commandsOf[Enqueue](f)
	require.Len(t, queued, 1)
	require.Len(t, queued[0].Tasks, 2)
	// The new owner must not reuse the number of the predecessor's unlogged attempt 1.
	require.Greater(t, queued[0].Tasks[0].Attempt, ident.Attempt(attemptStride))
	eff, _, err := f.c.Cancel(f.now, job)
	require.NoError(t, err)
	f.apply(eff)
	require.Equal(t, verdict.MayHaveRun, f.taskView(job, 1).Verdict)
}

// Guards against a task that runs twice after a change of owner: the end of one attempt does not exclude a later
// attempt on a worker that has not answered.
func TestRecoveryHoldsTaskWhoseOldAttemptEnded(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	job := old.submit(1)
	f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
	for _, r := range old.log {
		f.c.Replay(r)
	}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}, {ID: "w2"}}))
	task := ident.TaskID{Job: job}
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: AttemptID{Task: task, Attempt: 1}, End: EndLapsed}}})
	require.Empty(t, commandsOf[Enqueue](f))
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: AttemptID{Task: task, Attempt: 2}}}})
	require.Empty(t, commandsOf[Enqueue](f))
	require.Equal(t, Running, f.taskView(job, 0).State)
	require.Equal(t, ident.WorkerID("w2"), f.taskView(job, 0).Worker)
}

// Guards against an owner in doubt that moves tasks whose leases its successor may be renewing.
func TestOwnerInDoubtMovesNothing(t *testing.T) {
	f := newFixture(t, 7, "w1")
	job := f.submit(1)
	f.startTask(ident.TaskID{Job: job}, "w1")
	f.apply(f.c.SetAuthority(f.now, false, true))
	f.tickUntil(f.now.Add(time.Minute))
	require.Equal(t, Running, f.taskView(job, 0).State)
}

// Guards against an evicted task that resumes before its checkpoint and the attempt that consumes it are durable, or
// that resumes twice.
func TestEvictionResumesAfterDurableRecords(t *testing.T) {
	f := newFixture(t, 7, "w1")
	job := f.submit(1)
	task := ident.TaskID{Job: job}
	attempt := f.startTask(task, "w1")
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Worker: "w1"}}}))
	f.holdLog = true
	e := EndedAttempt{AttemptID: attempt, End: EndEvicted, Checkpoint: Checkpoint{ID: "c1"}}
	f.apply(f.c.CheckpointAnswered(f.now, "w1", attempt, Answer{Outcome: Applied}, e))
	f.sync("w1", nil, e) // the same end again
	require.IsType(t, TaskEvicted{}, f.log[len(f.log)-1])
	f.commands = nil
	f.apply(f.c.Tick(f.now))
	require.Empty(t, commandsOf[Enqueue](f))

	f.apply(f.c.RecordsCommitted(f.now, f.log[len(f.log)-1:]))
	require.Len(t, commandsOf[Enqueue](f), 1)
	next := f.planStart(task, "w1")
	require.Empty(t, commandsOf[StartTask](f))
	f.apply(f.c.RecordsCommitted(f.now, f.log[len(f.log)-1:]))
	starts := commandsOf[StartTask](f)
	require.Len(t, starts, 1)
	require.Equal(t, next, starts[0].AttemptID)
	require.Equal(t, "c1", starts[0].Checkpoint)
}

// Guards against charging jobs for the failures of a worker that fails everything.
func TestQuarantinesWorkerThatFailsEverything(t *testing.T) {
	f := newFixture(t, 7, "bad", "good")
	for i := range 3 {
		job := f.submit(1)
		attempt := f.startTask(ident.TaskID{Job: job}, "bad")
		f.sync("bad", nil, EndedAttempt{AttemptID: attempt, End: EndFailed})
		require.Equal(t, i == 2, f.c.workers["bad"].health.quarantined)
	}
	for range firstProbePause / time.Second {
		f.sync("bad", nil)
		f.tickUntil(f.now.Add(time.Second))
	}
	puts := commandsOf[PutWorker](f)
	require.True(t, puts[len(puts)-1].Worker.AcceptsProbe)
	attempt := f.startTask(ident.TaskID{Job: f.submit(1)}, "bad")
	f.sync("bad", nil, EndedAttempt{AttemptID: attempt, End: EndDone})
	require.False(t, f.c.workers["bad"].health.quarantined)
}

// Guards against a job that fails on every worker and either quarantines good workers or is retried without end.
func TestJobThatFailsEverywhereStops(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	for _, w := range []ident.WorkerID{"w1", "w2"} {
		attempt := f.startTask(ident.TaskID{Job: f.submit(1)}, w)
		f.sync(w, nil, EndedAttempt{AttemptID: attempt, End: EndDone})
	}
	bad := f.submit(4)
	for failures := range 3 {
		for i := range uint32(4) {
			w := []ident.WorkerID{"w1", "w2"}[(failures+int(i))%2]
			attempt := f.startTask(ident.TaskID{Job: bad, Index: i}, w)
			f.sync(w, nil, EndedAttempt{AttemptID: attempt, End: EndFailed, Message: "exit 1"})
		}
		f.now = f.now.Add(maxBackoff)
	}
	v, err := f.c.Get(bad, 0, 0)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State)
	require.Equal(t, verdict.Ran, v.Verdict)
	require.False(t, f.c.workers["w1"].health.quarantined)
	require.False(t, f.c.workers["w2"].health.quarantined)
}

// Guards against records whose replay over a later snapshot changes the state.
func TestReplayIsIdempotentOverSnapshot(t *testing.T) {
	f := newFixture(t, 7, "w1")
	job := f.submit(3)
	attempt := f.startTask(ident.TaskID{Job: job}, "w1")
	f.sync("w1", nil, EndedAttempt{AttemptID: attempt, End: EndFailed, Message: "exit 1"})
	attempt = f.startTask(ident.TaskID{Job: job, Index: 1}, "w1")
	f.sync("w1", nil, EndedAttempt{AttemptID: attempt, End: EndDone})
	eff, _, err := f.c.Cancel(f.now, job)
	require.NoError(t, err)
	f.apply(eff)

	restored := NewCell(1, 8, f.c.table)
	restored.RestoreSnapshot(f.c.Snapshot(f.now, false))
	for _, rec := range f.log {
		restored.Replay(rec)
	}
	want, err := f.c.Get(job, 0, 3)
	require.NoError(t, err)
	got, err := restored.Get(job, 0, 3)
	require.NoError(t, err)
	require.Equal(t, want.Counts, got.Counts)
	for i := range want.Tasks {
		require.Equal(t, want.Tasks[i].Verdict, got.Tasks[i].Verdict, "task %d", i)
		require.Equal(t, want.Tasks[i].Failures, got.Tasks[i].Failures, "task %d", i)
	}
}

// Guards against the cancellation of a large job that sends one call for each task.
func TestCancellationSendsOneStopPerWorker(t *testing.T) {
	f := newFixture(t, 7, "w1")
	job := f.submit(10_000)
	for i := range uint32(500) {
		f.startTask(ident.TaskID{Job: job, Index: i}, "w1")
	}
	f.commands = nil
	eff, _, err := f.c.Cancel(f.now, job)
	require.NoError(t, err)
	f.apply(eff)
	stops := commandsOf[StopTasks](f)
	require.Len(t, stops, 1)
	require.Len(t, stops[0].Attempts, 500)
	require.Len(t, commandsOf[Dequeue](f)[0].Tasks, 9500)
}

// Guards against work for all workers in each event: the owner calls Tick after every event, so that sorting the
// workers in each Tick delayed urgent work during a wave of events.
func TestTickOfIdleWorkersAllocatesNothing(t *testing.T) {
	var ids []ident.WorkerID
	for i := range 133 {
		ids = append(ids, ident.WorkerID(fmt.Sprintf("w%d", i)))
	}
	f := newFixture(t, 7, ids...)
	require.Zero(t, testing.AllocsPerRun(100, func() { f.c.Tick(f.now) }))
}

func BenchmarkCancelWave(b *testing.B) {
	for range b.N {
		b.StopTimer()
		f := &fixture{now: testStart, c: NewCell(1, 7, table.New(1, []table.Row{{Name: "batch"}}))}
		id, eff, _ := f.c.Accept(f.now, JobSpec{
			Class: "batch", Groups: []TaskGroup{{Count: 10_000, Need: resource.Vector{MilliCPU: 1}}},
		})
		f.apply(eff)
		b.StartTimer()
		eff, _, _ = f.c.Cancel(f.now, id)
		f.apply(eff)
	}
}

// Guards against a task that waits for ever because it avoids the only worker left.
func TestAvoidNeverCoversEveryWorker(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	job := f.submit(1)
	attempt := f.startTask(ident.TaskID{Job: job}, "w1")
	f.sync("w1", nil, EndedAttempt{AttemptID: attempt, End: EndFailed})
	f.now = f.now.Add(firstBackoff)
	f.apply(f.c.Tick(f.now))
	queued := commandsOf[Enqueue](f)
	require.Equal(t, []ident.WorkerID{"w1"}, queued[len(queued)-1].Tasks[0].Avoid)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "w2", Leaving: true}}))
	queued = commandsOf[Enqueue](f)
	require.Empty(t, queued[len(queued)-1].Tasks[0].Avoid)
}

// Guards against a task that waits for ever because it avoids the only workers on which it may run, among others that
// are too small or have another pool or label.
func TestAvoidNeverCoversEveryWorkerThatSuits(t *testing.T) {
	small := resource.Vector{MilliCPU: 8000, MemoryMB: 8000}
	for name, tc := range map[string]struct {
		spec   JobSpec
		suited Member
	}{
		"pool":  {JobSpec{Pool: "a"}, Member{Pool: "a"}},
		"label": {JobSpec{Groups: []TaskGroup{{Constraints: placement.Constraints{Label: "ssd"}}}}, Member{Labels: "fast ssd"}},
		"size":  {JobSpec{Groups: []TaskGroup{{Need: resource.Vector{MilliCPU: 9000}}}}, Member{Capacity: capacity}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 7, "w1", "w2", "w3", "w4", "w5", "w6")
			var members []Member
			for _, id := range []ident.WorkerID{"w1", "w2"} {
				m := tc.suited
				m.ID = id
				members = append(members, m)
			}
			for _, id := range []ident.WorkerID{"w3", "w4", "w5", "w6"} {
				members = append(members, Member{ID: id, Pool: "b", Labels: "fast", Capacity: small})
			}
			f.apply(f.c.SetMembers(f.now, members))
			spec := tc.spec
			if spec.Class = "batch"; spec.Groups == nil {
				spec.Groups = []TaskGroup{{}}
			}
			spec.Groups[0].Count = 1
			if spec.Groups[0].Need.IsZero() {
				spec.Groups[0].Need = resource.Vector{MilliCPU: 1000}
			}
			task := ident.TaskID{Job: f.accept(spec)}
			for _, w := range []ident.WorkerID{"w1", "w2"} {
				f.sync(w, nil, EndedAttempt{AttemptID: f.startTask(task, w), End: EndFailed})
				for range 2 {
					for _, m := range members {
						f.sync(m.ID, nil)
					}
					f.tickUntil(f.now.Add(firstBackoff))
				}
				queued := commandsOf[Enqueue](f)
				require.Equal(t, []ident.WorkerID{w}, queued[len(queued)-1].Tasks[0].Avoid)
			}
		})
	}
}
