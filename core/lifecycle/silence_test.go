package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// silence lets the worker leave its syncs without an answer until its silence is recorded.
func (f *fixture) silence(id ident.WorkerID) {
	f.c.CallFailed(id)
	f.tickUntil(f.now.Add(f.c.policy.SilentAfter))
	require.Contains(f.t, f.loggedSilence(), id)
}

// loggedSilence returns what a successor that reads the log learns about silent workers.
func (f *fixture) loggedSilence() map[ident.WorkerID]time.Duration {
	successor := NewCell(1, 9, f.c.table)
	for _, r := range f.log {
		successor.Replay(r)
	}
	return successor.loggedSilence.since
}

// Guards against a log that still says that a worker is silent after its leases have been renewed: the passing of time was
// recorded by the silence of a worker whose end of silence was already queued.
func TestNoSilenceIsRecordedBehindItsEnd(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	f.silence("w1")
	f.silence("w2")
	f.holdLog = true
	queued := len(f.log)
	f.sync("w1", nil)
	f.tickUntil(f.now.Add(4 * silenceInterval))
	require.NotContains(t, f.loggedSilence(), ident.WorkerID("w1"))
	require.Contains(t, f.loggedSilence(), ident.WorkerID("w2"), "time passes for the other worker")
	f.apply(f.c.RecordsCommitted(f.now, f.log[queued:]))
	f.sync("w1", nil)
	require.NotContains(t, f.loggedSilence(), ident.WorkerID("w1"))
}

// Guards against starts on a worker that the log does not name, so that a successor would start their tasks again: the
// worker had left the host list while the record that ends its silence was not durable, and came back later.
func TestRemovedWorkerIsRecordedAgain(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	f.silence("w1")
	f.holdLog = true
	queued := len(f.log)
	f.sync("w1", nil)
	f.c.CallFailed("w1")
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w2"}}))
	f.tickUntil(f.now.Add(2 * LeaseDuration))
	require.Contains(t, f.log, Record(WorkerRemoved{Worker: "w1"}))
	for _, r := range f.log[queued:] {
		f.apply(f.c.RecordsCommitted(f.now, []Record{r}))
	}
	f.holdLog = false
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "w2"}}))
	f.claim("w1", Report{})
	require.Equal(t, Record(WorkerAdded{Worker: "w1"}), f.log[len(f.log)-1])
	require.Contains(t, f.c.loggedWorkers, ident.WorkerID("w1"))
}
