package ownership

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// ActionKind says what an Action does.
type ActionKind uint8

const (
	// Claim creates the leased record of a free cell.
	Claim ActionKind = iota
	// Update rewrites the records of a held cell with a larger share or fewer unconfirmed predecessors.
	Update
	// Release deletes the leased record of a drained cell and marks the lasting one as released.
	Release
	// HandOver asks for the cell to be drained; Drained must be called afterwards.
	HandOver
	// FencePredecessor asks an unconfirmed predecessor to give way; Confirmed takes its answer.
	FencePredecessor
)

// Action is something to be done for a cell. Claim, Update and Release are transactions of the store: they apply if
// the leased record's create revision equals Epoch (0: absent) and the lasting record's modification revision equals
// LastRevision, and write Record to both, the leased one under Lease. Their result must be passed to Done.
type Action struct {
	Kind            ActionKind
	Cell            ident.CellID
	Epoch           ident.Epoch
	LastingRevision store.Revision
	Lease           store.LeaseID
	Record          Record
	// Target is the predecessor of a FenceCall.
	Target ident.Instance
}

// Step returns what is to be done now. Transactions are returned once, until Done takes their result.
func (m *Machine) Step(now time.Time) []Action {
	m.presumeStopped(now)
	var actions []Action
	for _, c := range m.cfg.Cells {
		v := m.views[c.ID]
		if h, ok := m.held[c.ID]; ok && v.epoch == h.epoch {
			actions = append(actions, m.stepHeld(v, h, now)...)
			continue
		}
		if a, ok := m.claim(v, now); ok {
			actions = append(actions, a)
		}
	}
	return append(actions, m.handOver(now)...)
}

func (m *Machine) stepHeld(v *view, h *held, now time.Time) []Action {
	var actions []Action
	for _, p := range h.rec.Unconfirmed {
		if _, ok := h.busy[p.Instance]; !ok {
			actions = append(actions, Action{Kind: FencePredecessor, Cell: v.cell.ID, Epoch: h.epoch, Target: p.Instance})
		}
	}
	if v.pending {
		return actions
	}
	if h.released {
		r := Record{Holder: m.cfg.Self, Released: true, Unconfirmed: h.rec.Unconfirmed}
		return append(actions, m.txn(v, Release, h.epoch, h.lease, r))
	}
	if r, better := h.improved(now); better && !h.handOver {
		actions = append(actions, m.txn(v, Update, h.epoch, h.lease, r))
	}
	return actions
}

func (m *Machine) txn(v *view, kind ActionKind, epoch ident.Epoch, lease store.LeaseID, r Record) Action {
	v.pending = true
	return Action{Kind: kind, Cell: v.cell.ID, Epoch: epoch, LastingRevision: v.lastMod, Lease: lease, Record: r}
}

// improved returns the record without the predecessors whose part is free by now.
func (h *held) improved(now time.Time) (Record, bool) {
	r := Record{Holder: h.rec.Holder, ShareShift: h.rec.ShareShift}
	for _, p := range h.rec.Unconfirmed {
		if until, ok := h.busy[p.Instance]; !ok || now.Before(until) {
			r.Unconfirmed = append(r.Unconfirmed, p)
		}
	}
	r.ShareShift = min(r.ShareShift, shareBeside(r.Unconfirmed))
	return r, len(r.Unconfirmed) < len(h.rec.Unconfirmed)
}

// claim returns the claim of a free cell if this host may and should make it.
func (m *Machine) claim(v *view, now time.Time) (Action, bool) {
	if v.epoch != 0 || v.pending || m.leaving || m.lease == 0 || !now.Before(m.fullUntil) {
		return Action{}, false
	}
	if now.Before(m.started.Add(m.cfg.StartWait)) || !m.turn(v, now) {
		return Action{}, false
	}
	rest := heirs(v.last, m.ended)
	if len(rest) > 0 && !m.mayInherit(now) {
		return Action{}, false
	}
	v.prior = v.last
	r := Record{Holder: m.cfg.Self, ShareShift: shareBeside(rest), Unconfirmed: rest}
	return m.txn(v, Claim, 0, m.lease, r), true
}

// ended reports the instances that use no part of a cell that this host claims: those that stopped, and itself.
func (m *Machine) ended(i ident.Instance) bool {
	return i == m.cfg.Self || m.gone(i)
}

// mayInherit reports whether this host may claim a cell whose owner may still run.
func (m *Machine) mayInherit(now time.Time) bool {
	return m.established && !now.Before(m.contactSince.Add(m.cfg.ContactWait))
}

// turn reports whether the more preferred members have had their time to claim the cell. The holder of a lapsed record
// takes its cell back at once.
func (m *Machine) turn(v *view, now time.Time) bool {
	if v.last.Holder == m.cfg.Self && !v.last.Released {
		return true
	}
	for n, member := range m.rank(v.cell) {
		if member.Instance == m.cfg.Self {
			return !now.Before(v.absentSince.Add(time.Duration(n) * m.cfg.RankStep))
		}
	}
	return false
}

// TransactionDone takes the result of a transaction. epoch is the revision at which a Claim applied.
func (m *Machine) TransactionDone(a Action, outcome store.Outcome, revision store.Revision, now time.Time) {
	v := m.views[a.Cell]
	v.pending = false
	if outcome != store.Applied {
		return
	}
	if revision > v.lastMod {
		v.last, v.lastMod = a.Record, revision
	}
	switch a.Kind {
	case Claim:
		if revision > v.mod {
			v.mod = revision
			v.current, v.epoch, v.lease = a.Record, ident.Epoch(revision), a.Lease
			m.adopt(v, now)
		}
	case Update:
		if h, ok := m.held[a.Cell]; ok && h.epoch == a.Epoch {
			h.take(a.Record)
		}
	case Release:
		delete(m.held, a.Cell)
		if revision > v.mod {
			v.mod = revision
			m.ownerGone(v, revision, now)
		}
	default:
	}
}

// take makes a record that is in the store the one in use.
func (h *held) take(r Record) {
	h.rec = r
	for i := range h.busy {
		if indexOf(r.Unconfirmed, i) < 0 {
			delete(h.busy, i)
		}
	}
}

// adopt starts or updates the holding of a cell whose leased record in the store names this host. It also covers a
// claim whose answer was lost.
func (m *Machine) adopt(v *view, now time.Time) {
	h, ok := m.held[v.cell.ID]
	if m.abandoned || v.epoch <= v.fenced || ok && h.epoch > v.epoch {
		return
	}
	if ok && h.epoch == v.epoch {
		h.take(v.current)
		return
	}
	next := &held{epoch: v.epoch, lease: v.lease, rec: v.current, from: now, slotsFrom: now}
	switch {
	case ok && !h.released && v.prior.Holder == m.cfg.Self:
		next.from, next.slotsFrom, next.busy = h.from, h.slotsFrom, h.busy
	case !v.prior.clean():
		if len(next.rec.Unconfirmed) > 0 {
			next.from = m.settled(next.rec.Unconfirmed, now)
		}
		next.slotsFrom = next.from.Add(m.cfg.MaxDeadline)
	}
	m.held[v.cell.ID] = next
	for _, p := range next.rec.Unconfirmed {
		if m.gone(p.Instance) {
			next.confirm(p.Instance, next.slotsFrom)
		}
	}
}

// settled returns when the predecessors of a claim made at now have no authority any more: at the end of SettleWait, or
// before that if all of them count as stopped by then.
func (m *Machine) settled(predecessors []Predecessor, now time.Time) time.Time {
	settled := now
	for _, p := range predecessors {
		end, ok := m.endOf(p.Instance)
		if !ok || end.After(now.Add(m.cfg.SettleWait)) {
			return now.Add(m.cfg.SettleWait)
		}
		if end.After(settled) {
			settled = end
		}
	}
	return settled
}

// handOver returns the cells to drain now: all if the host leaves, otherwise one at a time to a more preferred member.
// A cell is handed over only with full authority, because the release needs the store.
func (m *Machine) handOver(now time.Time) []Action {
	var actions []Action
	for _, c := range m.cfg.Cells {
		h, ok := m.held[c.ID]
		if !ok || h.released {
			continue
		}
		if h.handOver {
			if !m.leaving {
				return nil
			}
			continue
		}
		if m.leaving || len(actions) == 0 && m.outranked(c, h, now) {
			actions = append(actions, Action{Kind: HandOver, Cell: c.ID, Epoch: h.epoch})
		}
	}
	for _, a := range actions {
		m.held[a.Cell].handOver = true
	}
	return actions
}

func (m *Machine) outranked(c Cell, h *held, now time.Time) bool {
	if len(h.rec.Unconfirmed) > 0 || m.Grant(c.ID, now).Authority != Full {
		return false
	}
	ranked := m.rank(c)
	if len(ranked) == 0 || ranked[0].Instance == m.cfg.Self {
		return false
	}
	after := m.cfg.HandOverAfter
	if ranked[0].relieves(m.self()) {
		after = m.cfg.HandOverToStrongerAfter
	}
	return !now.Before(m.firstSeen[ranked[0].Instance].Add(after))
}

// self returns the member record of this host.
func (m *Machine) self() Member {
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.Instance == m.cfg.Self })
	if i < 0 {
		return Member{Instance: m.cfg.Self, DataCentre: m.cfg.DataCentre}
	}
	return m.members[i]
}

// CellDrained says that nothing runs in the cell any more under the given epoch, so that it can be released.
func (m *Machine) CellDrained(id ident.CellID, epoch ident.Epoch) {
	if h, ok := m.held[id]; ok && h.epoch == epoch && h.handOver {
		h.released = true
	}
}
