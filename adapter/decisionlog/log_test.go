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

// blockedReader does not take anything until it is opened.
type blockedReader struct {
	open chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (b *blockedReader) Write(p []byte) (int, error) {
	<-b.open
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.got.Write(p)
}

// Guards against a decision that waits for the reader of the log, and against lines that vanish without a count.
func TestBlockedReaderHoldsUpNothing(t *testing.T) {
	out := &blockedReader{open: make(chan struct{})}
	s := NewSink(out)
	const lines = queuedLines + 5000
	for range lines {
		n, err := s.Write([]byte("line\n"))
		require.NoError(t, err)
		require.Equal(t, 5, n)
	}
	require.Positive(t, s.Dropped())
	close(out.open)
	s.Close()
	require.Equal(t, lines, strings.Count(out.got.String(), "line\n")+int(s.Dropped()))
}

// Guards against a kind of event that floods the log, or takes the room of another kind, or hides what it lost.
func TestVolumeIsBoundedByKind(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	j := NewRecorder(log)
	j.reportedAt = time.Now()
	for range 10 * linesBurst {
		j.Record(jobs.EventTaskSlowed, jobs.Fields{jobs.FieldTask: "t"})
	}
	j.Record(jobs.EventJobRefused, jobs.Fields{jobs.FieldJob: "a", jobs.FieldReason: "full"})
	written := strings.Count(out.String(), `"event":"task_slowed"`)
	require.GreaterOrEqual(t, written, linesBurst)
	require.Less(t, written, 10*linesBurst)
	require.Contains(t, out.String(), `"event":"job_refused"`)
	j.reportedAt = time.Time{}
	out.Reset()
	j.Record(jobs.EventJobRefused, jobs.Fields{jobs.FieldJob: "b"})
	first, _, _ := strings.Cut(out.String(), "\n")
	var report map[string]any
	require.NoError(t, json.Unmarshal([]byte(first), &report))
	require.Equal(t, "lines_dropped", report["event"])
	require.InDelta(t, 10*linesBurst-written, report[string(jobs.EventTaskSlowed)], 0)
}

// BenchmarkLine measures the time that a decision spends on its line.
func BenchmarkLine(b *testing.B) {
	s := NewSink(&bytes.Buffer{})
	log := logrus.New()
	log.SetOutput(s)
	log.SetFormatter(&Formatter{})
	j := NewRecorder(log.WithFields(logrus.Fields{"host": "a1", "data_centre": "north"}))
	fields := jobs.Fields{
		jobs.FieldTask: "5c0e7a21d94b36f8.0.17", jobs.FieldAttempt: 1, jobs.FieldWorker: "w1", jobs.FieldClass: "etl",
		jobs.FieldCell: 0, jobs.FieldEpoch: 7,
	}
	for b.Loop() {
		j.kinds = make(map[jobs.EventName]*kind) // A new bound for each line, so that none is dropped.
		j.Record(jobs.EventTaskStarted, fields)
	}
}
