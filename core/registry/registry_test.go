package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

const reregistrationTime = 2 * time.Second

// registered returns the registrations of sound workers.
func registered(ids ...string) (out []Change) {
	for _, id := range ids {
		out = append(out, Change{Key: id, Member: lifecycle.Member{ID: ident.WorkerID(id)}})
	}
	return out
}

// Guards against a worker that stays listed although it has not registered again, or is removed although it has, and
// against one that is kept although the store has not been away.
func TestKeptRegistrationExpires(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := NewWorkers(reregistrationTime)
	r.Replace(now, time.Time{}, now, registered("a", "b", "c"))
	require.False(t, r.complete)
	require.True(t, r.Expire(now.Add(reregistrationTime)))
	require.True(t, r.complete)

	now = now.Add(time.Minute)
	returned := now.Add(-time.Second)
	r.Replace(now, returned, returned, registered("c"))
	require.Len(t, r.Sorted(), 3)
	r.Apply(now, returned, registered("a"))
	due, ok := r.NextExpiry()
	require.True(t, ok)
	require.Equal(t, returned.Add(reregistrationTime), due)
	require.False(t, r.Expire(due.Add(-time.Millisecond)))
	require.True(t, r.Expire(due))
	require.Len(t, r.Sorted(), 2)
	require.True(t, r.Apply(due, returned, []Change{{Key: "a", Gone: true}}))
	require.Len(t, r.Sorted(), 1)
	_, ok = r.NextExpiry()
	require.False(t, ok)
}

// Guards against an outage that is not noticed, or that seems to last because single calls fail.
func TestAvailability(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var a Availability
	a.Note(now, false)
	require.Zero(t, a.Returned())
	a.Note(now, true)
	a.Note(now.Add(time.Second), false)
	a.Note(now.Add(2*time.Second), false)
	require.Equal(t, now.Add(time.Second), a.Returned())
	a.Note(now.Add(3*time.Second), true)
	a.Note(now.Add(4*time.Second), false)
	require.Equal(t, now.Add(4*time.Second), a.Returned())
}

// Guards against a store that counts as answering since before this process has heard from it, or through a failure.
func TestAnsweringSince(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	var a Availability
	require.Zero(t, a.AnsweringSince())
	a.Note(now, true)
	a.Note(now.Add(time.Second), false)
	require.Equal(t, now.Add(time.Second), a.AnsweringSince())
	a.Note(now.Add(2*time.Second), false)
	require.Equal(t, now.Add(time.Second), a.AnsweringSince())
	a.Note(now.Add(3*time.Second), true)
	a.Note(now.Add(4*time.Second), false)
	require.Equal(t, now.Add(4*time.Second), a.AnsweringSince())
}

// Guards against a list that nobody has followed and that a new owner uses: workers that have left since would get tasks,
// and those that have registered since would count as gone, with what they run.
func TestListThatWasNotFollowedIsForgotten(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	r := NewWorkers(reregistrationTime)
	r.Replace(start, time.Time{}, start, registered("a", "b"))
	require.True(t, r.Expire(start.Add(reregistrationTime)))
	r.Suspend()
	require.Empty(t, r.Sorted())
	_, due := r.NextExpiry()
	require.False(t, due)
	require.False(t, r.Expire(start.Add(time.Hour)))
	require.False(t, r.complete)

	later := start.Add(time.Hour)
	r.Replace(later, time.Time{}, start, registered("a", "c"))
	require.True(t, r.complete, "the store has answered all the time")

	r.Suspend()
	returned := later.Add(time.Minute)
	r.Replace(returned.Add(time.Second), returned, returned, registered("c"))
	require.False(t, r.complete, "workers may still register again")
	require.True(t, r.Expire(returned.Add(reregistrationTime)))
	require.True(t, r.complete)
}
