package decisionlog

import (
	"maps"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	// linesPerSecond bounds the lines of one kind of event: more than the starts of a deployment of 50 workers at its peak.
	linesPerSecond = 400
	linesBurst     = 800
	// reportEvery is how often dropped lines are reported.
	reportEvery = 10 * time.Second
)

// Recorder implements jobs.DecisionLog. It is safe for concurrent use.
type Recorder struct {
	log *logrus.Entry

	// mu guards kinds and reportedAt; nothing is written under it.
	mu         sync.Mutex
	kinds      map[jobs.EventName]*kind
	reportedAt time.Time
}

// kind is what is kept of one kind of event.
type kind struct {
	limit   *rate.Limiter
	dropped int
}

var _ jobs.DecisionLog = (*Recorder)(nil)

// NewRecorder returns a journal that writes to log, whose output must not block.
func NewRecorder(log logrus.FieldLogger) *Recorder {
	return &Recorder{log: log.WithFields(nil), kinds: make(map[jobs.EventName]*kind)}
}

// Record implements jobs.DecisionLog.
func (j *Recorder) Record(e jobs.EventName, f jobs.Fields) {
	now := time.Now()
	allowed, dropped := j.admit(e, now)
	if len(dropped) > 0 {
		j.log.WithField("event", string(jobs.EventLinesDropped)).WithFields(dropped).Warn("lines of the decision log were dropped")
	}
	if allowed {
		line := make(logrus.Fields, len(j.log.Data)+len(f)+1)
		maps.Copy(line, j.log.Data)
		for name, value := range f {
			line[string(name)] = value
		}
		line["event"] = string(e)
		// WithFields would copy the line once more.
		entry := logrus.Entry{Logger: j.log.Logger, Data: line}
		entry.Info(string(e))
	}
}

// admit reports whether a line may be written, and now and then how many of each kind were dropped.
func (j *Recorder) admit(e jobs.EventName, now time.Time) (allowed bool, dropped logrus.Fields) {
	j.mu.Lock()
	defer j.mu.Unlock()
	k, ok := j.kinds[e]
	if !ok {
		k = &kind{limit: rate.NewLimiter(linesPerSecond, linesBurst)}
		j.kinds[e] = k
	}
	if allowed = k.limit.AllowN(now, 1); !allowed {
		k.dropped++
	}
	if now.Sub(j.reportedAt) < reportEvery {
		return allowed, nil
	}
	j.reportedAt = now
	dropped = logrus.Fields{}
	for name, k := range j.kinds {
		if k.dropped > 0 {
			dropped[string(name)] = k.dropped
			k.dropped = 0
		}
	}
	return allowed, dropped
}
