package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a quarantine that is lifted by an attempt that has hardly run: its start waited to be sent for longer than
// an attempt has to run.
func TestStartThatWaitedToBeSentDoesNotEndTheQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w")
	f.quarantine("w")
	f.untilProbed("w")
	r := f.place(taskOf(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0), "w")
	for until := f.now.Add(provenAfter); f.now.Before(until); {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
	}
	f.apply(f.c.StartAnswered(f.now, "w", r, Answer{Outcome: Applied}))
	f.tickUntil(f.now.Add(100 * time.Millisecond))
	f.ends("w")
	require.True(t, f.c.workers["w"].health.quarantined, "the attempt has run for 0.1 s")
}

// Guards against a worker that fails all it starts and is not blamed, because its starts waited to be sent.
func TestFailureAfterAStartThatWaitedIsBlamed(t *testing.T) {
	f := newFixture(t, 1, "w")
	for range quarantineAfter {
		r := f.place(taskOf(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0), "w")
		for until := f.now.Add(provenAfter); f.now.Before(until); {
			f.tickUntil(f.now.Add(100 * time.Millisecond))
			f.ends("w")
		}
		f.apply(f.c.StartAnswered(f.now, "w", r, Answer{Outcome: Applied}))
		f.ends("w", EndedAttempt{AttemptID: r, End: EndFailed})
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}
