package lifecycle_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// fillWindow sends starts until the window has no room and returns how many are in flight then.
func fillWindow(w *lifecycle.StartWindow, inFlight int) int {
	for w.HasRoom() {
		w.Sent()
		inFlight++
	}
	return inFlight
}

// Guards against a window that slows down an owner whose starts are answered in time, and against one that stays as large
// once its link is slow, or that closes for good.
func TestStartWindowFollowsAnswerTimes(t *testing.T) {
	const prompt, late = 10 * time.Millisecond, time.Second
	var w lifecycle.StartWindow
	first := fillWindow(&w, 0)
	answerAll := func(inFlight int, usual time.Duration) int {
		for range inFlight {
			w.Ended(true, usual)
		}
		return fillWindow(&w, 0)
	}
	inFlight := first
	for range 4 {
		grown := answerAll(inFlight, prompt)
		require.Equal(t, 2*inFlight, grown, "each round of prompt answers doubles the window")
		inFlight = grown
	}
	for range 10 {
		shrunk := answerAll(inFlight, late)
		require.LessOrEqual(t, shrunk, max(first, inFlight/2))
		require.GreaterOrEqual(t, shrunk, first)
		inFlight = shrunk
	}
	require.Equal(t, first, inFlight)
}

// Guards against a window that shrinks because workers are gone: calls without an answer say nothing about the link.
func TestUnansweredStartsLeaveTheWindow(t *testing.T) {
	var w lifecycle.StartWindow
	before := fillWindow(&w, 0)
	for range before {
		w.Ended(false, time.Second)
	}
	require.Equal(t, before, fillWindow(&w, 0))
}
