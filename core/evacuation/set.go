// Package evacuation decides what follows from requests to start nothing more in a data centre: which workers take no
// tasks, when they take tasks again, and which running tasks move.
package evacuation

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// Request is a request to start nothing more in a data centre, in force until it is withdrawn.
type Request struct {
	DataCentre ident.DataCentre
	// Revision is the store revision at which the request was made.
	Revision store.Revision
	// Since is when this host first read the request.
	Since time.Time
	// Reason is the text that the operator gave; empty if there is none.
	Reason string
}

// Set is the requests that were in force when the store was read. It is immutable. The zero value means that the
// requests are not known yet.
type Set struct {
	known, stale bool
	revision     store.Revision
	readAt       time.Time
	// requests is sorted by data centre.
	requests []Request
}

// NewSet returns the set of the given requests, as of a store revision. readAt is when the read began, so that the set
// includes every request that was acknowledged before that.
func NewSet(revision store.Revision, readAt time.Time, requests []Request) Set {
	sorted := slices.Clone(requests)
	slices.SortFunc(sorted, func(a, b Request) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return Set{known: true, revision: revision, readAt: readAt, requests: sorted}
}

// Known reports whether the requests have been read.
func (s Set) Known() bool { return s.known }

// Current reports whether tasks may be started by the set: it is known, and no later request can have been missed other
// than by an outage of the store.
func (s Set) Current() bool { return s.known && !s.stale }

// Revision returns the store revision of the read.
func (s Set) Revision() store.Revision { return s.revision }

// ReadAt returns when the read began.
func (s Set) ReadAt() time.Time { return s.readAt }

// Stale returns the set marked as one that has to be read again before the next start.
func (s Set) Stale() Set {
	s.stale = true
	return s
}

// ReadSince returns the set, marked as stale if it was read before a time.
func (s Set) ReadSince(at time.Time) Set {
	if s.readAt.Before(at) {
		s.stale = true
	}
	return s
}

// Contains reports whether a data centre is under evacuation, as far as the set knows.
func (s Set) Contains(dc ident.DataCentre) bool {
	_, ok := s.Find(dc)
	return ok
}

// Find returns the request for a data centre.
func (s Set) Find(dc ident.DataCentre) (Request, bool) {
	for _, r := range s.requests {
		if r.DataCentre == dc {
			return r, true
		}
	}
	return Request{}, false
}

// Requests lists the requests in the order of their data centres. The caller must not change the slice.
func (s Set) Requests() []Request { return s.requests }

// Without returns the requests of s for data centres that other does not contain.
func (s Set) Without(other Set) []Request {
	var out []Request
	for _, r := range s.requests {
		if !other.Contains(r.DataCentre) {
			out = append(out, r)
		}
	}
	return out
}

// KeepTimes returns the requests with the times since which they are known from an earlier set. A request that was
// withdrawn and made again has another revision and keeps its own time.
func (s Set) KeepTimes(requests []Request) []Request {
	kept := slices.Clone(requests)
	for i := range kept {
		if before, ok := s.Find(kept[i].DataCentre); ok && before.Revision == kept[i].Revision {
			kept[i].Since = before.Since
		}
	}
	return kept
}
