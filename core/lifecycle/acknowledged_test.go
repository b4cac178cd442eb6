package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against an acknowledged job that no worker can hold and that waits for ever after a change of owner, or that a later
// owner runs although it is shown as failed.
func TestUnfitJobEndsAsFailedAfterAChangeOfOwner(t *testing.T) {
	spec := JobSpec{Class: "batch", ClientNumber: 7, Groups: []TaskGroup{{Count: 2, Need: capacity.Add(oneCore)}}}
	for _, fromSnapshot := range []bool{false, true} {
		f := newFixture(t, 1, "w")
		id, eff, note, err := f.c.AcceptAcknowledged(f.now, spec)
		require.NoError(t, err)
		require.NotEmpty(t, note)
		f.apply(eff)
		f.tickUntil(f.now.Add(unfitLimit - time.Second))
		next := f.successor(0, fromSnapshot)
		next.apply(next.c.SetMembers(next.now, []Member{{ID: "w"}}))
		next.tickUntil(next.now.Add(unfitLimit - time.Second))
		require.Equal(t, Queued, next.taskView(id, 1).State)
		next.tickUntil(next.now.Add(time.Second))
		for _, owner := range []*fixture{next, next.successor(0, fromSnapshot)} {
			v, err := owner.c.Get(id, 0, MaxPageSize)
			require.NoError(t, err)
			require.Equal(t, Failed, v.State)
		}
		f.tickUntil(f.now.Add(time.Second))
		v, err := f.c.Get(id, 0, 1)
		require.NoError(t, err)
		require.Equal(t, Failed, v.State, "without a change of owner")
		require.Equal(t, verdict.NotRun, v.Verdict)
	}
}

// Guards against an acknowledged job that is ended because its class, or the worker that could hold it, is not known for a
// moment, and against one that waits although only the table of this owner lacks its class.
func TestAcknowledgedJobKeepsWhatItsHostResolved(t *testing.T) {
	f := newFixture(t, 1, "w")
	spec := JobSpec{
		Class: "new", Tenant: "other", MaxFailures: 2, TableRevision: 9, ClientNumber: 7,
		Groups: []TaskGroup{{Count: 1, Need: capacity}},
	}
	id, eff, note, err := f.c.AcceptAcknowledged(f.now, spec)
	require.NoError(t, err)
	require.Contains(t, note, "revision 9")
	f.apply(eff)
	require.Len(t, commandsOf[Enqueue](f), 1)
	f.apply(f.c.SetMembers(f.now, nil))
	f.tickUntil(f.now.Add(2 * unfitLimit))
	v, err := f.c.Get(id, 0, 1)
	require.NoError(t, err)
	require.False(t, v.State.Final())
	require.Equal(t, spec.Tenant, v.Spec.Tenant)
}
