// Package kv simulates the platform's key-value service for tests and the demo: an in-memory store with
// compare-and-swap transactions, leases, watches and revisions, and with injected faults, rate limits and call
// counters. It is used directly as a store.Store or over the published gRPC protocol.
package kv

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/google/btree"
	"golang.org/x/time/rate"

	"github.com/bulrushrelay/bulrushrelay/core/store"
)

const (
	// DefaultWritesPerSecond is the default write limit; the platform states "several hundred".
	DefaultWritesPerSecond = 400
	// DefaultReadsPerSecond is the default read limit, as stated by the platform.
	DefaultReadsPerSecond = 2000
	// DefaultHistoryEvents is the default number of past events kept for watches that start at an earlier revision.
	DefaultHistoryEvents = 10000

	btreeDegree = 16
)

// Config configures an Engine. Zero fields take the defaults.
type Config struct {
	// Now is the clock of leases and rate limits; time.Now by default.
	Now func() time.Time
	// WritesPerSecond and ReadsPerSecond limit the calls; a negative value removes the limit.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// NoExpiryTimer disables the timer that expires leases, so that they expire only at calls and at Expire. It is
	// meant for a clock that the timers of the Go runtime do not follow.
	NoExpiryTimer bool
	// HistoryEvents is the number of past events kept for watches when the history is trimmed, which happens when it
	// exceeds twice that number.
	HistoryEvents int
}

// Engine is the simulated service. All keys share one revision, so all changes are made under one lock. Leases expire
// at calls and by a timer; with a clock other than the wall clock or that of a synctest bubble, Expire must be
// called.
//
// The embedded Session is that of the client with the empty name; its faults apply to all clients.
type Engine struct {
	*Session

	now           func() time.Time
	writeLimiter  *rate.Limiter
	readLimiter   *rate.Limiter
	historyEvents int
	noExpiryTimer bool

	counters counters

	// mu guards all fields below. A transaction compares, writes and notifies watches under one hold of it.
	mu          sync.Mutex
	revision    store.Revision
	compactedTo store.Revision
	entries     *btree.BTreeG[*store.Entry]
	events      []store.Event
	leases      map[store.LeaseID]*lease
	lastLease   store.LeaseID
	watches     map[*watch]struct{}
	sessions    map[string]*Session
	stopped     bool
	expiryTimer *time.Timer
}

type lease struct {
	id       store.LeaseID
	ttl      time.Duration
	deadline time.Time
	keys     map[string]struct{}
}

// New returns an empty Engine.
func New(c Config) *Engine {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.HistoryEvents == 0 {
		c.HistoryEvents = DefaultHistoryEvents
	}
	e := &Engine{
		now:           c.Now,
		writeLimiter:  newLimiter(c.WritesPerSecond, DefaultWritesPerSecond),
		readLimiter:   newLimiter(c.ReadsPerSecond, DefaultReadsPerSecond),
		historyEvents: c.HistoryEvents,
		noExpiryTimer: c.NoExpiryTimer,
		revision:      1,
		entries: btree.NewG(btreeDegree, func(a, b *store.Entry) bool {
			return a.Key < b.Key
		}),
		leases:   make(map[store.LeaseID]*lease),
		watches:  make(map[*watch]struct{}),
		sessions: make(map[string]*Session),
	}
	e.Session = e.Client("")
	return e
}

func newLimiter(perSecond, defaultPerSecond float64) *rate.Limiter {
	if perSecond < 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	if perSecond == 0 {
		perSecond = defaultPerSecond
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond))
}

// Client returns the session of the named client, which has its own faults. Calls with the same name return the same
// session.
func (e *Engine) Client(name string) *Session {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.sessions[name]
	if !ok {
		s = &Session{engine: e, name: name, faultChanged: make(chan struct{})}
		e.sessions[name] = s
	}
	return s
}

// Stop simulates an outage of the service itself: calls are refused, watches end with an error and no lease expires.
func (e *Engine) Stop() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stopped = true
	e.cutWatchesLocked(func(*watch) bool { return true })
}

// Start ends the outage that Stop began. Each lease gets its full time to live again, as in the published service.
func (e *Engine) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.stopped {
		return
	}
	e.stopped = false
	for _, l := range e.leases {
		l.deadline = e.now().Add(l.ttl)
	}
	e.resetTimerLocked()
}

// Expire ends the leases whose time to live has passed.
func (e *Engine) Expire() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
}

// ExpireLease ends one lease at once, as if its holder had not renewed it for its time to live.
func (e *Engine) ExpireLease(id store.LeaseID) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endLeaseLocked(id)
}

// Compact drops the history up to the current revision, so that watches from earlier revisions fail with
// store.ErrCompacted.
func (e *Engine) Compact() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = nil
	e.compactedTo = e.revision
}

// Revision returns the current revision.
func (e *Engine) Revision() store.Revision {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.revision
}

func (e *Engine) expireLocked() {
	if e.stopped {
		return
	}
	now := e.now()
	for id, l := range e.leases {
		if !now.Before(l.deadline) {
			e.endLeaseLocked(id)
		}
	}
	e.resetTimerLocked()
}

// resetTimerLocked sets the expiry timer to the earliest lease deadline.
func (e *Engine) resetTimerLocked() {
	if e.expiryTimer != nil {
		e.expiryTimer.Stop()
		e.expiryTimer = nil
	}
	if e.noExpiryTimer || e.stopped || len(e.leases) == 0 {
		return
	}
	var next time.Time
	for _, l := range e.leases {
		if next.IsZero() || l.deadline.Before(next) {
			next = l.deadline
		}
	}
	e.expiryTimer = time.AfterFunc(max(next.Sub(e.now()), time.Millisecond), e.Expire)
}

// endLeaseLocked removes a lease and deletes the keys attached to it.
func (e *Engine) endLeaseLocked(id store.LeaseID) {
	l, ok := e.leases[id]
	if !ok {
		return
	}
	delete(e.leases, id)
	ops := make([]store.Op, 0, len(l.keys))
	for key := range l.keys {
		ops = append(ops, store.Op{Key: key, Delete: true})
	}
	e.applyLocked(ops)
}

func (e *Engine) txn(compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if err := checkOps(ops); err != nil {
		return store.TxnResult{Outcome: store.NotApplied}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	for _, c := range compares {
		if e.revisionLocked(c.Key, c.Field) != c.Revision {
			return store.TxnResult{Outcome: store.NotApplied, Revision: e.revision}, nil
		}
	}
	for _, op := range ops {
		if _, ok := e.leases[op.Lease]; op.Lease != 0 && !ok {
			return store.TxnResult{Outcome: store.NotApplied}, store.ErrLeaseNotFound
		}
	}
	e.applyLocked(ops)
	return store.TxnResult{Outcome: store.Applied, Revision: e.revision}, nil
}

func checkOps(ops []store.Op) error {
	seen := make(map[string]struct{}, len(ops))
	for _, op := range ops {
		if op.Key == "" {
			return fmt.Errorf("%w: empty key", store.ErrInvalid)
		}
		if _, ok := seen[op.Key]; ok {
			return fmt.Errorf("%w: key %q written twice", store.ErrInvalid, op.Key)
		}
		seen[op.Key] = struct{}{}
		if len(op.Value) > store.MaxValueBytes {
			return fmt.Errorf("%w: key %q: %d bytes, at most %d", store.ErrTooLarge, op.Key, len(op.Value), store.MaxValueBytes)
		}
	}
	return nil
}

func (e *Engine) revisionLocked(key string, f store.Field) store.Revision {
	entry, ok := e.entries.Get(&store.Entry{Key: key})
	switch {
	case !ok:
		return 0
	case f == store.FieldModRevision:
		return entry.ModRevision
	default:
		return entry.CreateRevision
	}
}

// applyLocked performs ops at the next revision and notifies the watches. If no op changes a key, the revision stays.
func (e *Engine) applyLocked(ops []store.Op) {
	next := e.revision + 1
	var events []store.Event
	for _, op := range ops {
		if ev, changed := e.applyOpLocked(op, next); changed {
			events = append(events, ev)
		}
	}
	if len(events) == 0 {
		return
	}
	e.revision = next
	e.events = append(e.events, events...)
	e.trimHistoryLocked()
	for w := range e.watches {
		w.enqueue(eventsAfter(events, w.prefix, 0), next)
	}
}

func (e *Engine) applyOpLocked(op store.Op, next store.Revision) (store.Event, bool) {
	old, exists := e.entries.Get(&store.Entry{Key: op.Key})
	if exists && old.Lease != 0 {
		if l, ok := e.leases[old.Lease]; ok {
			delete(l.keys, op.Key)
		}
	}
	if op.Delete {
		if exists {
			e.entries.Delete(old)
		}
		return store.Event{Entry: store.Entry{Key: op.Key, ModRevision: next}, Deleted: true}, exists
	}
	entry := &store.Entry{
		Key: op.Key, Value: append([]byte(nil), op.Value...), CreateRevision: next, ModRevision: next, Lease: op.Lease,
	}
	if exists {
		entry.CreateRevision = old.CreateRevision
	}
	if l, ok := e.leases[op.Lease]; ok {
		l.keys[op.Key] = struct{}{}
	}
	e.entries.ReplaceOrInsert(entry)
	return store.Event{Entry: *entry}, true
}

// trimHistoryLocked drops the oldest events once there are more than twice historyEvents. The events of one revision
// are dropped together.
func (e *Engine) trimHistoryLocked() {
	if len(e.events) <= 2*e.historyEvents {
		return
	}
	dropped := len(e.events) - e.historyEvents
	e.compactedTo = e.events[dropped-1].Entry.ModRevision
	for dropped < len(e.events) && e.events[dropped].Entry.ModRevision == e.compactedTo {
		dropped++
	}
	e.events = append([]store.Event(nil), e.events[dropped:]...)
}

func (e *Engine) rangePrefix(prefix string) store.RangeResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	r := store.RangeResult{Revision: e.revision}
	e.entries.AscendGreaterOrEqual(&store.Entry{Key: prefix}, func(entry *store.Entry) bool {
		if !strings.HasPrefix(entry.Key, prefix) {
			return false
		}
		r.Entries = append(r.Entries, *entry)
		return true
	})
	return r
}

func (e *Engine) get(key string) (store.Entry, store.Revision, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	entry, ok := e.entries.Get(&store.Entry{Key: key})
	if !ok {
		return store.Entry{}, e.revision, false
	}
	return *entry, e.revision, true
}

func (e *Engine) grant(ttl time.Duration) (store.LeaseID, error) {
	if ttl <= 0 {
		return 0, fmt.Errorf("%w: lease time to live %s, want more than 0", store.ErrInvalid, ttl)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastLease++
	id := e.lastLease
	e.leases[id] = &lease{id: id, ttl: ttl, deadline: e.now().Add(ttl), keys: make(map[string]struct{})}
	e.resetTimerLocked()
	return id, nil
}

// keepAlive renews a lease and returns its time to live; 0 if the lease does not exist.
func (e *Engine) keepAlive(id store.LeaseID) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	l, ok := e.leases[id]
	if !ok {
		return 0
	}
	l.deadline = e.now().Add(l.ttl)
	return l.ttl
}

func (e *Engine) revoke(id store.LeaseID) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.expireLocked()
	if _, ok := e.leases[id]; !ok {
		return store.ErrLeaseNotFound
	}
	e.endLeaseLocked(id)
	return nil
}
