package daemon

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// minClockStep is the smallest change of the time of day, against the time that has passed, that is logged. Clock
// synchronisation corrects smaller differences all the time.
const minClockStep = 250 * time.Millisecond

// clockMonitor logs when the time of day of the host is set, or jumps because the host was suspended. Only one
// goroutine may use it.
type clockMonitor struct {
	log     logrus.FieldLogger
	metrics *telemetry.Registry
	// checkedAt is when the clock was last checked.
	checkedAt time.Time
}

func newClockMonitor(log logrus.FieldLogger, metrics *telemetry.Registry) *clockMonitor {
	return &clockMonitor{log: log, metrics: metrics, checkedAt: time.Now()}
}

// check compares the time of day with the monotonic time that has passed since the last check.
func (m *clockMonitor) check() {
	now := time.Now()
	step, changed := clockStep(now.Round(0).Sub(m.checkedAt.Round(0)), now.Sub(m.checkedAt))
	m.checkedAt = now
	if !changed {
		return
	}
	m.metrics.Counter("clock_steps_total").Inc(1)
	m.log.WithFields(logrus.Fields{
		"event": string(jobs.EventClockSet), string(jobs.FieldStepMs): step.Milliseconds(),
	}).Warn("the time of day was set")
}

// clockStep returns by how much the time of day changed beyond the time that has passed, and whether it was set.
func clockStep(timeOfDay, passed time.Duration) (step time.Duration, changed bool) {
	step = timeOfDay - passed
	return step, step.Abs() >= minClockStep
}
