package config

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// SetWatcher sets whether this host is one of the watchers of its data centre.
func (s *Service) SetWatcher(on bool) {
	if s.watcher.Swap(on) != on {
		notifyChannel(s.watcherChanged)
	}
}

// Run keeps the table up to date until ctx ends.
func (s *Service) Run(ctx context.Context) {
	if err := s.Start(ctx); err != nil {
		s.Log.WithError(err).Warn("table: started without a table")
	}
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchLoop, s.exchangeLoop, s.pushLoop, s.fetchLoop} {
		loops.Go(func() { loop(ctx) })
	}
	loops.Wait()
}

// Start loads the table from the store, or the newest table of the peers if the store cannot be reached. The error
// has verdict NotRun if neither provided one; Run keeps trying.
func (s *Service) Start(ctx context.Context) error {
	if _, err := s.load(ctx); err == nil {
		return nil
	}
	s.fetchNewestFromPeers(ctx, s.Members.LiveHosts())
	_, err := s.CurrentTable()
	return err
}

// fetchNewestFromPeers exchanges digests with the hosts and fetches from the one with the newest revision.
func (s *Service) fetchNewestFromPeers(ctx context.Context, hosts []ident.HostID) {
	digests := s.exchangeAll(ctx, hosts)
	var newest *PeerDigest
	for i := range digests {
		d := &digests[i]
		if d.Loaded && (newest == nil || d.Revision > newest.Revision) {
			newest = d
		}
	}
	if newest != nil {
		s.fetchFrom(ctx, newest.Instance.Host)
	}
}

// watchLoop watches the store while this host is a watcher.
func (s *Service) watchLoop(ctx context.Context) {
	for ctx.Err() == nil {
		if !s.watcher.Load() {
			select {
			case <-s.watcherChanged:
			case <-ctx.Done():
			}
			continue
		}
		s.watchWhileWatcher(ctx)
	}
}

// watchWhileWatcher loads the table and watches the store until this host is no longer a watcher.
func (s *Service) watchWhileWatcher(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var watching sync.WaitGroup
	watching.Go(func() {
		for failures := 0; ctx.Err() == nil; failures++ {
			if s.watch(ctx) {
				failures = 0
			}
			_ = sleep.For(ctx, backoff(failures))
		}
	})
	for s.watcher.Load() && ctx.Err() == nil {
		select {
		case <-s.watcherChanged:
		case <-ctx.Done():
		}
	}
	cancel()
	watching.Wait()
}

// watch loads the table and follows the store until the watch ends. It reports whether any batch was received.
func (s *Service) watch(ctx context.Context) (received bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, err := s.load(ctx)
	if err != nil {
		return false
	}
	for batch := range s.Store.Watch(ctx, keyPrefix, head.storeRevision) {
		if batch.Err != nil {
			s.stats.WatchCuts.Add(1)
			s.storeFailed(batch.Err)
			return received
		}
		s.storeAnswered()
		if err := s.installRecords(batch.Events); err != nil {
			s.Log.WithError(err).Warn("table: the watched records do not fit the table in force; loading it again")
			return received
		}
		received = true
	}
	return received
}

// installRecords installs the records that the events contain.
func (s *Service) installRecords(events []store.Event) error {
	for _, e := range events {
		if e.Deleted || len(e.Entry.Key) <= len(keyRecords) || e.Entry.Key[:len(keyRecords)] != keyRecords {
			continue
		}
		r, err := s.Codec.DecodeRecord(e.Entry.Value)
		if err != nil {
			return err
		}
		if err := s.install(Update{Records: []table.Record{r}}, sourceStore); err != nil {
			return err
		}
	}
	return nil
}

// exchangeLoop exchanges digests with one random peer at a time. It also reads the head of the store when no host is
// known to have reached the store for long.
func (s *Service) exchangeLoop(ctx context.Context) {
	for sleep.For(ctx, jitter(s.ExchangeInterval)) == nil {
		if hosts := pickRandom(s.Members.LiveHosts(), 1); len(hosts) == 1 {
			s.exchangeAndFetch(ctx, hosts[0])
		}
		if s.shouldAskStore() {
			// A failure is kept for the status, and the next iteration tries again.
			_, _ = s.load(ctx)
		}
		s.dropOldDigests(time.Now())
	}
}

// shouldAskStore reports whether this host should read the head of the store. A watcher does so when its watch has
// been idle, because a watch can die without an error; another host, when no host is known to have reached the store.
// After a failure a host waits before it asks again, so that hosts do not flood a store that is down.
func (s *Service) shouldAskStore() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last, silence := s.contact.knownContact, s.StoreSilence
	if s.watcher.Load() {
		last, silence = s.contact.ownContact, s.StoreSilence/headReadsPerSilence
	}
	if now.Sub(last) < silence || now.Sub(s.contact.lastAttempt) < silence/2 {
		return false
	}
	s.contact.lastAttempt = now
	return true
}

// headReadsPerSilence is how often a watcher reads the head within StoreSilence while its watch is idle, so that
// other hosts keep learning of its contact with the store.
const headReadsPerSilence = 4

// pushLoop exchanges digests with some peers as soon as a new revision is installed.
func (s *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-s.pushNow:
			for _, d := range s.exchangeAll(ctx, pickRandom(s.Members.LiveHosts(), pushFanout)) {
				s.queueFetch(d)
			}
		case <-ctx.Done():
			return
		}
	}
}

// fetchLoop fetches from hosts that announced a newer revision.
func (s *Service) fetchLoop(ctx context.Context) {
	for {
		select {
		case host := <-s.newerPeers:
			s.fetchFrom(ctx, host)
		case <-ctx.Done():
			return
		}
	}
}

func (s *Service) exchangeAndFetch(ctx context.Context, host ident.HostID) {
	d, err := s.exchange(ctx, host)
	if err == nil && s.isNewer(d) {
		s.fetchFrom(ctx, host)
	}
}

// fetchFrom fetches from a peer what this host lacks, and installs it. If the records do not fit the installed table,
// it fetches a snapshot once.
func (s *Service) fetchFrom(ctx context.Context, host ident.HostID) {
	installed := s.current.Load()
	since := table.Revision(0)
	if installed != nil {
		since = installed.table.Revision()
	}
	for _, full := range []bool{installed == nil, true} {
		callCtx, cancel := context.WithTimeout(ctx, s.CallTimeout)
		u, err := s.Peers.Fetch(callCtx, host, since, full)
		cancel()
		if err != nil {
			s.stats.ExchangeFaults.Add(1)
			return
		}
		if err := s.install(u, string(host)); err == nil {
			return
		}
		s.Log.WithField("peer", host).Warn("table: the update from a peer does not fit the table in force")
	}
}

// jitter varies d by up to a tenth in either direction, so that hosts that started together do not stay in step.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/5+1) - d/10
}

// pickRandom returns at most n hosts at random. It reorders hosts.
func pickRandom(hosts []ident.HostID, n int) []ident.HostID {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

var errDiverged = errors.New("two hosts have different tables with the same revision")
