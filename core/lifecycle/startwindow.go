package lifecycle

import "time"

const (
	// minStartWindow is the smallest number of starts that an owner has in flight. At 600 bytes a start they take 150 ms of
	// a link of 2 Mbit/s, the slowest that a host has, so that what the owner sends to the store waits no longer than that
	// behind them.
	minStartWindow = 64
	// maxStartWindow is never reached by an owner whose calls are answered in time.
	maxStartWindow = 8192
	// The network takes about 20 ms between regions. The window grows while they take less than promptAnswer and shrinks while
	// they take more than lateAnswer, which is well below the time after which a start counts as unanswered.
	promptAnswer = 150 * time.Millisecond
	lateAnswer   = 300 * time.Millisecond
	// planShare is the part of the window that is free when a plan is worth its processor time.
	planShare = 4
)

// StartWindow bounds the starts that an owner has in flight to all workers together, by how fast they are answered. A plan
// after a takeover can hold a thousand starts. Sent at once over a slow link, they delay the renewal of the owner's lease
// until it has lapsed, and the next owner would do the same.
//
// The zero value is an empty window of minStartWindow. It is not safe for concurrent use.
type StartWindow struct {
	extra, inFlight int
	// untilShrink is the number of answers to await before the window may shrink again: those to starts that were in
	// flight at the last time say nothing about the smaller window.
	untilShrink int
}

func (w *StartWindow) size() int { return minStartWindow + w.extra }

// HasRoom reports whether a start may be sent.
func (w *StartWindow) HasRoom() bool { return w.Room() > 0 }

// Room returns how many starts may be sent now.
func (w *StartWindow) Room() int { return max(w.size()-w.inFlight, 0) }

// HasRoomForPlan reports whether a quarter of the window is free, so that a plan that waited for it starts several tasks.
func (w *StartWindow) HasRoomForPlan() bool { return w.Room() >= w.size()/planShare }

// Sent notes that a start has been sent.
func (w *StartWindow) Sent() { w.inFlight++ }

// Ended notes the end of the call of a start. answered is false if the worker did not answer, or if the call was not made:
// such a call says nothing about the link. usual is the average time of recent answers.
func (w *StartWindow) Ended(answered bool, usual time.Duration) {
	inFlight := w.inFlight
	w.inFlight--
	if !answered {
		return
	}
	w.untilShrink = max(w.untilShrink-1, 0)
	switch {
	case usual < promptAnswer:
		w.extra = min(w.extra+1, maxStartWindow-minStartWindow)
	case usual > lateAnswer && w.untilShrink == 0:
		w.extra = max(min(w.size(), inFlight)/2-minStartWindow, 0)
		w.untilShrink = inFlight
	}
}
