package jobs_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
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
				entry.setOwner(owner, linkCut)
				id := entry.place(numberedSpec(100))
				fx.requireRanOnce(owner, id)
			})
		})
	}
}

// headChangingStore changes the head of the snapshot before the first write into an inbox.
type headChangingStore struct {
	jobs.InboxStore
	change  func()
	refused int
}

func (s *headChangingStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if s.change != nil {
		s.change()
		s.change = nil
	}
	result, err := s.InboxStore.Txn(ctx, compares, ops)
	if err == nil && result.Outcome == store.NotApplied {
		s.refused++
	}
	return result, err
}

// Guards against a write that takes effect after the owner has forgotten the finished job: it must fail once the head of the
// snapshot has changed, and be decided again.
func TestInboxLateWriteIsRefused(t *testing.T) {
	inboxScenario(t, 2, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		s := &headChangingStore{InboxStore: fx.engine.Client(entry.name), change: func() {
			require.NoError(t, owner.svc.Drain(bg, cell))
		}}
		late := fx.entryHost(func(cfg *jobs.Config) { cfg.Inbox.Store = s })
		id := late.place(numberedSpec(1))
		require.Equal(t, 1, s.refused)
		fx.requireRanOnce(fx.ownerHost(entry), id)
	})
}

// Guards against a finished job that runs again: it is forgotten after a day, while the inbox still has an entry which the
// owner has not seen.
func TestInboxFinishedJobIsNotForgottenEarly(t *testing.T) {
	inboxScenario(t, 1, func(fx *fixture, entry *entryHost) {
		owner := fx.ownerHost(entry)
		id := entry.place(numberedSpec(1))
		fx.requireRanOnce(owner, id)
		fx.engine.Client(owner.name).SetFault(kv.Fault{WatchLag: 100 * time.Hour})
		time.Sleep(lifecycle.FinishedRetention)
		number := uint64(1000)
		forceSnapshots := func() {
			for range 3 * 256 {
				number++
				_, err := owner.svc.Submit(bg, cell, numberedSpec(number))
				require.NoError(t, err)
			}
		}
		fx.writeEntry(numberedSpec(1))
		forceSnapshots()
		_, err := owner.svc.Submit(bg, cell, numberedSpec(1))
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, fx.executions(ident.TaskID{Job: id}), "the job is still known")
		_, err = fx.engine.Txn(bg, nil, []store.Op{{Key: inboxKeyOf(1), Delete: true}})
		require.NoError(t, err)
		time.Sleep(2 * time.Minute)
		forceSnapshots()
		_, err = owner.svc.Get(bg, id, 0, 1)
		requireCode(t, verdict.CodeNotFound, err)
	})
}
