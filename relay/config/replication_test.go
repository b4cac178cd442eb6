package config_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// run runs the services until the returned function is called.
func run(services ...*config.Service) (stop func()) {
	ctx, cancel := context.WithCancel(bg)
	var running sync.WaitGroup
	for _, s := range services {
		running.Go(func() { s.Run(ctx) })
	}
	return func() {
		cancel()
		running.Wait()
	}
}

func awaitRevision(t *testing.T, s *config.Service, want table.Revision, within time.Duration) {
	ctx, cancel := context.WithTimeout(bg, within)
	defer cancel()
	for seen := s.InForce(); seen == nil || seen.Revision() < want; {
		next, err := s.Await(ctx, seen)
		require.NoError(t, err, "revision %d not in force at %s within %s", want, s.Self, within)
		seen = next
	}
}

// Guards against a revision that does not reach every host within 2 s (9 hosts, 2 watchers in each data centre), also
// if watches are cut, and against a watch that dies without an error.
func TestRevisionReachesEveryHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		var hosts []*config.Service
		for i := range 9 {
			s := f.host(fmt.Sprintf("h%d", i), 1, nil)
			s.SetWatcher(i%3 < 2)
			hosts = append(hosts, s)
		}
		stop := run(hosts...)
		defer stop()
		time.Sleep(time.Second)
		commit(t, hosts[2], change(0, 1, 5))
		for _, s := range hosts {
			awaitRevision(t, s, 1, 2*time.Second)
		}
		f.engine.CutWatches()
		commit(t, hosts[5], change(1, 2, 6))
		for _, s := range hosts {
			awaitRevision(t, s, 2, 2*time.Second)
		}
		require.True(t, hosts[8].CheckRollout(bg, 2).InForce)
		require.False(t, hosts[8].CheckRollout(bg, 3).InForce)

		// Only the host that commits knows of the revision, because the watches lag and its pushes fail.
		f.engine.SetFault(kv.Fault{WatchLag: time.Hour})
		f.setUnreachable("h2", true)
		commit(t, hosts[2], change(2, 3, 7))
		for i, s := range hosts {
			if i != 2 {
				awaitRevision(t, s, 3, 11*time.Second)
			}
		}
	})
}

// Guards against a lagging host that goes back to an older revision, or that cannot catch up once its peers have
// dropped the records.
func TestLaggingHostCatchesUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		a, b := f.host("a", 1, nil), f.host("b", 1, nil)
		stop := run(a, b)
		defer stop()
		commit(t, a, change(0, 1, 1))
		awaitRevision(t, b, 1, 2*time.Second)
		f.setUnreachable("b", true)
		f.engine.Client("b").SetFault(kv.Fault{Down: true})
		for n := 1; n < 250; n++ {
			commit(t, a, change(table.Revision(n), n+1, n+1))
		}
		require.Equal(t, table.Revision(1), b.InForce().Revision())
		rollout := a.CheckRollout(bg, 250)
		require.False(t, rollout.InForce)
		require.Equal(t, []ident.HostID{"b"}, rollout.Missing)
		f.setUnreachable("b", false)
		awaitRevision(t, b, 250, 3*time.Second)
		require.Equal(t, "a", b.Status().Source)
		require.Equal(t, a.InForce().Rows(), b.InForce().Rows())
	})
}

// Guards against a host that starts during a store outage and serves without a table, does not take the newest table
// of its peers, or hides that it did not reach the store.
func TestRestartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		a, b := f.host("a", 1, nil), f.host("b", 1, nil)
		commit(t, a, change(0, 1, 1))
		require.NoError(t, b.Start(bg))
		commit(t, a, change(1, 2, 2))
		f.engine.SetFault(kv.Fault{Hang: true})

		isolated := f.host("c", 1, nil)
		f.setUnreachable("c", true)
		err := isolated.Start(bg)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.Nil(t, isolated.InForce())
		require.False(t, isolated.Status().Self.Loaded)

		c := f.host("c", 2, nil)
		f.setUnreachable("c", false)
		require.NoError(t, c.Start(bg))
		require.Equal(t, table.Revision(2), c.InForce().Revision())
		st := c.Status()
		require.Equal(t, "a", st.Source)
		require.NotEmpty(t, st.StoreFault)
		require.Zero(t, st.Self.StoreContact)
		require.False(t, st.PeerContact.IsZero())

		stop := run(c)
		defer stop()
		f.engine.SetFault(kv.Fault{})
		commit(t, b, change(2, 3, 3))
		awaitRevision(t, c, 3, 12*time.Second)
		time.Sleep(20 * time.Second)
		require.Empty(t, c.Status().StoreFault)
	})
}

// Guards against a rollout that is confirmed although a host has restarted and not confirmed, the members change
// while they are asked, the store cannot be read, or there are no members.
func TestRolloutIsNeverFalselyConfirmed(t *testing.T) {
	f := newFleet(t, kv.Config{})
	a, b := f.host("a", 1, nil), f.host("b", 1, nil)
	commit(t, a, change(0, 1, 1))
	require.Equal(t, 1, a.CheckRollout(bg, 1).Confirmed)
	require.NoError(t, b.Start(bg))
	require.True(t, a.CheckRollout(bg, 1).InForce)

	// The lease belongs to the next incarnation, which has not loaded anything.
	f.leased[1].Incarnation = 2
	require.False(t, a.CheckRollout(bg, 1).InForce)
	f.leased[1].Incarnation = 1

	calls := 0
	f.onLeased = func() {
		if calls++; calls == 1 {
			f.mu.Lock()
			f.leased = append(f.leased, ident.Instance{Host: "late", Incarnation: 1})
			f.mu.Unlock()
		}
	}
	rollout := a.CheckRollout(bg, 1)
	require.False(t, rollout.InForce)
	require.Contains(t, rollout.Reason, "members changed")
	f.leased, f.onLeased = f.leased[:2], nil

	f.engine.SetFault(kv.Fault{Down: true})
	require.False(t, a.CheckRollout(bg, 1).InForce)
	f.engine.SetFault(kv.Fault{})
	f.leased = nil
	require.False(t, a.CheckRollout(bg, 1).InForce)
}

// Guards against a store that lost revisions and makes a host revert an accepted configuration.
func TestStoreThatLostRevisionsDoesNotRevert(t *testing.T) {
	f := newFleet(t, kv.Config{})
	s := f.host("a", 1, nil)
	commit(t, s, change(0, 1, 1))
	commit(t, s, change(1, 2, 2))
	stored, err := f.engine.Range(bg, "/table/")
	require.NoError(t, err)
	require.NotEmpty(t, stored.Entries)
	for _, e := range stored.Entries {
		_, err = f.engine.Txn(bg, nil, []store.Op{{Key: e.Key, Delete: true}})
		require.NoError(t, err)
	}
	_, err = s.Commit(bg, change(2, 3, 3))
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, table.Revision(2), s.InForce().Revision())
	require.Contains(t, s.Status().Divergence, "behind revision 2")
}

// Guards against installing records or a snapshot of a peer that do not match their digest, and against a host that
// does not recover from them.
func TestUpdateWithWrongDigestIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		a, b := f.host("a", 1, nil), f.host("b", 1, nil)
		commit(t, a, change(0, 1, 1))
		require.NoError(t, b.Start(bg))
		f.engine.Client("b").SetFault(kv.Fault{Down: true})
		f.tamper = func(u *config.Update) {
			wrong := rows(99)
			for i := range u.Records {
				u.Records[i].Delta = table.Delta{{Name: wrong[0].Name, Before: u.Records[i].Delta[0].Before, After: &wrong[0]}}
			}
			if u.Snapshot != nil {
				u.Snapshot = &table.Snapshot{Table: table.New(u.Snapshot.Table.Revision(), wrong), Digest: u.Snapshot.Digest}
			}
		}
		commit(t, a, change(1, 2, 2))
		stop := run(b)
		defer stop()
		time.Sleep(5 * time.Second)
		require.Equal(t, table.Revision(1), b.InForce().Revision())
		require.GreaterOrEqual(t, b.Counters().RejectedUpdates.Load(), int64(2))
		f.mu.Lock()
		f.tamper = nil
		f.mu.Unlock()
		awaitRevision(t, b, 2, 3*time.Second)
	})
}

// Guards against counting the digest of a replaced process for its host, and against a status that lists replaced
// hosts for ever.
func TestReportsOfReplacedHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		a, b := f.host("a", 1, nil), f.host("b", 1, nil)
		commit(t, a, change(0, 1, 1))
		require.NoError(t, b.Start(bg))
		require.True(t, a.CheckRollout(bg, 1).InForce)
		// The process is replaced and has not loaded anything yet, while the lease of the old process lasts.
		f.host("b", 2, nil)
		f.leased[1].Incarnation = 1
		require.False(t, a.CheckRollout(bg, 1).InForce)
		require.Len(t, a.Status().Hosts, 1)
		f.setUnreachable("b", true)
		stop := run(a)
		defer stop()
		time.Sleep(11 * time.Minute)
		require.Empty(t, a.Status().Hosts)
	})
}
