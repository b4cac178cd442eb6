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
	// Down refuses each call and ends the watches with an error. Leases still expire, because the service itself runs.
	Down bool
	// Hang blocks calls until their context ends or the fault is removed, and holds back watch batches.
	Hang bool
	// Delay is the duration added to each call, half before and half after it takes effect. A write whose caller gives
	// up in the first half still takes effect later.
	Delay time.Duration
	// LoseBefore and LoseAfter are the numbers of next writes whose answers are lost, before or after the write takes
	// effect; a negative number means all writes. A write lost before its effect never takes effect.
	LoseBefore int
	LoseAfter  int
	// WatchLag is the delay of each watch batch.
	WatchLag time.Duration
}

// CallCounts counts calls by method, including refused ones. Opening a watch counts as one call.
type CallCounts struct {
	Ranges, Gets, Txns, Grants, KeepAlives, Revokes, Watches int64
	// RateLimited is the number of calls refused by a rate limit.
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

// Counts returns the numbers of calls so far.
func (e *Engine) Counts() CallCounts {
	c := &e.counters
	return CallCounts{
		Ranges: c.ranges.Load(), Gets: c.gets.Load(), Txns: c.txns.Load(), Grants: c.grants.Load(),
		KeepAlives: c.keepAlives.Load(), Revokes: c.revokes.Load(), Watches: c.watches.Load(),
		RateLimited: c.rateLimited.Load(), OpenWatches: c.openWatches.Load(),
	}
}

// Session is the access of one client to an Engine, with the client's own faults. It implements store.Store.
type Session struct {
	engine *Engine
	name   string

	// mu guards the fields below.
	mu    sync.Mutex
	fault Fault
	// faultChanged is closed and replaced when fault changes.
	faultChanged chan struct{}
}

var _ store.Store = (*Session)(nil)

// SetFault replaces the injected faults; the zero Fault removes them.
func (s *Session) SetFault(f Fault) {
	s.mu.Lock()
	s.fault = f
	close(s.faultChanged)
	s.faultChanged = make(chan struct{})
	s.mu.Unlock()
	if f.Down {
		s.engine.mu.Lock()
		defer s.engine.mu.Unlock()
		s.engine.cutWatchesLocked(func(w *watch) bool { return s.appliesTo(w.session) })
	}
}

// appliesTo reports whether the faults of s apply to calls of other. Those of the unnamed session apply to all.
func (s *Session) appliesTo(other *Session) bool {
	return s == other || s.name == ""
}

// Fault returns the faults that apply to this client: its own combined with those of the unnamed session. LoseBefore
// and LoseAfter are only its own.
func (s *Session) Fault() Fault {
	combined := s.ownFault()
	unnamed := s.engine.Session
	if unnamed == nil || unnamed == s {
		return combined
	}
	shared := unnamed.ownFault()
	combined.Down = combined.Down || shared.Down
	combined.Hang = combined.Hang || shared.Hang
	combined.Delay += shared.Delay
	combined.WatchLag += shared.WatchLag
	return combined
}

func (s *Session) ownFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

func (s *Session) faultChanges() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faultChanged
}

// awaitNoHang waits until no Hang fault applies. It fails if ctx ends first.
func (s *Session) awaitNoHang(ctx context.Context) error {
	for {
		ownChange, sharedChange := s.faultChanges(), s.engine.faultChanges()
		if !s.Fault().Hang {
			return nil
		}
		select {
		case <-ownChange:
		case <-sharedChange:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// awaitDelivery waits until a batch queued at queuedAt may be delivered. It returns false if ctx ends first.
func (s *Session) awaitDelivery(ctx context.Context, queuedAt time.Time) bool {
	if lag := time.Until(queuedAt.Add(s.Fault().WatchLag)); lag > 0 && sleep.For(ctx, lag) != nil {
		return false
	}
	return s.awaitNoHang(ctx) == nil
}

// callKind says whether a call only reads or may write.
type callKind uint8

const (
	readCall callKind = iota
	writeCall
)

// consumeLoss returns whether the answer to a call is lost before or after its effect, and counts the loss against
// LoseBefore or LoseAfter of this session or else of the unnamed one. Only answers to writes are lost.
func (s *Session) consumeLoss(kind callKind) (before, after bool) {
	if kind != writeCall {
		return false, false
	}
	if b, a := s.consumeOwnLoss(); b || a {
		return b, a
	}
	if unnamed := s.engine.Session; unnamed != s {
		return unnamed.consumeOwnLoss()
	}
	return false, false
}

func (s *Session) consumeOwnLoss() (before, after bool) {
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

// checkAvailable returns the error of a call that is refused because of an outage or a rate limit, or nil.
func (s *Session) checkAvailable(call string, kind callKind) error {
	e := s.engine
	e.mu.Lock()
	stopped := e.stopped
	e.mu.Unlock()
	if stopped || s.Fault().Down {
		return store.NewError(call, store.NotApplied, store.ErrUnavailable)
	}
	limiter := e.readLimiter
	if kind == writeCall {
		limiter = e.writeLimiter
	}
	if !limiter.AllowN(e.now(), 1) {
		e.counters.rateLimited.Add(1)
		return store.NewError(call, store.NotApplied, store.ErrRateLimited)
	}
	return nil
}

func answerLost(call string, cause error) error {
	return store.NewError(call, store.Unknown, fmt.Errorf("%w: answer lost: %w", store.ErrUnavailable, cause))
}

var errConnectionClosed = errors.New("connection closed")

// do runs effect, the operation of a call on the engine, under the faults that apply to the session.
func (s *Session) do(ctx context.Context, call string, kind callKind, effect func() error) error {
	if err := ctx.Err(); err != nil {
		return store.NewError(call, store.NotApplied, err)
	}
	if err := s.checkAvailable(call, kind); err != nil {
		return err
	}
	before, after := s.consumeLoss(kind)
	if before {
		return answerLost(call, errConnectionClosed)
	}
	halfDelay := s.Fault().Delay / 2
	start := time.Now()
	if err := s.wait(ctx, halfDelay); err != nil {
		if kind == writeCall && halfDelay > 0 {
			time.AfterFunc(halfDelay-time.Since(start), func() { _ = effect() })
		}
		return answerLost(call, err)
	}
	err := effect()
	if after {
		return answerLost(call, errConnectionClosed)
	}
	if delayErr := s.wait(ctx, halfDelay); delayErr != nil {
		return answerLost(call, delayErr)
	}
	if err != nil {
		return store.NewError(call, store.NotApplied, err)
	}
	return nil
}

func (s *Session) wait(ctx context.Context, d time.Duration) error {
	if err := s.awaitNoHang(ctx); err != nil {
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
	err := s.do(ctx, "Range", readCall, func() error {
		r = s.engine.rangePrefix(prefix)
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

// GetWithRevision reads one key and returns it with the current revision of the service.
func (s *Session) GetWithRevision(ctx context.Context, key string) (store.Entry, store.Revision, bool, error) {
	s.engine.counters.gets.Add(1)
	var (
		entry store.Entry
		rev   store.Revision
		ok    bool
	)
	err := s.do(ctx, "Get", readCall, func() error {
		entry, rev, ok = s.engine.get(key)
		return nil
	})
	if err != nil {
		return store.Entry{}, 0, false, err
	}
	return entry, rev, ok, nil
}

// Txn applies ops atomically if every compare holds.
func (s *Session) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	s.engine.counters.txns.Add(1)
	// A delayed effect can run after Txn has returned, so it must not write to a variable that Txn reads.
	results := make(chan store.TxnResult, 1)
	err := s.do(ctx, "Txn", writeCall, func() error {
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
	err := s.do(ctx, "Grant", writeCall, func() error {
		id, err := s.engine.grant(ttl)
		ids <- id
		return err
	})
	if err != nil {
		return 0, err
	}
	return <-ids, nil
}

// KeepAlive renews a lease and reports whether it still exists.
func (s *Session) KeepAlive(ctx context.Context, id store.LeaseID) (bool, error) {
	ttl, err := s.KeepAliveTTL(ctx, id)
	return ttl > 0, err
}

// KeepAliveTTL renews a lease and returns its time to live; 0 if the lease no longer exists.
func (s *Session) KeepAliveTTL(ctx context.Context, id store.LeaseID) (time.Duration, error) {
	s.engine.counters.keepAlives.Add(1)
	ttls := make(chan time.Duration, 1)
	err := s.do(ctx, "KeepAlive", writeCall, func() error {
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
	return s.do(ctx, "Revoke", writeCall, func() error { return s.engine.revoke(id) })
}

// Watch delivers the changes of keys that start with prefix after revision from. The channel is closed after a batch
// with an error, and when ctx ends.
func (s *Session) Watch(ctx context.Context, prefix string, from store.Revision) <-chan store.WatchBatch {
	s.engine.counters.watches.Add(1)
	w := s.engine.openWatch(s, prefix, from)
	out := make(chan store.WatchBatch)
	go w.run(ctx, out)
	return out
}
