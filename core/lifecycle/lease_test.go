package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const shortLease = LeaseDuration / 2

// replaceGrantingShortLease returns a successor of the cell of f that has claimed no worker. Its log is the snapshot and the records.
func (f *fixture) replaceGrantingShortLease(s Snapshot, records ...Record) *fixture {
	next := &fixture{t: f.t, c: NewCell(1, f.c.epoch+1, f.c.table), now: f.now}
	p := DefaultPolicy()
	p.LeaseDuration, p.LeaseMargin, p.LongestLease = shortLease, LeaseMargin/2, LeaseDuration
	next.c.SetPolicy(p)
	next.c.RestoreSnapshot(s)
	for _, r := range records {
		next.c.Replay(r)
	}
	next.c.SetAuthority(next.now, true, true)
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w1"}}))
	return next
}

// requireStart requires that the lasting task starts again exactly at this time.
func (f *fixture) requireStart(at time.Time) {
	f.t.Helper()
	f.c.CallFailed("w1")
	f.tickUntil(at.Add(-time.Millisecond))
	require.Empty(f.t, f.takeEnqueued())
	f.tickUntil(at)
	require.Len(f.t, f.takeEnqueued(), 1)
}

// Guards against a task that runs twice after an upgrade or a change of settings: the new owner grants shorter leases than
// its predecessors, and takes a worker for lapsed that may still run the task.
func TestShorterLeaseIsNotAssumedOfPredecessors(t *testing.T) {
	old := newFixture(t, 7, "w1")
	old.startTask(old.acceptLasting(), "w1")
	s := old.c.Snapshot(old.now, false)
	f := old.replaceGrantingShortLease(s)
	f.now = f.now.Add(time.Second)
	for name, next := range map[string]*fixture{
		"snapshot of the first":    f.replaceGrantingShortLease(s, f.log...),
		"snapshot of the second":   f.replaceGrantingShortLease(f.c.Snapshot(f.now, false)),
		"log of an older release":  f.replaceGrantingShortLease(s, Takeover{Epoch: 8}),
		"snapshot without a lease": f.replaceGrantingShortLease(Snapshot{Workers: s.Workers, Jobs: s.Jobs}),
	} {
		t.Run(name, func(t *testing.T) {
			next.t = t
			next.requireStart(next.now.Add(LeaseDuration + LeaseMargin))
			require.Equal(t, shortLease, next.c.Snapshot(next.now, false).LongestLease, "no longer lease lasts")
		})
	}
}

// Guards against the same if the worker has answered the new owner, whose lease does not shorten the longer one.
func TestShorterLeaseDoesNotReplaceALongerOne(t *testing.T) {
	old := newFixture(t, 7, "w1")
	attempt := old.startTask(old.acceptLasting(), "w1")
	f := old.replaceGrantingShortLease(old.c.Snapshot(old.now, false))
	takenOver := f.now
	f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: attempt}}})
	f.sync("w1", []AttemptID{attempt})
	f.requireStart(takenOver.Add(LeaseDuration + LeaseMargin))
}

// Guards against a longer wait than the predecessor's lease.
func TestShorterLeaseOfThePredecessorIsKnown(t *testing.T) {
	old := newFixture(t, 7, "w1")
	old.startTask(old.acceptLasting(), "w1")
	s := old.c.Snapshot(old.now, false)
	s.LongestLease = shortLease
	f := old.replaceGrantingShortLease(s)
	f.requireStart(f.now.Add(shortLease + LeaseMargin/2))
}
