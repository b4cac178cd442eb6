package cluster

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// gossipLoop exchanges state with other members: with one member a second when idle, more often while changes are
// pending or no member has acknowledged this host, and with all members while this host needs their reports.
func (s *Service) gossipLoop(ctx context.Context) {
	// lastRound is the start of the last round of each kind: exchanges with some members, and with all.
	var lastRound struct{ some, all time.Time }
	var lastReconnect time.Time
	for {
		mode := s.currentExchangeMode()
		now := s.now()
		last := &lastRound.some
		if mode.all {
			last = &lastRound.all
		}
		if now.Sub(*last) >= mode.interval() {
			*last = now
			s.exchangeRound(ctx, mode.all)
		}
		if now.Sub(lastReconnect) >= reconnectInterval {
			lastReconnect = now
			s.reconnect(ctx)
		}
		s.updateView(func(v *membership.View, now time.Time) { v.Tick(now) })
		t := time.NewTimer(mode.waitUntilNext(*last, s.now()))
		select {
		case <-t.C:
		case <-s.exchangeSoon:
			t.Stop()
			if sleep.For(ctx, fastExchangeInterval) != nil {
				return
			}
		case <-ctx.Done():
			t.Stop()
			return
		}
	}
}

// exchangeMode says with whom and how often to exchange state.
type exchangeMode struct {
	// all is set while this host needs reports of all members, fast while it has changes to send or needs a sponsor.
	all, fast bool
	// allFrom is when all will be set if the lease is not renewed; zero if this host needs no reports.
	allFrom time.Time
}

// currentExchangeMode returns the mode for the present state of the ownership rules and the view.
func (s *Service) currentExchangeMode() (mode exchangeMode) {
	s.withMachine(func(m *ownership.Machine, now time.Time) {
		from, needed := m.ReportsNeededFrom()
		switch {
		case needed && !now.Before(from):
			mode.all = true
		case needed:
			mode.allFrom = from
		}
		_, sponsored := m.Sponsor()
		mode.fast = !m.Established() && !sponsored
	})
	s.withView(func(v *membership.View) { mode.fast = mode.fast || v.HasPendingUpdates() })
	return mode
}

// interval returns the time between the starts of two rounds.
func (m exchangeMode) interval() time.Duration {
	switch {
	case m.all:
		return fullExchangeInterval
	case m.fast:
		return fastExchangeInterval
	default:
		return idleExchangeInterval
	}
}

// waitUntilNext returns how long to wait at now for the next round, or until the mode may change.
func (m exchangeMode) waitUntilNext(last, now time.Time) time.Duration {
	next := last.Add(m.interval())
	if !m.allFrom.IsZero() && m.allFrom.Before(next) {
		next = m.allFrom
	}
	return max(next.Sub(now), minExchangePause)
}

// exchangeRound exchanges state with the targets of this round, or with every known member.
func (s *Service) exchangeRound(ctx context.Context, all bool) {
	addresses := s.ownershipTargets(all)
	var (
		targets []membership.Member
		request membership.Request
		alone   bool
	)
	rng := s.newRand()
	s.withView(func(v *membership.View) { targets, request, alone = v.GossipTargets(rng), v.BeginRound(), v.Len() == 1 })
	for _, m := range targets {
		addresses[m.Payload.PeerAddress] = struct{}{}
	}
	if alone {
		for _, seed := range s.cfg.Seeds {
			addresses[seed] = struct{}{}
		}
	}
	delete(addresses, "")
	delete(addresses, s.cfg.PeerAddress)
	var wg sync.WaitGroup
	for address := range addresses {
		wg.Go(func() {
			defer contain.Recover(s.log, "an exchange", nil)
			s.exchange(ctx, address, request)
		})
	}
	wg.Wait()
}

// ownershipTargets returns the addresses of the members whose reports this host needs: all known members if all is
// set, otherwise some that gossip has not named yet, and the member that acknowledges this host.
func (s *Service) ownershipTargets(all bool) map[string]struct{} {
	var (
		known     []ident.Instance
		sponsor   ident.Instance
		sponsored bool
	)
	s.withMachine(func(m *ownership.Machine, _ time.Time) {
		known = m.KnownInstances()
		sponsor, sponsored = m.Sponsor()
		sponsored = sponsored && !m.Established()
	})
	addresses := make(map[string]struct{})
	newMembers := 0
	for _, i := range known {
		// A host without a seed joins through members that it knows only from the store.
		_, inView := s.member(i.Host)
		if !inView {
			newMembers++
		}
		if all || !inView && newMembers <= maxNewMembers {
			addresses[s.addressOfHost(i.Host)] = struct{}{}
		}
	}
	if sponsored {
		addresses[s.addressOfHost(sponsor.Host)] = struct{}{}
	}
	return addresses
}

// exchange performs one exchange, with a second call if the other member has newer state.
func (s *Service) exchange(ctx context.Context, address string, r membership.Request) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	for range 2 {
		s.counters.exchanges.Add(1)
		sent := s.now()
		reply, report, err := s.cfg.Transport.Exchange(ctx, address, r)
		if err != nil {
			s.counters.exchangeErrors.Add(1)
			return
		}
		again := false
		s.updateView(func(v *membership.View, now time.Time) { r, again = v.HandleReply(reply, now) })
		s.updateMachine(func(m *ownership.Machine, now time.Time) { m.ReportReceived(report, sent, now) })
		if !again {
			return
		}
	}
}

func (s *Service) reconnect(ctx context.Context) {
	var (
		m  membership.Member
		r  membership.Request
		ok bool
	)
	rng := s.newRand()
	s.withView(func(v *membership.View) {
		m, ok = v.ReconnectTarget(rng)
		r = v.BeginRound()
	})
	if ok {
		s.spawn("an exchange", func() { s.exchange(ctx, m.Payload.PeerAddress, r) })
	}
}

// probeLoop probes one member a second.
func (s *Service) probeLoop(ctx context.Context) {
	for sleep.For(ctx, idleExchangeInterval) == nil {
		var (
			target membership.Member
			ok     bool
		)
		rng := s.newRand()
		s.withView(func(v *membership.View) { target, ok = v.NextProbe(rng) })
		if ok {
			s.spawn("a probe", func() { s.probe(ctx, target) })
		}
	}
}

// probe calls the target directly, and if that fails through other members. An answer from a newer incarnation proves
// that the old one has stopped.
func (s *Service) probe(ctx context.Context, target membership.Member) {
	if s.probeDirect(ctx, target) || ctx.Err() != nil {
		return
	}
	var helpers []membership.Member
	rng := s.newRand()
	s.withView(func(v *membership.View) { helpers = v.IndirectProbers(target.Instance, rng) })
	reached := make(chan bool, len(helpers))
	var wg sync.WaitGroup
	for _, h := range helpers {
		wg.Go(func() { reached <- s.probeThrough(ctx, h, target) })
	}
	wg.Wait()
	close(reached)
	for ok := range reached {
		if ok {
			return
		}
	}
	if ctx.Err() == nil {
		s.counters.probeErrors.Add(1)
		s.updateView(func(v *membership.View, now time.Time) { v.ProbeFailed(target.Instance, now) })
	}
}

func (s *Service) probeDirect(ctx context.Context, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.counters.probes.Add(1)
	at, _, err := s.cfg.Transport.Probe(ctx, target.Payload.PeerAddress, ident.Instance{}, "")
	if err != nil || at.Host != target.Instance.Host {
		return false
	}
	if at.Incarnation > target.Instance.Incarnation {
		s.updateMachine(func(m *ownership.Machine, now time.Time) {
			m.AddInstances(target.Instance)
			m.InstanceStopped(target.Instance, s.cfg.Ownership.MaxDeadline, now)
		})
	}
	return at == target.Instance
}

func (s *Service) probeThrough(ctx context.Context, helper, target membership.Member) bool {
	ctx, cancel := context.WithTimeout(ctx, 2*peerTimeout)
	defer cancel()
	s.counters.probes.Add(1)
	_, reached, err := s.cfg.Transport.Probe(ctx, helper.Payload.PeerAddress, target.Instance, target.Payload.PeerAddress)
	return err == nil && reached
}

// HandleExchange answers another member's exchange. The report is made after the contents of the request and the
// sender have been recorded.
func (s *Service) HandleExchange(r membership.Request) (membership.Reply, ownership.Report) {
	var (
		reply  membership.Reply
		report ownership.Report
	)
	s.updateView(func(v *membership.View, now time.Time) { reply = v.HandleRequest(r, now) })
	s.updateMachine(func(m *ownership.Machine, now time.Time) {
		m.AddInstances(r.From)
		report = m.OwnReport(now)
	})
	return reply, report
}

// HandleProbe answers a probe, or probes the target on behalf of another member.
func (s *Service) HandleProbe(ctx context.Context, target ident.Instance, address string) (at ident.Instance, reached bool) {
	self := s.cfg.Ownership.Self
	if target == (ident.Instance{}) {
		return self, true
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	answered, _, err := s.cfg.Transport.Probe(ctx, address, ident.Instance{}, "")
	return self, err == nil && answered == target
}

// HandleFence gives up a cell in favour of an owner with a higher epoch. That is published before the answer is
// returned.
func (s *Service) HandleFence(cell ident.CellID, epoch ident.Epoch) FenceAnswer {
	answer := FenceAnswer{From: s.cfg.Ownership.Self, BusyFor: s.cfg.Ownership.MaxDeadline}
	s.updateMachine(func(m *ownership.Machine, _ time.Time) { answer.Stopped = m.Fence(cell, epoch) })
	if s.cfg.BusyFor != nil {
		answer.BusyFor = s.cfg.BusyFor(cell)
	}
	return answer
}
