package daemon

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// lostAfterFailures is the number of consecutive failed calls after which a dependency counts as lost. One or two
// failures can come from a connection that the other side closed.
const lostAfterFailures = 3

// DependencyMonitor logs when a service that the host depends on becomes unavailable and when it is available again.
// It is safe for concurrent use.
type DependencyMonitor struct {
	name string
	log  logrus.FieldLogger

	// mu guards the fields below, which concurrent calls change.
	mu           sync.Mutex
	failures     int
	failingSince time.Time
	lost         bool
}

// NewDependencyMonitor returns the monitor of a dependency that has not failed yet. The log lines carry name.
func NewDependencyMonitor(name string, log logrus.FieldLogger) *DependencyMonitor {
	return &DependencyMonitor{name: name, log: log}
}

// Record takes the outcome of a call to the dependency. reason says why a call failed.
func (d *DependencyMonitor) Record(ok bool, reason string) {
	changed, lost, failures, outage := d.update(ok, time.Now())
	if !changed {
		return
	}
	entry := d.log.WithFields(logrus.Fields{string(jobs.FieldDependency): d.name, string(jobs.FieldFailures): failures})
	if lost {
		entry.WithFields(logrus.Fields{
			"event": string(jobs.EventDependencyLost), string(jobs.FieldReason): reason,
		}).Warn("dependency lost")
		return
	}
	entry.WithFields(logrus.Fields{
		"event": string(jobs.EventDependencyRegained), string(jobs.FieldLostMs): outage.Milliseconds(),
	}).Info("dependency available again")
}

// update counts the outcome of a call. It returns whether the state of the dependency changed, whether it is lost,
// the number of consecutive failures, and after the end of an outage its duration, counted from its first failure.
func (d *DependencyMonitor) update(ok bool, now time.Time) (changed, lost bool, failures int, outage time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if ok {
		changed, failures, outage = d.lost, d.failures, now.Sub(d.failingSince)
		d.lost, d.failures = false, 0
		return changed, false, failures, outage
	}
	if d.failures == 0 {
		d.failingSince = now
	}
	d.failures++
	if d.lost || d.failures < lostAfterFailures {
		return false, d.lost, d.failures, 0
	}
	d.lost = true
	return true, true, d.failures, 0
}
