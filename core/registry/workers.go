// Package registry decides which workers count as registered while the store that holds their registrations fails and
// returns.
package registry

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Change is a registration that was read, or one that is gone.
type Change struct {
	// Key identifies the registration.
	Key    string
	Member lifecycle.Member
	// Gone is set if the registration is missing, Invalid if it cannot be read.
	Gone, Invalid bool
}

// Workers holds the workers by the key of their registration, and tells a registration that is missing because of an
// outage of the store from one of a worker that is gone.
type Workers struct {
	// reregistrationTime is how long registrations that expired during an outage may stay missing after the store has
	// returned.
	reregistrationTime time.Duration

	workers map[string]lifecycle.Member
	// keptUntil holds, for the workers whose registration is missing, how long they still count as registered.
	keptUntil map[string]time.Time
	// completeAt is when every worker has had the time to register again; zero while no list is followed.
	completeAt time.Time
	complete   bool
}

// NewWorkers returns an empty list. reregistrationTime is how long workers may take to register again after the store has
// returned.
func NewWorkers(reregistrationTime time.Duration) *Workers {
	return &Workers{
		reregistrationTime: reregistrationTime,
		workers:            make(map[string]lifecycle.Member), keptUntil: make(map[string]time.Time),
	}
}

// Complete reports whether the list lacks no worker that is about to register again.
func (r *Workers) Complete() bool { return r.complete }

// Replace applies a list of all registrations. The store has answered this host since answeringSince.
func (r *Workers) Replace(now, storeReturned, answeringSince time.Time, entries []Change) {
	if r.completeAt.IsZero() {
		r.completeAt = answeringSince.Add(r.reregistrationTime)
		r.complete = !now.Before(r.completeAt)
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.Key] = true
	}
	r.Apply(now, storeReturned, entries)
	for key := range r.workers {
		if !listed[key] {
			r.remove(now, storeReturned, key)
		}
	}
}

// Suspend forgets the list, because its changes are not followed any more: a worker that has left since must not be used
// by it.
func (r *Workers) Suspend() {
	r.complete = false
	r.completeAt = time.Time{}
	clear(r.workers)
	clear(r.keptUntil)
}

// Apply applies changes of registrations, and reports whether a worker was added, changed or removed.
func (r *Workers) Apply(now, storeReturned time.Time, changes []Change) (changed bool) {
	for _, c := range changes {
		if c.Gone {
			changed = r.remove(now, storeReturned, c.Key) || changed
			continue
		}
		delete(r.keptUntil, c.Key)
		before, known := r.workers[c.Key]
		if c.Invalid {
			delete(r.workers, c.Key)
			changed = changed || known
			continue
		}
		r.workers[c.Key] = c.Member
		changed = changed || !known || before != c.Member
	}
	return changed
}

// remove removes a worker whose registration is missing, or notes how long it is kept if the store has returned a short
// time ago. It reports whether the worker was removed.
func (r *Workers) remove(now, storeReturned time.Time, key string) bool {
	if _, known := r.workers[key]; !known {
		return false
	}
	if _, kept := r.keptUntil[key]; kept {
		return false
	}
	if until := storeReturned.Add(r.reregistrationTime); now.Before(until) {
		r.keptUntil[key] = until
		return false
	}
	delete(r.workers, key)
	return true
}

// Expire removes the workers that are no longer kept, and reports whether the list or its completeness has changed.
func (r *Workers) Expire(now time.Time) (changed bool) {
	for key, until := range r.keptUntil {
		if !now.Before(until) {
			delete(r.keptUntil, key)
			delete(r.workers, key)
			changed = true
		}
	}
	if !r.complete && !r.completeAt.IsZero() && !now.Before(r.completeAt) {
		r.complete = true
		changed = true
	}
	return changed
}

// NextExpiry returns when Expire is next due; ok is false if no time is known.
func (r *Workers) NextExpiry() (next time.Time, ok bool) {
	earliest := func(t time.Time) {
		if !ok || t.Before(next) {
			next, ok = t, true
		}
	}
	for _, until := range r.keptUntil {
		earliest(until)
	}
	if !r.complete && !r.completeAt.IsZero() {
		earliest(r.completeAt)
	}
	return next, ok
}

// Sorted returns the workers in the order of their ids.
func (r *Workers) Sorted() []lifecycle.Member {
	sorted := make([]lifecycle.Member, 0, len(r.workers))
	for _, w := range r.workers {
		sorted = append(sorted, w)
	}
	slices.SortFunc(sorted, func(a, b lifecycle.Member) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return sorted
}
