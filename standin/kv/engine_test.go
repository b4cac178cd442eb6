package kv

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/store"
)

var background = context.Background()

func put(key, value string) []store.Op {
	return []store.Op{{Key: key, Value: []byte(value)}}
}

// Guards against a compare-and-swap that lets two writers create the same key, and against a create revision that
// changes on an update: create revisions serve as epochs.
func TestTxnAppliesOnlyIfComparesHold(t *testing.T) {
	e := New(Config{})
	r, err := e.Txn(background, []store.Compare{store.KeyAbsent("/a")}, put("/a", "1"))
	require.NoError(t, err)
	require.Equal(t, store.Applied, r.Outcome)
	created := r.Revision
	r, err = e.Txn(background, []store.Compare{store.KeyAbsent("/a")}, put("/a", "2"))
	require.NoError(t, err)
	require.Equal(t, store.NotApplied, r.Outcome)
	r, err = e.Txn(background, []store.Compare{{Key: "/a", Field: store.FieldModRevision, Revision: created}}, put("/a", "3"))
	require.NoError(t, err)
	require.Equal(t, store.Applied, r.Outcome)
	entry, ok, err := e.Get(background, "/a")
	require.NoError(t, err)
	require.True(t, ok)
	require.Equal(t, created, entry.CreateRevision)
	require.Equal(t, r.Revision, entry.ModRevision)
}

// Guards against keys that outlive their lease when the holder is paused, and against watches that miss the deletion.
func TestLeaseExpiresWhileHolderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		ctx, cancel := context.WithCancel(background)
		defer cancel()
		id, err := e.Grant(background, 9*time.Second)
		require.NoError(t, err)
		r, err := e.Txn(background, nil, []store.Op{{Key: "/own/1", Lease: id}})
		require.NoError(t, err)
		w := e.Watch(ctx, "/own/", r.Revision)
		time.Sleep(8 * time.Second)
		ok, err := e.KeepAlive(background, id)
		require.NoError(t, err)
		require.True(t, ok)
		start := time.Now()
		batch := <-w
		require.Equal(t, 9*time.Second, time.Since(start).Round(time.Millisecond))
		require.True(t, batch.Events[0].Deleted)
		ok, err = e.KeepAlive(background, id)
		require.NoError(t, err)
		require.False(t, ok)
		_, err = e.Txn(background, nil, []store.Op{{Key: "/own/1", Lease: id}})
		require.ErrorIs(t, err, store.ErrLeaseNotFound)
	})
}

// Guards against a lost answer reported with an outcome other than unknown, against a write that is lost although
// LoseAfter is set, and against one that takes effect although LoseBefore is set.
func TestLostAnswerHasUnknownOutcome(t *testing.T) {
	e := New(Config{})
	e.SetFault(Fault{LoseAfter: 1})
	r, err := e.Txn(background, nil, put("/after", "1"))
	require.Equal(t, store.Unknown, r.Outcome)
	require.Equal(t, store.Unknown, store.OutcomeOf(err))
	_, ok, err := e.Get(background, "/after")
	require.NoError(t, err)
	require.True(t, ok)

	e.SetFault(Fault{LoseBefore: 1})
	r, err = e.Txn(background, nil, put("/before", "1"))
	require.Error(t, err)
	require.Equal(t, store.Unknown, r.Outcome)
	_, ok, err = e.Get(background, "/before")
	require.NoError(t, err)
	require.False(t, ok)
}

// Guards against calls refused under Down being reported with an unknown outcome, and against the faults of one client
// that affect another. Faults of the engine affect all clients.
func TestDownRefusesOnlyTheClient(t *testing.T) {
	e := New(Config{})
	a, b := e.Client("a"), e.Client("b")
	w := a.Watch(background, "/", 0)
	a.SetFault(Fault{Down: true})
	require.ErrorIs(t, (<-w).Err, store.ErrUnavailable)
	r, err := a.Txn(background, nil, put("/a", "1"))
	require.ErrorIs(t, err, store.ErrUnavailable)
	require.Equal(t, store.NotApplied, r.Outcome)
	_, err = b.Txn(background, nil, put("/a", "1"))
	require.NoError(t, err)
	e.SetFault(Fault{Down: true})
	_, err = b.Range(background, "/")
	require.ErrorIs(t, err, store.ErrUnavailable)
}

// Guards against a delayed write that is dropped when its caller gives up: it must still take effect later.
func TestSlowWriteTakesEffectAfterDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		e.SetFault(Fault{Delay: 4 * time.Second})
		ctx, cancel := context.WithTimeout(background, time.Second)
		defer cancel()
		r, err := e.Txn(ctx, nil, put("/a", "1"))
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, store.Unknown, r.Outcome)
		e.SetFault(Fault{})
		_, ok, err := e.Get(background, "/a")
		require.NoError(t, err)
		require.False(t, ok)
		time.Sleep(2 * time.Second)
		_, ok, err = e.Get(background, "/a")
		require.NoError(t, err)
		require.True(t, ok)
	})
}

// Guards against leases that expire during an outage of the service itself.
func TestStopKeepsLeases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		id, err := e.Grant(background, 9*time.Second)
		require.NoError(t, err)
		e.Stop()
		time.Sleep(time.Hour)
		e.Start()
		ok, err := e.KeepAlive(background, id)
		require.NoError(t, err)
		require.True(t, ok)
	})
}

// Guards against accepting what the platform refuses: values that are too large and calls above the rate limits.
func TestValueSizeAndRateLimits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		_, err := e.Txn(background, nil, []store.Op{{Key: "/a", Value: make([]byte, store.MaxValueBytes+1)}})
		require.ErrorIs(t, err, store.ErrTooLarge)
		for range DefaultWritesPerSecond - 1 {
			_, err = e.Txn(background, nil, put("/a", "1"))
			require.NoError(t, err)
		}
		r, err := e.Txn(background, nil, put("/a", "1"))
		require.ErrorIs(t, err, store.ErrRateLimited)
		require.Equal(t, store.NotApplied, r.Outcome)
		time.Sleep(time.Second)
		_, err = e.Txn(background, nil, put("/a", "1"))
		require.NoError(t, err)
		require.Equal(t, int64(1), e.Counts().RateLimited)
	})
}

// Guards against a watch that loses or repeats changes when it resumes after a cut, against WatchLag that is not
// applied, against a watch that stays counted as open, and against a watch that starts in compacted history.
func TestWatchResumesAfterCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := New(Config{})
		ctx, cancel := context.WithCancel(background)
		defer cancel()
		w := e.Watch(ctx, "/", 1)
		_, err := e.Txn(background, nil, put("/a", "1"))
		require.NoError(t, err)
		first := <-w
		e.CutWatches()
		require.Error(t, (<-w).Err)
		_, err = e.Txn(background, nil, put("/b", "1"))
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
