package cluster

import (
	"context"
	"strconv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// steps performs the decisions of the ownership rules.
func (s *Service) steps(ctx context.Context) {
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	var rosterAt time.Time
	paced := make(fencePace)
	for {
		select {
		case <-tick.C:
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		var (
			actions    []ownership.Action
			needRoster bool
			at         time.Time
		)
		s.consult(func(m *ownership.Machine, now time.Time) {
			actions, needRoster, at = m.Step(now), m.NeedsRoster(), now
		})
		if needRoster && s.rostered.Load() && at.Sub(rosterAt) >= rosterEvery {
			rosterAt = at
			s.running.Go(func() { _ = s.readRoster(ctx) })
		}
		for _, a := range actions {
			if a.Kind != ownership.FencePredecessor || paced.due(a, at) {
				s.perform(ctx, a)
			}
		}
	}
}

func (s *Service) perform(ctx context.Context, a ownership.Action) {
	switch a.Kind {
	case ownership.HandOver:
		s.running.Go(func() {
			if s.cfg.Drain != nil {
				s.cfg.Drain(ctx, a.Cell)
			}
			if ctx.Err() == nil {
				s.decide(func(m *ownership.Machine, _ time.Time) { m.CellDrained(a.Cell, a.Epoch) })
				signal(s.wake)
			}
		})
	case ownership.FencePredecessor:
		if address := s.addressOfHost(a.Target.Host); address != "" {
			s.running.Go(func() { s.fence(ctx, address, a) })
		}
	default:
		s.running.Go(func() { s.transact(ctx, a) })
	}
}

// transact performs a claim, update or release. A claim whose answer is lost is recognized by the watch, because the
// record names this instance.
func (s *Service) transact(ctx context.Context, a ownership.Action) {
	id := strconv.FormatUint(uint64(a.Cell), 10)
	own, last := ownPrefix+id, lastPrefix+id
	value := s.cfg.Codec.EncodeOwner(a.Record)
	compares := []store.Compare{
		{Key: own, Field: store.FieldCreateRevision, Revision: store.Revision(a.Epoch)},
		{Key: last, Field: store.FieldModRevision, Revision: a.LastingRevision},
	}
	ops := []store.Op{
		{Key: own, Value: value, Lease: a.Lease, Delete: a.Kind == ownership.Release},
		{Key: last, Value: value},
	}
	var r store.TxnResult
	err := s.call(ctx, func(ctx context.Context) (err error) {
		r, err = s.cfg.Store.Txn(ctx, compares, ops)
		return err
	})
	s.decide(func(m *ownership.Machine, now time.Time) { m.TransactionDone(a, r.Outcome, r.Revision, now) })
	if err != nil {
		s.log.WithError(err).WithField("cell", a.Cell).Debug("ownership transaction failed")
	}
}

// fencePace holds when each predecessor was last asked to give way. It belongs to the goroutine of steps, so that it
// needs no lock.
type fencePace map[fenceKey]time.Time

type fenceKey struct {
	cell   ident.CellID
	target ident.Instance
}

// due spaces the fence calls to one predecessor and notes those that are due.
func (p fencePace) due(a ownership.Action, now time.Time) bool {
	key := fenceKey{a.Cell, a.Target}
	if now.Sub(p[key]) < fenceEvery {
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
	s.decide(func(m *ownership.Machine, now time.Time) {
		switch {
		case answer.From == a.Target && answer.Stopped:
			m.PredecessorConfirmed(a.Cell, a.Target, answer.BusyFor, now)
		case answer.From.Host == a.Target.Host && answer.From.Incarnation > a.Target.Incarnation:
			m.InstanceStopped(a.Target, s.cfg.Ownership.MaxDeadline, now)
		}
	})
}
