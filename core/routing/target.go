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

	// openThreshold is the failure score that opens the breaker. A failure adds 1 and a success subtracts successCredit,
	// so that a target that fails more than a third of its requests is eventually paused.
	openThreshold = 5.0
	successCredit = 0.5
	// firstPause and maxPause bound the pauses of the breaker, which double with each failed probe.
	firstPause = 500 * time.Millisecond
	maxPause   = 30 * time.Second
	// probesToClose is the number of successful probes in a row that close the breaker.
	probesToClose = 3
	// backoffPause follows a refusal for lack of slots or because of a rate limit. It is a few service times long.
	backoffPause = 50 * time.Millisecond
	// closingPause follows the closing of a connection by the target. It covers one poll of the host list, which says
	// whether the target is leaving.
	closingPause = time.Second
	// leavingPause follows a target's own report that it is leaving. It matters if the host list still lists the target
	// as live.
	leavingPause = 30 * time.Second
	// latencyDecay is the time constant with which the latency of an unused target decays to 0, so that the target is
	// tried again after a slow period. Decay to the average of the cell is not enough: without load, a target slightly
	// above the others would never be chosen.
	latencyDecay = 10 * time.Second
	// latencyWeight is the weight of a new sample in the moving average of a target's latency.
	latencyWeight = 1.0 / 8
)

// Signal classifies the end of a request by what it shows about the health of its target.
type Signal uint8

const (
	// SignalNone shows nothing about the target: the request was not sent, or its caller cancelled it.
	SignalNone Signal = iota
	// SignalOK is an answer of a working target.
	SignalOK
	// SignalCallerFault is an answer that rejects the request as faulty, such as status 400. It never counts against the
	// target.
	SignalCallerFault
	// SignalFailed is a connection error or an unusable answer.
	SignalFailed
	// SignalErrorStatus is a complete answer with status 5xx. It counts like SignalFailed while fewer than half of all
	// targets are paused, this one not counted: beyond that, the requests are more likely at fault than the target.
	SignalErrorStatus
	// SignalTimedOut is a deadline that passed at the target.
	SignalTimedOut
	// SignalNoSlot is a refusal for lack of slots.
	SignalNoSlot
	// SignalRateLimited is a refusal because of the target's rate limit.
	SignalRateLimited
	// SignalUnreachable is a connection that the target's host refused: no process listens there.
	SignalUnreachable
	// SignalLeaving is the target's own report that it is leaving.
	SignalLeaving
	// SignalClosing is a good answer after which the target closes the connection, as HTTP servers do when they shut
	// down. It pauses the target if it kept connections open before and fewer than half of all targets are paused, this
	// one not counted.
	SignalClosing
)

// Observation is what one request showed about its target.
type Observation struct {
	Signal Signal
	// Latency is the time from the start of sending to the end, or to now for SignalTimedOut.
	Latency time.Duration
}

// Target is a back end as described by the host list.
type Target struct {
	ID      ident.TargetID
	Address string
	Leaving bool
}

type breakerState uint8

const (
	breakerClosed breakerState = iota
	// breakerOpen targets get no requests until their pause ends.
	breakerOpen
	// breakerHalfOpen targets get one request at a time, as a probe.
	breakerHalfOpen
)

// health is the health of one target as observed from its requests.
type health struct {
	state breakerState
	// openUntil is the end of the pause of an open target.
	openUntil time.Time
	// backoffUntil is the end of a backoffPause, which does not change the state; zero if there is none.
	backoffUntil time.Time
	pause        time.Duration
	failureScore float64
	goodProbes   int
}

// observe updates the health after a request. jitter in [0, 1) spreads the ends of pauses.
func (h *health) observe(now time.Time, s Signal, jitter float64) {
	switch s {
	case SignalOK:
		h.recordSuccess()
	case SignalFailed, SignalErrorStatus, SignalTimedOut:
		h.recordFailure(now, jitter)
	case SignalUnreachable:
		// One refused connection opens the breaker. If more were needed, all attempts of one request could go to a stopped
		// target while it alone has free slots.
		h.failureScore = openThreshold
		h.recordFailure(now, jitter)
	case SignalNoSlot, SignalRateLimited:
		h.backoffUntil = now.Add(backoffPause)
	case SignalLeaving:
		h.openFor(now, leavingPause)
	case SignalClosing:
		h.openFor(now, closingPause)
	case SignalNone, SignalCallerFault:
	}
}

func (h *health) recordSuccess() {
	h.failureScore = max(0, h.failureScore-successCredit)
	if h.state != breakerHalfOpen {
		return
	}
	h.goodProbes++
	if h.goodProbes >= probesToClose {
		*h = health{backoffUntil: h.backoffUntil}
	}
}

func (h *health) recordFailure(now time.Time, jitter float64) {
	h.failureScore = min(openThreshold, h.failureScore+1)
	switch {
	case h.state == breakerOpen:
		// Requests sent before the breaker opened give no new information.
	case h.state == breakerHalfOpen:
		h.pause = min(maxPause, 2*h.pause)
		h.openFor(now, h.pause+time.Duration(jitter*float64(h.pause)/4))
	case h.failureScore >= openThreshold:
		h.pause = firstPause
		h.openFor(now, h.pause+time.Duration(jitter*float64(h.pause)/4))
	}
}

// openFor opens the breaker for the given pause. A pause in progress that ends later is kept.
func (h *health) openFor(now time.Time, pause time.Duration) {
	if h.state == breakerOpen && h.openUntil.After(now.Add(pause)) {
		return
	}
	h.state = breakerOpen
	h.goodProbes = 0
	h.pause = max(h.pause, firstPause)
	h.openUntil = now.Add(pause)
}

// expirePauses ends the pauses whose time has passed.
func (h *health) expirePauses(now time.Time) {
	if h.state == breakerOpen && !now.Before(h.openUntil) {
		h.state = breakerHalfOpen
	}
	if !now.Before(h.backoffUntil) {
		h.backoffUntil = time.Time{}
	}
}

// pauseEnd returns when the later of the pauses in progress ends; zero if there is none.
func (h *health) pauseEnd() time.Time {
	if h.state == breakerOpen && h.openUntil.After(h.backoffUntil) {
		return h.openUntil
	}
	return h.backoffUntil
}

// target is the state of one target in its cell.
type target struct {
	Target
	// listed is false once the host list lacks the target, which is then removed after its last request.
	listed bool
	// keepsConnections is set once the target has kept a connection open after an answer.
	keepsConnections bool
	outstanding      int
	health           health
	budget           RetryBudget

	// latency is the moving average of the latency in seconds, as of latencyUpdatedAt.
	latency          float64
	latencyUpdatedAt time.Time
	// freeSlots is the number of further requests that the target may get now.
	freeSlots int
	// availablePos is the position in Targets.available; -1 if the target is not in it.
	availablePos int
	// paused is set while the target is in Targets.paused.
	paused bool
}

// observeLatency adds a sample, in seconds, to the moving average of the latency.
func (t *target) observeLatency(now time.Time, sample, cellMean float64) {
	current := t.decayedLatency(now, cellMean)
	if current == 0 {
		current = sample
	}
	t.latency = current + latencyWeight*(sample-current)
	t.latencyUpdatedAt = now
}

// decayedLatency returns the latency in seconds, which decays with its age. A target without a sample has the mean of
// its cell.
func (t *target) decayedLatency(now time.Time, cellMean float64) float64 {
	if t.latencyUpdatedAt.IsZero() {
		return cellMean
	}
	age := max(0, now.Sub(t.latencyUpdatedAt).Seconds())
	return t.latency * math.Exp(-age/latencyDecay.Seconds())
}

// computeFreeSlots returns the number of further requests that the target may get with the given slots.
func (t *target) computeFreeSlots(slotsPerTarget int) int {
	free := max(0, slotsPerTarget-t.outstanding)
	switch {
	case !t.listed || t.Leaving || t.health.state == breakerOpen || !t.health.backoffUntil.IsZero():
		return 0
	case t.health.state == breakerHalfOpen && t.outstanding > 0:
		return 0
	case t.health.state == breakerHalfOpen:
		return min(1, free)
	default:
		return free
	}
}
