package lifecycle

import "time"

// maxUnownedTime bounds the time that is assumed to have passed between the newest time in the log and the takeover. A
// larger difference is more likely one of the clocks. Assuming too little lets the tasks of the log start earlier;
// assuming too much would place them behind all newer ones.
const maxUnownedTime = time.Minute

// timeOf returns the time of day in a record; zero if it has none.
func timeOf(record Record) time.Time {
	switch r := record.(type) {
	case JobAccepted:
		return r.At
	case JobCancelled:
		return r.At
	case TaskDone:
		return r.At
	case TaskFailed:
		return r.At
	case TaskEvicted:
		return r.At
	case CheckpointSaved:
		return r.Checkpoint.At
	default:
		return time.Time{}
	}
}

func (c *Cell) noteLogTime(t time.Time) {
	c.newestLogTime = laterOf(c.newestLogTime, t)
}

// maxLoggedAge bounds the age of a job of the log, so that it can be added to other durations.
const maxLoggedAge = 10 * 365 * 24 * time.Hour

// ageAt returns the time from the acceptance of the job to a time of the log; 0 if the time of the acceptance is
// missing.
func (j *job) ageAt(t time.Time) time.Duration {
	if j.acceptedAt.IsZero() {
		return 0
	}
	return min(max(t.Sub(j.acceptedAt), 0), maxLoggedAge)
}

// adoptTimes replaces the times of the log, which are times of day of earlier owners, where decisions depend on them.
// The new times follow from now and have its monotonic reading, so that setting the time of day does not change them.
func (c *Cell) adoptTimes(now time.Time) {
	unowned := min(max(now.Sub(c.newestLogTime), 0), maxUnownedTime)
	for _, j := range c.jobs {
		j.queuedSince = now.Add(-unowned - j.ageAt(c.newestLogTime))
		if j.final() {
			j.keptSince = now
			if j.finishedAt.IsZero() {
				j.finishedAt = now
			}
		}
		for i := range j.tasks {
			if t := &j.tasks[i]; t.checkpoint.At.After(now) {
				t.checkpoint.At = now
			}
		}
	}
}
