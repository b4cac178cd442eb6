package ownership

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Candidates returns the other members that may own the cell, most preferred first.
func (m *Machine) Candidates(id ident.CellID) []ident.Instance {
	v, ok := m.views[id]
	if !ok {
		return nil
	}
	var candidates []ident.Instance
	for _, member := range m.rank(v.cell) {
		if member.Instance != m.cfg.Self {
			candidates = append(candidates, member.Instance)
		}
	}
	return candidates
}

// HandOverTo makes this host hand the cell that it holds under the given epoch to the successor. It returns false and
// changes nothing if this host had no full authority in the cell at the last Step, if earlier owners are unconfirmed, if
// the cell is handed over already, or if the successor is no other member that may own the cell.
func (m *Machine) HandOverTo(id ident.CellID, epoch ident.Epoch, successor ident.Instance) bool {
	h, ok := m.held[id]
	if !ok || h.epoch != epoch || h.draining || h.givenUp || m.leaving {
		return false
	}
	if !m.mayHandOver(id, h, m.stepped) || !m.mayBeSuccessor(id, successor) {
		return false
	}
	h.successor = successor
	return true
}

// mayBeSuccessor reports whether the instance is another member that may own the cell.
func (m *Machine) mayBeSuccessor(id ident.CellID, i ident.Instance) bool {
	return !m.isStopped(i) && slices.Contains(m.Candidates(id), i)
}

// succeeds reports whether the cell is to be drained now for its named successor. The name is dropped if the hand-over
// is no longer possible.
func (m *Machine) succeeds(c Cell, h *heldCell, now time.Time) bool {
	if h.successor == (ident.Instance{}) {
		return false
	}
	if !m.mayHandOver(c.ID, h, now) || !m.mayBeSuccessor(c.ID, h.successor) {
		h.successor = ident.Instance{}
		return false
	}
	return true
}

// releaseRecord returns the record of a drained cell. A successor that may no longer own the cell is not named.
func (m *Machine) releaseRecord(c Cell, h *heldCell) Record {
	r := Record{Holder: m.cfg.Self, Released: true, Unconfirmed: h.record.Unconfirmed}
	if m.mayBeSuccessor(c.ID, h.successor) {
		r.Successor = h.successor
	}
	return r
}

// namedSuccessor returns the successor named by the last holder; false if there is none.
func (r Record) namedSuccessor() (ident.Instance, bool) {
	return r.Successor, r.Released && r.Successor != (ident.Instance{})
}

// gainsByReach reports whether a claim after the last record is made because of this host's reach: as the named
// successor, or as the holder that takes back such a cell.
func (m *Machine) gainsByReach(last Record) bool {
	if s, ok := last.namedSuccessor(); ok {
		return s == m.cfg.Self
	}
	return last.Holder == m.cfg.Self && !last.Released && last.ByReach
}

// turnsBegin returns when the members' turns to claim a free cell begin. A named successor claims first, unless it
// cannot claim.
func (m *Machine) turnsBegin(v *cellView) time.Time {
	s, ok := v.lasting.namedSuccessor()
	if !ok || m.isStopped(s) || slices.ContainsFunc(m.members, func(o Member) bool { return o.Instance == s && o.Leaving }) {
		return v.absentSince
	}
	return v.absentSince.Add(m.cfg.SuccessorWait)
}

// PreferredOver returns the more preferred member that gets the cell once ConfirmReach is called for it; false if this
// host did not gain the cell by reach, or if the member does not relieve it yet.
func (m *Machine) PreferredOver(id ident.CellID) (ident.Instance, bool) {
	h, ok := m.held[id]
	if !ok || !h.record.ByReach || h.draining {
		return ident.Instance{}, false
	}
	return m.preferredMember(m.views[id].cell, h, m.stepped)
}

// ConfirmReach notes that the member that PreferredOver returns reaches the workers of the cell as well as this host. The
// next Step hands the cell over to it.
func (m *Machine) ConfirmReach(id ident.CellID, host ident.Instance) {
	if preferred, ok := m.PreferredOver(id); ok && preferred == host {
		m.held[id].reachConfirmed = host
	}
}
