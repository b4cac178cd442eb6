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
	// maxLinesPerSecond and maxLinesBurst bound the lines of each event name. A deployment of 50 workers starts fewer
	// tasks than maxLinesPerSecond at its peak.
	maxLinesPerSecond = 400
	maxLinesBurst     = 800
	// dropReportInterval is the shortest time between two reports of dropped lines.
	dropReportInterval = 10 * time.Second
)

// Recorder implements jobs.DecisionLog: it writes decisions as log lines, with a limit per event name. It is safe for
// concurrent use.
type Recorder struct {
	log *logrus.Entry

	// mu guards limits and lastDropReport. No line is written while it is held.
	mu             sync.Mutex
	limits         map[jobs.EventName]*eventLimit
	lastDropReport time.Time
}

// eventLimit limits the lines of one event name and counts the dropped ones since the last report.
type eventLimit struct {
	limiter *rate.Limiter
	dropped int
}

var _ jobs.DecisionLog = (*Recorder)(nil)

// NewRecorder returns a recorder that writes to log, whose output must not block.
func NewRecorder(log logrus.FieldLogger) *Recorder {
	return &Recorder{log: log.WithFields(nil), limits: make(map[jobs.EventName]*eventLimit)}
}

// Record implements jobs.DecisionLog.
func (r *Recorder) Record(e jobs.EventName, f jobs.Fields) {
	now := time.Now()
	allowed, dropped := r.admit(e, now)
	if len(dropped) > 0 {
		r.log.WithField("event", string(jobs.EventLinesDropped)).WithFields(dropped).Warn("lines of the decision log were dropped")
	}
	if allowed {
		line := make(logrus.Fields, len(r.log.Data)+len(f)+1)
		maps.Copy(line, r.log.Data)
		for name, value := range f {
			line[string(name)] = value
		}
		line["event"] = string(e)
		// Entry.WithFields would copy the map again.
		entry := logrus.Entry{Logger: r.log.Logger, Data: line}
		entry.Info(string(e))
	}
}

// admit reports whether a line of the event may be written. Once per dropReportInterval it also returns how many lines
// of each event were dropped since the last report.
func (r *Recorder) admit(e jobs.EventName, now time.Time) (allowed bool, dropped logrus.Fields) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit, ok := r.limits[e]
	if !ok {
		limit = &eventLimit{limiter: rate.NewLimiter(maxLinesPerSecond, maxLinesBurst)}
		r.limits[e] = limit
	}
	if allowed = limit.limiter.AllowN(now, 1); !allowed {
		limit.dropped++
	}
	if now.Sub(r.lastDropReport) < dropReportInterval {
		return allowed, nil
	}
	r.lastDropReport = now
	dropped = logrus.Fields{}
	for name, k := range r.limits {
		if k.dropped > 0 {
			dropped[string(name)] = k.dropped
			k.dropped = 0
		}
	}
	return allowed, dropped
}
