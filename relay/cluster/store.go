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

// callStore makes a call to the store with a timeout and records whether the store answered.
func (s *Service) callStore(ctx context.Context, f func(ctx context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, s.callTimeout())
	defer cancel()
	s.counters.storeCalls.Add(1)
	err := f(ctx)
	if err != nil {
		s.counters.storeErrors.Add(1)
		return err
	}
	s.withMachine(func(m *ownership.Machine, now time.Time) { m.StoreAnswered(now) })
	return nil
}

// keepLease maintains the lease and registers the host under it.
func (s *Service) keepLease(ctx context.Context) {
	registered := store.LeaseID(0)
	for ctx.Err() == nil {
		wait := s.retryInterval()
		lease, err := s.renew(ctx)
		if err == nil && lease != 0 {
			wait = s.renewInterval()
			if lease != registered {
				if err := s.register(ctx, lease); err == nil {
					registered = lease
					notifyChannel(s.stepSoon)
				} else {
					wait = s.retryInterval()
				}
			}
		}
		c := s.storeContact()
		s.updateView(func(v *membership.View, now time.Time) {
			s.view.setContact(c)
			v.SetPayload(s.view.payload(), now)
		})
		if sleep.For(ctx, wait) != nil {
			return
		}
	}
}

// renew renews the lease, or obtains one if there is none, and returns its id.
func (s *Service) renew(ctx context.Context) (store.LeaseID, error) {
	id := s.currentLease()
	start := s.now()
	ok := true
	err := s.callStore(ctx, func(ctx context.Context) (err error) {
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
	s.updateMachine(func(m *ownership.Machine, _ time.Time) {
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

func (s *Service) currentLease() (id store.LeaseID) {
	s.withMachine(func(m *ownership.Machine, _ time.Time) { id = m.Lease() })
	return id
}

// register writes the leased member record and, once per incarnation, the lasting roster record. Each write names the
// record that it replaces, so that the store cannot execute it after a later process of this host has registered.
func (s *Service) register(ctx context.Context, lease store.LeaseID) error {
	self := s.cfg.Ownership.Self
	record := s.cfg.Codec.EncodeMember(MemberRecord{
		Instance: self, DataCentre: s.cfg.Ownership.DataCentre, Address: s.cfg.PeerAddress, MilliCPU: s.cfg.MilliCPU,
	})
	ops := []store.Op{{Key: MemberPrefix + string(self.Host), Value: record, Lease: lease}}
	if !s.inRoster.Load() {
		ops = append(ops, store.Op{Key: rosterPrefix + string(self.Host), Value: record})
	}
	var compares []store.Compare
	for _, op := range ops {
		cmp, err := s.unchanged(ctx, op.Key)
		if err != nil {
			return err
		}
		compares = append(compares, cmp)
	}
	var result store.TxnResult
	err := s.callStore(ctx, func(ctx context.Context) (err error) {
		result, err = s.cfg.Store.Txn(ctx, compares, ops)
		return err
	})
	if err == nil && result.Outcome != store.Applied {
		err = fmt.Errorf("register %s: a record of this host has changed since it was read", self)
	}
	if err != nil {
		return err
	}
	s.inRoster.Store(true)
	return s.readRoster(ctx)
}

// unchanged reads a record of this host and returns the condition that it has not changed since. The record may
// already be that of this incarnation, if the answer to an earlier registration was lost. A record of a newer
// incarnation means that this process has been replaced, which is an error.
func (s *Service) unchanged(ctx context.Context, key string) (store.Compare, error) {
	self := s.cfg.Ownership.Self
	var (
		entry store.Entry
		ok    bool
	)
	err := s.callStore(ctx, func(ctx context.Context) (err error) {
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

// readRoster reads the lasting registrations of all hosts.
func (s *Service) readRoster(ctx context.Context) error {
	start := s.now()
	var r store.RangeResult
	err := s.callStore(ctx, func(ctx context.Context) (err error) {
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
	s.updateMachine(func(m *ownership.Machine, now time.Time) { m.SetRoster(roster, start, now) })
	return nil
}

// unregister removes the host from the roster and revokes the lease.
func (s *Service) unregister(ctx context.Context) {
	lease := s.currentLease()
	if s.inRoster.Load() {
		// The record of a newer incarnation must be kept.
		if cmp, err := s.unchanged(ctx, rosterPrefix+string(s.cfg.Ownership.Self.Host)); err == nil {
			_ = s.callStore(ctx, func(ctx context.Context) error {
				_, err := s.cfg.Store.Txn(ctx, []store.Compare{cmp}, []store.Op{{Key: cmp.Key, Delete: true}})
				return err
			})
		}
	}
	if lease != 0 {
		_ = s.callStore(ctx, func(ctx context.Context) error { return s.cfg.Store.Revoke(ctx, lease) })
	}
}

// followPrefix reads the keys with a prefix and then applies their changes. After a failure it starts again.
func (s *Service) followPrefix(ctx context.Context, prefix string, reset func(store.RangeResult), apply func(store.WatchBatch)) {
	for ctx.Err() == nil {
		var r store.RangeResult
		err := s.callStore(ctx, func(ctx context.Context) (err error) {
			r, err = s.cfg.Store.Range(ctx, prefix)
			return err
		})
		if err == nil {
			reset(r)
			s.counters.storeCalls.Add(1)
			s.applyWatch(ctx, prefix, r.Revision, apply)
		}
		s.counters.watchRestarts.Add(1)
		if sleep.For(ctx, s.retryInterval()) != nil {
			return
		}
	}
}

func (s *Service) applyWatch(ctx context.Context, prefix string, from store.Revision, apply func(store.WatchBatch)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for batch := range s.cfg.Store.Watch(ctx, prefix, from) {
		if batch.Err != nil {
			return
		}
		apply(batch)
	}
}

// revokePredecessorLeases revokes the leases under which an earlier process of this host still holds cells. That
// process has certainly stopped, because this one listens at its address, so that its cells need not wait for the
// leases to expire.
func (s *Service) revokePredecessorLeases(ctx context.Context, entries []store.Entry) {
	self := s.cfg.Ownership.Self
	revoked := make(map[store.LeaseID]bool)
	for _, e := range entries {
		record, err := s.cfg.Codec.DecodeOwner(e.Value)
		earlier := err == nil && record.Holder.Host == self.Host && record.Holder.Incarnation < self.Incarnation
		if !earlier || e.Lease == 0 || revoked[e.Lease] {
			continue
		}
		revoked[e.Lease] = true
		err = s.callStore(ctx, func(ctx context.Context) error { return s.cfg.Store.Revoke(ctx, e.Lease) })
		if err != nil {
			s.log.WithError(err).WithField("holder", record.Holder.String()).Warn("cannot revoke the lease of the predecessor")
		}
	}
}

func (s *Service) watchOwners(ctx context.Context) {
	reset := func(r store.RangeResult) {
		s.revokePredecessorLeases(ctx, r.Entries)
		s.updateMachine(func(m *ownership.Machine, now time.Time) {
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
		notifyChannel(s.stepSoon)
	}
	apply := func(b store.WatchBatch) {
		s.updateMachine(func(m *ownership.Machine, now time.Time) {
			m.StoreAnswered(now)
			for _, lasting := range []bool{true, false} {
				for _, ev := range b.Events {
					if strings.HasPrefix(ev.Entry.Key, lastPrefix) == lasting {
						s.applyOwner(m, ev, ev.Entry.ModRevision, now)
					}
				}
			}
		})
		notifyChannel(s.stepSoon)
	}
	s.followPrefix(ctx, ownWatch, reset, apply)
}

func cellOf(key, prefix string) (ident.CellID, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	if !ok {
		return 0, false
	}
	id, err := strconv.ParseUint(rest, 10, 32)
	return ident.CellID(id), err == nil
}

// applyOwner passes an ownership record to the machine, as of store revision at.
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
	// leased holds the leased records by key. Only this goroutine uses it, so that it needs no lock.
	leased := make(map[string]MemberRecord)
	apply := func(events []store.Event) {
		// Collect all instances, because a record may be replaced within one batch while its instance still runs.
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
		s.updateMachine(func(m *ownership.Machine, now time.Time) {
			m.AddInstances(named...)
			s.ownedCells.leasedMembers = records
			s.ownedCells.setMembers(now)
		})
		notifyChannel(s.stepSoon)
	}
	reset := func(r store.RangeResult) {
		clear(leased)
		events := make([]store.Event, 0, len(r.Entries))
		for _, e := range r.Entries {
			events = append(events, store.Event{Entry: e})
		}
		apply(events)
	}
	s.followPrefix(ctx, memberWatch, reset, func(b store.WatchBatch) { apply(b.Events) })
}

// applyMember applies a change of a leased member record and returns the instance that a new record names.
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
