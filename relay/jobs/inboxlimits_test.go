package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Guards against an inbox that grows without bound, or takes the writes that the owner needs, while a cell has no owner, and
// against a limit that counts jobs which have been taken.
func TestInboxLimits(t *testing.T) {
	for name, limit := range map[string]func(c *jobs.InboxConfig){
		"entries": func(c *jobs.InboxConfig) { c.MaxEntries, c.Hosts = 30, func() int { return 3 } },
		"bytes":   func(c *jobs.InboxConfig) { c.MaxBytes = 1200 },
		"writes":  func(c *jobs.InboxConfig) { c.WritesPerSecond = 0.5 },
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, _ *entryHost) {
				entry := fx.entryHost(func(cfg *jobs.Config) { limit(&cfg.Inbox) })
				var ids []ident.JobID
				for number := range uint64(20) {
					id, err := entry.tryPlace(numberedSpec(number + 1))
					if err != nil {
						requireVerdict(t, verdict.MayHaveRun, err)
						require.Positive(t, verdict.FromError(err).RetryAfter)
						require.False(t, fx.inInbox(number+1))
						continue
					}
					ids = append(ids, id)
				}
				require.NotEmpty(t, ids)
				require.Less(t, len(ids), 20)
				owner := fx.ownerHost(entry)
				fx.requireRanOnce(owner, ids...)
				fx.kill(owner)
				next := fx.claimCell()
				id := entry.place(numberedSpec(100))
				fx.takeOver(next)
				fx.requireRanOnce(next, id)
			})
		})
	}
}

// interruptedStore calls interrupt before the first write into an inbox.
type interruptedStore struct {
	jobs.Store
	interrupt func()
	refused   int
}

func (s *interruptedStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if s.interrupt != nil {
		s.interrupt()
		s.interrupt = nil
	}
	result, err := s.Store.Txn(ctx, compares, ops)
	if err == nil && result.Outcome == store.NotApplied {
		s.refused++
	}
	return result, err
}

// Guards against a write that takes effect after an owner has read the inbox, whether the inbox was open because the cell had no
// owner yet, because its owner was lost, or because its owner handed it over: the owner would refuse the job, or forget it.
func TestInboxLateWriteIsRefused(t *testing.T) {
	for name, open := range map[string]func(fx *fixture, owner *host){
		"no owner yet": nil,
		"owner lost":   func(fx *fixture, owner *host) { fx.kill(owner) },
		"handed over":  func(fx *fixture, owner *host) { require.NoError(fx.t, owner.svc.Drain(bg, cell)) },
	} {
		t.Run(name, func(t *testing.T) {
			inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
				next := fx.inboxHost(nil)
				if open != nil {
					owner := fx.ownerHost(entry)
					time.Sleep(time.Second)
					open(fx, owner)
				}
				fx.grantCell(next)
				s := &interruptedStore{Store: fx.engine.Client(entry.name)}
				late := fx.entryHost(func(cfg *jobs.Config) { cfg.Inbox.Store = s })
				s.interrupt = func() {
					fx.takeOver(next)
					time.Sleep(50 * time.Millisecond)
					late.setOwner(next, linkUp)
				}
				id := late.place(numberedSpec(1))
				require.Equal(t, 1, s.refused)
				require.Zero(t, late.svc.Stats().InboxWritten.Load())
				fx.requireRanOnce(next, id)
				require.Zero(t, next.svc.Stats().InboxTaken.Load())
			})
		})
	}
}

// unreadableInbox fails the reads of whole inboxes until it is repaired.
type unreadableInbox struct {
	jobs.Store
	repaired atomic.Bool
}

func (s *unreadableInbox) Range(ctx context.Context, prefix string) (store.RangeResult, error) {
	if s.repaired.Load() {
		return s.Store.Range(ctx, prefix)
	}
	return store.RangeResult{}, store.ErrUnavailable
}

// Guards against a finished job that runs again: it is forgotten after a day, while the inbox still has an entry which the
// owner has not seen.
func TestInboxFinishedJobIsNotForgottenEarly(t *testing.T) {
	inboxScenario(t, 1, func(fx *fixture, entry *entryHost) {
		fx.writeEntry(numberedSpec(1))
		s := &unreadableInbox{}
		owner := fx.inboxHost(func(cfg *jobs.Config) {
			s.Store = cfg.Inbox.Store
			cfg.Inbox.Store = s
		})
		fx.giveCell(owner)
		id, err := owner.svc.Submit(bg, cell, numberedSpec(1))
		require.NoError(t, err)
		owner.awaitDone(time.Minute, id)
		time.Sleep(lifecycle.FinishedRetention)
		number := uint64(1000)
		forceSnapshots := func() {
			for range 3 * 256 {
				number++
				_, err := owner.svc.Submit(bg, cell, numberedSpec(number))
				require.NoError(t, err)
			}
		}
		forceSnapshots()
		require.True(t, fx.inInbox(1))
		s.repaired.Store(true)
		time.Sleep(5 * time.Second)
		require.False(t, fx.inInbox(1))
		require.Equal(t, 1, fx.executions(ident.TaskID{Job: id}), "the job is still known")
		require.EqualValues(t, 1, owner.svc.Stats().InboxLeftovers.Load())
		forceSnapshots()
		time.Sleep(2 * time.Minute)
		forceSnapshots()
		_, err = owner.svc.Get(bg, id, 0, 1)
		requireCode(t, verdict.CodeNotFound, err)
	})
}
