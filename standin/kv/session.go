package kv

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// Fault is the set of failures injected into the calls of one client, or of all clients if set on the Engine.
type Fault struct {
	// Down refuses each call and cuts the watches. Leases go on expiring: the service is only unreachable.
	Down bool
	// Hang leaves calls without an answer until their context ends or the fault is removed, and holds back watches.
	Hang bool
	// Delay slows each call down: half of it passes before the effect and half after it. A write whose caller gives
	// up in the first half still takes effect later.
	Delay time.Duration
	// LoseBefore and LoseAfter lose the answers of that many of the next calls that write, before or after their
	// effect; a negative value loses all.
	LoseBefore int
	LoseAfter  int
	// WatchLag holds back each watch batch.
	WatchLag time.Duration
}

// CallCounts counts the calls that reached the service, with refused ones; an open watch counts as one call.
type CallCounts struct {
	Ranges, Gets, Txns, Grants, KeepAlives, Revokes, Watches int64
	// RateLimited counts the calls that a rate cap refused.
	RateLimited int64
	// OpenWatches is the number of watches open now.
	OpenWatches int64
}

// Total returns the number of calls.
func (c CallCounts) Total() int64 {
	return c.Ranges + c.Gets + c.Txns + c.Grants + c.KeepAlives + c.Revokes + c.Watches
}

type counters struct {
	ranges, gets, txns, grants, keepAlives, revokes, watches, rateLimited, openWatches atomic.Int64
}

// Counts returns the calls so far.
func (e *Engine) Counts() CallCounts {
	c := &e.counters
	return CallCounts{
		Ranges: c.ranges.Load(), Gets: c.gets.Load(), Txns: c.txns.Load(), Grants: c.grants.Load(),
		KeepAlives: c.keepAlives.Load(), Revokes: c.revokes.Load(), Watches: c.watches.Load(),
		RateLimited: c.rateLimited.Load(), OpenWatches: c.openWatches.Load(),
	}
}

// Session is the view of one client on the Engine. It implements store.Store.
type Session struct {
	engine *Engine
	name   string

	// mu guards fault and changed, which is closed when fault changes.
	mu      sync.Mutex
	fault   Fault
	changed chan struct{}
}

var _ store.Store = (*Session)(nil)

// SetFault replaces the injected faults; the zero Fault removes them.
func (s *Session) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
	s.mu.Unlock()
	if f.Down {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		s.engine.cutLocked(func(w *watch) bool { return s.covers(w.session) })
	}
}

// covers reports whether the faults of s apply to calls of other; those of the unnamed session apply to all.
func (s *Session) covers(other *Session) bool {
	return s == other || s.name == ""
}

// Fault returns the faults that apply to this client, its own and those of the whole service together.
func (s *Session) Fault() Fault {
	f := s.own()
	root := s.engine.Session
	if root == nil || root == s {
		return f
	}
	r := root.own()
	f.Down = f.Down || r.Down
	f.Hang = f.Hang || r.Hang
	f.Delay += r.Delay
	f.WatchLag += r.WatchLag
	return f
}

func (s *Session) own() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Session) changes() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// awaitHang returns when no hang applies, or with an error when ctx ends.
func (s *Session) awaitHang(ctx context.Context) error {
	for {
		own, root := s.changes(), s.engine.changes()
		if !s.Fault().Hang {
			return nil
		}
		select {
		case <-own:
		case <-root:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// admitBatch waits until a batch of time at may be delivered; it returns false when ctx ends.
func (s *Session) admitBatch(ctx context.Context, at time.Time) bool {
	if lag := time.Until(at.Add(s.Fault().WatchLag)); lag > 0 && sleep.For(ctx, lag) != nil {
		return false
	}
	return s.awaitHang(ctx) == nil
}

type kind uint8

const (
	read kind = iota
	write
)

// takeLoss uses up one lost answer of a write.
func (s *Session) takeLoss(k kind) (before, after bool) {
	if k != write {
		return false, false
	}
	if b, a := s.takeOwnLoss(); b || a {
		return b, a
	}
	if root := s.engine.Session; root != s {
		return root.takeOwnLoss()
	}
	return false, false
}

func (s *Session) takeOwnLoss() (before, after bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fault.LoseBefore != 0:
		if s.fault.LoseBefore > 0 {
			s.fault.LoseBefore--
		}
		return true, false
	case s.fault.LoseAfter != 0:
		if s.fault.LoseAfter > 0 {
			s.fault.LoseAfter--
		}
		return false, true
	}
	return false, false
}

// refuse returns the error of a call that the service turns away without effect, or nil.
func (s *Session) refuse(call string, k kind) error {
	e := s.engine
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	if stopped || s.Fault().Down {
		return store.NewError(call, store.NotApplied, store.ErrUnavailable)
	}
	limiter := e.reads
	if k == write {
		limiter = e.writes
	}
	if !limiter.AllowN(e.now(), 1) {
		e.counters.rateLimited.Add(1)
		return store.NewError(call, store.NotApplied, store.ErrRateLimited)
	}
	return nil
}

func lost(call string, cause error) error {
	return store.NewError(call, store.Unknown, fmt.Errorf("%w: answer lost: %w", store.ErrUnavailable, cause))
}

var errConnection = errors.New("connection closed")

// do runs effect with the faults of the session around it.
func (s *Session) do(ctx context.Context, call string, k kind, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return store.NewError(call, store.NotApplied, err)
	}
	if err := s.refuse(call, k); err != nil {
		return err
	}
	before, after := s.takeLoss(k)
	if before {
		return lost(call, errConnection)
	}
	delay := s.Fault().Delay / 2
	start := time.Now()
	if err := s.delay(ctx, delay); err != nil {
		if k == write && delay > 0 {
			time.AfterFunc(delay-time.Since(start), func() { _ = effect() })
		}
		return lost(call, err)
	}
	err := effect()
	if after {
		return lost(call, errConnection)
	}
	if werr := s.delay(ctx, delay); werr != nil {
		return lost(call, werr)
	}
	if err != nil {
		return store.NewError(call, store.NotApplied, err)
	}
	return nil
}

func (s *Session) delay(ctx context.Context, d time.Duration) error {
	if err := s.awaitHang(ctx); err != nil {
		return err
	}
	if d == 0 {
		return nil
	}
	return sleep.For(ctx, d)
}

// Range reads the keys that start with prefix, in order.
func (s *Session) Range(ctx context.Context, prefix string) (store.RangeResult, error) {
	s.engine.counters.ranges.Add(1)
	var r store.RangeResult
	err := s.do(ctx, "Range", read, func() error {
		r = s.engine.scan(prefix)
		return nil
	})
	if err != nil {
		return store.RangeResult{}, err
	}
	return r, nil
}

// Get reads one key.
func (s *Session) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	entry, _, ok, err := s.GetWithRevision(ctx, key)
	return entry, ok, err
}

// GetWithRevision reads one key and returns the revision of the service with it.
func (s *Session) GetWithRevision(ctx context.Context, key string) (store.Entry, store.Revision, bool, error) {
	s.engine.counters.gets.Add(1)
	var (
		entry store.Entry
		rev   store.Revision
		ok    bool
	)
	err := s.do(ctx, "Get", read, func() error {
		entry, rev, ok = s.engine.get(key)
		return nil
	})
	if err != nil {
		return store.Entry{}, 0, false, err
	}
	return entry, rev, ok, nil
}

// Txn applies ops if every compare holds.
func (s *Session) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	s.engine.counters.txns.Add(1)
	// The result has its own variable for each run: a run that outlives the caller must not write to the answer.
	results := make(chan store.TxnResult, 1)
	err := s.do(ctx, "Txn", write, func() error {
		r, err := s.engine.txn(compares, ops)
		results <- r
		return err
	})
	if err != nil {
		return store.TxnResult{Outcome: store.OutcomeOf(err)}, err
	}
	return <-results, nil
}

// Grant creates a lease.
func (s *Session) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	s.engine.counters.grants.Add(1)
	ids := make(chan store.LeaseID, 1)
	err := s.do(ctx, "Grant", write, func() error {
		id, err := s.engine.grant(ttl)
		ids <- id
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-ids, nil
}

// KeepAlive renews a lease.
func (s *Session) KeepAlive(ctx context.Context, id store.LeaseID) (bool, error) {
	ttl, err := s.KeepAliveTTL(ctx, id)
	return ttl > 0, err
}

// KeepAliveTTL renews a lease and returns its time to live; 0 if it no longer exists.
func (s *Session) KeepAliveTTL(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	s.engine.counters.keepAlives.Add(1)
	ttls := make(chan time.Duration, 1)
	err := s.do(ctx, "KeepAlive", write, func() error {
		ttls <- s.engine.keepAlive(id)
		return nil
	})
	if err != nil {
		return 0, err
	}
	return <-ttls, nil
}

// Revoke ends a lease and deletes the keys attached to it.
func (s *Session) Revoke(ctx context.Context, id store.LeaseID) error {
	s.engine.counters.revokes.Add(1)
	return s.do(ctx, "Revoke", write, func() error { return s.engine.revoke(id) })
}

// Watch delivers the changes of keys that start with prefix after revision from.
func (s *Session) Watch(ctx context.Context, prefix string, from store.Revision) <-chan store.WatchBatch {
	s.engine.counters.watches.Add(1)
	w := s.engine.openWatch(s, prefix, from)
	out := make(chan store.WatchBatch)
	go w.run(ctx, out)
	return out
}
