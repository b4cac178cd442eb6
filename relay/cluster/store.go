package cluster

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// call bounds a call of the store and notes its answer.
func (s *Service) call(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	s.counters.storeCalls.Add(1)
	err := f(ctx)
	if err != nil {
		s.counters.storeErrors.Add(1)
		return err
	}
	s.consult(func(m *ownership.Machine, now time.Time) { m.StoreAnswered(now) })
	return nil
}

// keepLease grants and renews the lease and registers the host under it.
func (s *Service) keepLease(ctx context.Context) {
	registered := store.LeaseID(0)
	for ctx.Err() == nil {
		wait := s.retryEvery()
		lease, err := s.renew(ctx)
		if err == nil && lease != 0 {
			wait = s.renewEvery()
			if lease != registered {
				if err := s.register(ctx, lease); err == nil {
					registered = lease
					signal(s.wake)
				} else {
					wait = s.retryEvery()
				}
			}
		}
		c := s.contact()
		s.changeView(func(v *membership.View, now time.Time) {
			s.view.take(c)
			v.SetPayload(s.view.payload(), now)
		})
		if sleep.For(ctx, wait) != nil {
			return
		}
	}
}

// renew renews the lease, or grants one if there is none, and returns it.
func (s *Service) renew(ctx context.Context) (store.LeaseID, error) {
	id := s.lease()
	start := s.now()
	ok := true
	err := s.call(ctx, func(ctx context.Context) (err error) {
		if id == 0 {
			id, err = s.cfg.Store.Grant(ctx, s.cfg.Ownership.TTL)
			return err
		}
		ok, err = s.cfg.Store.KeepAlive(ctx, id)
		return err
	})
	if err != nil {
		return 0, err
	}
	s.decide(func(m *ownership.Machine, _ time.Time) {
		if ok {
			m.LeaseRenewed(id, start)
		} else {
			m.LeaseLost()
		}
	})
	if !ok {
		return s.renew(ctx)
	}
	return id, nil
}

func (s *Service) lease() (id store.LeaseID) {
	s.consult(func(m *ownership.Machine, _ time.Time) { id = m.Lease() })
	return id
}

// register writes the leased member record, and the lasting roster record of this incarnation once.
func (s *Service) register(ctx context.Context, lease store.LeaseID) error {
	self := s.cfg.Ownership.Self
	record := s.cfg.Codec.EncodeMember(MemberRecord{
		Instance: self, DataCentre: s.cfg.Ownership.DataCentre, Address: s.cfg.PeerAddress, MilliCPU: s.cfg.MilliCPU,
	})
	ops := []store.Op{{Key: MemberPrefix + string(self.Host), Value: record, Lease: lease}}
	var compares []store.Compare
	if !s.rostered.Load() {
		cmp, err := s.rosterCompare(ctx)
		if err != nil {
			return err
		}
		compares = append(compares, cmp)
		ops = append(ops, store.Op{Key: rosterPrefix + string(self.Host), Value: record})
	}
	var result store.TxnResult
	err := s.call(ctx, func(ctx context.Context) (err error) {
		result, err = s.cfg.Store.Txn(ctx, compares, ops)
		return err
	})
	if err == nil && result.Outcome != store.Applied {
		err = fmt.Errorf("register %s: roster record changed meanwhile", self)
	}
	if err != nil {
		return err
	}
	s.rostered.Store(true)
	return s.readRoster(ctx)
}

// rosterCompare returns the condition that the roster record is still the older one that was read. A record of this
// incarnation comes from a registration whose answer was lost; one of a newer incarnation means that this process has
// been replaced.
func (s *Service) rosterCompare(ctx context.Context) (store.Compare, error) {
	self := s.cfg.Ownership.Self
	key := rosterPrefix + string(self.Host)
	var (
		entry store.Entry
		ok    bool
	)
	err := s.call(ctx, func(ctx context.Context) (err error) {
		entry, ok, err = s.cfg.Store.Get(ctx, key)
		return err
	})
	if err != nil {
		return store.Compare{}, err
	}
	if ok {
		record, err := s.cfg.Codec.DecodeMember(entry.Value)
		if err == nil && record.Instance.Incarnation > self.Incarnation {
			return store.Compare{}, fmt.Errorf("register %s: replaced by %s", self, record.Instance)
		}
	}
	return store.Compare{Key: key, Field: store.FieldModRevision, Revision: entry.ModRevision}, nil
}

// readRoster reads the lasting registrations.
func (s *Service) readRoster(ctx context.Context) error {
	start := s.now()
	var r store.RangeResult
	err := s.call(ctx, func(ctx context.Context) (err error) {
		r, err = s.cfg.Store.Range(ctx, rosterPrefix)
		return err
	})
	if err != nil {
		return err
	}
	var roster []ownership.RosterEntry
	for _, e := range r.Entries {
		record, err := s.cfg.Codec.DecodeMember(e.Value)
		if err != nil {
			s.log.WithError(err).WithField("key", e.Key).Warn("malformed roster record")
			continue
		}
		roster = append(roster, ownership.RosterEntry{Instance: record.Instance, Order: int64(e.ModRevision)})
		host := record.Instance.Host
		s.records.WithShard(host, func(records map[ident.HostID]MemberRecord) {
			if _, ok := records[host]; !ok {
				records[host] = record
			}
		})
	}
	s.decide(func(m *ownership.Machine, now time.Time) { m.SetRoster(roster, start, now) })
	return nil
}

// unregister removes the host from the roster and ends the lease.
func (s *Service) unregister(ctx context.Context) {
	lease := s.lease()
	if s.rostered.Load() {
		// The record of a newer incarnation must stay.
		if cmp, err := s.rosterCompare(ctx); err == nil {
			_ = s.call(ctx, func(ctx context.Context) error {
				_, err := s.cfg.Store.Txn(ctx, []store.Compare{cmp}, []store.Op{{Key: cmp.Key, Delete: true}})
				return err
			})
		}
	}
	if lease != 0 {
		_ = s.call(ctx, func(ctx context.Context) error { return s.cfg.Store.Revoke(ctx, lease) })
	}
}

// follow reads the keys with a prefix and then their changes, again after each failure.
func (s *Service) follow(ctx context.Context, prefix string, reset func(store.RangeResult), apply func(store.WatchBatch)) {
	for ctx.Err() == nil {
		var r store.RangeResult
		err := s.call(ctx, func(ctx context.Context) (err error) {
			r, err = s.cfg.Store.Range(ctx, prefix)
			return err
		})
		if err == nil {
			reset(r)
			s.counters.storeCalls.Add(1)
			s.drainWatch(ctx, prefix, r.Revision, apply)
		}
		s.counters.watchRestarts.Add(1)
		if sleep.For(ctx, s.retryEvery()) != nil {
			return
		}
	}
}

func (s *Service) drainWatch(ctx context.Context, prefix string, from store.Revision, apply func(store.WatchBatch)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range s.cfg.Store.Watch(ctx, prefix, from) {
		if batch.Err != nil {
			return
		}
		apply(batch)
	}
}

// endPredecessor revokes the leases under which an earlier process of this host still holds cells. This process listens
// at its address, so that it has certainly stopped, and its cells need not wait for the leases to run out.
func (s *Service) endPredecessor(ctx context.Context, entries []store.Entry) {
	self := s.cfg.Ownership.Self
	ended := make(map[store.LeaseID]bool)
	for _, e := range entries {
		record, err := s.cfg.Codec.DecodeOwner(e.Value)
		earlier := err == nil && record.Holder.Host == self.Host && record.Holder.Incarnation < self.Incarnation
		if !earlier || e.Lease == 0 || ended[e.Lease] {
			continue
		}
		ended[e.Lease] = true
		err = s.call(ctx, func(ctx context.Context) error { return s.cfg.Store.Revoke(ctx, e.Lease) })
		if err != nil {
			s.log.WithError(err).WithField("holder", record.Holder.String()).Warn("the lease of the predecessor was not ended")
		}
	}
}

func (s *Service) watchOwners(ctx context.Context) {
	reset := func(r store.RangeResult) {
		s.endPredecessor(ctx, r.Entries)
		s.decide(func(m *ownership.Machine, now time.Time) {
			seen := make(map[ident.CellID]bool)
			for _, e := range r.Entries {
				if cell, ok := cellOf(e.Key, ownPrefix); ok {
					seen[cell] = true
				}
			}
			for _, e := range r.Entries {
				s.applyOwner(m, store.Event{Entry: e}, r.Revision, now)
			}
			for _, c := range s.cfg.Ownership.Cells {
				if !seen[c.ID] {
					m.SetOwner(c.ID, nil, r.Revision, now)
				}
			}
		})
		signal(s.wake)
	}
	apply := func(b store.WatchBatch) {
		s.decide(func(m *ownership.Machine, now time.Time) {
			m.StoreAnswered(now)
			for _, lasting := range []bool{true, false} {
				for _, ev := range b.Events {
					if strings.HasPrefix(ev.Entry.Key, lastPrefix) == lasting {
						s.applyOwner(m, ev, ev.Entry.ModRevision, now)
					}
				}
			}
		})
		signal(s.wake)
	}
	s.follow(ctx, ownWatch, reset, apply)
}

func cellOf(key, prefix string) (ident.CellID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(rest, 10, 32)
	return ident.CellID(id), err == nil
}

// applyOwner passes an ownership record on; as of revision at of the store.
func (s *Service) applyOwner(m *ownership.Machine, ev store.Event, at store.Revision, now time.Time) {
	e := ev.Entry
	cell, leased := cellOf(e.Key, ownPrefix)
	if leased && ev.Deleted {
		m.SetOwner(cell, nil, at, now)
		return
	}
	record, err := s.cfg.Codec.DecodeOwner(e.Value)
	if err != nil {
		if !ev.Deleted {
			s.log.WithError(err).WithField("key", e.Key).Warn("malformed ownership record")
		}
		return
	}
	if leased {
		l := &ownership.LeasedRecord{Record: record, Epoch: ident.Epoch(e.CreateRevision), Lease: e.Lease}
		m.SetOwner(cell, l, at, now)
		return
	}
	if cell, ok := cellOf(e.Key, lastPrefix); ok {
		m.SetLastingRecord(cell, record, e.ModRevision)
	}
}

func (s *Service) watchMembers(ctx context.Context) {
	// leased holds the leased records by key. It belongs to this goroutine, so that it needs no lock.
	leased := make(map[string]MemberRecord)
	apply := func(events []store.Event) {
		// A record may be replaced within one batch; its instance may still run.
		var named []ident.Instance
		for _, ev := range events {
			if i, ok := s.applyMember(leased, ev); ok {
				named = append(named, i)
			}
		}
		records := make([]MemberRecord, 0, len(leased))
		for _, key := range slices.Sorted(maps.Keys(leased)) {
			records = append(records, leased[key])
		}
		s.decide(func(m *ownership.Machine, now time.Time) {
			m.AddInstances(named...)
			s.owned.leased = records
			s.owned.setMembers(now)
		})
		signal(s.wake)
	}
	reset := func(r store.RangeResult) {
		clear(leased)
		events := make([]store.Event, 0, len(r.Entries))
		for _, e := range r.Entries {
			events = append(events, store.Event{Entry: e})
		}
		apply(events)
	}
	s.follow(ctx, memberWatch, reset, func(b store.WatchBatch) { apply(b.Events) })
}

// applyMember notes a change of a leased member record and returns the instance that a new record names.
func (s *Service) applyMember(leased map[string]MemberRecord, ev store.Event) (ident.Instance, bool) {
	if !strings.HasPrefix(ev.Entry.Key, MemberPrefix) {
		return ident.Instance{}, false
	}
	if ev.Deleted {
		delete(leased, ev.Entry.Key)
		return ident.Instance{}, false
	}
	record, err := s.cfg.Codec.DecodeMember(ev.Entry.Value)
	if err != nil {
		s.log.WithError(err).WithField("key", ev.Entry.Key).Warn("malformed member record")
		return ident.Instance{}, false
	}
	leased[ev.Entry.Key] = record
	s.records.Set(record.Instance.Host, record)
	return record.Instance, true
}
