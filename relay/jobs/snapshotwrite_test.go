package jobs_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	snapshotHeadKey = "/cell/1/snap"
	snapshotParts   = "/cell/1/part/"
	estimatesKey    = "/cell/1/learnt"
	// neverExecuted is the delay of a write that is lost on its way to the store.
	neverExecuted = time.Duration(-1)
)

// lateStore loses the answers to writes of one key, and executes each of these writes after a delay.
type lateStore struct {
	jobs.Store
	key string

	mu sync.Mutex
	// delays are those of the next writes of the key; later writes are not disturbed.
	delays []time.Duration
	// writes counts all writes of the key that were called for.
	writes int
}

func (s *lateStore) takeDelay(ops []store.Op) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(ops) == 0 || ops[0].Key != s.key || ops[0].Delete {
		return 0, false
	}
	s.writes++
	if len(s.delays) == 0 {
		return 0, false
	}
	d := s.delays[0]
	s.delays = s.delays[1:]
	return d, true
}

func (s *lateStore) writeCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes
}

func (s *lateStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	delay, lost := s.takeDelay(ops)
	if !lost {
		return s.Store.Txn(ctx, compares, ops)
	}
	if delay != neverExecuted {
		time.AfterFunc(delay, func() { _, _ = s.Store.Txn(bg, compares, ops) })
	}
	<-ctx.Done()
	return store.TxnResult{}, store.NewError("Txn", store.Unknown, errors.New("no answer"))
}

// lateHost returns a host whose next writes of a key get no answer and are executed after the delays.
func (fx *fixture) lateHost(key string, delays ...time.Duration) (*host, *lateStore) {
	var late *lateStore
	h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store {
		late = &lateStore{Store: s, key: key, delays: delays}
		return late
	})
	return h, late
}

// submitOneByOne hands in jobs, each in a commit of its own.
func (h *host) submitOneByOne(n int) []ident.JobID {
	ids := make([]ident.JobID, n)
	for i := range ids {
		ids[i] = h.submit(spec("batch", 1, "work=1s"))
	}
	return ids
}

// Guards against a cell that no host can read any more: the store executes a write of the snapshot head late, after the
// parts that it names have been deleted. Also against a snapshot that is never written again, and parts that stay.
func TestLostAnswersToSnapshotHeads(t *testing.T) {
	for name, delays := range map[string][]time.Duration{
		"executed at once":                 {0},
		"executed before the next one":     {2500 * time.Millisecond},
		"executed after the next one":      {5500 * time.Millisecond},
		"executed long after the next":     {30 * time.Second},
		"never executed":                   {neverExecuted},
		"several, the first executed late": {6 * time.Second, neverExecuted, 0},
		"several, the last executed late":  {neverExecuted, neverExecuted, 5500 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 4, func(fx *fixture, h *host) {
				fx.kill(h)
				h, late := fx.lateHost(snapshotHeadKey, delays...)
				fx.giveCell(h)
				ids := h.submitOneByOne(256)
				for late.writeCount() <= len(delays) {
					ids = append(ids, h.submitOneByOne(1)...)
				}
				// The owner is lost before it writes a further snapshot.
				time.Sleep(31 * time.Second)
				fx.kill(h)
				next := fx.host()
				fx.giveCell(next)
				ids = append(ids, next.submitOneByOne(256)...)
				next.awaitDone(10*time.Minute, ids...)
				fx.verify(next, ids...)
				entries, err := fx.engine.Range(bg, fmt.Sprintf("/cell/%d/log/", cell))
				require.NoError(t, err)
				require.Less(t, len(entries.Entries), 2*256, "snapshots truncate the log")
				require.NoError(t, next.svc.Drain(bg, cell))
				fx.requirePartsOfHeadOnly()
			})
		})
	}
}

// requirePartsOfHeadOnly requires that the store holds the parts that the snapshot head names and no others.
func (fx *fixture) requirePartsOfHeadOnly() {
	fx.t.Helper()
	entry, found, err := fx.engine.Get(bg, snapshotHeadKey)
	require.NoError(fx.t, err)
	require.True(fx.t, found)
	head, err := cellpb.Codec{}.DecodeHead(entry.Value)
	require.NoError(fx.t, err)
	parts, err := fx.engine.Range(bg, snapshotParts)
	require.NoError(fx.t, err)
	require.Len(fx.t, parts.Entries, head.Parts)
	for _, e := range parts.Entries {
		require.Contains(fx.t, e.Key, snapshotParts+head.ID+"/")
	}
}

// Guards against a late write of older estimates that replaces newer ones, and against estimates that are never written
// again after an answer was lost.
func TestLateWriteOfEstimatesIsRefused(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"executed before the next one": 0, "executed after the next one": 7 * time.Second, "never executed": neverExecuted,
	} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 1, func(fx *fixture, h *host) {
				fx.kill(h)
				h, late := fx.lateHost(estimatesKey, delay)
				fx.giveCell(h)
				for n, image := range []string{"first", "second"} {
					work := spec("batch", 1, "work=60s")
					work.Groups[0].Constraints.Image = image
					h.submit(work)
					for late.writeCount() <= n {
						time.Sleep(10 * time.Millisecond)
					}
				}
				time.Sleep(20 * time.Second)
				entry, _, err := fx.engine.Get(bg, estimatesKey)
				require.NoError(t, err)
				stored, err := cellpb.Codec{}.DecodeEstimates(entry.Value)
				require.NoError(t, err)
				require.Len(t, stored.Images, 2)
			})
		})
	}
}

// countedDeletes is a store that counts the keys that are deleted.
type countedDeletes struct {
	jobs.Store
	deleted *atomic.Int64
}

func (s countedDeletes) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	for _, op := range ops {
		if op.Delete {
			s.deleted.Add(1)
		}
	}
	return s.Store.Txn(ctx, compares, ops)
}

// Guards against a new owner that deletes all sequence numbers up to the head, millions after a day, because a late write has
// written an entry anew that a snapshot had deleted long before. Also against such an entry that stays.
func TestLateLogWriteLeavesOneKeyToDelete(t *testing.T) {
	scenario(t, 4, func(fx *fixture, h *host) {
		fx.kill(h)
		lateKey := fmt.Sprintf("/cell/%d/log/%020d", cell, 20)
		h, late := fx.lateHost(lateKey, 10*time.Minute)
		fx.giveCell(h)
		var ids []ident.JobID
		for range 4 {
			ids = append(ids, h.submitOneByOne(256)...)
		}
		h.awaitDone(time.Hour, ids...)
		require.Greater(t, late.writeCount(), 1, "the write was not repeated")
		time.Sleep(10 * time.Minute)
		_, found, err := fx.engine.Client("test").Get(bg, lateKey)
		require.NoError(t, err)
		require.True(t, found, "the late write has not taken effect")
		fx.kill(h)
		stored, err := fx.engine.Range(bg, fmt.Sprintf("/cell/%d/", cell))
		require.NoError(t, err)
		deleted := new(atomic.Int64)
		next := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return countedDeletes{s, deleted} })
		fx.giveCell(next)
		later := next.submitOneByOne(256)
		next.awaitDone(time.Hour, later...)
		require.Positive(t, deleted.Load(), "no snapshot was written")
		entriesPerJob := 2 // accepted, done
		require.LessOrEqual(t, int(deleted.Load()), len(stored.Entries)+entriesPerJob*len(later))
		_, found, err = fx.engine.Client("test").Get(bg, lateKey)
		require.NoError(t, err)
		require.False(t, found)
		fx.verify(next, later...)
	})
}

// slowParts is a store that takes long for the parts of snapshots.
type slowParts struct {
	jobs.Store
	delay  time.Duration
	writes *atomic.Int64
}

func (s slowParts) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if len(ops) > 0 && strings.HasPrefix(ops[0].Key, snapshotParts) && !ops[0].Delete {
		s.writes.Add(1)
		time.Sleep(s.delay)
	}
	return s.Store.Txn(ctx, compares, ops)
}

// Load: a full cell, whose snapshot takes as long as dozens of commits. Guards against jobs, and steps of jobs, that wait for it,
// and against a cell that is lost while its snapshot is being written.
func TestCommitsDoNotWaitForASnapshot(t *testing.T) {
	scenario(t, 4, func(fx *fixture, h *host) {
		fx.kill(h)
		writes := new(atomic.Int64)
		h = fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowParts{s, time.Second, writes} })
		fx.giveCell(h)
		ids := h.submitOneByOne(250)
		slowest := time.Duration(0)
		for writes.Load() == 0 || len(ids) < 300 {
			begun := time.Now()
			ids = append(ids, h.submitOneByOne(1)...)
			slowest = max(slowest, time.Since(begun))
		}
		require.Less(t, slowest, 500*time.Millisecond)
		fx.kill(h)
		next := fx.host()
		fx.giveCell(next)
		next.awaitDone(10*time.Minute, ids...)
		fx.verify(next, ids...)
	})
}
