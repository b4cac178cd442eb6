package routing

import (
	"math"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// SlotsPerTarget is the number of requests that a target runs at one time.
	SlotsPerTarget = 8
	// ConnectionsPerTarget is the number of connections that a target accepts, from all relay hosts together.
	ConnectionsPerTarget = 60

	// failuresToOpen is the failure score that opens the breaker. A failure adds 1 and a success takes successCredit,
	// so that a target that fails more than a third of its requests is paused sooner or later.
	failuresToOpen = 5.0
	successCredit  = 0.5
	// firstPause and longestPause bound the pauses of the breaker, which double with each failed probe.
	firstPause   = 500 * time.Millisecond
	longestPause = 30 * time.Second
	// goodProbes is the number of successful probes in a row that close the breaker.
	goodProbes = 3
	// softPause follows a refusal for lack of slots or because of a rate limit. It is about a few service times.
	softPause = 50 * time.Millisecond
	// closingPause follows the close of a connection by the target. It covers one poll of the host list, which tells
	// whether the target is leaving.
	closingPause = time.Second
	// leavingPause follows a target's own word that it is leaving, in case the host list keeps calling it live.
	leavingPause = 30 * time.Second
	// latencyMemory is how fast the latency of an unused target fades, so that it is tried again after a slow period.
	// Fading to the average of the cell is not enough: without load, a target slightly above the others is never chosen.
	latencyMemory = 10 * time.Second
	latencyWeight = 1.0 / 8
)

// Signal is what the end of a request says about its target.
type Signal uint8

const (
	// SignalNone says nothing about the target: the request was not sent, or its caller gave up.
	SignalNone Signal = iota
	// SignalOK is an answer of a working target.
	SignalOK
	// SignalCallerFault is an answer that blames the request, such as status 400. It never counts against the target.
	SignalCallerFault
	// SignalFailed is a connection error or an unusable answer.
	SignalFailed
	// SignalErrorStatus is a complete answer with status 5xx. It counts like SignalFailed as long as less than half of
	// the targets are paused: beyond that, it is more likely that the requests are at fault.
	SignalErrorStatus
	// SignalTimedOut is a deadline that passed at the target.
	SignalTimedOut
	// SignalNoSlot is a refusal for lack of slots.
	SignalNoSlot
	// SignalRateLimited is a refusal because of the target's rate limit.
	SignalRateLimited
	// SignalUnreachable is a connection that the target's host refused: no process listens there.
	SignalUnreachable
	// SignalLeaving is the target's own word that it is leaving.
	SignalLeaving
	// SignalClosing is a good answer after which the target closes the connection. HTTP servers do so when they shut
	// down. It counts if the target kept connections before and less than half of the targets are paused.
	SignalClosing
)

// Observation is what one request showed.
type Observation struct {
	Signal Signal
	// Latency is the time from the start of sending to the end, or to now for SignalTimedOut.
	Latency time.Duration
}

// Target is a back end as the host list describes it.
type Target struct {
	ID      ident.TargetID
	Address string
	Leaving bool
}

type state uint8

const (
	closed state = iota
	// open targets get nothing until their pause ends.
	open
	// probing targets get one request at a time.
	probing
)

// health is the passive health of one target.
type health struct {
	state state
	// until is the end of the pause of an open target.
	until time.Time
	// softUntil is the end of a soft pause, which does not change the state.
	softUntil time.Time
	pause     time.Duration
	score     float64
	probes    int
}

// observe changes the health after a request. jitter in [0, 1) spreads the ends of pauses.
func (h *health) observe(now time.Time, s Signal, jitter float64) {
	switch s {
	case SignalOK:
		h.succeed()
	case SignalFailed, SignalErrorStatus, SignalTimedOut:
		h.fail(now, jitter)
	case SignalUnreachable:
		// One refused connection is proof enough. Waiting for more let all attempts of one request go to a target that had
		// stopped, when it alone had free slots.
		h.score = failuresToOpen
		h.fail(now, jitter)
	case SignalNoSlot, SignalRateLimited:
		h.softUntil = now.Add(softPause)
	case SignalLeaving:
		h.openFor(now, leavingPause)
	case SignalClosing:
		h.openFor(now, closingPause)
	case SignalNone, SignalCallerFault:
	}
}

func (h *health) succeed() {
	h.score = max(0, h.score-successCredit)
	if h.state != probing {
		return
	}
	h.probes++
	if h.probes >= goodProbes {
		*h = health{softUntil: h.softUntil}
	}
}

func (h *health) fail(now time.Time, jitter float64) {
	h.score = min(failuresToOpen, h.score+1)
	switch {
	case h.state == open:
		// Requests sent before the breaker opened say nothing new.
	case h.state == probing:
		h.pause = min(longestPause, 2*h.pause)
		h.openFor(now, h.pause+time.Duration(jitter*float64(h.pause)/4))
	case h.score >= failuresToOpen:
		h.pause = firstPause
		h.openFor(now, h.pause+time.Duration(jitter*float64(h.pause)/4))
	}
}

// openFor pauses the target. A longer pause that runs already stays.
func (h *health) openFor(now time.Time, pause time.Duration) {
	if h.state == open && h.until.After(now.Add(pause)) {
		return
	}
	h.state = open
	h.probes = 0
	h.pause = max(h.pause, firstPause)
	h.until = now.Add(pause)
}

// advance ends the pauses that are over.
func (h *health) advance(now time.Time) {
	if h.state == open && !now.Before(h.until) {
		h.state = probing
	}
	if !now.Before(h.softUntil) {
		h.softUntil = time.Time{}
	}
}

// wake returns when a pause ends; zero if none runs.
func (h *health) wake() time.Time {
	if h.state == open && h.until.After(h.softUntil) {
		return h.until
	}
	return h.softUntil
}

// target is the state of one target in its cell.
type target struct {
	Target
	// listed is false once the host list no longer has the target; it goes with its last request.
	listed bool
	// keeps is set once the target has kept a connection open after an answer.
	keeps       bool
	outstanding int
	health      health
	budget      RetryBudget

	latency   float64
	latencyAt time.Time
	// free is how many more requests the target may get now.
	free     int
	availPos int
	paused   bool
}

// observeLatency updates the recent latency, in seconds.
func (t *target) observeLatency(now time.Time, sample, cellMean float64) {
	current := t.recent(now, cellMean)
	if current == 0 {
		current = sample
	}
	t.latency = current + latencyWeight*(sample-current)
	t.latencyAt = now
}

// recent returns the recent latency in seconds, which fades as it ages. An untried target counts as average.
func (t *target) recent(now time.Time, cellMean float64) float64 {
	if t.latencyAt.IsZero() {
		return cellMean
	}
	age := max(0, now.Sub(t.latencyAt).Seconds())
	return t.latency * math.Exp(-age/latencyMemory.Seconds())
}

// computeFree returns how many more requests the target may get with the given slots.
func (t *target) computeFree(slots int) int {
	free := max(0, slots-t.outstanding)
	switch {
	case !t.listed || t.Leaving || t.health.state == open || !t.health.softUntil.IsZero():
		return 0
	case t.health.state == probing && t.outstanding > 0:
		return 0
	case t.health.state == probing:
		return min(1, free)
	default:
		return free
	}
}
