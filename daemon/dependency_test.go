package daemon

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// Guards against a log line for each failed call of an outage, and against an outage whose end is not logged.
func TestDependencyLogsChangesOnly(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	d := NewDependencyMonitor("store", log)
	d.Record(false, "reset")
	d.Record(true, "")
	require.Empty(t, out.String(), "a single failure is not the loss of a dependency")
	for range 100 {
		d.Record(false, "reset")
	}
	require.Equal(t, 1, strings.Count(out.String(), "dependency_lost"))
	d.Record(true, "")
	d.Record(true, "")
	require.Equal(t, 1, strings.Count(out.String(), "dependency_regained"))
	require.Contains(t, out.String(), "failures=100")
}
