package lifecycle

import "time"

const (
	// LateThreshold is the wait of an event from which on its owner counts as late. A start passes the loop of the owner about
	// six times from submission to the worker, and urgent work is to start within 1.5 s.
	LateThreshold = 250 * time.Millisecond
	// onTimeAfter is how long every wait must stay below half of LateAfter until the owner counts as on time again. It
	// bounds the changes to one a second.
	onTimeAfter = time.Second
)

// Lateness decides whether the owner of a cell keeps up with its events. The zero value is on time. It is not safe for
// concurrent use.
type Lateness struct {
	late bool
	// since is when the first late event arrived, and lateAt when an event last had to wait for long.
	since, lateAt time.Time
	worst         time.Duration
}

// LateChange is the beginning or the end of a time in which an owner is late.
type LateChange struct {
	Late bool
	// MaxWait is the longest wait of an event since the owner became late.
	MaxWait time.Duration
	// Duration is how long the owner was late; 0 at the beginning.
	Duration time.Duration
}

// Observe takes over that an event had waited for some time when its turn came at now.
func (l *Lateness) Observe(now time.Time, waited time.Duration) (c LateChange, changed bool) {
	if !l.late {
		if waited < LateThreshold {
			return c, false
		}
		*l = Lateness{late: true, since: now.Add(-waited), lateAt: now, worst: waited}
		return LateChange{Late: true, MaxWait: waited}, true
	}
	l.worst = max(l.worst, waited)
	if waited >= LateThreshold/2 {
		l.lateAt = now
	}
	if now.Sub(l.lateAt) < onTimeAfter {
		return c, false
	}
	l.late = false
	return LateChange{MaxWait: l.worst, Duration: now.Sub(l.since)}, true
}

// WorkerContact tells how near the leases of the workers of a cell are to their end.
type WorkerContact struct {
	// LongestSilence is the time since the last answer of the worker that has not answered for the longest time.
	LongestSilence time.Duration
	// SilentWorkers counts the workers that have not answered for so long that they get no new tasks.
	SilentWorkers int
}

// WorkerContact returns the state of the claimed workers. It looks at each of them: it is for reports, not for each event.
func (c *Cell) WorkerContact(now time.Time) WorkerContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found WorkerContact
	for _, w := range c.workers {
		if !w.claimed {
			continue
		}
		found.LongestSilence = max(found.LongestSilence, now.Sub(w.contactAt))
		if w.silent {
			found.SilentWorkers++
		}
	}
	return found
}
