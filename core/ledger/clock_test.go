package ledger

import (
	"testing"
	"time"
	"unsafe"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
)

// afterClockStep returns t as it is read after the time of day was set by whole seconds: the monotonic reading is the
// same. Nothing in the library gives such a time.
func afterClockStep(t *testing.T, at time.Time, step time.Duration) time.Time {
	stepped := at
	// The first word of a time with a monotonic reading holds the seconds of the time of day above 30 bits of nanoseconds.
	*(*uint64)(unsafe.Pointer(&stepped)) += uint64(step/time.Second) << 30
	require.Equal(t, step, stepped.Round(0).Sub(at.Round(0)))
	require.Zero(t, stepped.Sub(at))
	return stepped
}

// Guards against a request that runs twice because the time of day of its host was set ahead for a moment: its record
// was removed as expired, and the key was accepted again once the clock was right.
func TestRecordSurvivesClockStep(t *testing.T) {
	now := time.Now()
	l := New(ident.Instance{Host: "a", Incarnation: 1}, Limits{Retention: time.Hour, Records: 10, Bytes: 1 << 20})
	key, err := l.Issue(now, [16]byte{1})
	require.NoError(t, err)
	require.Equal(t, Run, l.Begin(now, key, 7).Action)
	l.Finish(key, request.Answer{Status: 200}, nil)

	require.Zero(t, l.Expire(afterClockStep(t, now.Add(time.Minute), 24*time.Hour)))
	require.Equal(t, Replay, l.Begin(now.Add(2*time.Minute), key, 7).Action)
}

// Guards against new keys that are refused because the time of day of their issuer was set.
func TestKeyIssuedBeforeClockStepIsAccepted(t *testing.T) {
	for _, step := range []time.Duration{-24 * time.Hour, 24 * time.Hour} {
		now := time.Now()
		l := New(ident.Instance{Host: "a", Incarnation: 1}, Limits{Retention: time.Hour, Records: 10, Bytes: 1 << 20})
		key, err := l.Issue(now, [16]byte{1})
		require.NoError(t, err)
		stepped := afterClockStep(t, now.Add(time.Second), step)
		require.Equal(t, Run, l.Begin(stepped, key, 7).Action)
		second, err := l.Issue(stepped, [16]byte{2})
		require.NoError(t, err)
		require.Equal(t, Run, l.Begin(now.Add(time.Minute), second, 7).Action)
	}
}
