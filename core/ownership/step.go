package ownership

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// ActionKind is the type of an Action.
type ActionKind uint8

const (
	// Claim creates the leased record of a free cell.
	Claim ActionKind = iota
	// Update rewrites the records of a held cell with a larger share or fewer unconfirmed predecessors.
	Update
	// Release deletes the leased record of a drained cell and marks the lasting one as released.
	Release
	// HandOver asks for the cell to be drained. CellDrained must be called afterwards.
	HandOver
	// FencePredecessor asks an unconfirmed predecessor to yield. PredecessorConfirmed takes its answer.
	FencePredecessor
)

// Action is an action to perform for a cell. Claim, Update and Release are transactions of the store: they apply if the
// create revision of the leased record equals Epoch (0: absent) and the modification revision of the lasting record
// equals LastingRevision. They write Record to both, the leased one under Lease. Their result must be passed to
// TransactionDone.
type Action struct {
	Kind            ActionKind
	Cell            ident.CellID
	Epoch           ident.Epoch
	LastingRevision store.Revision
	Lease           store.LeaseID
	Record          Record
	// Target is the predecessor to which a FencePredecessor is sent, or the named successor of a HandOver; zero if the ranks
	// decide who comes next.
	Target ident.Instance
}

// Step returns the actions to perform now. A transaction is returned only once until TransactionDone takes its result.
func (m *Machine) Step(now time.Time) []Action {
	m.stepped = now
	m.updateLeased(now)
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
	return append(actions, m.startHandOvers(now)...)
}

func (m *Machine) stepHeld(v *cellView, h *heldCell, now time.Time) []Action {
	var actions []Action
	for _, p := range h.record.Unconfirmed {
		if _, ok := h.busyUntil[p.Instance]; !ok {
			actions = append(actions, Action{Kind: FencePredecessor, Cell: v.cell.ID, Epoch: h.epoch, Target: p.Instance})
		}
	}
	if v.transactionPending {
		return actions
	}
	if h.drained {
		return append(actions, m.transaction(v, Release, h.epoch, h.lease, m.releaseRecord(v.cell, h)))
	}
	if r, better := h.withoutFreed(now); better && !h.draining {
		actions = append(actions, m.transaction(v, Update, h.epoch, h.lease, r))
	}
	return actions
}

func (m *Machine) transaction(v *cellView, kind ActionKind, epoch ident.Epoch, lease store.LeaseID, r Record) Action {
	v.transactionPending = true
	return Action{Kind: kind, Cell: v.cell.ID, Epoch: epoch, LastingRevision: v.lastingRevision, Lease: lease, Record: r}
}

// withoutFreed returns the record without the predecessors whose share is free by now; false if there are none.
func (h *heldCell) withoutFreed(now time.Time) (Record, bool) {
	r := Record{Holder: h.record.Holder, ShareShift: h.record.ShareShift, ByReach: h.record.ByReach}
	for _, p := range h.record.Unconfirmed {
		if until, ok := h.busyUntil[p.Instance]; !ok || now.Before(until) {
			r.Unconfirmed = append(r.Unconfirmed, p)
		}
	}
	r.ShareShift = min(r.ShareShift, largestShareBeside(r.Unconfirmed))
	return r, len(r.Unconfirmed) < len(h.record.Unconfirmed)
}

// claim returns the claim of a free cell if this host may make it now.
func (m *Machine) claim(v *cellView, now time.Time) (Action, bool) {
	if v.epoch != 0 || v.transactionPending || m.leaving || m.lease == 0 || !now.Before(m.fullUntil) {
		return Action{}, false
	}
	if now.Before(m.started.Add(m.cfg.StartWait)) || !m.isTurnToClaim(v, now) {
		return Action{}, false
	}
	remaining := remainingPredecessors(v.lasting, m.isSelfOrStopped)
	if len(remaining) > 0 && !m.mayTakeOver(now) {
		return Action{}, false
	}
	v.replaced = v.lasting
	r := Record{
		Holder: m.cfg.Self, ShareShift: largestShareBeside(remaining), Unconfirmed: remaining, ByReach: m.gainsByReach(v.lasting),
	}
	return m.transaction(v, Claim, 0, m.lease, r), true
}

// isSelfOrStopped reports whether the instance uses no share of a cell that this host claims.
func (m *Machine) isSelfOrStopped(i ident.Instance) bool {
	return i == m.cfg.Self || m.isStopped(i)
}

// mayTakeOver reports whether this host may claim a cell whose owner may still run.
func (m *Machine) mayTakeOver(now time.Time) bool {
	return m.established && !now.Before(m.contactSince.Add(m.cfg.ContactWait))
}

// isTurnToClaim reports whether the more preferred members have had their time to claim the cell. The holder of the
// lasting record may claim the cell again at once, and so may a named successor.
func (m *Machine) isTurnToClaim(v *cellView, now time.Time) bool {
	if v.lasting.Holder == m.cfg.Self && !v.lasting.Released {
		return true
	}
	position, ranked := m.Preference(v.cell.ID)
	if s, ok := v.lasting.namedSuccessor(); ok && s == m.cfg.Self {
		return ranked
	}
	return ranked && !now.Before(m.turnsBegin(v).Add(time.Duration(position)*m.cfg.RankStep))
}

// TransactionDone applies the result of a transaction. revision is the one at which it applied; for a Claim it becomes
// the epoch.
func (m *Machine) TransactionDone(a Action, outcome store.Outcome, revision store.Revision, now time.Time) {
	v := m.views[a.Cell]
	v.transactionPending = false
	if outcome != store.Applied {
		return
	}
	if revision > v.lastingRevision {
		v.lasting, v.lastingRevision = a.Record, revision
	}
	switch a.Kind {
	case Claim:
		if revision > v.revision {
			v.revision = revision
			v.current, v.epoch, v.currentLease = a.Record, ident.Epoch(revision), a.Lease
			m.adopt(v, now)
		}
	case Update:
		if h, ok := m.held[a.Cell]; ok && h.epoch == a.Epoch {
			h.setRecord(a.Record)
		}
	case Release:
		delete(m.held, a.Cell)
		if revision > v.revision {
			v.revision = revision
			m.ownerRecordGone(v, revision, now)
		}
	default:
	}
}

// setRecord sets the record as read from or written to the store.
func (h *heldCell) setRecord(r Record) {
	h.record = r
	for i := range h.busyUntil {
		if predecessorIndex(r.Unconfirmed, i) < 0 {
			delete(h.busyUntil, i)
		}
	}
}

// adopt starts or updates the holding of a cell whose leased record names this host. This includes a claim whose answer
// was lost.
func (m *Machine) adopt(v *cellView, now time.Time) {
	h, ok := m.held[v.cell.ID]
	if m.abandoned || v.epoch <= v.yieldedTo || ok && h.epoch > v.epoch {
		return
	}
	if ok && h.epoch == v.epoch {
		h.setRecord(v.current)
		return
	}
	next := &heldCell{epoch: v.epoch, lease: v.currentLease, record: v.current, authorityFrom: now, slotsFrom: now}
	switch {
	case ok && !h.drained && v.replaced.Holder == m.cfg.Self:
		next.authorityFrom, next.slotsFrom, next.busyUntil = h.authorityFrom, h.slotsFrom, h.busyUntil
	case !v.replaced.unused():
		if len(next.record.Unconfirmed) > 0 {
			next.authorityFrom = m.settleTime(next.record.Unconfirmed, now)
		}
		next.slotsFrom = next.authorityFrom.Add(m.cfg.MaxDeadline)
	}
	m.held[v.cell.ID] = next
	for _, p := range next.record.Unconfirmed {
		if m.isStopped(p.Instance) {
			next.confirmStopped(p.Instance, next.slotsFrom)
		}
	}
}

// settleTime returns when the predecessors of a claim made at now have no authority any more: after SettleWait, or
// earlier if all of them count as stopped by then.
func (m *Machine) settleTime(predecessors []Predecessor, now time.Time) time.Time {
	settled := now
	for _, p := range predecessors {
		end, ok := m.presumedEnd(p.Instance)
		if !ok || end.After(now.Add(m.cfg.SettleWait)) {
			return now.Add(m.cfg.SettleWait)
		}
		if end.After(settled) {
			settled = end
		}
	}
	return settled
}

// startHandOvers returns the cells to drain now: all of them if the host leaves, otherwise those that are given up, and
// one at a time to a more preferred member. A hand-over needs full authority, because the release needs the store.
func (m *Machine) startHandOvers(now time.Time) []Action {
	var actions []Action
	for _, c := range m.cfg.Cells {
		h, ok := m.held[c.ID]
		if !ok || h.drained {
			continue
		}
		if h.draining {
			if !m.leaving {
				return nil
			}
			continue
		}
		if m.leaving || h.givenUp || len(actions) == 0 && (m.succeeds(c, h, now) || m.outranked(c, h, now)) {
			actions = append(actions, Action{Kind: HandOver, Cell: c.ID, Epoch: h.epoch, Target: h.successor})
		}
	}
	for _, a := range actions {
		m.held[a.Cell].draining = true
	}
	return actions
}

// outranked reports whether the cell is to be handed to a more preferred member. A cell that was gained by reach is kept
// until that member is confirmed to reach the workers too; a confirmation counts for one Step.
func (m *Machine) outranked(c Cell, h *heldCell, now time.Time) bool {
	confirmed := h.reachConfirmed
	h.reachConfirmed = ident.Instance{}
	preferred, ok := m.preferredMember(c, h, now)
	return ok && (!h.record.ByReach || confirmed == preferred)
}

// preferredMember returns the more preferred member that has been leased for long enough to relieve this host.
func (m *Machine) preferredMember(c Cell, h *heldCell, now time.Time) (ident.Instance, bool) {
	if !m.mayHandOver(c.ID, h, now) {
		return ident.Instance{}, false
	}
	ranked := m.rank(c)
	if len(ranked) == 0 || ranked[0].Instance == m.cfg.Self {
		return ident.Instance{}, false
	}
	after := m.cfg.HandOverAfter
	if ranked[0].muchStrongerThan(m.ownMember()) {
		after = m.cfg.HandOverToStrongerAfter
	}
	return ranked[0].Instance, !now.Before(m.leasedSince[ranked[0].Instance].Add(after))
}

// mayHandOver reports whether this host may hand a cell over for the sake of another host: earlier owners are confirmed to
// have stopped, and its authority, which the release needs, is full.
func (m *Machine) mayHandOver(id ident.CellID, h *heldCell, now time.Time) bool {
	return len(h.record.Unconfirmed) == 0 && m.Grant(id, now).Authority == Full
}

// ownMember returns the member record of this host.
func (m *Machine) ownMember() Member {
	i := slices.IndexFunc(m.members, func(member Member) bool { return member.Instance == m.cfg.Self })
	if i < 0 {
		return Member{Instance: m.cfg.Self, DataCentre: m.cfg.DataCentre}
	}
	return m.members[i]
}

// CellDrained notes that nothing runs in the cell under the given epoch any more, so that it can be released.
func (m *Machine) CellDrained(id ident.CellID, epoch ident.Epoch) {
	if h, ok := m.held[id]; ok && h.epoch == epoch && h.draining {
		h.drained = true
		m.dropIfUnused(id, h)
	}
}

// GiveUp makes this host hand over the cell that it holds under the given epoch, although no other host is preferred. Any
// host, this one included, then claims it under a higher epoch, which fences what is still under way.
func (m *Machine) GiveUp(id ident.CellID, epoch ident.Epoch) {
	if h, ok := m.held[id]; ok && h.epoch == epoch {
		h.givenUp = true
	}
}
