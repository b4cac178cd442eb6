package lifecycle

import "time"

const (
	// LateThreshold is how long an event must wait for its owner to count as late. A start passes through the event
	// loop of the owner about six times between submission and worker, and urgent work must start within 1.5 s.
	LateThreshold = 250 * time.Millisecond
	// onTimeAfter is how long all waits must stay below half of LateThreshold before the owner counts as on time again.
	// It limits the changes to one a second.
	onTimeAfter = time.Second
)

// Lateness tracks whether the owner of a cell keeps up with its events. The zero value is on time. It is not safe for
// concurrent use.
type Lateness struct {
	late bool
	// lateSince is when the first late event arrived, lastLongWaitAt when an event last waited for half of LateThreshold.
	lateSince, lastLongWaitAt time.Time
	maxWait                   time.Duration
}

// LateChange reports that an owner has become late or is on time again.
type LateChange struct {
	Late bool
	// MaxWait is the longest wait of an event since the owner became late.
	MaxWait time.Duration
	// Duration is how long the owner was late; 0 at the beginning.
	Duration time.Duration
}

// Observe notes that an event that is handled at now has waited for the given time.
func (l *Lateness) Observe(now time.Time, waited time.Duration) (c LateChange, changed bool) {
	if !l.late {
		if waited < LateThreshold {
			return c, false
		}
		*l = Lateness{late: true, lateSince: now.Add(-waited), lastLongWaitAt: now, maxWait: waited}
		return LateChange{Late: true, MaxWait: waited}, true
	}
	l.maxWait = max(l.maxWait, waited)
	if waited >= LateThreshold/2 {
		l.lastLongWaitAt = now
	}
	if now.Sub(l.lastLongWaitAt) < onTimeAfter {
		return c, false
	}
	l.late = false
	return LateChange{MaxWait: l.maxWait, Duration: now.Sub(l.lateSince)}, true
}

// WorkerContact says how close the claimed workers of a cell are to the end of their leases.
type WorkerContact struct {
	// LongestSilence is the longest time since the last answer of any worker.
	LongestSilence time.Duration
	// SilentWorkers counts the workers that get no new tasks because they do not answer.
	SilentWorkers int
}

// WorkerContact returns the contact to the claimed workers. It visits every worker, so call it for reports only.
func (c *Cell) WorkerContact(now time.Time) WorkerContact {
	c.mu.Lock()
	defer c.mu.Unlock()
	var found WorkerContact
	for _, w := range c.workers {
		if !w.claimed {
			continue
		}
		found.LongestSilence = max(found.LongestSilence, now.Sub(w.lastContact))
		if w.silent {
			found.SilentWorkers++
		}
	}
	return found
}
