// Package retry decides when a caller should repeat a call that was not carried out.
package retry

import (
	"math"
	"time"
)

// Cause is why a call was not carried out.
type Cause uint8

// The causes.
const (
	// OwnerMissing means that the cell has no owner, or none that answers.
	OwnerMissing Cause = iota
	// StoreUnavailable means that the store does not answer.
	StoreUnavailable
	// CellFull means that the cell takes no further jobs until some of its work is done.
	CellFull
	// Causes is the number of causes.
	Causes
)

// String returns the name of the cause in metrics.
func (c Cause) String() string {
	switch c {
	case OwnerMissing:
		return "owner_missing"
	case StoreUnavailable:
		return "store_unavailable"
	case CellFull:
		return "cell_full"
	default:
		return "unknown"
	}
}

// The bounds of every delay. The wire carries whole seconds.
const (
	MinDelay = time.Second
	MaxDelay = 4 * time.Second
)

// The expected delays in seconds. Between firstDelay and lastDelay a delay grows by as much as the cause has lasted: a cause
// that has lasted long is expected to last longer. With every draw, the three waits between the four tries of a client add
// up to at least 5 s.
const (
	firstDelay       = 1.5
	lastDelay        = 3.5
	firstUrgentDelay = 1.0
	lastUrgentDelay  = 2.5
	// fullCellDelay is added if the cell is full: its work ends more slowly than an owner is replaced.
	fullCellDelay = 0.5
)

// After returns the delay after which a caller should retry, in whole seconds. lasted is how long the cause has lasted, and
// random a number in [0, 1) that spreads callers over the whole seconds next to the expected delay.
func After(cause Cause, lasted time.Duration, urgent bool, random float64) time.Duration {
	first, last := firstDelay, lastDelay
	if urgent {
		first, last = firstUrgentDelay, lastUrgentDelay
	}
	expected := min(first+max(lasted, 0).Seconds(), last)
	if cause == CellFull {
		expected += fullCellDelay
	}
	seconds := time.Duration(math.Floor(expected + random))
	return min(max(seconds*time.Second, MinDelay), MaxDelay)
}
