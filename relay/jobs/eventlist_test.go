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

// lineFault returns what in a line differs from the list of events; "" if nothing does.
func lineFault(e jobs.EventName, f jobs.Fields) string {
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

// listedOnly is the journal of the worlds: the test fails with a line that the list of events does not have.
type listedOnly struct {
	t *testing.T

	// mu guards counts: owners note beside each other.
	mu     sync.Mutex
	counts map[jobs.EventName]int
}

func (l *listedOnly) Record(e jobs.EventName, f jobs.Fields) {
	if fault := lineFault(e, f); fault != "" {
		l.t.Error(fault)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[e]++
}

// count returns how many lines of a kind were noted.
func (l *listedOnly) count(e jobs.EventName) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts[e]
}

// Guards against a check of lines that takes anything.
func TestUnlistedLinesAreFound(t *testing.T) {
	require.Empty(t, lineFault(jobs.EventWorkerLost, jobs.Fields{jobs.FieldWorker: "w"}))
	require.Equal(t, "event worker_found is not listed", lineFault("worker_found", nil))
	require.Equal(t, "field code of event worker_lost is not listed", lineFault(jobs.EventWorkerLost, jobs.Fields{jobs.FieldCode: 1}))
}

// Guards against an event or a field that the pages do not explain, or that stands in them twice.
func TestEveryEventIsExplained(t *testing.T) {
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
