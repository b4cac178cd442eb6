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

// peerView is the last digest of another host, with the time of its arrival.
type peerView struct {
	digest PeerDigest
	at     time.Time
}

const (
	// neverContacted is the age of a contact that has not happened.
	neverContacted = -1
	// maxFetchChanges is the number of changed rows above which a snapshot is smaller than the records.
	maxFetchChanges = table.MaxRows / 2
	// digestRetention is how long the last digest of a host is kept. A host that has been replaced does not report
	// again.
	digestRetention = 10 * time.Minute
	// maxExchanges bounds the concurrent calls to peers.
	maxExchanges = 32
)

// Digest returns the digest of this host.
func (s *Service) Digest() PeerDigest {
	d := PeerDigest{Instance: s.Self}
	now := time.Now()
	s.mu.Lock()
	d.StoreContact, d.KnownStoreContact = contactAge(now, s.contact.ownContact), contactAge(now, s.contact.knownContact)
	s.mu.Unlock()
	if installed := s.current.Load(); installed != nil {
		d.Loaded, d.Revision, d.Digest, d.InForce = true, installed.table.Revision(), installed.digest, now.Sub(installed.since)
	}
	return d
}

func contactAge(now, t time.Time) time.Duration {
	if t.IsZero() {
		return neverContacted
	}
	return now.Sub(t)
}

// HandleDigest records the digest of a peer and returns the digest of this host. If the peer is ahead, its revisions
// are fetched in the background.
func (s *Service) HandleDigest(theirs PeerDigest) PeerDigest {
	s.recordDigest(theirs)
	s.queueFetch(theirs)
	return s.Digest()
}

// queueFetch queues a fetch from a peer that is ahead. If the queue is full of other hosts that are ahead, the peer
// is queued after its next exchange.
func (s *Service) queueFetch(d PeerDigest) {
	if !s.isNewer(d) {
		return
	}
	select {
	case s.newerPeers <- d.Instance.Host:
	default:
	}
}

// HandleFetch returns what a peer lacks: the records after revision since, or a snapshot if full is set or the
// records are too many or not in memory.
func (s *Service) HandleFetch(since table.Revision, full bool) (Update, error) {
	installed := s.current.Load()
	if installed == nil {
		_, err := s.CurrentTable()
		return Update{}, err
	}
	last := installed.table.Revision()
	if !full {
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
	return Update{Snapshot: &table.Snapshot{Table: installed.table, Digest: installed.digest}}, nil
}

// isNewer reports whether a peer has a revision that this host lacks.
func (s *Service) isNewer(d PeerDigest) bool {
	installed := s.current.Load()
	return d.Loaded && (installed == nil || d.Revision > installed.table.Revision())
}

// recordDigest stores the digest of a peer. It ignores the digest of an earlier incarnation, and an older one that
// was delayed.
func (s *Service) recordDigest(d PeerDigest) {
	now := time.Now()
	host := d.Instance.Host
	if host == s.Self.Host {
		return
	}
	s.digests.WithShard(host, func(views map[ident.HostID]peerView) {
		old, found := views[host]
		older := d.Instance.Incarnation < old.digest.Instance.Incarnation ||
			d.Instance == old.digest.Instance && d.Revision < old.digest.Revision
		if !found || !older {
			views[host] = peerView{digest: d, at: now}
		}
	})
	s.mu.Lock()
	defer s.mu.Unlock()
	s.contact.peerContact = now
	if known := now.Add(-d.KnownStoreContact); d.KnownStoreContact >= 0 && known.After(s.contact.knownContact) {
		s.contact.knownContact = known
	}
}

// dropOldDigests drops the digests of hosts that have not reported for digestRetention.
func (s *Service) dropOldDigests(now time.Time) {
	s.digests.ForEachShard(func(views map[ident.HostID]peerView) {
		maps.DeleteFunc(views, func(_ ident.HostID, v peerView) bool { return now.Sub(v.at) > digestRetention })
	})
}

func (s *Service) exchange(ctx context.Context, host ident.HostID) (PeerDigest, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	s.stats.Exchanges.Add(1)
	d, err := s.Peers.Digest(ctx, host, s.Digest())
	if err == nil && d.Instance.Host != host {
		err = verdict.New(verdict.NotRun, verdict.CodeIncomplete, "host %s answered a call to host %s", d.Instance.Host, host)
	}
	if err != nil {
		s.stats.ExchangeFaults.Add(1)
		return PeerDigest{}, err
	}
	s.recordDigest(d)
	return d, nil
}

// exchangeAll exchanges digests with several hosts concurrently and returns their answers.
func (s *Service) exchangeAll(ctx context.Context, hosts []ident.HostID) []PeerDigest {
	answers := make([]*PeerDigest, len(hosts))
	slots := make(chan struct{}, maxExchanges)
	var calls sync.WaitGroup
	for i, host := range hosts {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
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
