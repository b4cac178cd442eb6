package cluster

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// stepLoop carries out the decisions of the ownership rules.
func (s *Service) stepLoop(ctx context.Context) {
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	var (
		rosterAt time.Time
		reported membershipState
	)
	pacer := make(fencePacer)
	for {
		select {
		case <-ticker.C:
		case <-s.stepSoon:
		case <-ctx.Done():
			return
		}
		var (
			actions    []ownership.Action
			needRoster bool
			at         time.Time
			current    membershipState
		)
		s.withMachine(func(m *ownership.Machine, now time.Time) {
			actions, needRoster, at = m.Step(now), m.NeedsRoster(), now
			current = membershipState{m.Established(), m.PresumedStopped(), m.StoppedInstances()}
			if !slices.Equal(current.presumedStopped, reported.presumedStopped) {
				// The view forgets members by what is published.
				s.publishRights()
			}
		})
		s.logMembership(reported, current)
		reported = current
		if needRoster && s.inRoster.Load() && at.Sub(rosterAt) >= rosterReadInterval {
			rosterAt = at
			s.spawn("reading the roster", func() { _ = s.readRoster(ctx) })
		}
		for _, a := range actions {
			if a.Kind != ownership.FencePredecessor || pacer.takeTurn(a, at) {
				s.perform(ctx, a)
			}
		}
	}
}

// membershipState is what a step has concluded about this host and others.
type membershipState struct {
	// established is set if this host may take over cells of hosts that may still run.
	established bool
	// presumedStopped lists the instances that count as stopped for want of a lease; stopped holds those with other proof, too.
	presumedStopped []ident.Instance
	stopped         ownership.StoppedInstances
}

// logMembership reports what has changed since the last step.
func (s *Service) logMembership(previous, current membershipState) {
	if current.established && !previous.established {
		s.log.Info("this host may take over cells of lost hosts")
	}
	for _, i := range current.presumedStopped {
		if !slices.Contains(previous.presumedStopped, i) {
			s.log.WithField("instance", i.String()).Info("a host counts as stopped: its lease has ended")
		}
	}
	for _, i := range previous.presumedStopped {
		if !current.stopped.Contains(i) {
			s.log.WithField("instance", i.String()).Info("a host that counted as stopped has a lease again")
		}
	}
}

func (s *Service) perform(ctx context.Context, a ownership.Action) {
	switch a.Kind {
	case ownership.HandOver:
		s.spawn("a hand-over", func() {
			if s.cfg.Drain != nil {
				s.cfg.Drain(ctx, a.Cell, a.Target != ident.Instance{})
			}
			if ctx.Err() == nil {
				s.updateMachine(func(m *ownership.Machine, _ time.Time) { m.CellDrained(a.Cell, a.Epoch) })
				notifyChannel(s.stepSoon)
			}
		})
	case ownership.FencePredecessor:
		if address := s.addressOfHost(a.Target.Host); address != "" {
			s.spawn("a fencing call", func() { s.fence(ctx, address, a) })
		}
	default:
		s.spawn("an ownership transaction", func() { s.transact(ctx, a) })
	}
}

// transact performs a claim, update or release. If the answer to a claim is lost, the watch recognizes the claim,
// because the record names this instance.
func (s *Service) transact(ctx context.Context, a ownership.Action) {
	id := strconv.FormatUint(uint64(a.Cell), 10)
	ownKey, lastKey := ownPrefix+id, lastPrefix+id
	value := s.cfg.Codec.EncodeOwner(a.Record)
	compares := []store.Compare{
		{Key: ownKey, Field: store.FieldCreateRevision, Revision: store.Revision(a.Epoch)},
		{Key: lastKey, Field: store.FieldModRevision, Revision: a.LastingRevision},
	}
	ops := []store.Op{
		{Key: ownKey, Value: value, Lease: a.Lease, Delete: a.Kind == ownership.Release},
		{Key: lastKey, Value: value},
	}
	var r store.TxnResult
	err := s.callStore(ctx, func(ctx context.Context) (err error) {
		r, err = s.cfg.Store.Txn(ctx, compares, ops)
		return err
	})
	s.updateMachine(func(m *ownership.Machine, now time.Time) { m.TransactionDone(a, r.Outcome, r.Revision, now) })
	if err != nil {
		s.log.WithError(err).WithField("cell", a.Cell).Debug("ownership transaction failed")
	}
}

// fencePacer holds the time at which each predecessor was last asked to give up a cell. Only the goroutine of
// stepLoop uses it, so that it needs no lock.
type fencePacer map[fenceKey]time.Time

type fenceKey struct {
	cell   ident.CellID
	target ident.Instance
}

// takeTurn reports whether the next fence call to a predecessor is due, and if so records the time.
func (p fencePacer) takeTurn(a ownership.Action, now time.Time) bool {
	key := fenceKey{a.Cell, a.Target}
	if now.Sub(p[key]) < fenceInterval {
		return false
	}
	for k, at := range p {
		if now.Sub(at) > time.Minute {
			delete(p, k)
		}
	}
	p[key] = now
	return true
}

func (s *Service) fence(ctx context.Context, address string, a ownership.Action) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	s.counters.fences.Add(1)
	answer, err := s.cfg.Transport.Fence(ctx, address, a.Cell, a.Epoch)
	if err != nil {
		return
	}
	s.updateMachine(func(m *ownership.Machine, now time.Time) {
		switch {
		case answer.From == a.Target && answer.Stopped:
			m.PredecessorConfirmed(a.Cell, a.Target, answer.BusyFor, now)
		case answer.From.Host == a.Target.Host && answer.From.Incarnation > a.Target.Incarnation:
			m.InstanceStopped(a.Target, s.cfg.Ownership.MaxDeadline, now)
		}
	})
}
