package jobs

import (
	"sync/atomic"
	"time"
)

// averageWeight is the number of samples over which a movingAverage forgets an older one.
const averageWeight = 16

// movingAverage is an exponential moving average of durations. It is safe for concurrent use.
type movingAverage struct {
	nanoseconds atomic.Int64
}

func (a *movingAverage) add(d time.Duration) {
	for {
		old := a.nanoseconds.Load()
		next := old + (int64(d)-old)/averageWeight
		if old == 0 {
			next = int64(d)
		}
		if a.nanoseconds.CompareAndSwap(old, next) {
			return
		}
	}
}

// mean returns the average; 0 before the first sample.
func (a *movingAverage) mean() time.Duration {
	return time.Duration(a.nanoseconds.Load())
}
