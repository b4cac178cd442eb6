package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a saturated owner that does not report it, or reports it with each event.
func TestLatenessChangesOnce(t *testing.T) {
	var l Lateness
	_, changed := l.Observe(testStart, LateThreshold-1)
	require.False(t, changed)
	c, changed := l.Observe(testStart.Add(time.Second), LateThreshold)
	require.True(t, changed)
	require.Equal(t, LateChange{Late: true, MaxWait: LateThreshold}, c)
	for i := range 100 {
		_, changed = l.Observe(testStart.Add(time.Second+time.Duration(i)*time.Millisecond), 2*LateThreshold)
		require.False(t, changed)
	}
}

// Guards against an owner that counts as on time between two late events of one overload.
func TestLatenessEndsAfterOneSecondOnTime(t *testing.T) {
	var l Lateness
	l.Observe(testStart, 3*LateThreshold)
	_, changed := l.Observe(testStart.Add(900*time.Millisecond), LateThreshold/2)
	require.False(t, changed)
	_, changed = l.Observe(testStart.Add(1800*time.Millisecond), 0)
	require.False(t, changed, "an event waited for half of LateThreshold 0.9 s ago")
	c, changed := l.Observe(testStart.Add(1900*time.Millisecond), 0)
	require.True(t, changed)
	require.Equal(t, LateChange{MaxWait: 3 * LateThreshold, Duration: 1900*time.Millisecond + 3*LateThreshold}, c)
	c, changed = l.Observe(testStart.Add(2*time.Second), LateThreshold)
	require.True(t, changed)
	require.Equal(t, LateThreshold, c.MaxWait, "the longest wait of the previous overload does not count")
}

// Guards against a contact report that omits the worker whose leases end first.
func TestWorkerContactReportsLongestSilence(t *testing.T) {
	c := runningCell(t, 36)
	require.Equal(t, WorkerContact{LongestSilence: time.Second}, c.WorkerContact(testStart.Add(time.Second)))
	at := testStart.Add(silentAfter)
	c.SyncAnswered(at, "worker-00000", c.callSeq, "p1", nil, Report{Capacity: capacity, Token: "token"})
	c.Tick(at)
	require.Equal(t, WorkerContact{LongestSilence: silentAfter, SilentWorkers: 2}, c.WorkerContact(at))
}
