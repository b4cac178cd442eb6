package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/forecast"
)

const (
	// maxExplainedWorkers bounds the workers whose ends are forecast for one explanation. In a larger cell the forecast
	// is therefore an upper bound.
	maxExplainedWorkers = 16
	// maxAlike bounds the waiting tasks of one size for which room is forecast.
	maxAlike = 80
)

// RoomForecast says when room is expected for a task that waits. It is the zero value if there is no forecast.
type RoomForecast struct {
	// In is the time until the task itself is expected to fit.
	In time.Duration
	// Alike counts the waiting tasks of the same class and size, AllIn is the time within which all of them are
	// expected to fit at once; 0 if they never do on the workers looked at.
	Alike int
	AllIn time.Duration
}

// forecastRoom forecasts room for a task that waits. It draws no random numbers, so that it changes no decision.
func (c *Cell) forecastRoom(t *task, req *Request, now stamp) (f RoomForecast) {
	if c.opts.NoLookAhead || t.constraints.Filler {
		return f
	}
	if t.state == claimed {
		if !t.claim.isReservation() {
			return f
		}
		if f.In = t.claim.expectedAt.since(now); f.In == 0 {
			f.In = t.claim.expiresAt.since(now)
		}
		return f
	}
	lines := c.roomTimelines(req)
	f.Alike = min(t.class.queuedBySize[t.declared], maxAlike)
	times := forecast.Group(lines, req.Booking, max(f.Alike, 1))
	if len(times) == 0 {
		return RoomForecast{}
	}
	f.In = times[0]
	if len(times) == f.Alike {
		f.AllIn = times[len(times)-1]
	}
	return f
}

// roomTimelines returns the timelines of workers that hold a request once their claims are served and all tasks that do
// not last have ended.
func (c *Cell) roomTimelines(req *Request) []*forecast.Timeline {
	var lines []*forecast.Timeline
	for _, n := range c.nodes[:min(len(c.nodes), c.opts.SearchBudget)] {
		if len(lines) == maxExplainedWorkers {
			break
		}
		if !n.acceptsTasks() || n.worker.Quarantined || !req.Booking.Fits(n.freeAfterFinite()) || !passesAll(c.required, c.spread, req, n) {
			continue
		}
		line := &forecast.Timeline{}
		c.fillTimeline(line, n, n.Available().Add(n.held).Sub(n.claimed))
		lines = append(lines, line)
	}
	return lines
}
