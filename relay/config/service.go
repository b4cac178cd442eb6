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

// Settings holds the dependencies and settings of a Service. Durations that are zero take their defaults.
type Settings struct {
	Self    ident.Instance
	Store   store.Store
	Codec   Codec
	Peers   Peers
	Members Members
	Log     logrus.FieldLogger
	// CallTimeout bounds one call to the store or a peer.
	CallTimeout time.Duration
	// CommitTimeout bounds a commit, including the resolution of lost answers.
	CommitTimeout time.Duration
	// ExchangeInterval is the time between exchanges of digests with one random peer.
	ExchangeInterval time.Duration
	// StoreSilence is the time without known contact to the store after which a host that does not watch it reads from
	// it.
	StoreSilence time.Duration
}

const (
	defaultCallTimeout      = time.Second
	defaultCommitTimeout    = 5 * time.Second
	defaultExchangeInterval = time.Second
	defaultStoreSilence     = 10 * time.Second

	// pushFanout is the number of peers that are told of a new revision at once. With 3, about 94 % of the hosts hear
	// of it by pushes; the periodic exchanges reach the others.
	pushFanout = 3

	digestShards = 16
)

// Service maintains the table of one relay host. It is safe for concurrent use.
type Service struct {
	Settings

	// current is the table in force; nil until one is installed. Readers use only this pointer.
	current atomic.Pointer[installedTable]
	watcher atomic.Bool
	// watcherChanged wakes the watch loop after SetWatcher.
	watcherChanged chan struct{}
	// pushNow wakes the push loop after a new revision.
	pushNow chan struct{}
	// newerPeers holds hosts that have a newer revision than this one.
	newerPeers chan ident.HostID
	// digests holds the last digest of each other host.
	digests *shard.Map[ident.HostID, peerView]
	stats   Counters

	// mu guards the fields below, and makes comparing revisions and installing the newer one a single step.
	mu      sync.Mutex
	recent  table.RecentRecords
	changed chan struct{}
	contact storeContact
}

// installedTable is the table in force, with its origin.
type installedTable struct {
	table  *table.Table
	digest table.Digest
	since  time.Time
	// source is "store" or the peer that sent the table.
	source string
}

// storeContact is what is known about contact with the store: when this host, and any known host, last reached it,
// and when a peer last answered.
type storeContact struct {
	ownContact   time.Time
	knownContact time.Time
	peerContact  time.Time
	// lastAttempt is when this host last read from the store because of a silence.
	lastAttempt time.Time
	// lastFault is the last failure of the store; empty while the store answers.
	lastFault string
	// divergence describes how the store differs from the table in force; empty if it does not.
	divergence string
}

// Counters counts events since the start.
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
		pushNow:        make(chan struct{}, 1),
		newerPeers:     make(chan ident.HostID, 16),
		digests:        shard.NewStringMap[ident.HostID, peerView](digestShards),
		changed:        make(chan struct{}),
	}
}

func setDefault(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}

// InForce returns the table in force; nil if this host has reached neither the store nor a peer since its start.
func (s *Service) InForce() *table.Table {
	if installed := s.current.Load(); installed != nil {
		return installed.table
	}
	return nil
}

// CurrentTable returns the table in force, or an error with verdict NotRun if there is none.
func (s *Service) CurrentTable() (*table.Table, error) {
	if t := s.InForce(); t != nil {
		return t, nil
	}
	return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable,
		"no table is in force: this host has reached neither the store nor a peer since its start").WithRetryAfter(time.Second)
}

// Await waits until a table other than seen is in force, and returns it.
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

// Subscribe calls f with the table in force and after each change, until ctx ends. If f is slow, it misses revisions
// in between but never the newest.
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

// install applies an update if it leads to a newer revision. The revision in force never decreases.
func (s *Service) install(u Update, source string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.current.Load()
	next, err := s.applyUpdateLocked(old, u)
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
	notifyChannel(s.pushNow)
	return nil
}

// applyUpdateLocked returns the table that results from the update; nil if there is none yet. It requires mu.
func (s *Service) applyUpdateLocked(old *installedTable, u Update) (*installedTable, error) {
	var next *installedTable
	if old != nil {
		next = &installedTable{table: old.table, digest: old.digest}
	}
	if u.Snapshot != nil && (next == nil || u.Snapshot.Table.Revision() > next.table.Revision()) {
		if err := u.Snapshot.Verify(); err != nil {
			return nil, err
		}
		next = &installedTable{table: u.Snapshot.Table, digest: u.Snapshot.Digest}
	}
	for _, r := range u.Records {
		if next == nil {
			return nil, errors.New("there is no table to apply the records to")
		}
		if r.Revision <= next.table.Revision() {
			continue
		}
		t, err := next.table.ApplyRecord(r)
		if err != nil {
			return nil, err
		}
		s.recent.Add(r)
		next = &installedTable{table: t, digest: r.Digest}
	}
	return next, nil
}

// storeAnswered records that a call to the store succeeded now.
func (s *Service) storeAnswered() {
	s.mu.Lock()
	now := time.Now()
	regained := s.contact.lastFault != ""
	s.contact.ownContact, s.contact.knownContact, s.contact.lastFault = now, now, ""
	s.mu.Unlock()
	if regained {
		s.Log.WithField("host", s.Self).Info("table: the store can be reached again")
	}
}

// storeFailed records that a call to the store failed.
func (s *Service) storeFailed(err error) {
	s.stats.StoreFaults.Add(1)
	s.mu.Lock()
	lost := s.contact.lastFault == ""
	s.contact.lastFault = err.Error()
	s.mu.Unlock()
	if lost {
		s.Log.WithField("host", s.Self).WithError(err).Warn("table: the store cannot be reached; the revision in force stays")
	}
}

// notifyChannel signals a channel of capacity 1; a signal that is still pending is enough.
func notifyChannel(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func unavailableError(err error, format string, args ...any) error {
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "%s", fmt.Sprintf(format, args...)).WithRetryAfter(time.Second)
}
