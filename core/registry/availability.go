package registry

import (
	"sync"
	"time"
)

// Availability tracks whether a service answers.
type Availability struct {
	// mu guards the fields below, because several calls may end at the same time.
	mu sync.Mutex
	// failing is set while the latest call has failed. firstAnswerAt is when a call was answered for the first time,
	// returnedAt when one was first answered after a failure; both are zero before that.
	failing       bool
	firstAnswerAt time.Time
	returnedAt    time.Time
	// listener receives a value, if it has room, when a call is first answered after a failure; nil if nobody listens.
	listener chan struct{}
}

// Note notes the end of a call at now. failed says that the service did not answer it, or answered that it is not available.
func (a *Availability) Note(now time.Time, failed bool) {
	if listener := a.update(now, failed); listener != nil {
		select {
		case listener <- struct{}{}:
		default:
		}
	}
}

// update applies the end of a call. It returns the listener if the service has returned by it.
func (a *Availability) update(now time.Time, failed bool) (listener chan<- struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if failed {
		a.failing = true
		return nil
	}
	if a.firstAnswerAt.IsZero() {
		a.firstAnswerAt = now
	}
	if a.failing {
		a.failing = false
		a.returnedAt = now
		return a.listener
	}
	return nil
}

// NotifyReturn returns a channel that receives a value each time the service has returned. There is one listener.
func (a *Availability) NotifyReturn() <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = make(chan struct{}, 1)
	return a.listener
}

// Returned returns when a call was first answered after the last failure; zero if none has failed.
func (a *Availability) Returned() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.returnedAt
}

// AnsweringSince returns since when no call has failed; zero if none has been answered yet. A process that starts cannot
// know for how long the service had answered before.
func (a *Availability) AnsweringSince() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.returnedAt.After(a.firstAnswerAt) {
		return a.returnedAt
	}
	return a.firstAnswerAt
}
