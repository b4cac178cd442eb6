package admission

import (
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// burstWindow bounds the rate tokens that a class may accumulate, as the time in which its rate yields them. It is
	// short because each cell accumulates its own tokens, and the burst of the whole fleet is their sum.
	burstWindow = 100 * time.Millisecond
	// averageWeight is the weight of a new sample in the moving averages, as for the smoothed round-trip time of TCP.
	averageWeight = 1.0 / 8
	// minCostSlotSeconds is the least charge for a request, and the charge while the service time of its class is unknown.
	minCostSlotSeconds = 0.001
)

// class is the state of one class in one cell.
type class struct {
	row   table.Row
	queue queue
	inUse int
	// removed is set once the class is no longer in the table. Its waiting requests have been refused; requests in
	// progress still refer to it.
	removed bool
	// active is set while requests are waiting or in progress. Only active classes count in the estimate of a share.
	active bool

	// virtualTime is the slot time the class has used, in slot-seconds divided by the weight. The ready class with the
	// smallest value is served next.
	virtualTime float64
	// busyPeriod is the busy period of the cell in which virtualTime was last initialized.
	busyPeriod uint64
	// charged is what the requests in progress have been charged, in slot-seconds.
	charged          float64
	readyPos         int
	awaitingTokenPos int
	// tokenAt is when a class in the awaitingToken heap gets its next rate token.
	tokenAt time.Time

	limits limits
	tokens *rate.Limiter

	serviceTime average
	// startInterval is the time between two starts if requests were waiting after the first one.
	startInterval      average
	lastStart          time.Time
	backlogAtLastStart bool
	// windowStart and startsInWindow describe the current usageWindow; lastWindowRate is the rate in the previous one.
	windowStart    time.Time
	startsInWindow int
	lastWindowRate float64
}

// average is a moving average of durations with its mean deviation, in seconds.
type average struct {
	mean      float64
	deviation float64
	known     bool
}

func (a *average) add(d time.Duration) {
	v := d.Seconds()
	if !a.known {
		a.mean, a.deviation, a.known = v, v/2, true
		return
	}
	a.deviation += averageWeight * (math.Abs(v-a.mean) - a.deviation)
	a.mean += averageWeight * (v - a.mean)
}

// upperEstimate returns the mean plus the deviation, which about three of four samples stay under. A larger estimate
// would refuse requests that mostly end in time.
func (a *average) upperEstimate() time.Duration {
	return seconds(a.mean + a.deviation)
}

// maxEstimate bounds estimated waits, so that a very low rate cannot overflow a duration.
const maxEstimate = time.Hour

// seconds converts s to a duration of at most maxEstimate.
func seconds(s float64) time.Duration {
	if s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}

func (c *class) weight() float64 {
	return float64(max(1, c.row.Weight))
}

// cost returns the slot time, in slot-seconds, that a request is charged when it starts. The difference to the time
// for which it held its slot is charged when it ends.
func (c *class) cost() float64 {
	return max(minCostSlotSeconds, c.serviceTime.mean)
}

// setRate applies the current rate limit. A new limiter starts without tokens, because the previous owner of the cell
// may have used them.
func (c *class) setRate(now time.Time) {
	limit, limited := c.limits.rate(now)
	if !limited {
		c.tokens = nil
		return
	}
	burst := max(1, int(math.Ceil(limit*burstWindow.Seconds())))
	if c.tokens == nil {
		c.tokens = rate.NewLimiter(rate.Limit(limit), burst)
		c.tokens.AllowN(now, burst)
		return
	}
	if c.tokens.Limit() != rate.Limit(limit) {
		c.tokens.SetLimitAt(now, rate.Limit(limit))
		c.tokens.SetBurstAt(now, burst)
	}
}

// tokenWait returns the time until the class has n rate tokens; 0 if it has them now.
func (c *class) tokenWait(now time.Time, n int) time.Duration {
	if c.tokens == nil {
		return 0
	}
	missing := float64(n) - c.tokens.TokensAt(now)
	if missing <= 0 {
		return 0
	}
	if c.tokens.Limit() <= 0 {
		return maxEstimate
	}
	// One nanosecond is added because the duration is rounded down, which would leave a fraction of a token missing.
	return seconds(missing/float64(c.tokens.Limit())) + time.Nanosecond
}

// recordStart counts the start of a request in the rate and, if others waited, in the interval between starts.
func (c *class) recordStart(now time.Time) {
	if c.backlogAtLastStart {
		c.startInterval.add(now.Sub(c.lastStart))
	}
	c.lastStart = now
	c.backlogAtLastStart = c.queue.len() > 0
	c.rollWindow(now)
	c.startsInWindow++
}

// usageWindow is the time over which the rate of starts is measured, which limits what can be lent.
const usageWindow = time.Second

// rollWindow starts a new window if the current one has ended.
func (c *class) rollWindow(now time.Time) {
	elapsed := now.Sub(c.windowStart)
	if elapsed < usageWindow {
		return
	}
	c.lastWindowRate = float64(c.startsInWindow) / elapsed.Seconds()
	c.windowStart = now
	c.startsInWindow = 0
}

// startRate returns the starts per second in the last whole window or in the current one, whichever is larger.
func (c *class) startRate(now time.Time) float64 {
	c.rollWindow(now)
	return max(c.lastWindowRate, float64(c.startsInWindow)/usageWindow.Seconds())
}
