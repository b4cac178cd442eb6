// Package locality decides whether a task waits for room near its data or runs elsewhere, where it takes longer. It answers a
// load in which more tasks want one rack than the rack holds.
package locality

import "time"

// waitShare is the share of the loss elsewhere that a task may wait for. Each task that waits delays those behind it, and a rack
// that has more work than it can do gains nothing by a longer queue: with 0.25 and more, tasks took longer in all under
// lasting overload than if they had gone elsewhere at once.
const waitShare = 0.1

// Choice is the state of a task whose preferred rack has no room.
type Choice struct {
	// RunTime is the expected run time near the data; 0 if it is not known.
	RunTime time.Duration
	// Slowdown is how many times as long the task takes elsewhere.
	Slowdown float64
	// Waited is how long the task has waited. Wait is after how much longer the rack is expected to have room, if Fits is set;
	// else no end is expected to make room.
	Waited, Wait time.Duration
	Fits         bool
}

// ShouldWait reports whether the task waits for its rack: as long as the whole wait is a small share of what the task takes
// longer elsewhere. A forecast that is wrong again and again costs that share.
func (c Choice) ShouldWait() bool {
	extra := time.Duration(float64(c.RunTime) * (c.Slowdown - 1))
	return c.Fits && c.Waited+c.Wait < time.Duration(waitShare*float64(extra))
}
