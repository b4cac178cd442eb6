package jobs_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against jobs in the inbox of an owner that serves its cell, which would take its refusals for false.
func TestInboxIsClosedWhileTheOwnerServes(t *testing.T) {
	for _, l := range []link{linkCut, linkLosesAnswers, linkRefused} {
		inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
			owner := fx.ownerHost(entry)
			time.Sleep(time.Second)
			entry.setOwner(owner, l)
			_, err := entry.tryPlace(numberedSpec(1))
			requireVerdict(t, verdict.MayHaveRun, err)
			require.Positive(t, verdict.FromError(err).RetryAfter)
			require.False(t, fx.inInbox(1))
			require.Zero(t, entry.svc.Stats().InboxWritten.Load())
			entry.setOwner(owner, linkUp)
			fx.requireRanOnce(owner, entry.place(numberedSpec(1)))
		})
	}
}

// Guards against an inbox that opens when the lease of its owner lapses: in an outage of the store the owner may keep full
// authority after that, until another host claims the cell.
func TestInboxStaysClosedUntilTheCellIsClaimed(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		entry.setOwner(owner, linkRefused)
		_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/own/%d", cell), Delete: true}})
		require.NoError(t, err)
		_, err = entry.tryPlace(numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		require.False(t, fx.inInbox(1))
		next := fx.claimCell()
		id := entry.place(numberedSpec(1))
		fx.takeOver(next)
		fx.requireRanOnce(next, id)
	})
}

// Guards against calls that miss the inbox because it opens while they wait for the lost owner.
func TestInboxOpensWhenTheCellIsClaimed(t *testing.T) {
	for _, l := range []link{linkCut, linkRefused} {
		inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
			owner := fx.ownerHost(entry)
			time.Sleep(time.Second)
			fx.kill(owner)
			entry.setOwner(owner, l)
			claimed := make(chan *host, 1)
			time.AfterFunc(time.Second, func() { claimed <- fx.claimCell() })
			begun := time.Now()
			id := entry.place(numberedSpec(1))
			require.Less(t, time.Since(begun), 1600*time.Millisecond)
			next := <-claimed
			fx.takeOver(next)
			fx.requireRanOnce(next, id)
		})
	}
}

// Guards against an inbox that stays closed during a hand-over, and against a denial by the owner that has opened it.
func TestInboxOpensForAHandOver(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		// The snapshot of the hand-over takes about a second after the inbox is open.
		owner.setDelay(300 * time.Millisecond)
		drained := make(chan error, 1)
		go func() { drained <- owner.svc.Drain(bg, cell) }()
		time.Sleep(400 * time.Millisecond)
		id := entry.place(numberedSpec(1))
		_, err := owner.svc.Get(bg, id, 0, 1)
		requireVerdict(t, verdict.MayHaveRun, err)
		require.NoError(t, <-drained)
		second := entry.place(numberedSpec(2))
		next := fx.ownerHost(entry)
		fx.requireRanOnce(next, id, second)
		require.EqualValues(t, 2, next.svc.Stats().InboxTaken.Load())
	})
}

// Guards against a cell without an inbox after a hand-over whose write to open the inbox failed.
func TestInboxOpensAfterAHandOverThatLeftItClosed(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		fx.engine.Client(owner.name).SetFault(kv.Fault{LoseBefore: 1})
		require.NoError(t, owner.svc.Drain(bg, cell))
		_, err := entry.tryPlace(numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		require.False(t, fx.inInbox(1))
		next := fx.claimCell()
		id := entry.place(numberedSpec(1))
		fx.takeOver(next)
		fx.requireRanOnce(next, id)
	})
}

// Guards against calls without a true answer in an outage of the store: an owner with full authority and a closed inbox knows
// every job. A host that does not reach it knows nothing. Once the store is back, the owner takes jobs again.
func TestInboxStoreDown(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"down": {Down: true}, "hanging": {Hang: true}} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				earlier := entry.place(numberedSpec(1))
				owner := fx.ownerHost(entry)
				time.Sleep(time.Second)
				fx.engine.SetFault(fault)
				// The owner notices the outage by its first commit.
				first, err := entry.tryPlace(numberedSpec(100))
				require.Error(t, err, first)
				for range 3 {
					time.Sleep(700 * time.Millisecond)
					begun := time.Now()
					_, err = entry.tryPlace(numberedSpec(2))
					requireCode(t, verdict.CodeLimited, err)
					requireVerdict(t, verdict.NotRun, err)
					require.Positive(t, verdict.FromError(err).RetryAfter)
					require.Less(t, time.Since(begun), 100*time.Millisecond)
					require.Equal(t, earlier, entry.place(numberedSpec(1)))
				}
				unknown := ident.CallerAssignedJobID(cell, 3)
				_, err = owner.svc.Get(bg, unknown, 0, 1)
				requireCode(t, verdict.CodeNotFound, err)
				requireCode(t, verdict.CodeNotFound, owner.svc.Cancel(bg, unknown))
				for _, l := range []link{linkCut, linkRefused} {
					entry.setOwner(owner, l)
					_, err = entry.tryPlace(numberedSpec(2))
					requireVerdict(t, verdict.MayHaveRun, err)
					require.Positive(t, verdict.FromError(err).RetryAfter)
				}
				fx.engine.SetFault(kv.Fault{})
				entry.setOwner(owner, linkUp)
				time.Sleep(5 * time.Second)
				fx.requireRanOnce(owner, earlier, entry.place(numberedSpec(2)))
			})
		})
	}
}

// Guards against a refusal or a denial by an owner that has not closed the inbox, because the store has failed or the answer to
// its write was lost: the jobs of the inbox are not known.
func TestInboxNotClosed(t *testing.T) {
	for name, fault := range map[string]kv.Fault{
		"down": {Down: true}, "hanging": {Hang: true}, "lost before its effect": {LoseBefore: -1}, "lost after its effect": {LoseAfter: -1},
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				id := entry.place(numberedSpec(1))
				owner := fx.slowOwnerHost(entry, 100*time.Millisecond)
				fx.engine.Client(owner.name).SetFault(fault)
				owner.submitAsync(numberedSpec(100))
				time.Sleep(3 * time.Second)
				for _, number := range []uint64{1, 2} {
					_, err := owner.svc.Submit(bg, cell, numberedSpec(number))
					requireVerdict(t, verdict.MayHaveRun, err)
					require.Positive(t, verdict.FromError(err).RetryAfter)
					_, err = owner.svc.Get(bg, ident.CallerAssignedJobID(cell, number), 0, 1)
					requireVerdict(t, verdict.MayHaveRun, err)
					requireVerdict(t, verdict.MayHaveRun, owner.svc.Cancel(bg, ident.CallerAssignedJobID(cell, number)))
				}
				fx.engine.Client(owner.name).SetFault(kv.Fault{})
				time.Sleep(5 * time.Second)
				fx.requireRanOnce(owner, id)
				_, err := owner.svc.Get(bg, ident.CallerAssignedJobID(cell, 2), 0, 1)
				requireCode(t, verdict.CodeNotFound, err)
			})
		})
	}
}

// Guards against a refusal by an owner that is cut off from the store and may have a successor: the successor's claim opens the
// inbox, and the host that took the call uses it.
func TestInboxTakesJobsThatTheOwnerCannotStore(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Down: true})
		owner.submitAsync(numberedSpec(100))
		time.Sleep(time.Second)
		_, err := entry.tryPlace(numberedSpec(1))
		requireVerdict(t, verdict.NotRun, err)
		owner.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt })
		_, err = entry.tryPlace(numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		next := fx.claimCell()
		id := entry.place(numberedSpec(1))
		_, err = owner.svc.Submit(bg, cell, numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		fx.kill(owner)
		fx.takeOver(next)
		fx.requireRanOnce(next, id)
	})
}

// Guards against a refusal or a denial that rests on reports from before the call: a host that has reported may have claimed the
// cell since, which opens the inbox while the owner still has full authority.
func TestInboxAnswersWaitForReports(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Down: true})
		owner.submitAsync(numberedSpec(100))
		time.Sleep(time.Second)
		reported := func(at time.Time) { owner.setGrant(func(g *ownership.Grant) { g.ReportedAt = at }) }
		calls := map[string]func() error{
			"submission":   func() error { _, err := owner.svc.Submit(bg, cell, numberedSpec(1)); return err },
			"query":        func() error { _, err := owner.svc.Get(bg, ident.CallerAssignedJobID(cell, 1), 0, 1); return err },
			"cancellation": func() error { return owner.svc.Cancel(bg, ident.CallerAssignedJobID(cell, 1)) },
		}
		for name, call := range calls {
			reported(time.Now().Add(-time.Millisecond))
			err := call()
			require.NotEqual(t, verdict.CodeNotFound, verdict.FromError(err).Code, name)
			require.False(t, name == "submission" && verdict.FromError(err).Verdict == verdict.NotRun)
			time.AfterFunc(300*time.Millisecond, func() { reported(time.Now()) })
			begun := time.Now()
			err = call()
			requireVerdict(t, verdict.NotRun, err)
			require.True(t, name == "submission" || verdict.FromError(err).Code == verdict.CodeNotFound, name)
			require.LessOrEqual(t, time.Since(begun), 350*time.Millisecond)
		}
	})
}

// Guards against an inbox that opens during the reign of an owner that has claimed its own cell anew, when the write with which
// the same host opened it before takes effect late.
func TestInboxIsNotOpenedByALateWrite(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		time.Sleep(time.Second)
		fx.engine.Client(owner.name).SetFault(kv.Fault{Delay: 3 * time.Second})
		ctx, leave := context.WithTimeout(bg, 500*time.Millisecond)
		defer leave()
		require.Error(t, owner.svc.Drain(ctx, cell))
		fx.engine.Client(owner.name).SetFault(kv.Fault{})
		fx.takeOver(owner)
		time.Sleep(5 * time.Second)
		entry.setOwner(owner, linkRefused)
		_, err := entry.tryPlace(numberedSpec(1))
		requireVerdict(t, verdict.MayHaveRun, err)
		require.False(t, fx.inInbox(1))
	})
}

// Guards against a number of waiting jobs that leaves out those in the inbox: an owner that has not read it yet, or that another
// host may have replaced, gives none.
func TestWaitingJobsAreNotCountedWithoutTheInbox(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		fx.claimCell()
		for number := range uint64(60) {
			// The workers have room for the tasks of a few jobs only.
			spec := numberedSpec(number + 1)
			spec.Groups[0].Count = 100
			entry.place(spec)
		}
		const delay = 300 * time.Millisecond
		owner := fx.slowOwnerHost(entry, delay)
		_, err := owner.svc.WaitingJobs(bg, cell)
		requireVerdict(t, verdict.NotRun, err)
		// The inbox is read after three calls to the store, and the jobs are durable after some more.
		time.Sleep(4 * delay)
		_, err = owner.svc.WaitingJobs(bg, cell)
		requireVerdict(t, verdict.NotRun, err)
		time.Sleep(10 * delay)
		waiting, err := owner.svc.WaitingJobs(bg, cell)
		require.NoError(t, err)
		require.GreaterOrEqual(t, waiting["batch"], 30)
		owner.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt })
		_, err = owner.svc.WaitingJobs(bg, cell)
		requireVerdict(t, verdict.NotRun, err)
	})
}

// Guards against store calls for jobs that the owner accepts in time.
func TestInboxCostsNothingWhileTheOwnerAnswers(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		fx.ownerHost(entry)
		time.Sleep(time.Second)
		before := fx.engine.Counts()
		entry.place(numberedSpec(1))
		after := fx.engine.Counts()
		require.Equal(t, before.Gets+before.Ranges, after.Gets+after.Ranges)
		require.Zero(t, fx.decisions.count(jobs.EventJobInInbox))
	})
}
