package config

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// view is the last digest of another host with the time of its arrival.
type view struct {
	digest PeerDigest
	at     time.Time
}

const (
	// never is the age of a contact that has not happened.
	never = -1
	// maxFetchChanges is the number of changed rows above which a snapshot is smaller than the records.
	maxFetchChanges = table.MaxRows / 2
	// viewRetention is how long the last digest of a host is kept; a host that was replaced never reports again.
	viewRetention = 10 * time.Minute
	// maxExchanges bounds the calls to peers at the same time.
	maxExchanges = 32
)

// Digest returns what is in force here.
func (s *Service) Digest() PeerDigest {
	d := PeerDigest{Instance: s.Self}
	now := time.Now()
	s.mu.Lock()
	d.StoreContact, d.KnownStoreContact = age(now, s.contact.own), age(now, s.contact.known)
	s.mu.Unlock()
	if f := s.current.Load(); f != nil {
		d.Loaded, d.Revision, d.Digest, d.InForce = true, f.table.Revision(), f.digest, now.Sub(f.since)
	}
	return d
}

func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return never
	}
	return now.Sub(t)
}

// HandleDigest takes the digest of a peer and returns the own one. If the peer is ahead, its revisions are fetched in
// the background.
func (s *Service) HandleDigest(theirs PeerDigest) PeerDigest {
	s.note(theirs)
	s.queueFetch(theirs)
	return s.Digest()
}

// queueFetch has the revisions of a peer fetched if it is ahead. If the queue is full of other hosts that are ahead,
// the next exchange repeats this.
func (s *Service) queueFetch(d PeerDigest) {
	if !s.isNewer(d) {
		return
	}
	select {
	case s.behind <- d.Instance.Host:
	default:
	}
}

// HandleFetch returns what a peer lacks.
func (s *Service) HandleFetch(since table.Revision, empty bool) (Update, error) {
	f := s.current.Load()
	if f == nil {
		_, err := s.CurrentTable()
		return Update{}, err
	}
	last := f.table.Revision()
	if !empty {
		if since >= last {
			return Update{}, nil
		}
		s.mu.Lock()
		records, found := s.recent.Between(since, last, maxFetchChanges)
		s.mu.Unlock()
		if found {
			return Update{Records: records}, nil
		}
	}
	return Update{Snapshot: &table.Snapshot{Table: f.table, Digest: f.digest}}, nil
}

// isNewer reports whether a peer has a revision that this host lacks.
func (s *Service) isNewer(d PeerDigest) bool {
	f := s.current.Load()
	return d.Loaded && (f == nil || d.Revision > f.table.Revision())
}

// note keeps the digest of a peer. A digest of an earlier incarnation, or an older one that was delayed, is ignored.
func (s *Service) note(d PeerDigest) {
	now := time.Now()
	host := d.Instance.Host
	if host == s.Self.Host {
		return
	}
	s.views.WithShard(host, func(views map[ident.HostID]view) {
		old, found := views[host]
		older := d.Instance.Incarnation < old.digest.Instance.Incarnation ||
			d.Instance == old.digest.Instance && d.Revision < old.digest.Revision
		if !found || !older {
			views[host] = view{digest: d, at: now}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.peer = now
	if known := now.Add(-d.KnownStoreContact); d.KnownStoreContact >= 0 && known.After(s.contact.known) {
		s.contact.known = known
	}
}

// forgetViews drops the digests of hosts that have not reported for long.
func (s *Service) forgetViews(now time.Time) {
	s.views.ForEachShard(func(views map[ident.HostID]view) {
		maps.DeleteFunc(views, func(_ ident.HostID, v view) bool { return now.Sub(v.at) > viewRetention })
	})
}

func (s *Service) exchange(ctx context.Context, host ident.HostID) (PeerDigest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	s.stats.Exchanges.Add(1)
	d, err := s.Peers.Digest(ctx, host, s.Digest())
	if err == nil && d.Instance.Host != host {
		err = verdict.New(verdict.NotRun, verdict.CodeIncomplete, "%s answered for %s", d.Instance.Host, host)
	}
	if err != nil {
		s.stats.ExchangeFaults.Add(1)
		return PeerDigest{}, err
	}
	s.note(d)
	return d, nil
}

// exchangeAll exchanges digests with hosts at the same time and returns the answers.
func (s *Service) exchangeAll(ctx context.Context, hosts []ident.HostID) []PeerDigest {
	answers := make([]*PeerDigest, len(hosts))
	places := make(chan struct{}, maxExchanges)
	var calls sync.WaitGroup
	for i, host := range hosts {
		places <- struct{}{}
		calls.Go(func() {
			defer func() { <-places }()
			if d, err := s.exchange(ctx, host); err == nil {
				answers[i] = &d
			}
		})
	}
	calls.Wait()
	var digests []PeerDigest
	for _, d := range answers {
		if d != nil {
			digests = append(digests, *d)
		}
	}
	return digests
}
