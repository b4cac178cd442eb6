package endlist

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

func attempt(n uint64) lifecycle.AttemptID {
	return lifecycle.AttemptID{Task: ident.TaskID{Job: ident.JobID{Seq: n}}, Attempt: 1}
}

// Guards against a worker that is told to forget an end that no owner has acknowledged: behind a gap, after it has started again
// and numbers its ends anew, or because of an entry that could not be read.
func TestOnlyAcknowledgedEndsAreForgotten(t *testing.T) {
	tracker := NewTracker()
	tracker.Record("p1", []End{{1, attempt(1), true}, {2, attempt(2), true}, {3, attempt(3), true}})
	upTo, _ := tracker.Acknowledge([]lifecycle.AttemptID{attempt(1), attempt(3)})
	require.EqualValues(t, 1, upTo, "2 is not acknowledged")
	upTo, _ = tracker.Acknowledge([]lifecycle.AttemptID{attempt(2)})
	require.EqualValues(t, 3, upTo)

	tracker.Record("p2", []End{{1, attempt(4), true}})
	upTo, incarnation := tracker.Acknowledge(nil)
	require.Zero(t, upTo)
	require.Equal(t, "p2", incarnation)

	tracker.Record("p2", []End{{Number: 9}})
	upTo, _ = tracker.Acknowledge(nil)
	require.Zero(t, upTo, "an unreadable entry does not say that an earlier owner has acknowledged the ones before it")
	tracker.Record("p2", []End{{5, attempt(5), true}})
	upTo, _ = tracker.Acknowledge(nil)
	require.EqualValues(t, 4, upTo, "another owner has acknowledged the ends before the first listed one")
}
