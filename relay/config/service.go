package config

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Settings of a Service. Zero times take the defaults.
type Settings struct {
	Self    ident.Instance
	Store   store.Store
	Codec   Codec
	Peers   Peers
	Members Members
	Log     logrus.FieldLogger
	// CallTimeout bounds one call to the store or a peer.
	CallTimeout time.Duration
	// CommitTimeout bounds a commit with the resolution of lost answers.
	CommitTimeout time.Duration
	// ExchangeInterval is the time between digest exchanges with one random peer.
	ExchangeInterval time.Duration
	// StoreSilence is the age of the newest known store contact after which a host that does not watch asks the store
	// itself.
	StoreSilence time.Duration
}

const (
	defaultCallTimeout      = time.Second
	defaultCommitTimeout    = 5 * time.Second
	defaultExchangeInterval = time.Second
	defaultStoreSilence     = 10 * time.Second

	// pushFanout is the number of peers told of a new revision at once. With 3, about 94 % of the hosts hear of it by
	// pushes; the exchanges reach the rest.
	pushFanout = 3

	viewShards = 16
)

// Service is the table of one relay host. All methods may be called concurrently.
type Service struct {
	Settings

	// current is the table in force; nil until one is loaded. Readers use only this pointer.
	current atomic.Pointer[inForce]
	watcher atomic.Bool
	// watcherChanged wakes the watch loop after SetWatcher.
	watcherChanged chan struct{}
	// push wakes the push loop after a new revision.
	push chan struct{}
	// behind names hosts that have a newer revision than this one.
	behind chan ident.HostID
	// views holds the last digest of each other host.
	views *shard.Map[ident.HostID, view]
	stats Counters

	// mu guards the fields below and makes "is it newer" and "put it in force" one step.
	mu      sync.Mutex
	recent  table.RecentRecords
	changed chan struct{}
	contact contact
}

// inForce is the table in force with how it got here.
type inForce struct {
	table  *table.Table
	digest table.Digest
	since  time.Time
	// source is "store" or the peer that sent the table.
	source string
}

// contact is what is known of the store.
type contact struct {
	own   time.Time
	known time.Time
	peer  time.Time
	// tried is when a host that does not watch last asked the store.
	tried time.Time
	// fault is the last store failure; empty while the store answers.
	fault string
	// divergence says how the store differs from the table in force; empty if it does not.
	divergence string
}

// Counters count events since the start.
type Counters struct {
	Installed, FromPeers, StoreLoads, StoreFaults, WatchCuts, Exchanges, ExchangeFaults, RejectedUpdates atomic.Int64
}

const sourceStore = "store"

// New returns a service without a table. Run loads one and keeps it up to date.
func New(s Settings) *Service {
	setDefault(&s.CallTimeout, defaultCallTimeout)
	setDefault(&s.CommitTimeout, defaultCommitTimeout)
	setDefault(&s.ExchangeInterval, defaultExchangeInterval)
	setDefault(&s.StoreSilence, defaultStoreSilence)
	return &Service{
		Settings:       s,
		watcherChanged: make(chan struct{}, 1),
		push:           make(chan struct{}, 1),
		behind:         make(chan ident.HostID, 16),
		views:          shard.NewStringMap[ident.HostID, view](viewShards),
		changed:        make(chan struct{}),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// InForce returns the table in force, nil if this host has reached neither the store nor a peer since its start.
func (s *Service) InForce() *table.Table {
	if f := s.current.Load(); f != nil {
		return f.table
	}
	return nil
}

// CurrentTable returns the table in force, or a NotRun error if there is none.
func (s *Service) CurrentTable() (*table.Table, error) {
	if t := s.InForce(); t != nil {
		return t, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no table is in force: this host has reached neither the store nor a peer since its start").WithRetryAfter(time.Second)
}

// Await returns the table in force as soon as it is another one than seen.
func (s *Service) Await(ctx context.Context, seen *table.Table) (*table.Table, error) {
	for {
		s.mu.Lock()
		changed := s.changed
		s.mu.Unlock()
		if t := s.InForce(); t != nil && t != seen {
			return t, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// Subscribe calls f with the table in force and after each change until ctx ends. A slow f misses revisions in between
// but never the newest.
func (s *Service) Subscribe(ctx context.Context, f func(*table.Table)) {
	var seen *table.Table
	for {
		t, err := s.Await(ctx, seen)
		if err != nil {
			return
		}
		seen = t
		f(t)
	}
}

// Counters returns the event counters.
func (s *Service) Counters() *Counters {
	return &s.stats
}

// install puts an update in force if it leads to a newer revision. The revision in force never goes back.
func (s *Service) install(u Update, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	next, err := s.resultLocked(old, u)
	if err != nil {
		s.stats.RejectedUpdates.Add(1)
		return err
	}
	if next == nil || old != nil && next.table.Revision() <= old.table.Revision() {
		return nil
	}
	next.since = time.Now()
	next.source = source
	s.current.Store(next)
	s.stats.Installed.Add(1)
	if source != sourceStore {
		s.stats.FromPeers.Add(1)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	wake(s.push)
	return nil
}

// resultLocked returns the table that the update leads to; nil if it holds nothing new.
func (s *Service) resultLocked(old *inForce, u Update) (*inForce, error) {
	var next *inForce
	if old != nil {
		next = &inForce{table: old.table, digest: old.digest}
	}
	if u.Snapshot != nil && (next == nil || u.Snapshot.Table.Revision() > next.table.Revision()) {
		if err := u.Snapshot.Verify(); err != nil {
			return nil, err
		}
		next = &inForce{table: u.Snapshot.Table, digest: u.Snapshot.Digest}
	}
	for _, r := range u.Records {
		if next == nil {
			return nil, errors.New("records without a table to apply them to")
		}
		if r.Revision <= next.table.Revision() {
			continue
		}
		t, err := next.table.ApplyRecord(r)
		if err != nil {
			return nil, err
		}
		s.recent.Add(r)
		next = &inForce{table: t, digest: r.Digest}
	}
	return next, nil
}

// storeAnswered notes a successful store call and its time.
func (s *Service) storeAnswered() {
	s.mu.Lock()
	now := time.Now()
	regained := s.contact.fault != ""
	s.contact.own, s.contact.known, s.contact.fault = now, now, ""
	s.mu.Unlock()
	if regained {
		s.Log.WithField("host", s.Self).Info("table: store reached again")
	}
}

// storeFailed notes a failed store call.
func (s *Service) storeFailed(err error) {
	s.stats.StoreFaults.Add(1)
	s.mu.Lock()
	lost := s.contact.fault == ""
	s.contact.fault = err.Error()
	s.mu.Unlock()
	if lost {
		s.Log.WithField("host", s.Self).WithError(err).Warn("table: store not reached; the revision in force stays")
	}
}

// wake makes the reader of a channel with one place look again.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func unavailable(err error, format string, args ...any) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "%s", fmt.Sprintf(format, args...)).WithRetryAfter(time.Second)
}
