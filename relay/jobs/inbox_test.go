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

// Guards against calls that wait for a lost owner until their time is up although its successor has claimed the cell, and
// against waiting for each call as long as for the first answers of a slow owner.
func TestInboxIsUsedWhenTheOwnerDoesNotAnswer(t *testing.T) {
	for _, l := range []link{linkCut, linkLosesAnswers, linkRefused} {
		inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
			owner := fx.ownerHost(entry)
			entry.place(numberedSpec(1))
			fx.kill(owner)
			entry.setOwner(owner, l)
			next := fx.claimCell()
			begun := time.Now()
			id := entry.place(numberedSpec(2))
			require.LessOrEqual(t, time.Since(begun), 300*time.Millisecond)
			fx.takeOver(next)
			fx.requireRanOnce(next, id)
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

// Guards against a job that is lost or taken twice because the answer to the write that closes the inbox, or also the answer to
// the commit that takes the job, was lost.
func TestInboxTakenAnswerLost(t *testing.T) {
	for name, fault := range map[string]kv.Fault{
		"closed, before its effect": {LoseBefore: 1}, "closed, after its effect": {LoseAfter: 1},
		"taken, before its effect": {LoseBefore: 2}, "taken, after its effect": {LoseAfter: 2},
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				id := entry.place(numberedSpec(1))
				owner := fx.inboxHost(nil)
				fx.engine.Client(owner.name).SetFault(fault)
				fx.giveCell(owner)
				fx.requireRanOnce(owner, id)
				require.Zero(t, owner.svc.Stats().InboxLeftovers.Load())
			})
		})
	}
}

// Guards against a job that runs again because an owner finds an entry although the log has the job: while it waits, while it
// runs, and when it has finished.
func TestInboxLeftoverOfKnownJob(t *testing.T) {
	for _, age := range []time.Duration{0, 500 * time.Millisecond, 10 * time.Second} {
		inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
			s := numberedSpec(1)
			owner := fx.ownerHost(entry)
			id := entry.place(s)
			time.Sleep(age)
			fx.kill(owner)
			fx.writeEntry(s)
			next := fx.ownerHost(entry)
			fx.requireRanOnce(next, id)
			require.EqualValues(t, 1, next.svc.Stats().InboxLeftovers.Load())
		})
	}
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
				id := entry.place(numberedSpec(1))
				owner := fx.slowOwnerHost(entry, 100*time.Millisecond)
				time.Sleep(250 * time.Millisecond)
				fx.engine.Client(owner.name).SetFault(fault)
				time.Sleep(700 * time.Millisecond)
				fx.kill(owner)
				next := fx.ownerHost(entry)
				fx.requireRanOnce(next, id)
			})
		})
	}
}

// Guards against two jobs from one number that reaches the inbox and, before its owner has read the inbox, the owner, and against
// the loss of the job when the caller of the owner leaves.
func TestInboxAndOwnerAtTheSameTime(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		id := entry.place(numberedSpec(1))
		// The owner reads the inbox until 2.7 s from now, in the middle of its third commit. The record of the caller is queued
		// behind that one.
		owner := fx.slowOwnerHost(entry, 900*time.Millisecond)
		blocking := []*submission{owner.submitAsync(numberedSpec(100))}
		for n, at := range []time.Duration{time.Second, 950 * time.Millisecond} {
			time.Sleep(at)
			blocking = append(blocking, owner.submitAsync(numberedSpec(uint64(101+n))))
		}
		time.Sleep(50 * time.Millisecond)
		direct := owner.submitAsync(numberedSpec(1))
		time.Sleep(750 * time.Millisecond)
		direct.leave()
		<-direct.done
		requireVerdict(t, verdict.MayHaveRun, direct.err)
		fx.engine.Client(owner.name).SetFault(kv.Fault{})
		for _, b := range blocking {
			<-b.done
			require.NoError(t, b.err)
		}
		fx.requireRanOnce(owner, id)
		require.EqualValues(t, 1, owner.svc.Stats().InboxLeftovers.Load())
	})
}

// Guards against the loss of an acknowledged job whose record an attempt to hand it in again has joined and left.
func TestInboxRecordIsNotWithdrawn(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		id := entry.place(numberedSpec(1))
		// The owner reads the inbox until 900 ms from now, in the middle of a commit that ends after 1,650 ms.
		owner := fx.slowOwnerHost(entry, 300*time.Millisecond)
		time.Sleep(750 * time.Millisecond)
		owner.setDelay(900 * time.Millisecond)
		blocking := owner.submitAsync(numberedSpec(100))
		time.Sleep(250 * time.Millisecond)
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
// while the owner has not read the inbox or the job waits for the log.
func TestInboxCancellationBeforeTheOwnerKnows(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		cancelled, queried := entry.place(numberedSpec(1)), entry.place(numberedSpec(2))
		unknown := ident.CallerAssignedJobID(cell, 3)
		// The owner reads the inbox until 900 ms from now and takes its entries until 1,200 ms.
		owner := fx.slowOwnerHost(entry, 300*time.Millisecond)
		for _, id := range []ident.JobID{cancelled, queried, unknown} {
			_, err := owner.svc.Get(bg, id, 0, 1)
			requireVerdict(t, verdict.MayHaveRun, err)
			requireVerdict(t, verdict.MayHaveRun, owner.svc.Cancel(bg, id))
		}
		time.Sleep(time.Second)
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
		reads := fx.engine.Counts().Gets
		_, err = next.svc.Get(bg, unknown, 0, 1)
		requireCode(t, verdict.CodeNotFound, err)
		requireCode(t, verdict.CodeNotFound, next.svc.Cancel(bg, unknown))
		require.Equal(t, reads, fx.engine.Counts().Gets, "no read is needed")
	})
}

// Guards against jobs that were acknowledged and are dropped, or wait forever, because they cannot run.
func TestInboxJobsThatCannotRunEndAsFailed(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		unknown := numberedSpec(1)
		unknown.Class = "unknown"
		_, err := entry.tryPlace(unknown)
		requireVerdict(t, verdict.MayHaveRun, err)
		require.False(t, fx.inInbox(1), "a job of a class that no host has seen is not acknowledged")
		large := numberedSpec(2)
		large.Groups[0].Need = resource.Vector{MilliCPU: 1 << 40}
		ids := []ident.JobID{entry.place(large), ident.CallerAssignedJobID(cell, 3)}
		fx.writeRawEntry(3, []byte("odd"))
		// The owner knows the size of its workers before it has read the inbox.
		owner := fx.slowOwnerHost(entry, 500*time.Millisecond)
		time.Sleep(3 * time.Second)
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
		_, err = entry.tryPlace(numberedSpec(2))
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
		fx.kill(owner)
		fx.writeEntry(other)
		owner = fx.ownerHost(entry)
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
