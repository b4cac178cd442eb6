package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against an owner that is saturated and does not say so, and against one that says so with each event.
func TestLatenessChangesOnce(t *testing.T) {
	var l Lateness
	_, changed := l.Observe(start0, LateThreshold-1)
	require.False(t, changed)
	c, changed := l.Observe(start0.Add(time.Second), LateThreshold)
	require.True(t, changed)
	require.Equal(t, LateChange{Late: true, MaxWait: LateThreshold}, c)
	for i := range 100 {
		_, changed = l.Observe(start0.Add(time.Second+time.Duration(i)*time.Millisecond), 2*LateThreshold)
		require.False(t, changed)
	}
}

// Guards against an owner that counts as on time between two late events of one overload.
func TestLatenessEndsAfterACalmSecond(t *testing.T) {
	var l Lateness
	l.Observe(start0, 3*LateThreshold)
	_, changed := l.Observe(start0.Add(900*time.Millisecond), LateThreshold/2)
	require.False(t, changed)
	_, changed = l.Observe(start0.Add(1800*time.Millisecond), 0)
	require.False(t, changed, "a wait of half the bound 0.9 s ago")
	c, changed := l.Observe(start0.Add(1900*time.Millisecond), 0)
	require.True(t, changed)
	require.Equal(t, LateChange{MaxWait: 3 * LateThreshold, Duration: 1900*time.Millisecond + 3*LateThreshold}, c)
	c, changed = l.Observe(start0.Add(2*time.Second), LateThreshold)
	require.True(t, changed)
	require.Equal(t, LateThreshold, c.MaxWait, "the worst of an earlier time does not count")
}

// Guards against a report of contact that leaves out the worker whose leases end first.
func TestContactTellsTheOldestAnswer(t *testing.T) {
	c := runningCell(t, 36)
	require.Equal(t, WorkerContact{LongestSilence: time.Second}, c.WorkerContact(start0.Add(time.Second)))
	at := start0.Add(silentAfter)
	c.SyncAnswered(at, "worker-00000", c.seq, "p1", nil, Report{Capacity: capacity, Token: "token"})
	c.Tick(at)
	require.Equal(t, WorkerContact{LongestSilence: silentAfter, SilentWorkers: 2}, c.WorkerContact(at))
}
