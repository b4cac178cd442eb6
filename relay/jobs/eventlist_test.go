package jobs_test

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// lineError describes how an event differs from the list of events; "" if it does not.
func lineError(e jobs.EventName, f jobs.Fields) string {
	kinds := jobs.EventKinds()
	i := slices.IndexFunc(kinds, func(k jobs.EventKind) bool { return k.Name == e })
	if i < 0 {
		return fmt.Sprintf("event %s is not listed", e)
	}
	for name := range f {
		if !slices.Contains(kinds[i].Fields, name) {
			return fmt.Sprintf("field %s of event %s is not listed", name, e)
		}
	}
	return ""
}

// checkedDecisionLog is the decision log of the fixtures. The test fails if an event or a field is not listed.
type checkedDecisionLog struct {
	t *testing.T

	// mu guards counts, because several owners log at the same time.
	mu     sync.Mutex
	counts map[jobs.EventName]int
}

func (l *checkedDecisionLog) Record(e jobs.EventName, f jobs.Fields) {
	if fault := lineError(e, f); fault != "" {
		l.t.Error(fault)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[e]++
}

// count returns how many events of a kind were logged.
func (l *checkedDecisionLog) count(e jobs.EventName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[e]
}

// Guards against a lineError that accepts anything.
func TestLineErrorFindsUnlistedNames(t *testing.T) {
	require.Empty(t, lineError(jobs.EventWorkerLost, jobs.Fields{jobs.FieldWorker: "w"}))
	require.Equal(t, "event worker_found is not listed", lineError("worker_found", nil))
	require.Equal(t, "field code of event worker_lost is not listed", lineError(jobs.EventWorkerLost, jobs.Fields{jobs.FieldCode: 1}))
}

// Guards against an event or a field that is missing from the pages or described twice.
func TestEveryEventIsDocumented(t *testing.T) {
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	require.NoError(t, err)
	reference := jobs.EventReference()
	for _, k := range jobs.EventKinds() {
		require.Contains(t, string(page), "`"+string(k.Name)+"`")
		require.Equal(t, 1, strings.Count(reference, "\n| `"+string(k.Name)+"` |"), k.Name)
		for _, f := range k.Fields {
			require.Equal(t, 1, strings.Count(reference, "\n| `"+string(f)+"` |"), f)
		}
	}
	require.NotContains(t, reference, "` |  |\n| `", "a field without a meaning")
}
