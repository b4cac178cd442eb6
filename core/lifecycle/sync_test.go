package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a sync that omits renewals for a worker that needs them, or lists them for one that does not.
func TestRenewalsAreListedWhereNeeded(t *testing.T) {
	for _, renewsAll := range []bool{false, true} {
		f := newFixture(t, 1, "w")
		p := DefaultPolicy()
		p.SyncRenewsAll = renewsAll
		f.c.SetPolicy(p)
		job := f.submit(3)
		var attempts []AttemptID
		for i := range 3 {
			attempt := f.planStart(ident.TaskID{Job: job, Index: uint32(i)}, "w")
			f.apply(f.c.StartAnswered(f.now, "w", attempt, Answer{Outcome: Applied}))
			attempts = append(attempts, attempt)
		}
		req, ok := f.c.SyncRequest("w")
		require.True(t, ok)
		if renewsAll {
			require.Empty(t, req.Renewals)
		} else {
			require.Equal(t, attempts, req.Renewals)
		}
	}
}

// Guards against a drifting count of unlogged ends, which makes a worker wait without end or not at all.
func TestUnloggedEndsAreCounted(t *testing.T) {
	f := newFixture(t, 1, "w1", "w2")
	job := f.submit(4)
	var ended []EndedAttempt
	for i := range 4 {
		attempt := f.planStart(ident.TaskID{Job: job, Index: uint32(i)}, "w1")
		f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{Outcome: Applied}))
		ended = append(ended, EndedAttempt{AttemptID: attempt, End: EndDone})
	}
	require.False(t, f.c.AcksAwaitLog("w1"))
	f.holdLog = true
	req, _ := f.c.SyncRequest("w1")
	for range 2 {
		f.log = nil
		f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", nil, Report{Token: "token", Capacity: capacity, Ended: ended}))
		if len(f.log) > 0 {
			f.apply(f.c.RecordsCommitted(f.now, f.log[:2]))
			require.False(t, f.c.AcksAwaitLog("w1"), "two ends can be acknowledged")
		}
	}
	require.False(t, f.c.AcksAwaitLog("w2"))
	require.Equal(t, map[ident.WorkerID]int{"w1": 2}, f.c.unloggedByWorker)
	f.c.CallFailed("w1")
	f.now = f.now.Add(time.Minute)
	f.apply(f.c.Tick(f.now))
	require.False(t, f.c.AcksAwaitLog("w1"), "the leases of the worker have lapsed")
	require.Equal(t, map[ident.WorkerID]int{"": 2}, f.c.unloggedByWorker)
	for attempt := range f.c.unloggedEnds {
		f.apply(f.c.RecordsCommitted(f.now, []Record{TaskDone{AttemptID: attempt}}))
	}
	require.Empty(t, f.c.unloggedByWorker)
}
