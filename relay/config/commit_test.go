package config_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against a lost answer of the store that is reported as a failure or leads to a second revision.
func TestLostAnswerIsResolved(t *testing.T) {
	for name, fault := range map[string]kv.Fault{"before": {LoseBefore: 2}, "after": {LoseAfter: 1}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, kv.Config{})
				s := f.host("a", 1, nil)
				f.engine.SetFault(fault)
				require.Equal(t, table.Revision(1), commit(t, s, change(0, 1, 5)).Revision)
				require.Equal(t, table.Revision(1), s.InForce().Revision())
				// The same change again yields the same revision; another change with the same base is a conflict.
				require.Equal(t, table.Revision(1), commit(t, s, change(0, 1, 5)).Revision)
				_, err := s.Commit(bg, change(0, 2, 6))
				require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
				require.Equal(t, verdict.CodeConflict, verdict.FromError(err).Code)
				records, complete, err := s.History(bg, 0, 10)
				require.NoError(t, err)
				require.True(t, complete)
				require.Len(t, records, 1)
			})
		})
	}
}

// Guards against a write that is reported as not run although it takes effect after its caller gave up, and against a
// second effect when the caller repeats it.
func TestSlowWriteIsUnknownUntilApplied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		slow := &hookStore{Store: f.engine.Client("a")}
		slow.before = func() { f.engine.SetFault(kv.Fault{Delay: 30 * time.Second}) }
		s := f.host("a", 1, slow)
		_, err := s.Commit(bg, change(0, 1, 5))
		var unknown *config.UnknownOutcomeError
		require.ErrorAs(t, err, &unknown)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
		f.engine.SetFault(kv.Fault{})
		state, err := s.Outcome(bg, unknown.Marker)
		require.NoError(t, err)
		require.Equal(t, config.OutcomeUnknown, state)
		time.Sleep(time.Minute)
		state, err = s.Outcome(bg, unknown.Marker)
		require.NoError(t, err)
		require.Equal(t, config.OutcomeCommitted, state)
		slow.before = nil
		require.Equal(t, table.Revision(1), commit(t, s, change(0, 1, 5)).Revision)
		require.Equal(t, table.Revision(1), s.InForce().Revision())
	})
}

// Guards against a repeat that is reported as a conflict because the first attempt takes effect between the reads of
// the repeat.
func TestRepeatDuringItsOwnCommit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, kv.Config{})
		f.engine.SetFault(kv.Fault{Delay: 20 * time.Millisecond})
		s := f.host("a", 1, nil)
		var repeats sync.WaitGroup
		for range 20 {
			repeats.Go(func() {
				time.Sleep(rand.N(100 * time.Millisecond))
				done, err := s.Commit(bg, change(0, 1, 5))
				require.NoError(t, err)
				require.Equal(t, table.Revision(1), done.Revision)
			})
		}
		repeats.Wait()
	})
}

// Guards against any verdict but NotRun for a commit while the store is down.
func TestCommitWithoutStore(t *testing.T) {
	f := newFleet(t, kv.Config{})
	s := f.host("a", 1, nil)
	commit(t, s, change(0, 1, 5))
	f.engine.SetFault(kv.Fault{Down: true})
	_, err := s.Commit(bg, change(1, 2, 6))
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Equal(t, verdict.CodeUnavailable, verdict.FromError(err).Code)
	require.Equal(t, table.Revision(1), s.InForce().Revision())
}

// Guards against an invalid change that writes anything, or that reports only its first fault.
func TestInvalidChangeWritesNothing(t *testing.T) {
	f := newFleet(t, kv.Config{})
	s := f.host("a", 1, nil)
	c := change(0, 1, 0, -1)
	c.Author = ""
	_, err := s.Commit(bg, c)
	var faults table.Faults
	require.ErrorAs(t, err, &faults)
	require.Len(t, faults, 3)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	require.Zero(t, f.engine.Counts().Total())
}

// Guards against a conflict without a merge proposal, and against a rollback that rewrites the history.
func TestConflictOffersMergeAndRollbackAddsRevision(t *testing.T) {
	f := newFleet(t, kv.Config{})
	a, b := f.host("a", 1, nil), f.host("b", 1, nil)
	commit(t, a, change(0, 1, 1, 1, 1))
	commit(t, a, change(1, 2, 2, 1, 1))
	_, err := b.Commit(bg, change(1, 3, 3, 1, 9))
	var conflict *config.ConflictError
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, table.Revision(2), conflict.Head)
	require.Len(t, conflict.Conflicts, 1)
	require.Equal(t, []table.ColumnName{table.ColWeight}, conflict.Conflicts[0].Columns())
	require.Equal(t, rows(2, 1, 9), conflict.Merged)

	done, err := b.Rollback(bg, 1, config.Change{Base: 2, Author: "ben", Reason: "undo", Nonce: "nonce-0000000000000004"})
	require.NoError(t, err)
	require.Equal(t, table.Revision(3), done.Revision)
	require.Equal(t, rows(1, 1, 1), b.InForce().Rows())
	records, _, err := b.History(bg, 0, 10)
	require.NoError(t, err)
	require.Len(t, records, 3)
	require.Equal(t, "undo", records[0].Reason)
	_, err = b.TableAt(bg, 4)
	require.Equal(t, verdict.CodeNotFound, verdict.FromError(err).Code)
}

type operationInput struct {
	read   bool
	base   table.Revision
	weight int
}

type tableState struct {
	revision table.Revision
	weight   int
}

type operationOutput struct {
	state     tableState
	committed bool
	unknown   bool
}

// tableModel is the sequential model: a commit takes effect only on its base. A commit with an unknown outcome
// returns at the end of the history, so that it may take effect at any time after its call; if its base is gone, it
// has no effect.
var tableModel = porcupine.Model{
	Init: func() any { return tableState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in, out := state.(tableState), input.(operationInput), output.(operationOutput)
		next := tableState{revision: in.base + 1, weight: in.weight}
		switch {
		case in.read:
			return s == out.state, s
		case out.committed:
			return s.revision == in.base, next
		case out.unknown && s.revision == in.base:
			return true, next
		default:
			return true, s
		}
	},
}

// Guards against two concurrent operators that are both told that they succeeded, against losing the change of the
// one who did, and against a change that takes effect after its operator was told that it did not. Answers are lost,
// slow or refused meanwhile.
func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for seed := range uint64(8) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, kv.Config{})
			h := &operationHistory{}
			ctx, stop := context.WithCancel(bg)
			var faults, operators sync.WaitGroup
			faults.Go(func() { injectFaults(ctx, f, rand.New(rand.NewPCG(seed, 0))) })
			for i := range 4 {
				s := f.host(string(rune('a'+i)), 1, unreliableStore(f, i, rand.New(rand.NewPCG(seed, uint64(10+i)))))
				operators.Go(func() { runOperator(s, h, i, rand.New(rand.NewPCG(seed, uint64(i+1)))) })
			}
			operators.Wait()
			stop()
			faults.Wait()
			h.close()
			result := porcupine.CheckOperationsTimeout(tableModel, h.operations, time.Minute)
			require.Equal(t, porcupine.Ok, result, "seed %d", seed)
			require.Positive(t, h.committed, "seed %d: nothing was committed", seed)
			t.Logf("seed %d: %d operations, %d committed, %d unknown", seed, len(h.operations), h.committed, h.unknown)
		})
	}
}

type operationHistory struct {
	clock atomic.Int64

	mu         sync.Mutex
	operations []porcupine.Operation
	committed  int
	unknown    int
}

func (h *operationHistory) add(client int, call int64, in operationInput, out operationOutput) {
	h.mu.Lock()
	defer h.mu.Unlock()
	end := h.clock.Add(1)
	if out.unknown {
		end = 0
		h.unknown++
	}
	if out.committed {
		h.committed++
	}
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: in, Call: call, Output: out, Return: end,
	})
}

// close gives the operations with an unknown outcome a return after all others, each under its own client id.
func (h *operationHistory) close() {
	for i := range h.operations {
		if h.operations[i].Return == 0 {
			h.operations[i].Return = h.clock.Add(1)
			h.operations[i].ClientId = 100 + i
		}
	}
}

func runOperator(s *config.Service, h *operationHistory, client int, rng *rand.Rand) {
	for n := range 40 {
		time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
		call := h.clock.Add(1)
		t, err := s.Refresh(bg)
		if err != nil {
			continue
		}
		seen := tableState{revision: t.Revision()}
		if t.Len() > 0 {
			seen.weight = t.Rows()[0].Weight
		}
		h.add(client, call, operationInput{read: true}, operationOutput{state: seen})
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		in := operationInput{base: t.Revision(), weight: 1 + client*1000 + n}
		call = h.clock.Add(1)
		_, err = s.Commit(bg, change(in.base, in.weight, in.weight))
		var unknown *config.UnknownOutcomeError
		h.add(client, call, in, operationOutput{committed: err == nil, unknown: errors.As(err, &unknown)})
	}
}

// unreliableStore returns a store whose writes are sometimes followed by an outage, or so slow that they take effect
// after their caller has given up.
func unreliableStore(f *fleet, client int, rng *rand.Rand) store.Store {
	session := f.engine.Client(string(rune('a' + client)))
	h := &hookStore{Store: session}
	after := kv.Fault{}
	h.before = func() {
		switch after = (kv.Fault{}); rng.IntN(10) {
		case 0:
			session.SetFault(kv.Fault{LoseAfter: 1})
			after = kv.Fault{Down: true}
		case 1:
			session.SetFault(kv.Fault{Delay: 14 * time.Second})
			after = kv.Fault{Hang: true}
		}
	}
	h.after = func() {
		if after != (kv.Fault{}) {
			session.SetFault(after)
		}
	}
	return h
}

func injectFaults(ctx context.Context, f *fleet, rng *rand.Rand) {
	faults := []kv.Fault{
		{},
		{LoseBefore: 2},
		{LoseAfter: 3},
		{LoseAfter: -1},
		{Delay: 300 * time.Millisecond},
		{Delay: 3 * time.Second},
		{Hang: true},
		{Down: true},
	}
	for ctx.Err() == nil {
		f.engine.Client(string(rune('a' + rng.IntN(4)))).SetFault(faults[rng.IntN(len(faults))])
		f.engine.SetFault(faults[rng.IntN(len(faults)-2)])
		time.Sleep(time.Duration(100+rng.IntN(6000)) * time.Millisecond)
	}
	f.engine.SetFault(kv.Fault{})
}

// Guards against stored values above the size limit of the store, and against a history or a memory that grows with
// the number of changes. A day at the target size has 21,000 changes; docs/notes/table.md has the figures of such a
// run.
func TestReplayKeepsHistoryAndValuesBounded(t *testing.T) {
	replayChanges(t, 450, 1100)
}

func replayChanges(t testing.TB, changes, rows int) (largest int) {
	f := newFleet(t, kv.Config{WritesPerSecond: -1, ReadsPerSecond: -1})
	s := f.host("a", 1, nil)
	weights := make([]int, rows)
	for i := range weights {
		weights[i] = 1
	}
	for n := range changes {
		weights[n%len(weights)] = 1 + (n+1)%10000
		commit(t, s, change(table.Revision(n), n, weights...))
	}
	stored, err := f.engine.Range(bg, "/table/")
	require.NoError(t, err)
	require.LessOrEqual(t, len(stored.Entries), table.MaxHistoryRevisions+2)
	for _, e := range stored.Entries {
		require.LessOrEqual(t, len(e.Value), store.MaxValueBytes)
		largest = max(largest, len(e.Value))
	}
	reader := f.host("b", 1, nil)
	before := f.engine.Counts().Total()
	got, err := reader.Refresh(bg)
	require.NoError(t, err)
	require.Equal(t, s.InForce().Rows(), got.Rows())
	require.LessOrEqual(t, f.engine.Counts().Total()-before, int64(table.SnapshotIntervalRevisions+2))
	_, err = reader.TableAt(bg, got.Revision()-table.MaxHistoryRevisions)
	require.NoError(t, err)
	_, err = reader.TableAt(bg, got.Revision()-table.MaxHistoryRevisions-1)
	require.Equal(t, verdict.CodeNotFound, verdict.FromError(err).Code)
	return largest
}

// BenchmarkReplayDay replays a day of 21,000 changes at the target size of 1,100 rows, and at other sizes for
// comparison: go test -run '^$' -bench ReplayDay -benchtime 1x ./relay/config.
func BenchmarkReplayDay(b *testing.B) {
	const changes = 21_000
	for _, rows := range []int{100, 500, 1100, 2000} {
		b.Run(fmt.Sprintf("rows=%d", rows), func(b *testing.B) {
			largest := 0
			for b.Loop() {
				largest = replayChanges(b, changes, rows)
			}
			b.ReportMetric(float64(b.N)*changes/b.Elapsed().Seconds(), "changes/s")
			b.ReportMetric(float64(largest), "B/value")
		})
	}
}
