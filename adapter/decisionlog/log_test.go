package decisionlog

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// blockedWriter blocks every write until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.unblocked
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.written.Write(p)
}

// Guards against a decision that waits for a slow reader of the log, and against lines that are dropped without being
// counted.
func TestBlockedOutputDelaysNoDecision(t *testing.T) {
	out := &blockedWriter{unblocked: make(chan struct{})}
	s := NewSink(out)
	const lines = maxQueuedLines + 5000
	for range lines {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, s.Dropped())
	close(out.unblocked)
	s.Close()
	require.Equal(t, lines, strings.Count(out.written.String(), "line\n")+int(s.Dropped()))
}

// Guards against one event that floods the log or uses up the limit of another event, and against dropped lines that
// are not reported.
func TestLinesAreLimitedPerEvent(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	r := NewRecorder(log)
	r.lastDropReport = time.Now()
	for range 10 * maxLinesBurst {
		r.Record(jobs.EventTaskSlowed, jobs.Fields{jobs.FieldTask: "t"})
	}
	r.Record(jobs.EventJobRefused, jobs.Fields{jobs.FieldJob: "a", jobs.FieldReason: "full"})
	written := strings.Count(out.String(), `"event":"task_slowed"`)
	require.GreaterOrEqual(t, written, maxLinesBurst)
	require.Less(t, written, 10*maxLinesBurst)
	require.Contains(t, out.String(), `"event":"job_refused"`)
	r.lastDropReport = time.Time{}
	out.Reset()
	r.Record(jobs.EventJobRefused, jobs.Fields{jobs.FieldJob: "b"})
	first, _, _ := strings.Cut(out.String(), "\n")
	var report map[string]any
	require.NoError(t, json.Unmarshal([]byte(first), &report))
	require.Equal(t, "lines_dropped", report["event"])
	require.InDelta(t, 10*maxLinesBurst-written, report[string(jobs.EventTaskSlowed)], 0)
}

// BenchmarkLine measures the time to record one decision.
func BenchmarkLine(b *testing.B) {
	s := NewSink(&bytes.Buffer{})
	log := logrus.New()
	log.SetOutput(s)
	log.SetFormatter(&Formatter{})
	r := NewRecorder(log.WithFields(logrus.Fields{"host": "a1", "data_centre": "north"}))
	fields := jobs.Fields{
		jobs.FieldTask: "5c0e7a21d94b36f8.0.17", jobs.FieldAttempt: 1, jobs.FieldWorker: "w1", jobs.FieldClass: "etl",
		jobs.FieldCell: 0, jobs.FieldEpoch: 7,
	}
	for b.Loop() {
		r.limits = make(map[jobs.EventName]*eventLimit) // New limits for each line, so that none is dropped.
		r.Record(jobs.EventTaskStarted, fields)
	}
}
