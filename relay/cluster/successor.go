package cluster

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// HandOverTo starts to hand a cell that this host holds under the given epoch to a successor. It reports whether the rules
// allow it now.
func (s *Service) HandOverTo(cell ident.CellID, epoch ident.Epoch, successor ident.Instance) bool {
	started := false
	s.updateMachine(func(m *ownership.Machine, _ time.Time) { started = m.HandOverTo(cell, epoch, successor) })
	if started {
		notifyChannel(s.stepSoon)
	}
	return started
}

// Candidates returns the other members that may own a cell, the most preferred first.
func (s *Service) Candidates(cell ident.CellID) (members []ident.Instance) {
	s.withMachine(func(m *ownership.Machine, _ time.Time) { members = m.Candidates(cell) })
	return members
}

// PreferredOver returns the member that would relieve this host of a cell if it were known to reach the workers as well; ok
// is false if there is none.
func (s *Service) PreferredOver(cell ident.CellID) (member ident.Instance, ok bool) {
	s.withMachine(func(m *ownership.Machine, _ time.Time) { member, ok = m.PreferredOver(cell) })
	return member, ok
}

// ConfirmReach notes that a preferred member reaches as many workers of a cell as this host, so that the cell may go to it.
func (s *Service) ConfirmReach(cell ident.CellID, member ident.Instance) {
	s.withMachine(func(m *ownership.Machine, _ time.Time) { m.ConfirmReach(cell, member) })
	notifyChannel(s.stepSoon)
}

// AddressOf returns the address of an instance for calls of other members; "" if it is unknown.
func (s *Service) AddressOf(i ident.Instance) string {
	return s.addressOfInstance(i)
}
