package jobs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against jobs that are refused or held because their cell has no owner, and against jobs that are lost between the
// inbox and the next owner.
func TestInboxTakesJobsWithoutAnOwner(t *testing.T) {
	inboxScenario(t, 4, func(fx *fixture, entry *entryHost) {
		var ids []ident.JobID
		for number := range uint64(70) {
			begun := time.Now()
			ids = append(ids, entry.place(numberedSpec(number+1)))
			require.Less(t, time.Since(begun), 100*time.Millisecond)
		}
		require.EqualValues(t, 70, entry.svc.Stats().InboxWritten.Load())
		require.Equal(t, 70, fx.decisions.count(jobs.EventJobInInbox))
		owner := fx.ownerHost(entry)
		fx.requireRanOnce(owner, ids...)
		require.EqualValues(t, 70, owner.svc.Stats().InboxTaken.Load())
		require.Zero(t, owner.svc.Stats().InboxLeftovers.Load())
		require.Equal(t, 70, fx.decisions.count(jobs.EventInboxTaken))
	})
}

// Guards against calls that wait for an owner that does not answer until their time is up, and against waiting for each call
// as long as for the first answers of a slow owner.
func TestInboxIsUsedWhenTheOwnerDoesNotAnswer(t *testing.T) {
	for _, l := range []link{linkCut, linkLosesAnswers, linkRefused} {
		inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
			owner := fx.ownerHost(entry)
			entry.place(numberedSpec(1))
			entry.setOwner(owner, l)
			begun := time.Now()
			id := entry.place(numberedSpec(2))
			require.LessOrEqual(t, time.Since(begun), 300*time.Millisecond)
			fx.requireRanOnce(owner, id)
		})
	}
}

// Guards against an inbox that is used although the owner answers in time: each entry costs three calls to the store.
func TestInboxIsNotUsedWhileTheOwnerAnswers(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		entry.setAnswerDelay(150 * time.Millisecond)
		for number := range uint64(20) {
			entry.place(numberedSpec(number + 1))
		}
		entry.setAnswerDelay(400 * time.Millisecond)
		for number := range uint64(20) {
			entry.place(numberedSpec(number + 100))
		}
		require.Zero(t, entry.svc.Stats().InboxWritten.Load(), "an owner that became slower is waited for")
		require.Zero(t, owner.svc.Stats().InboxTaken.Load())
	})
}

// Guards against a job that runs twice because its caller left after the entry was written and handed it in again.
func TestInboxEntryWithoutAcknowledgement(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		fx.engine.Client(entry.name).SetFault(kv.Fault{Delay: 100 * time.Millisecond})
		ctx, leave := context.WithTimeout(bg, 275*time.Millisecond)
		defer leave()
		_, err := entry.router.Submit(ctx, numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		require.True(t, fx.inInbox(1), "the caller has left between the write and its answer")
		fx.engine.Client(entry.name).SetFault(kv.Fault{})
		id := entry.place(numberedSpec(1))
		owner := fx.ownerHost(entry)
		entry.place(numberedSpec(1))
		fx.requireRanOnce(owner, id)
	})
}

// Guards against a job that is answered as unknown, or written twice, because the answer of the store was lost.
func TestInboxAnswerOfTheStoreLost(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"before its effect": {LoseBefore: 1}, "after its effect": {LoseAfter: 1}} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				fx.engine.Client(entry.name).SetFault(fault)
				id := entry.place(numberedSpec(1))
				fx.requireRanOnce(fx.ownerHost(entry), id)
			})
		})
	}
}

// Guards against a job that is lost or taken twice because the answer to the commit that takes it was lost.
func TestInboxTakenAnswerLost(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"before its effect": {LoseBefore: 1}, "after its effect": {LoseAfter: 1}} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				owner := fx.ownerHost(entry)
				time.Sleep(time.Second)
				fx.engine.Client(owner.name).SetFault(fault)
				entry.setOwner(owner, linkCut)
				id := entry.place(numberedSpec(1))
				fx.requireRanOnce(owner, id)
				require.Zero(t, owner.svc.Stats().InboxLeftovers.Load())
			})
		})
	}
}

// Guards against a job that runs again because an entry is found although the log has the job: while it waits, while it runs,
// when it has finished, and by the next owner.
func TestInboxLeftoverOfKnownJob(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		s := numberedSpec(1)
		owner := fx.ownerHost(entry)
		id := entry.place(s)
		fx.writeEntry(s)
		time.Sleep(500 * time.Millisecond)
		fx.writeEntry(s)
		fx.requireRanOnce(owner, id)
		fx.writeEntry(s)
		fx.requireRanOnce(owner, id)
		fx.kill(owner)
		fx.writeEntry(s)
		next := fx.ownerHost(entry)
		fx.requireRanOnce(next, id)
		require.EqualValues(t, 1, next.svc.Stats().InboxLeftovers.Load())
	})
}

// Guards against a job that is lost with an owner that was taking it, and against one that is run by both owners.
func TestInboxOwnerReplacedWhileTaking(t *testing.T) {
	for name, fault := range map[string]kv.Fault{
		"its commit has no effect":   {LoseBefore: -1},
		"its commit has taken place": {LoseAfter: -1},
		"its commit is late":         {Delay: 1500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				owner := fx.ownerHost(entry)
				time.Sleep(time.Second)
				entry.setOwner(owner, linkCut)
				id := entry.place(numberedSpec(1))
				fx.engine.Client(owner.name).SetFault(fault)
				time.Sleep(700 * time.Millisecond)
				fx.kill(owner)
				next := fx.ownerHost(entry)
				fx.requireRanOnce(next, id)
			})
		})
	}
}

// Guards against two jobs from one number that reaches the owner and the inbox at the same time, in both orders, and against
// the loss of the job when the caller of the owner leaves.
func TestInboxAndOwnerAtTheSameTime(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		entry.setAnswerDelay(2 * time.Second)
		first := entry.place(numberedSpec(1))
		// The record of the owner is queued behind a slow commit when the entry comes, and its caller leaves.
		entry.setOwner(owner, linkCut)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Delay: 900 * time.Millisecond})
		blocking := owner.submitAsync(numberedSpec(100))
		direct := owner.submitAsync(numberedSpec(2))
		second := entry.place(numberedSpec(2))
		time.Sleep(200 * time.Millisecond)
		direct.leave()
		<-direct.done
		fx.engine.Client(owner.name).SetFault(kv.Fault{})
		<-blocking.done
		require.NoError(t, blocking.err)
		fx.requireRanOnce(owner, first, second)
		require.EqualValues(t, 2, entry.svc.Stats().InboxWritten.Load())
	})
}

// Guards against the loss of an acknowledged job whose record an attempt to hand it in again has joined and left.
func TestInboxRecordIsNotWithdrawn(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		entry.setOwner(owner, linkCut)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Delay: 900 * time.Millisecond})
		blocking := owner.submitAsync(numberedSpec(100))
		id := entry.place(numberedSpec(1))
		time.Sleep(100 * time.Millisecond)
		again := owner.submitAsync(numberedSpec(1))
		again.leave()
		<-again.done
		requireVerdict(t, verdict.MayHaveRun, again.err)
		fx.engine.Client(owner.name).SetFault(kv.Fault{})
		<-blocking.done
		fx.requireRanOnce(owner, id)
	})
}

// Guards against an acknowledged cancellation that is lost, or a cancellation or query that is answered as for an unknown job,
// while the owner has not seen the entry.
func TestInboxCancellationBeforeTheOwnerKnows(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		fx.engine.Client(owner.name).SetFault(kv.Fault{WatchLag: time.Hour})
		entry.setOwner(owner, linkCut)
		cancelled, queried := entry.place(numberedSpec(1)), entry.place(numberedSpec(2))
		require.NoError(t, owner.svc.Cancel(bg, cancelled))
		require.Equal(t, lifecycle.Cancelled, owner.get(cancelled).State)
		started := fx.executions(ident.TaskID{Job: cancelled})
		_, err := owner.svc.Get(bg, queried, 0, 1)
		require.NoError(t, err)
		fx.kill(owner)
		next := fx.ownerHost(entry)
		fx.requireRanOnce(next, queried)
		require.Equal(t, lifecycle.Cancelled, next.get(cancelled).State)
		require.Equal(t, started, fx.executions(ident.TaskID{Job: cancelled}))
		fx.verify(next, cancelled)
		_, err = next.svc.Get(bg, ident.CallerAssignedJobID(cell, 3), 0, 1)
		requireCode(t, verdict.CodeNotFound, err)
		requireCode(t, verdict.CodeNotFound, next.svc.Cancel(bg, ident.CallerAssignedJobID(cell, 3)))
	})
}

// Guards against a denial or a refusal without proof while the store is down: the job may be in the inbox. Once the store is
// back, the owner has every job that was acknowledged.
func TestInboxStoreDown(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"down": {Down: true}, "hanging": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				owner := fx.ownerHost(entry)
				fx.engine.Client(owner.name).SetFault(kv.Fault{WatchLag: time.Hour})
				entry.setOwner(owner, linkCut)
				id := entry.place(numberedSpec(1))
				fx.engine.SetFault(fault)
				_, err := owner.svc.Get(bg, id, 0, 1)
				requireVerdict(t, verdict.MayHaveRun, err)
				requireVerdict(t, verdict.MayHaveRun, owner.svc.Cancel(bg, id))
				// The owner notices the outage by its first commit.
				owner.submitAsync(numberedSpec(100))
				time.Sleep(3 * time.Second)
				begun := time.Now()
				_, err = owner.svc.Submit(bg, cell, numberedSpec(1))
				requireVerdict(t, verdict.MayHaveRun, err)
				require.Positive(t, verdict.FromError(err).RetryAfter)
				require.Less(t, time.Since(begun), time.Second)
				for _, l := range []link{linkUp, linkCut, linkRefused} {
					entry.setOwner(owner, l)
					_, err = entry.tryPlace(numberedSpec(1))
					requireVerdict(t, verdict.MayHaveRun, err)
					require.Positive(t, verdict.FromError(err).RetryAfter)
				}
				fx.engine.SetFault(kv.Fault{})
				fx.engine.Client(owner.name).SetFault(kv.Fault{})
				fx.engine.CutWatches()
				time.Sleep(5 * time.Second)
				fx.requireRanOnce(owner, id)
			})
		})
	}
}

// Guards against a job that is refused because only the owner is cut off from the store.
func TestInboxTakesJobsThatTheOwnerCannotStore(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Down: true})
		owner.submitAsync(numberedSpec(100))
		time.Sleep(time.Second)
		id := entry.place(numberedSpec(1))
		fx.engine.Client(owner.name).SetFault(kv.Fault{})
		time.Sleep(5 * time.Second)
		fx.requireRanOnce(owner, id)
	})
}

// Guards against jobs that were acknowledged and are dropped, or wait forever, because they cannot run.
func TestInboxJobsThatCannotRunEndAsFailed(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		unknown := numberedSpec(1)
		unknown.Class = "unknown"
		large := numberedSpec(2)
		large.Groups[0].Need = resource.Vector{MilliCPU: 1 << 40}
		ids := []ident.JobID{entry.place(unknown), ident.CallerAssignedJobID(cell, 3)}
		fx.writeRawEntry(3, []byte("odd"))
		owner := fx.ownerHost(entry)
		// The owner knows the size of its workers only after a while.
		time.Sleep(time.Second)
		entry.setOwner(owner, linkCut)
		ids = append(ids, entry.place(large))
		time.Sleep(time.Second)
		for _, id := range ids {
			require.NotEmpty(t, owner.get(id).Tasks[0].Reason)
		}
		for range 2 {
			time.Sleep(5 * time.Second)
			for _, id := range ids {
				v := owner.get(id)
				require.False(t, fx.inInbox(id.Seq))
				require.Equal(t, lifecycle.Failed, v.State, "job %v", id)
				require.Equal(t, verdict.NotRun, v.Verdict)
			}
			fx.kill(owner)
			owner = fx.ownerHost(entry)
		}
	})
}

// Guards against entries that are lost because they come before the owner has its first table.
func TestInboxEntriesWaitForTheTable(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		id := entry.place(numberedSpec(1))
		owner := fx.inboxHost(nil)
		owner.svc = jobs.New(owner.cfg, nil)
		fx.giveCell(owner)
		time.Sleep(5 * time.Second)
		require.True(t, fx.inInbox(1))
		_, err := owner.svc.Get(bg, id, 0, 1)
		requireVerdict(t, verdict.MayHaveRun, err)
		owner.svc.SetTable(testTable)
		fx.requireRanOnce(owner, id)
	})
}

// Guards against a number that names two jobs: the first one keeps it.
func TestInboxKeepsTheFirstJobOfANumber(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		id := entry.place(numberedSpec(1))
		other := numberedSpec(1)
		other.Groups[0].Command = "work=2s"
		_, err := entry.tryPlace(other)
		requireCode(t, verdict.CodeConflict, err)
		owner := fx.ownerHost(entry)
		fx.requireRanOnce(owner, id)
		fx.writeEntry(other)
		fx.requireRanOnce(owner, id)
		require.Equal(t, "work=1s", owner.get(id).Spec.Groups[0].Command)
	})
}

// Guards against queries and cancellations that are held until their callers give up because the owner does not answer.
func TestCallsToASilentOwnerEndEarly(t *testing.T) {
	inboxScenario(t, 1, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		id := entry.place(numberedSpec(1))
		entry.setOwner(owner, linkCut)
		for name, call := range map[string]func() error{
			"query":        func() error { _, err := entry.router.Get(bg, id, 0, 1); return err },
			"cancellation": func() error { return entry.router.Cancel(bg, id) },
		} {
			begun := time.Now()
			err := call()
			requireVerdict(t, verdict.MayHaveRun, err)
			require.Positive(t, verdict.FromError(err).RetryAfter, name)
			require.LessOrEqual(t, time.Since(begun), 2*time.Second, name)
		}
	})
}
