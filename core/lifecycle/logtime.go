package lifecycle

import "time"

// adoptTimes replaces the times of the log, which are times of day of earlier owners, where decisions depend on them.
func (c *Cell) adoptTimes(now time.Time) {
	for _, j := range c.jobs {
		if j.final() {
			j.keptSince = now
			if j.finishedAt.IsZero() {
				j.finishedAt = now
			}
		}
	}
}
