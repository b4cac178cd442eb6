// Package evacuations follows the requests for evacuations of data centres in a store, and says when they have to be read
// again before the next start.
package evacuations

import (
	"context"
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// The pause after a failed read doubles from minBackoff to maxBackoff. The return of the store ends it.
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// minReadInterval is the shortest time between two reads, so that a key that changes all the time does not use up the
	// call budget of the store.
	minReadInterval = 50 * time.Millisecond
	// demandCheckInterval is how often the demand is checked while nobody needs the requests, besides when it is raised.
	demandCheckInterval = 1500 * time.Millisecond
	// holdsPerBound is how many holds must fit into the time from a request until nothing more may start: starts wait for
	// one read at most so long, and count the store as unavailable after that.
	holdsPerBound = 10
	// readTimeout is how long a read may take. It is longer than a hold, so that a host with a slow path to the store
	// learns of the requests in the end.
	readTimeout = 2 * time.Second
)

// Listing is all requests in the store at one revision.
type Listing struct {
	Revision store.Revision
	// Requests holds the requests that can be read, for any data centre.
	Requests []evacuation.Request
	// Unreadable lists what makes no request.
	Unreadable []Ignored
}

// Ignored is an entry of the store that changes nothing: its key cannot be read, or names no data centre of the
// deployment.
type Ignored struct {
	DataCentre ident.DataCentre
	Revision   store.Revision
	Reason     string
}

// Source reads the requests from a store.
type Source interface {
	// List reads all requests.
	List(ctx context.Context) (Listing, error)
	// Wait waits until a request has changed after a revision, at most for a time that the store sets. It returns the
	// revision from which the next call continues. After an error changes may have been missed.
	Wait(ctx context.Context, after store.Revision) (changed bool, next store.Revision, err error)
	// Returned receives a value when the store has answered again after a failed call.
	Returned() <-chan struct{}
}

// Config configures a Follower.
type Config struct {
	Source Source
	// Demand says whether anybody needs the requests. Each time that it is raised, they are read again before the next
	// start.
	Demand hostlist.DemandSource
	// Known reports whether the deployment has a data centre.
	Known func(ident.DataCentre) bool
	// Bound is the time from a request until nothing more may start in the data centre.
	Bound time.Duration
	Now   func() time.Time
	// Changed is called with each set that is read, and with the last one when it has become stale or is in force again.
	Changed func(evacuation.Set)
	// Ignored is called once for each entry that changes nothing.
	Ignored func(Ignored)
	Log     logrus.FieldLogger
}

// Follower follows the requests in a store.
type Follower struct {
	cfg Config
	// last is the newest set, as it was read.
	last evacuation.Set
	// held is set while the set that was passed on last is stale.
	held bool
	// ignored holds the entries of the last listing that were reported as ignored.
	ignored map[Ignored]struct{}
}

// errPanic is the error of a call that ended with a panic, which is logged.
var errPanic = errors.New("the call ended with a panic")

// NewFollower returns a follower that has read nothing yet.
func NewFollower(cfg Config) *Follower {
	return &Follower{cfg: cfg}
}

// Run follows the requests while they are needed, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	backoff := minBackoff
	for f.awaitDemand(ctx) {
		revision, ok := f.read(ctx)
		if !ok {
			f.pause(ctx, backoff)
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		backoff = minBackoff
		f.watch(ctx, revision)
		if sleep.For(ctx, minReadInterval-f.cfg.Now().Sub(f.last.ReadAt())) != nil {
			return
		}
	}
}

// awaitDemand waits until the requests are needed. It returns false if ctx ends first.
func (f *Follower) awaitDemand(ctx context.Context) bool {
	if f.cfg.Demand.Current().Needed {
		return ctx.Err() == nil
	}
	t := time.NewTicker(demandCheckInterval)
	defer t.Stop()
	for !f.cfg.Demand.Current().Needed {
		select {
		case <-t.C:
		case <-f.cfg.Demand.Raised:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// read reads all requests and passes them on. If that fails, the store counts as unavailable, and the last set is in
// force.
func (f *Follower) read(ctx context.Context) (revision store.Revision, ok bool) {
	// This read serves all signals until now.
	drain(f.cfg.Source.Returned())
	drain(f.cfg.Demand.Raised)
	readAt := f.cfg.Now()
	l, err := f.list(ctx)
	if err != nil {
		f.release()
		return 0, false
	}
	requests := f.accept(l)
	for i := range requests {
		requests[i].Since = readAt
	}
	f.last = evacuation.NewSet(l.Revision, readAt, f.last.KeepTimes(requests))
	f.held = false
	f.cfg.Changed(f.last)
	return l.Revision, true
}

// list reads all requests. If starts wait for that and it takes too long, they go on by the last set meanwhile.
func (f *Follower) list(ctx context.Context) (l Listing, err error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		defer contain.Recover(f.cfg.Log, "reading the requests for evacuations", func() { err = errPanic })
		l, err = f.cfg.Source.List(ctx)
	}()
	hold := time.NewTimer(f.cfg.Bound / holdsPerBound)
	defer hold.Stop()
	select {
	case <-answered:
	case <-hold.C:
		f.release()
		<-answered
	}
	return l, err
}

// accept returns the requests for data centres of the deployment, and reports the other entries.
func (f *Follower) accept(l Listing) []evacuation.Request {
	var accepted []evacuation.Request
	others := l.Unreadable
	for _, r := range l.Requests {
		if f.cfg.Known(r.DataCentre) {
			accepted = append(accepted, r)
			continue
		}
		others = append(others, Ignored{DataCentre: r.DataCentre, Revision: r.Revision, Reason: "the deployment has no such data centre"})
	}
	reported := make(map[Ignored]struct{}, len(others))
	for _, i := range others {
		reported[i] = struct{}{}
		if _, before := f.ignored[i]; !before {
			f.cfg.Ignored(i)
		}
	}
	f.ignored = reported
	return accepted
}

// watch waits until the requests have to be read again or are not needed any more. It marks the last set as stale if
// changes may have been missed.
func (f *Follower) watch(ctx context.Context, after store.Revision) {
	for ctx.Err() == nil && f.cfg.Demand.Current().Needed {
		changed, next, interrupted, err := f.wait(ctx, after)
		if err != nil && ctx.Err() == nil && !interrupted {
			f.hold()
		}
		if changed || interrupted || err != nil {
			return
		}
		after = max(after, next)
	}
}

// wait waits for a change. interrupted is set if the requests have to be read whether they have changed or not.
func (f *Follower) wait(ctx context.Context, after store.Revision) (changed bool, next store.Revision, interrupted bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		defer contain.Recover(f.cfg.Log, "watching the requests for evacuations", func() { err = errPanic })
		changed, next, err = f.cfg.Source.Wait(ctx, after)
	}()
	select {
	case <-answered:
		return changed, next, false, err
	case <-f.cfg.Source.Returned():
		f.hold()
	case <-f.cfg.Demand.Raised:
		f.hold()
	}
	cancel()
	<-answered
	return false, after, true, nil
}

// hold passes the last set on as stale.
func (f *Follower) hold() {
	if f.last.Known() && !f.held {
		f.held = true
		f.cfg.Changed(f.last.Stale())
	}
}

// release passes the last set on as in force, because no newer one can be read.
func (f *Follower) release() {
	if f.held {
		f.held = false
		f.cfg.Changed(f.last)
	}
}

// pause waits after a failed read until the time is over or the store has returned.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-f.cfg.Demand.Raised:
	case <-f.cfg.Source.Returned():
		f.hold()
	case <-ctx.Done():
	}
}

func drain(signals <-chan struct{}) {
	select {
	case <-signals:
	default:
	}
}
