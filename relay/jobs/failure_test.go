package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// scenario runs f in a synctest bubble, on a cell with the given number of workers and one owner.
func scenario(t *testing.T, workers int, f func(fx *fixture, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, workers)
		defer fx.close()
		h := fx.host()
		fx.giveCell(h)
		f(fx, h)
	})
}

// Guards against jobs that do not finish although nothing fails.
func TestJobsFinish(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		a := h.submit(spec("batch", 30, ""))
		b := h.submit(spec("urgent", 3, "work=1s"))
		h.awaitDone(10*time.Minute, a, b)
		fx.verify(h, a, b)
		require.Equal(t, verdict.Ran, h.get(a).Verdict)
	})
}

// Guards against tasks that are lost or run twice when the owner dies and its successor rebuilds the state from the
// log and the reports of the workers.
func TestOwnerDies(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 30, ""))
		time.Sleep(15 * time.Second)
		fx.kill(h)
		next := fx.host()
		fx.giveCell(next)
		next.awaitDone(10*time.Minute, id)
		fx.verify(next, id)
	})
}

// Guards against a replaced owner that still assumes full authority: the store and the workers must refuse its calls.
func TestStaleOwnerKeepsSending(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 30, ""))
		time.Sleep(5 * time.Second)
		next := fx.host()
		fx.giveCell(next)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		next.awaitDone(10*time.Minute, id)
		fx.verify(next, id)
		require.EqualValues(t, 1, h.svc.Stats().ReplacedOwners.Load())
	})
}

// Guards against calls of a paused owner that are delivered after a successor has moved its tasks. The successor
// cannot reach one worker, so that only leases and lease tokens protect it: the worker must refuse the delayed
// starts.
func TestOwnerPausedPastItsLease(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		time.Sleep(5 * time.Second)
		h.link.Pause()
		held := h.submit(spec("batch", 4, "work=60s"))
		time.Sleep(9 * time.Second)
		next := fx.host()
		next.link.SetCut("w0", true)
		fx.giveCell(next)
		time.Sleep(20 * time.Second)
		require.Equal(t, 4, next.get(held).Counts[lifecycle.Running])
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		h.link.Resume()
		time.Sleep(20 * time.Second)
		next.link.SetCut("w0", false)
		next.awaitDone(10*time.Minute, held)
		fx.verify(next, held)
	})
}

// Guards against two owners that renew leases during a partition. The successor must not move the tasks of a worker
// that it cannot reach while the predecessor may still renew them.
func TestPartitionedPredecessorKeepsItsTasks(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=60s"))
		time.Sleep(5 * time.Second)
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		h.link.SetCut("w1", true)
		time.Sleep(5 * time.Second) // let the syncs with w1 end, which would reveal the successor to h
		next := fx.host()
		next.link.SetCut("w0", true)
		fx.giveCellShare(next, 1)
		time.Sleep(30 * time.Second)
		require.True(t, next.svc.Recovering(cell))
		require.Equal(t, 4, fx.fleet["w0"].RunningTasks(), "the predecessor renews the leases that it can reach")
		next.link.SetCut("w0", false)
		next.awaitDone(10*time.Minute, id)
		fx.verify(next, id)
	})
}

// Guards against an owner that resumes from a pause and renews leases for the whole time allowed in doubt, counted
// from its resumption. Its successor counts from the end of the owner's lease.
func TestResumedOwnerInDoubtRenewsNoLease(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		h = fx.withDoubtLimit(h, 5*time.Second)
		h.submit(spec("batch", 4, "work=60s"))
		time.Sleep(5 * time.Second)
		require.Equal(t, 4, fx.fleet["w0"].RunningTasks())
		h.setGrant(func(g *ownership.Grant) {
			g.Authority, g.ShareShift, g.DoubtSince = ownership.InDoubt, 1, time.Now().Add(-6*time.Second)
		})
		time.Sleep(lifecycle.DefaultPolicy().LeaseDuration + time.Second)
		require.Zero(t, fx.fleet["w0"].RunningTasks(), "no lease was renewed after the limit")
	})
}

// Guards against an owner that places filler tasks where its predecessor had learnt that they do harm, and against an
// owner that cannot start because the stored estimates are unreadable.
func TestSuccessorRestoresEstimates(t *testing.T) {
	for _, broken := range []bool{false, true} {
		scenario(t, 1, func(fx *fixture, h *host) {
			fx.kill(h)
			first, tails := fx.learningHost()
			// Set the estimates before the host owns the cell, because from then on the planner uses them concurrently.
			tails.Learn(0, []placement.Load{{Class: 0, Part: 0.8}}, 1.8, 0.03)
			want, _ := tails.Expect(0, 0)
			fx.giveCell(first)
			s := spec("batch", 1, "work=60s")
			s.Groups[0].Constraints.Image = "etl"
			first.submit(s)
			time.Sleep(5 * time.Second)
			fx.kill(first)
			if broken {
				_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/cell/%d/learnt", cell), Value: []byte{0xff}}})
				require.NoError(t, err)
				want = 0.1
			}
			next, restored := fx.learningHost()
			fx.giveCell(next)
			got, _ := restored.Expect(0, 0)
			require.InDelta(t, want, got, 1e-6)
		})
	}
}

// Guards against tasks that stop during a store outage, and against a false verdict for a job that is submitted
// during it.
func TestStoreDownForLong(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 24, ""))
		time.Sleep(time.Second)
		fx.engine.SetFault(kv.Fault{Down: true})
		start := time.Now()
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.LessOrEqual(t, time.Since(start), 5*time.Second)
		time.Sleep(5 * time.Minute)
		done := 0
		for _, e := range fx.recorder.Executions() {
			if e.Stopped && e.End == lifecycle.EndDone {
				done++
			}
		}
		require.Equal(t, 24, done, "accepted work completes while the store is down")
		fx.engine.SetFault(kv.Fault{})
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
		list, err := h.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Len(t, list, 1, "the job that was refused must not exist")
	})
}

// Guards against jobs that wait for a store that is known to be down, and against refusing a repeat while its first
// submission may still be written.
func TestNewJobsAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		h.svc = h.withStallLimit(400 * time.Millisecond)
		fx.giveCell(h)
		fx.engine.SetFault(kv.Fault{Down: true})
		first := spec("batch", 1, "work=1s")
		first.ClientNumber = 7
		var outcome error
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, outcome = h.svc.Submit(bg, cell, first)
		}()
		time.Sleep(time.Second)
		start := time.Now()
		second := first
		second.ClientNumber = 8
		_, err := h.svc.Submit(bg, cell, second)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.Equal(t, verdict.CodeLimited, verdict.FromError(err).Code)
		require.Less(t, time.Since(start), 100*time.Millisecond)
		fx.engine.SetFault(kv.Fault{})
		id, err := h.svc.Submit(bg, cell, first)
		require.NoError(t, err, "the repeat waits for the record of the first submission")
		<-done
		require.NoError(t, outcome)
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
	})
}

// Guards against a lost answer of the store that duplicates or loses a record, and against a safe repeat that creates
// a second job.
func TestAnswerLostAfterAppend(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		time.Sleep(time.Second)
		fx.engine.SetFault(kv.Fault{LoseAfter: 1})
		a := h.submit(spec("batch", 4, ""))
		fx.engine.SetFault(kv.Fault{LoseBefore: 1})
		b := h.submit(spec("batch", 4, ""))
		// The write takes effect long after its caller has given up.
		fx.engine.SetFault(kv.Fault{Delay: 20 * time.Second})
		s := spec("batch", 4, "")
		s.ClientToken = "client-1"
		_, err := h.svc.Submit(bg, cell, s)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		fx.engine.SetFault(kv.Fault{})
		c := h.submit(s)
		h.awaitDone(10*time.Minute, a, b, c)
		fx.verify(h, a, b, c)
		list, err := h.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Len(t, list, 3)
	})
}

// Guards against tasks that are lost with their worker, or that start elsewhere while the worker may still run them.
func TestWorkersLost(t *testing.T) {
	for name, lose := range map[string]func(fx *fixture, h *host){
		"crash": func(fx *fixture, _ *host) { fx.fleet["w0"].Crash() },
		"rack unreachable": func(_ *fixture, h *host) {
			h.link.SetCut("w0", true)
			h.link.SetCut("w1", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 4, func(fx *fixture, h *host) {
				id := h.submit(spec("batch", 16, "work=40s"))
				time.Sleep(5 * time.Second)
				lose(fx, h)
				h.awaitDone(10*time.Minute, id)
				fx.verify(h, id)
			})
		})
	}
}

// Guards against a worker that fails every task and thereby uses up the retries of jobs.
func TestWorkerThatFailsEverything(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		fx.fleet["w0"].SetFault(worker.Fault{FailAll: true})
		var ids []lifecycle.JobView
		for range 12 {
			id := h.submit(spec("batch", 2, "work=2s"))
			ids = append(ids, lifecycle.JobView{Job: id})
		}
		for _, v := range ids {
			h.awaitDone(10*time.Minute, v.Job)
			fx.verify(h, v.Job)
		}
		failed := 0
		for _, e := range fx.recorder.Executions() {
			if e.End == lifecycle.EndFailed {
				failed++
			}
		}
		require.Less(t, failed, 12, "a quarantined worker gets single probes only")
		require.Equal(t, 1, fx.decisions.count(jobs.EventQuarantined))
		require.Zero(t, fx.decisions.count(jobs.EventTrusted))
		fx.fleet["w0"].SetFault(worker.Fault{})
		for tries := 0; tries < 100 && fx.decisions.count(jobs.EventTrusted) == 0; tries++ {
			h.awaitDone(10*time.Minute, h.submit(spec("batch", 12, "work=2s")))
		}
		require.Equal(t, 1, fx.decisions.count(jobs.EventTrusted))
	})
}

// Guards against a job that fails on every worker and is retried for ever, or keeps workers from other jobs.
func TestJobThatFailsEverywhere(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		bad := h.submit(spec("batch", 6, "fail=exit 1"))
		good := h.submit(spec("batch", 12, ""))
		h.awaitDone(10*time.Minute, good)
		time.Sleep(5 * time.Minute)
		v := h.get(bad)
		require.Equal(t, lifecycle.Failed, v.State)
		require.Equal(t, "exit 1", v.Tasks[0].Reason)
		fx.verify(h, bad, good)
	})
}

// Guards against the cancellation of a large job that delays other jobs, leaves tasks running or reports a false
// NotRun.
func TestCancellationWave(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		wave := h.submit(spec("batch", 10_000, "work=1h"))
		time.Sleep(time.Second)
		require.NoError(t, h.svc.Cancel(bg, wave))
		next := h.submit(spec("urgent", 3, "work=1s"))
		h.awaitDone(2500*time.Millisecond, next)
		v := h.get(wave)
		require.Equal(t, lifecycle.Cancelled, v.State)
		require.Equal(t, verdict.MayHaveRun, v.Tasks[0].Verdict)
		require.Equal(t, verdict.NotRun, v.Tasks[999].Verdict)
		fx.verify(h, wave, next)
		for _, x := range fx.fleet {
			require.Zero(t, x.RunningTasks())
		}
	})
}

// Guards against the cancellation of a large job that makes an urgent job wait for the next commit interval. The
// record of the cancellation must share the commit of the urgent job, so that the job starts at once.
func TestCancellationWaveDoesNotDelayUrgentWork(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		wave := h.submit(spec("batch", 10_000, "work=1h"))
		time.Sleep(time.Second)
		cancelled := make(chan error, 1)
		go func() { cancelled <- h.svc.Cancel(bg, wave) }()
		synctest.Wait()
		submitted := time.Now()
		next := h.submit(spec("urgent", 1, "work=1s"))
		ctx, cancel := context.WithCancel(bg)
		updates, err := h.svc.Watch(ctx, next)
		require.NoError(t, err)
		for v := range updates {
			if v.Counts[lifecycle.Running] > 0 {
				break
			}
		}
		cancel()
		require.Less(t, time.Since(submitted), jobs.DefaultCommitInterval)
		require.NoError(t, <-cancelled)
		h.awaitDone(2*time.Second, next)
		fx.verify(h, wave, next)
	})
}

// Guards against a cancellation that waits for other records for longer than one commit interval.
func TestSingleCancellationIsDurableWithinCommitInterval(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		job := h.submit(spec("batch", 1, "work=1h"))
		time.Sleep(time.Second)
		asked := time.Now()
		require.NoError(t, h.svc.Cancel(bg, job))
		require.LessOrEqual(t, time.Since(asked), jobs.DefaultCommitInterval)
		fx.verify(h, job)
	})
}

// Guards against evicted tasks that resume twice, not at all, or without their checkpoint, also if the owner changes
// between the eviction and the resumption.
func TestEvictionResumesAcrossOwners(t *testing.T) {
	for name, change := range map[string]bool{"same owner": false, "owner dies": true} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 2, func(fx *fixture, h *host) {
				batch := h.submit(spec("batch", 8, "work=60s"))
				time.Sleep(20 * time.Second)
				urgent := h.submit(spec("urgent", 4, "work=10s"))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, 4, h.get(urgent).Counts[lifecycle.Running], "urgent work starts within 1.5 s")
				if change {
					fx.kill(h)
					h = fx.host()
					fx.giveCell(h)
				}
				h.awaitDone(10*time.Minute, batch, urgent)
				fx.verify(h, batch, urgent)
				evicted := 0
				for _, e := range fx.recorder.Executions() {
					if e.End == lifecycle.EndEvicted {
						evicted++
					}
				}
				require.Equal(t, 4, evicted)
			})
		})
	}
}

// Guards against tasks that stay on a leaving worker, or lose their progress when they move.
func TestLeavingWorkerIsEmptied(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=60s"))
		time.Sleep(10 * time.Second)
		fx.fleet["w0"].SetLeaving(true)
		h.svc.SetMembers(cell, fx.members())
		time.Sleep(3 * time.Second)
		require.Zero(t, fx.fleet["w0"].RunningTasks())
		h.awaitDone(75*time.Second, id)
		fx.verify(h, id)
	})
}

// Guards against tasks that a new owner stops on healthy workers because it has not read the host list yet.
func TestNewOwnerWithoutHostListKeepsTasks(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=60s"))
		time.Sleep(5 * time.Second)
		fx.kill(h)
		next := fx.host()
		fx.hostListUnread = true
		fx.giveCell(next)
		time.Sleep(3 * time.Second)
		require.False(t, next.svc.Recovering(cell))
		require.Equal(t, 8, fx.fleet["w0"].RunningTasks()+fx.fleet["w1"].RunningTasks())
		fx.hostListUnread = false
		next.svc.SetMembers(cell, fx.members())
		next.awaitDone(60*time.Second, id)
		fx.verify(next, id)
	})
}

// Guards against a hand-over that loses verdicts: the successor must keep the proof that a task was never sent.
func TestDrainKeepsVerdicts(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 10, "work=60s"))
		time.Sleep(5 * time.Second)
		require.NoError(t, h.svc.Drain(bg, cell))
		next := fx.host()
		fx.giveCell(next)
		time.Sleep(time.Second)
		require.NoError(t, next.svc.Cancel(bg, id))
		v := next.get(id)
		require.Equal(t, verdict.MayHaveRun, v.Tasks[0].Verdict)
		require.Equal(t, verdict.NotRun, v.Tasks[9].Verdict)
		fx.verify(next, id)
	})
}

// Guards against tasks that run twice because an owner handed its cell over before all workers had answered.
func TestDrainDuringRecoveryKeepsAttempts(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 10, "work=60s"))
		time.Sleep(2 * time.Second)
		running := fx.fleet["w0"].RunningTasks()
		require.Positive(t, running)
		fx.kill(h)
		second := fx.host()
		second.link.SetCut("w0", true)
		fx.giveCell(second)
		time.Sleep(time.Second)
		require.True(t, second.svc.Recovering(cell))
		require.NoError(t, second.svc.Drain(bg, cell))
		third := fx.host()
		third.link.SetCut("w0", true)
		fx.giveCell(third)
		time.Sleep(2 * time.Second)
		require.Equal(t, running, fx.fleet["w0"].RunningTasks(), "the attempts whose leases the first owner renewed")
		third.link.SetCut("w0", false)
		third.awaitDone(10*time.Minute, id)
		fx.verify(third, id)
	})
}

// Guards against a log that grows without bound, and against state that is lost when the log is truncated.
func TestSnapshotTruncatesLog(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		var last lifecycle.JobView
		for range 600 {
			last.Job = h.submit(spec("batch", 1, "work=50ms"))
		}
		h.awaitDone(time.Minute, last.Job)
		r, err := fx.engine.Range(bg, "/cell/1/log/")
		require.NoError(t, err)
		require.Less(t, len(r.Entries), 300)
		fx.kill(h)
		next := fx.host()
		fx.giveCell(next)
		list, err := next.svc.List(bg, cell, lifecycle.JobView{}.Job, 1000)
		require.NoError(t, err)
		require.Len(t, list, 600)
		next.awaitDone(time.Minute, last.Job)
		fx.verify(next, last.Job)
	})
}

// Guards against accepting a job that can never run, and against a job that stays impossible after a large enough
// worker has joined.
func TestJobThatCanNeverRun(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		time.Sleep(time.Second)
		large := spec("batch", 1, "")
		large.Groups[0].Need.MemoryMB = workerCapacity.MemoryMB + 1
		_, err := h.svc.Submit(bg, cell, large)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.ErrorContains(t, err, "memory")

		fx.kill(h)
		fx.fleet["big"] = worker.New(worker.Config{ID: "big", Capacity: workerCapacity.Scale(2), Recorder: fx.recorder})
		fx.unlistedWorker = "big"
		next := fx.host()
		// The delay ensures that the job is accepted before any worker has reported its capacity.
		next.link.SetDelay(func() time.Duration { return 100 * time.Millisecond })
		fx.giveCell(next)
		id := next.submit(large)
		time.Sleep(2 * time.Second)
		v := next.get(id)
		require.Equal(t, lifecycle.Impossible, v.State)
		require.Contains(t, v.Tasks[0].Reason, "memory")

		fx.unlistedWorker = ""
		next.svc.SetMembers(cell, fx.members())
		next.awaitDone(time.Minute, id)
		fx.verify(next, id)
	})
}

// Guards against results that stay lost when a worker crashes before it reports them: an evicted attempt whose
// checkpoint is unknown to the owner, and a completed attempt. Both must run again from what is known.
func TestWorkerCrashesBeforeItReports(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		batch := h.submit(spec("batch", 4, "work=20s"))
		time.Sleep(5 * time.Second)
		h.link.SetAnswerLoss(func() bool { return true })
		urgent := h.submit(spec("urgent", 2, "work=1s"))
		time.Sleep(500 * time.Millisecond)
		fx.fleet["w0"].Crash()
		h.link.SetAnswerLoss(nil)
		h.awaitDone(10*time.Minute, batch, urgent)
		fx.verify(h, batch, urgent)
	})
}

// Guards against long batch tasks that restart from nothing when their worker is lost, also if the owner has changed
// meanwhile.
func TestLostWorkerCostsAtMostOneCheckpointInterval(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=20m"))
		time.Sleep(14 * time.Minute)
		fx.kill(h)
		next := fx.host()
		fx.giveCell(next)
		time.Sleep(time.Second)
		fx.fleet["w0"].Crash()
		fx.fleet["w1"].Crash()
		next.awaitDone(11*time.Minute, id)
		fx.verify(next, id)
	})
}
