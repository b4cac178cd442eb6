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

// SetWatcher says whether this host is one of the watchers of its data centre.
func (s *Service) SetWatcher(on bool) {
	if s.watcher.Swap(on) != on {
		wake(s.watcherChanged)
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

// Start loads the table from the store, or the newest of the peers if the store is not reached. The error is NotRun if
// neither gave one; Run goes on trying.
func (s *Service) Start(ctx context.Context) error {
	if _, err := s.load(ctx); err == nil {
		return nil
	}
	s.askPeers(ctx, s.Members.LiveHosts())
	_, err := s.CurrentTable()
	return err
}

// askPeers exchanges digests with the hosts at the same time and fetches from the newest of them.
func (s *Service) askPeers(ctx context.Context, hosts []ident.HostID) {
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
		s.watchUntilChanged(ctx)
	}
}

// watchUntilChanged loads and watches until this host is no longer a watcher.
func (s *Service) watchUntilChanged(ctx context.Context) {
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

// watch loads the table and follows the store until the watch ends. It returns whether anything was received.
func (s *Service) watch(ctx context.Context) (received bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	head, err := s.load(ctx)
	if err != nil {
		return false
	}
	for batch := range s.Store.Watch(ctx, keyPrefix, head.at) {
		if batch.Err != nil {
			s.stats.WatchCuts.Add(1)
			s.storeFailed(batch.Err)
			return received
		}
		s.storeAnswered()
		if err := s.follow(batch.Events); err != nil {
			s.Log.WithError(err).Warn("table: watch does not fit the table in force; loading again")
			return received
		}
		received = true
	}
	return received
}

// follow puts the records among the events in force.
func (s *Service) follow(events []store.Event) error {
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

// exchangeLoop exchanges digests with one random peer at a time, and asks the store itself when no host is known to
// have reached it for long.
func (s *Service) exchangeLoop(ctx context.Context) {
	for sleep.For(ctx, jitter(s.ExchangeInterval)) == nil {
		if hosts := pick(s.Members.LiveHosts(), 1); len(hosts) == 1 {
			s.exchangeAndFetch(ctx, hosts[0])
		}
		if s.storeSilent() {
			// A failure is kept for the status, and the next round tries again.
			_, _ = s.load(ctx)
		}
		s.forgetViews(time.Now())
	}
}

// storeSilent reports whether this host should ask the store: a watcher when its watch has been idle, because a watch
// can die without an error; another host when nobody is known to have reached the store. A host that has failed waits
// before it asks again, so that hosts do not flood a store that is down.
func (s *Service) storeSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	last, silence := s.contact.known, s.StoreSilence
	if s.watcher.Load() {
		last, silence = s.contact.own, s.StoreSilence/watcherProbes
	}
	if now.Sub(last) < silence || now.Sub(s.contact.tried) < silence/2 {
		return false
	}
	s.contact.tried = now
	return true
}

// watcherProbes is the number of reads of the head that a watcher makes within StoreSilence while its watch is idle, so
// that other hosts keep hearing of store contact.
const watcherProbes = 4

// pushLoop tells some peers of each new revision at once.
func (s *Service) pushLoop(ctx context.Context) {
	for {
		select {
		case <-s.push:
			for _, d := range s.exchangeAll(ctx, pick(s.Members.LiveHosts(), pushFanout)) {
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
		case host := <-s.behind:
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

// fetchFrom takes what this host lacks from a peer. If the records do not fit, it asks for everything once.
func (s *Service) fetchFrom(ctx context.Context, host ident.HostID) {
	f := s.current.Load()
	since := table.Revision(0)
	if f != nil {
		since = f.table.Revision()
	}
	for _, empty := range []bool{f == nil, true} {
		callCtx, cancel := context.WithTimeout(ctx, s.CallTimeout)
		u, err := s.Peers.Fetch(callCtx, host, since, empty)
		cancel()
		if err != nil {
			s.stats.ExchangeFaults.Add(1)
			return
		}
		if err := s.install(u, string(host)); err == nil {
			return
		}
		s.Log.WithField("peer", host).Warn("table: update of a peer does not fit the table in force")
	}
}

// jitter spreads d by a fifth, so that hosts started together do not stay in step.
func jitter(d time.Duration) time.Duration {
	return d + rand.N(d/5+1) - d/10
}

// pick returns n random hosts.
func pick(hosts []ident.HostID, n int) []ident.HostID {
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(n, len(hosts))]
}

var errDiverged = errors.New("two hosts have different tables with the same revision")
