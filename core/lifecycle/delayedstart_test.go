package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a quarantine that is lifted by an attempt that has hardly run: its start waited to be sent for longer
// than provenRunTime.
func TestDelayedStartDoesNotEndQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	f.quarantineWorker("w")
	f.waitForProbe("w")
	attempt := f.planStart(taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0), "w")
	for until := f.now.Add(provenRunTime); f.now.Before(until); {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
	}
	f.apply(f.c.StartAnswered(f.now, "w", attempt, Answer{Outcome: Applied}))
	f.tickUntil(f.now.Add(100 * time.Millisecond))
	f.reportEnds("w")
	require.True(t, f.c.workers["w"].health.quarantined, "the attempt has run for 0.1 s")
}

// Guards against a worker that fails everything and is not blamed because its starts waited to be sent.
func TestFailureAfterDelayedStartIsBlamed(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	for range quarantineFailures {
		attempt := f.planStart(taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0), "w")
		for until := f.now.Add(provenRunTime); f.now.Before(until); {
			f.tickUntil(f.now.Add(100 * time.Millisecond))
			f.reportEnds("w")
			f.reportEnds("sound")
		}
		f.apply(f.c.StartAnswered(f.now, "w", attempt, Answer{Outcome: Applied}))
		f.reportEnds("w", EndedAttempt{AttemptID: attempt, End: EndFailed})
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}
