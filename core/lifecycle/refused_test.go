package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against an acknowledged job that cannot run and is dropped, that waits forever, or that the next owner runs.
func TestJobThatCannotRunEndsAsFailed(t *testing.T) {
	valid := JobSpec{Class: "gone", ClientNumber: 7, Groups: []TaskGroup{{Count: 3, Need: oneCore}}}
	for name, spec := range map[string]JobSpec{
		"unknown class": valid,
		"no groups":     {Class: "batch", ClientNumber: 7},
		"no class":      {ClientNumber: 7, Groups: valid.Groups},
	} {
		for _, fromSnapshot := range []bool{false, true} {
			f := newFixture(t, 1, "w")
			id, eff := f.c.AcceptAsFailed(f.now, spec, "cannot run")
			require.Equal(t, ident.CallerAssignedJobID(1, 7), id)
			f.apply(eff)
			require.True(t, f.c.IsRepeat(spec), name)
			for _, owner := range []*fixture{f, f.successor(0, fromSnapshot)} {
				v, err := owner.c.Get(id, 0, MaxPageSize)
				require.NoError(t, err)
				require.Equal(t, Failed, v.State, name)
				require.Equal(t, verdict.NotRun, v.Verdict, name)
				require.NotEmpty(t, v.Tasks)
			}
			v, err := f.c.Get(id, 0, 1)
			require.NoError(t, err)
			require.Equal(t, "cannot run", v.Tasks[0].Reason)
		}
	}
}

// Guards against a finished job that is forgotten while an entry of the inbox may still name it, and against one that is
// kept for longer than that.
func TestRetentionKeepsJobsThatTheInboxMayName(t *testing.T) {
	f := newFixture(t, 1, "w")
	spec := JobSpec{Class: "gone", ClientNumber: 7, Groups: []TaskGroup{{Count: 1, Need: oneCore}}}
	id, eff := f.c.AcceptAsFailed(f.now, spec, "cannot run")
	f.apply(eff)
	finished := f.now
	old := f.now.Add(FinishedRetention + time.Millisecond)
	for _, r := range []Retention{
		{Limited: true},
		{Limited: true, FinishedBefore: finished},
		{Limited: true, FinishedBefore: old, Keep: map[ident.JobID]struct{}{id: {}}},
	} {
		f.c.SetRetention(r)
		f.c.Snapshot(old, false)
		require.True(t, f.c.IsRepeat(spec), "%+v", r)
	}
	f.c.SetRetention(Retention{Limited: true, FinishedBefore: finished.Add(time.Millisecond)})
	f.c.Snapshot(old, false)
	require.False(t, f.c.IsRepeat(spec))
}
