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

// scenario runs f in a bubble with its own time, on a cell with the given number of workers and one owner.
func scenario(t *testing.T, workers int, f func(w *world, h *host)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers)
		defer w.close()
		h := w.host()
		w.own(h)
		f(w, h)
	})
}

// Guards against jobs that do not finish when nothing fails.
func TestJobsFinish(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		a := h.submit(spec("batch", 30, ""))
		b := h.submit(spec("urgent", 3, "work=1s"))
		h.finished(10*time.Minute, a, b)
		w.verify(h, a, b)
		require.Equal(t, verdict.Ran, h.get(a).Verdict)
	})
}

// Guards against lost or doubled tasks when the owner dies and its successor rebuilds from log and inventories.
func TestOwnerDies(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		id := h.submit(spec("batch", 30, ""))
		time.Sleep(15 * time.Second)
		w.kill(h)
		next := w.host()
		w.own(next)
		next.finished(10*time.Minute, id)
		w.verify(next, id)
	})
}

// Guards against a stale owner that still believes in its authority: store and workers must refuse it.
func TestStaleOwnerKeepsSending(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		id := h.submit(spec("batch", 30, ""))
		time.Sleep(5 * time.Second)
		next := w.host()
		w.own(next)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		next.finished(10*time.Minute, id)
		w.verify(next, id)
		require.EqualValues(t, 1, h.svc.Stats().ReplacedOwners.Load())
	})
}

// Guards against calls of a paused owner that are delivered after a successor has moved its tasks. One worker is
// unreachable for the successor, so that only leases and tokens protect it: the held starts must be refused there.
func TestOwnerPausedPastItsLease(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		time.Sleep(5 * time.Second)
		h.link.Pause()
		held := h.submit(spec("batch", 4, "work=60s"))
		time.Sleep(9 * time.Second)
		next := w.host()
		next.link.Cut("w0", true)
		w.own(next)
		time.Sleep(20 * time.Second)
		require.Equal(t, 4, next.get(held).Counts[lifecycle.Running])
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		h.link.Resume()
		time.Sleep(20 * time.Second)
		next.link.Cut("w0", false)
		next.finished(10*time.Minute, held)
		w.verify(next, held)
	})
}

// Guards against two owners renewing in a partition: the successor must not move the tasks of a worker that it cannot
// reach while its predecessor may still renew them.
func TestPartitionedPredecessorKeepsItsTasks(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		id := h.submit(spec("batch", 8, "work=60s"))
		time.Sleep(5 * time.Second)
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		h.link.Cut("w1", true)
		time.Sleep(5 * time.Second) // no sync to w1 is in progress that could tell h of its successor
		next := w.host()
		next.link.Cut("w0", true)
		w.ownPart(next, 1)
		time.Sleep(30 * time.Second)
		require.True(t, next.svc.Recovering(cell))
		require.Equal(t, 4, w.fleet["w0"].Running(), "the predecessor renews what it can reach")
		next.link.Cut("w0", false)
		next.finished(10*time.Minute, id)
		w.verify(next, id)
	})
}

// Guards against an owner that wakes from a pause and goes on renewing for as long again as an owner in doubt may: its
// successor counts from the end of its lease.
func TestOwnerWokenInDoubtRenewsNothing(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		h = w.withDoubtLimit(h, 5*time.Second)
		h.submit(spec("batch", 4, "work=60s"))
		time.Sleep(5 * time.Second)
		require.Equal(t, 4, w.fleet["w0"].Running())
		h.setGrant(func(g *ownership.Grant) {
			g.Authority, g.ShareShift, g.DoubtSince = ownership.InDoubt, 1, time.Now().Add(-6*time.Second)
		})
		time.Sleep(lifecycle.DefaultPolicy().LeaseDuration + time.Second)
		require.Zero(t, w.fleet["w0"].Running(), "nothing was renewed after the limit")
	})
}

// Guards against an owner that starts fillers where its predecessor knew them to do harm, and against one that cannot start
// because what was learnt is unreadable.
func TestSuccessorKnowsWhatWasLearnt(t *testing.T) {
	for _, broken := range []bool{false, true} {
		scenario(t, 1, func(w *world, h *host) {
			w.kill(h)
			first, tails := w.learningHost()
			// The estimates belong to the planner once the host owns the cell.
			tails.Learn(0, []placement.Load{{Class: 0, Part: 0.8}}, 1.8, 0.03)
			want, _ := tails.Expect(0, 0)
			w.own(first)
			s := spec("batch", 1, "work=60s")
			s.Groups[0].Constraints.Image = "etl"
			first.submit(s)
			time.Sleep(5 * time.Second)
			w.kill(first)
			if broken {
				_, err := w.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/cell/%d/learnt", cell), Value: []byte{0xff}}})
				require.NoError(t, err)
				want = 0.1
			}
			next, recalled := w.learningHost()
			w.own(next)
			got, _ := recalled.Expect(0, 0)
			require.InDelta(t, want, got, 1e-6)
		})
	}
}

// Guards against running work that stops in a store outage, and against a false verdict for a job submitted in it.
func TestStoreDownForLong(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		id := h.submit(spec("batch", 24, ""))
		time.Sleep(time.Second)
		w.engine.SetFault(kv.Fault{Down: true})
		start := time.Now()
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.LessOrEqual(t, time.Since(start), 5*time.Second)
		time.Sleep(5 * time.Minute)
		done := 0
		for _, e := range w.rec.Executions() {
			if e.Stopped && e.End == lifecycle.EndDone {
				done++
			}
		}
		require.Equal(t, 24, done, "accepted work completes while the store is down")
		w.engine.SetFault(kv.Fault{})
		h.finished(time.Minute, id)
		w.verify(h, id)
		list, err := h.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Len(t, list, 1, "the job that was refused must not exist")
	})
}

// Guards against jobs that wait for a store which is known not to answer, and against a refusal of a repeat whose first
// submission may still be written.
func TestNewJobsAreRefusedAtOnceWhileTheStoreIsDown(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		h.svc = h.withStallLimit(400 * time.Millisecond)
		w.own(h)
		w.engine.SetFault(kv.Fault{Down: true})
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
		w.engine.SetFault(kv.Fault{})
		id, err := h.svc.Submit(bg, cell, first)
		require.NoError(t, err, "the repeat waits for the record of the first submission")
		<-done
		require.NoError(t, outcome)
		h.finished(time.Minute, id)
		w.verify(h, id)
	})
}

// Guards against a lost answer that doubles or loses a record, and against a second job after a safe repeat.
func TestAnswerLostAfterAppend(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		time.Sleep(time.Second)
		w.engine.SetFault(kv.Fault{LoseAfter: 1})
		a := h.submit(spec("batch", 4, ""))
		w.engine.SetFault(kv.Fault{LoseBefore: 1})
		b := h.submit(spec("batch", 4, ""))
		// The write takes effect although its caller has long given up.
		w.engine.SetFault(kv.Fault{Delay: 20 * time.Second})
		s := spec("batch", 4, "")
		s.ClientToken = "client-1"
		_, err := h.svc.Submit(bg, cell, s)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		w.engine.SetFault(kv.Fault{})
		c := h.submit(s)
		h.finished(10*time.Minute, a, b, c)
		w.verify(h, a, b, c)
		list, err := h.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Len(t, list, 3)
	})
}

// Guards against tasks that are lost with their worker, or that start elsewhere while the worker may still run them.
func TestWorkersLost(t *testing.T) {
	for name, lose := range map[string]func(w *world, h *host){
		"crash": func(w *world, _ *host) { w.fleet["w0"].Crash() },
		"rack unreachable": func(_ *world, h *host) {
			h.link.Cut("w0", true)
			h.link.Cut("w1", true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 4, func(w *world, h *host) {
				id := h.submit(spec("batch", 16, "work=40s"))
				time.Sleep(5 * time.Second)
				lose(w, h)
				h.finished(10*time.Minute, id)
				w.verify(h, id)
			})
		})
	}
}

// Guards against a worker that fails everything it starts using up the retries of good jobs.
func TestWorkerThatFailsEverything(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		w.fleet["w0"].SetFault(worker.Fault{FailAll: true})
		var ids []lifecycle.JobView
		for range 12 {
			id := h.submit(spec("batch", 2, "work=2s"))
			ids = append(ids, lifecycle.JobView{Job: id})
		}
		for _, v := range ids {
			h.finished(10*time.Minute, v.Job)
			w.verify(h, v.Job)
		}
		failed := 0
		for _, e := range w.rec.Executions() {
			if e.End == lifecycle.EndFailed {
				failed++
			}
		}
		require.Less(t, failed, 12, "a quarantined worker gets single probes only")
		require.Equal(t, 1, w.notes.count(jobs.EventQuarantined))
		require.Zero(t, w.notes.count(jobs.EventTrusted))
		w.fleet["w0"].SetFault(worker.Fault{})
		for tries := 0; tries < 100 && w.notes.count(jobs.EventTrusted) == 0; tries++ {
			h.finished(10*time.Minute, h.submit(spec("batch", 12, "work=2s")))
		}
		require.Equal(t, 1, w.notes.count(jobs.EventTrusted))
	})
}

// Guards against a job that fails everywhere running for ever, or taking workers away from others.
func TestJobThatFailsEverywhere(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		bad := h.submit(spec("batch", 6, "fail=exit 1"))
		good := h.submit(spec("batch", 12, ""))
		h.finished(10*time.Minute, good)
		time.Sleep(5 * time.Minute)
		v := h.get(bad)
		require.Equal(t, lifecycle.Failed, v.State)
		require.Equal(t, "exit 1", v.Tasks[0].Reason)
		w.verify(h, bad, good)
	})
}

// Guards against a cancellation wave that delays others, leaves tasks running or reports a false NotRun.
func TestCancellationWave(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		wave := h.submit(spec("batch", 10_000, "work=1h"))
		time.Sleep(time.Second)
		require.NoError(t, h.svc.Cancel(bg, wave))
		next := h.submit(spec("urgent", 3, "work=1s"))
		h.finished(2500*time.Millisecond, next)
		v := h.get(wave)
		require.Equal(t, lifecycle.Cancelled, v.State)
		require.Equal(t, verdict.MayHaveRun, v.Tasks[0].Verdict)
		require.Equal(t, verdict.NotRun, v.Tasks[999].Verdict)
		w.verify(h, wave, next)
		for _, x := range w.fleet {
			require.Zero(t, x.Running())
		}
	})
}

// Guards against a cancellation wave that makes an urgent job wait for the pause between two commits: the record of the
// wave must share the commit of the job, so that the job starts at once.
func TestCancellationWaveDoesNotDelayUrgentWork(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
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
		h.finished(2*time.Second, next)
		w.verify(h, wave, next)
	})
}

// Guards against a cancellation that waits for other records longer than the pause between two commits.
func TestLoneCancellationIsDurableSoon(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		job := h.submit(spec("batch", 1, "work=1h"))
		time.Sleep(time.Second)
		asked := time.Now()
		require.NoError(t, h.svc.Cancel(bg, job))
		require.LessOrEqual(t, time.Since(asked), jobs.DefaultCommitInterval)
		w.verify(h, job)
	})
}

// Guards against evicted work that resumes twice, not at all, or from nothing; and against an owner change between
// the eviction and the resumption.
func TestEvictionResumesAcrossOwners(t *testing.T) {
	for name, change := range map[string]bool{"same owner": false, "owner dies": true} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 2, func(w *world, h *host) {
				batch := h.submit(spec("batch", 8, "work=60s"))
				time.Sleep(20 * time.Second)
				urgent := h.submit(spec("urgent", 4, "work=10s"))
				time.Sleep(1500 * time.Millisecond)
				require.Equal(t, 4, h.get(urgent).Counts[lifecycle.Running], "urgent work starts within 1.5 s")
				if change {
					w.kill(h)
					h = w.host()
					w.own(h)
				}
				h.finished(10*time.Minute, batch, urgent)
				w.verify(h, batch, urgent)
				evicted := 0
				for _, e := range w.rec.Executions() {
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
	scenario(t, 3, func(w *world, h *host) {
		id := h.submit(spec("batch", 8, "work=60s"))
		time.Sleep(10 * time.Second)
		w.fleet["w0"].SetLeaving(true)
		h.svc.SetMembers(cell, w.members())
		time.Sleep(3 * time.Second)
		require.Zero(t, w.fleet["w0"].Running())
		h.finished(75*time.Second, id)
		w.verify(h, id)
	})
}

// Guards against a drain that loses what it knew: the successor keeps the proof that a task was never sent.
func TestDrainKeepsVerdicts(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		id := h.submit(spec("batch", 10, "work=60s"))
		time.Sleep(5 * time.Second)
		require.NoError(t, h.svc.Drain(bg, cell))
		next := w.host()
		w.own(next)
		time.Sleep(time.Second)
		require.NoError(t, next.svc.Cancel(bg, id))
		v := next.get(id)
		require.Equal(t, verdict.MayHaveRun, v.Tasks[0].Verdict)
		require.Equal(t, verdict.NotRun, v.Tasks[9].Verdict)
		w.verify(next, id)
	})
}

// Guards against tasks that run twice because an owner handed its cell over before it had heard of all workers.
func TestDrainDuringRecoveryFreesNothing(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		id := h.submit(spec("batch", 10, "work=60s"))
		time.Sleep(2 * time.Second)
		running := w.fleet["w0"].Running()
		require.Positive(t, running)
		w.kill(h)
		second := w.host()
		second.link.Cut("w0", true)
		w.own(second)
		time.Sleep(time.Second)
		require.True(t, second.svc.Recovering(cell))
		require.NoError(t, second.svc.Drain(bg, cell))
		third := w.host()
		third.link.Cut("w0", true)
		w.own(third)
		time.Sleep(2 * time.Second)
		require.Equal(t, running, w.fleet["w0"].Running(), "the attempts whose leases the first owner renewed")
		third.link.Cut("w0", false)
		third.finished(10*time.Minute, id)
		w.verify(third, id)
	})
}

// Guards against a log that grows without bound, and against a state that is lost in its truncation.
func TestSnapshotTruncatesLog(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		var last lifecycle.JobView
		for range 600 {
			last.Job = h.submit(spec("batch", 1, "work=50ms"))
		}
		h.finished(time.Minute, last.Job)
		r, err := w.engine.Range(bg, "/cell/1/log/")
		require.NoError(t, err)
		require.Less(t, len(r.Entries), 300)
		w.kill(h)
		next := w.host()
		w.own(next)
		list, err := next.svc.List(bg, cell, lifecycle.JobView{}.Job, 1000)
		require.NoError(t, err)
		require.Len(t, list, 600)
		next.finished(time.Minute, last.Job)
		w.verify(next, last.Job)
	})
}

// Guards against a job that can never run being accepted in silence, and against one that stays impossible after a
// larger worker has come.
func TestJobThatCanNeverRun(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		time.Sleep(time.Second)
		large := spec("batch", 1, "")
		large.Groups[0].Need.MemoryMB = size.MemoryMB + 1
		_, err := h.svc.Submit(bg, cell, large)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.ErrorContains(t, err, "memory")

		w.kill(h)
		w.fleet["big"] = worker.New(worker.Config{ID: "big", Capacity: size.Scale(2), Recorder: w.rec})
		w.hidden = "big"
		next := w.host()
		// The delay makes sure that the job is accepted before any worker has told its capacity.
		next.link.SetDelay(func() time.Duration { return 100 * time.Millisecond })
		w.own(next)
		id := next.submit(large)
		time.Sleep(2 * time.Second)
		v := next.get(id)
		require.Equal(t, lifecycle.Impossible, v.State)
		require.Contains(t, v.Tasks[0].Reason, "memory")

		w.hidden = ""
		next.svc.SetMembers(cell, w.members())
		next.finished(time.Minute, id)
		w.verify(next, id)
	})
}

// Guards against work that stays lost when a worker crashes with results that it could not report: an evicted attempt
// whose checkpoint nobody learnt of, and a completion. Both run again, from what is known.
func TestWorkerCrashesBeforeItReports(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		batch := h.submit(spec("batch", 4, "work=20s"))
		time.Sleep(5 * time.Second)
		h.link.SetLoss(func() bool { return true })
		urgent := h.submit(spec("urgent", 2, "work=1s"))
		time.Sleep(500 * time.Millisecond)
		w.fleet["w0"].Crash()
		h.link.SetLoss(nil)
		h.finished(10*time.Minute, batch, urgent)
		w.verify(h, batch, urgent)
	})
}

// Guards against batch work that starts from nothing when its worker is lost after a long time, also if the owner
// changes in between.
func TestLostWorkerCostsAtMostOneCheckpointInterval(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		id := h.submit(spec("batch", 8, "work=20m"))
		time.Sleep(14 * time.Minute)
		w.kill(h)
		next := w.host()
		w.own(next)
		time.Sleep(time.Second)
		w.fleet["w0"].Crash()
		w.fleet["w1"].Crash()
		next.finished(11*time.Minute, id)
		w.verify(next, id)
	})
}
