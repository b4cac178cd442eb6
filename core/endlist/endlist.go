// Package endlist decides up to which of its numbered ends of attempts a worker may forget them.
package endlist

import (
	"maps"
	"sync"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// End is an entry of the ends that a worker lists, in the order of their numbers from 1. Valid is set if the whole entry could
// be read.
type End struct {
	Number  int64
	Attempt lifecycle.AttemptID
	Valid   bool
}

// Tracker holds the numbers of the ends that a worker listed, and which of them have been acknowledged. A worker forgets all
// ends up to an acknowledged number. It is safe for concurrent use.
type Tracker struct {
	// mu guards the fields below, because several calls to the worker may be answered concurrently.
	mu sync.Mutex
	// incarnation is the process of the worker to which the numbers belong.
	incarnation string
	// acknowledgedUpTo is the highest number up to which all ends have been acknowledged.
	acknowledgedUpTo int64
	// pending holds the listed ends above acknowledgedUpTo, by number.
	pending map[int64]*pendingEnd
}

// pendingEnd is a listed end that the worker has not been told to forget.
type pendingEnd struct {
	attempt      lifecycle.AttemptID
	acknowledged bool
}

// NewTracker returns a tracker of a worker that has listed nothing.
func NewTracker() *Tracker { return &Tracker{pending: make(map[int64]*pendingEnd)} }

// Acknowledge marks the ends of attempts as acknowledged, and returns the number up to which the worker process with the
// given incarnation may forget ends.
func (t *Tracker) Acknowledge(attempts []lifecycle.AttemptID) (upTo int64, incarnation string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(attempts) > 0 {
		done := make(map[lifecycle.AttemptID]bool, len(attempts))
		for _, a := range attempts {
			done[a] = true
		}
		for _, e := range t.pending {
			e.acknowledged = e.acknowledged || done[e.attempt]
		}
	}
	for e := t.pending[t.acknowledgedUpTo+1]; e != nil && e.acknowledged; e = t.pending[t.acknowledgedUpTo+1] {
		t.acknowledgedUpTo++
		delete(t.pending, t.acknowledgedUpTo)
	}
	return t.acknowledgedUpTo, t.incarnation
}

// Record adds the ends that the worker process with the given incarnation listed in an answer.
func (t *Tracker) Record(incarnation string, ended []End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.incarnation != incarnation {
		t.incarnation, t.acknowledgedUpTo, t.pending = incarnation, 0, make(map[int64]*pendingEnd)
	}
	if first := firstNumber(ended); first > t.acknowledgedUpTo+1 {
		// Another owner of the cell has acknowledged the ends before the first listed one.
		t.acknowledgedUpTo = first - 1
		maps.DeleteFunc(t.pending, func(number int64, _ *pendingEnd) bool { return number < first })
	}
	for _, e := range ended {
		if _, known := t.pending[e.Number]; !known && e.Number > t.acknowledgedUpTo {
			t.pending[e.Number] = &pendingEnd{attempt: e.Attempt, acknowledged: !e.Valid}
		}
	}
}

// firstNumber returns the lowest number of the listed ends, or 0 if none of them is valid: a worker forgets all
// ends up to the acknowledged number, and one invalid number would make it forget later ends that no owner has seen.
func firstNumber(ended []End) int64 {
	first, anyValid := int64(0), false
	for _, e := range ended {
		anyValid = anyValid || e.Valid
		if first == 0 || e.Number < first {
			first = e.Number
		}
	}
	if !anyValid {
		return 0
	}
	return first
}
