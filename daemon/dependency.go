package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// lostAfter calls in a row that fail, a dependency counts as lost: one or two can be a connection that was closed.
const lostAfter = 3

// DependencyMonitor logs when something that the host depends on is lost, and when it is back. It is safe for concurrent use.
type DependencyMonitor struct {
	name string
	log  logrus.FieldLogger

	// mu guards the fields below, which concurrent calls change.
	mu       sync.Mutex
	failures int
	lostAt   time.Time
	lost     bool
}

// NewDependencyMonitor returns a dependency that has not failed yet.
func NewDependencyMonitor(name string, log logrus.FieldLogger) *DependencyMonitor {
	return &DependencyMonitor{name: name, log: log}
}

// Record takes the outcome of a call; reason says why it failed.
func (d *DependencyMonitor) Record(ok bool, reason string) {
	changed, lost, failures, since := d.take(ok, time.Now())
	if !changed {
		return
	}
	line := d.log.WithFields(logrus.Fields{string(jobs.FieldDependency): d.name, string(jobs.FieldFailures): failures})
	if lost {
		line.WithFields(logrus.Fields{
			"event": string(jobs.EventDependencyLost), string(jobs.FieldReason): reason,
		}).Warn("a dependency is lost")
		return
	}
	line.WithFields(logrus.Fields{
		"event": string(jobs.EventDependencyRegained), string(jobs.FieldLostMs): since.Milliseconds(),
	}).Info("a dependency is back")
}

func (d *DependencyMonitor) take(ok bool, now time.Time) (changed, lost bool, failures int, since time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		changed, failures, since = d.lost, d.failures, now.Sub(d.lostAt)
		d.lost, d.failures = false, 0
		return changed, false, failures, since
	}
	if d.failures == 0 {
		d.lostAt = now
	}
	d.failures++
	if d.lost || d.failures < lostAfter {
		return false, d.lost, d.failures, 0
	}
	d.lost = true
	return true, true, d.failures, 0
}
