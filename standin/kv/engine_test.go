package kv

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/store"
)

var bg = context.Background()

func put(key, value string) []store.Op {
	return []store.Op{{Key: key, Value: []byte(value)}}
}

// Guards against a compare-and-swap that lets two writers create the same key, and against epochs (create revisions)
// that change on an update.
func TestTxnCompares(t *testing.T) {
	e := New(Config{})
	r, err := e.Txn(bg, []store.Compare{store.KeyAbsent("/a")}, put("/a", "1"))
	require.NoError(t, err)
	require.Equal(t, store.Applied, r.Outcome)
	created := r.Revision
	r, err = e.Txn(bg, []store.Compare{store.KeyAbsent("/a")}, put("/a", "2"))
	require.NoError(t, err)
	require.Equal(t, store.NotApplied, r.Outcome)
	r, err = e.Txn(bg, []store.Compare{{Key: "/a", Field: store.FieldModRevision, Revision: created}}, put("/a", "3"))
	require.NoError(t, err)
	require.Equal(t, store.Applied, r.Outcome)
	entry, ok, err := e.Get(bg, "/a")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, created, entry.CreateRevision)
	require.Equal(t, r.Revision, entry.ModRevision)
}

// Guards against leased keys that outlive a paused holder, and against watches that miss the deletion.
func TestLeaseExpiresWhileHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		id, err := e.Grant(bg, 9*time.Second)
		require.NoError(t, err)
		r, err := e.Txn(bg, nil, []store.Op{{Key: "/own/1", Lease: id}})
		require.NoError(t, err)
		w := e.Watch(ctx, "/own/", r.Revision)
		time.Sleep(8 * time.Second)
		ok, err := e.KeepAlive(bg, id)
		require.NoError(t, err)
		require.True(t, ok)
		start := time.Now()
		batch := <-w
		require.Equal(t, 9*time.Second, time.Since(start).Round(time.Millisecond))
		require.True(t, batch.Events[0].Deleted)
		ok, err = e.KeepAlive(bg, id)
		require.NoError(t, err)
		require.False(t, ok)
		_, err = e.Txn(bg, nil, []store.Op{{Key: "/own/1", Lease: id}})
		require.ErrorIs(t, err, store.ErrLeaseNotFound)
	})
}

// Guards against lost answers reported as anything but unknown, and against a loss with the wrong effect.
func TestLostAnswers(t *testing.T) {
	e := New(Config{})
	e.SetFault(Fault{LoseAfter: 1})
	r, err := e.Txn(bg, nil, put("/after", "1"))
	require.Equal(t, store.Unknown, r.Outcome)
	require.Equal(t, store.Unknown, store.OutcomeOf(err))
	_, ok, err := e.Get(bg, "/after")
	require.NoError(t, err)
	require.True(t, ok)

	e.SetFault(Fault{LoseBefore: 1})
	r, err = e.Txn(bg, nil, put("/before", "1"))
	require.Error(t, err)
	require.Equal(t, store.Unknown, r.Outcome)
	_, ok, err = e.Get(bg, "/before")
	require.NoError(t, err)
	require.False(t, ok)
}

// Guards against an unreachable service that claims an unknown outcome, and against faults that leak to other clients.
func TestDownIsNotAppliedAndPerClient(t *testing.T) {
	e := New(Config{})
	a, b := e.Client("a"), e.Client("b")
	w := a.Watch(bg, "/", 0)
	a.SetFault(Fault{Down: true})
	require.ErrorIs(t, (<-w).Err, store.ErrUnavailable)
	r, err := a.Txn(bg, nil, put("/a", "1"))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, store.NotApplied, r.Outcome)
	_, err = b.Txn(bg, nil, put("/a", "1"))
	require.NoError(t, err)
	e.SetFault(Fault{Down: true})
	_, err = b.Range(bg, "/")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a slow service that drops a write whose caller gave up: the write must still take effect later.
func TestSlowWriteTakesEffectAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		e.SetFault(Fault{Delay: 4 * time.Second})
		ctx, cancel := context.WithTimeout(bg, time.Second)
		defer cancel()
		r, err := e.Txn(ctx, nil, put("/a", "1"))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, store.Unknown, r.Outcome)
		e.SetFault(Fault{})
		_, ok, err := e.Get(bg, "/a")
		require.NoError(t, err)
		require.False(t, ok)
		time.Sleep(2 * time.Second)
		_, ok, err = e.Get(bg, "/a")
		require.NoError(t, err)
		require.True(t, ok)
	})
}

// Guards against an outage of the service itself that ends leases.
func TestStopKeepsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		id, err := e.Grant(bg, 9*time.Second)
		require.NoError(t, err)
		e.Stop()
		time.Sleep(time.Hour)
		e.Start()
		ok, err := e.KeepAlive(bg, id)
		require.NoError(t, err)
		require.True(t, ok)
	})
}

// Guards against a stand-in that accepts what the platform refuses: large values and calls above the rate caps.
func TestLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		_, err := e.Txn(bg, nil, []store.Op{{Key: "/a", Value: make([]byte, store.MaxValueBytes+1)}})
		require.ErrorIs(t, err, store.ErrTooLarge)
		for range DefaultWritesPerSecond - 1 {
			_, err = e.Txn(bg, nil, put("/a", "1"))
			require.NoError(t, err)
		}
		r, err := e.Txn(bg, nil, put("/a", "1"))
		require.ErrorIs(t, err, store.ErrRateLimited)
		require.Equal(t, store.NotApplied, r.Outcome)
		time.Sleep(time.Second)
		_, err = e.Txn(bg, nil, put("/a", "1"))
		require.NoError(t, err)
		require.Equal(t, int64(1), e.Counts().RateLimited)
	})
}

// Guards against watches that lose, reorder or duplicate changes around a cut, and against reading compacted history.
func TestWatchResumesAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		ctx, cancel := context.WithCancel(bg)
		defer cancel()
		w := e.Watch(ctx, "/", 1)
		_, err := e.Txn(bg, nil, put("/a", "1"))
		require.NoError(t, err)
		first := <-w
		e.CutWatches()
		require.Error(t, (<-w).Err)
		_, err = e.Txn(bg, nil, put("/b", "1"))
		require.NoError(t, err)
		e.SetFault(Fault{WatchLag: 5 * time.Second})
		start := time.Now()
		w = e.Watch(ctx, "/", first.Revision)
		second := <-w
		require.Equal(t, 5*time.Second, time.Since(start))
		require.Equal(t, "/b", second.Events[0].Entry.Key)
		require.Equal(t, int64(1), e.Counts().OpenWatches)
		e.Compact()
		require.ErrorIs(t, (<-e.Watch(ctx, "/", first.Revision)).Err, store.ErrCompacted)
	})
}
