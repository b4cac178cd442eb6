package ownership

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// clockTolerance is more than the clock of a process drifts within the age of a valid report.
const clockTolerance = 20 * time.Millisecond

// claim is a claim of a cell that the store has executed.
type claim struct {
	epoch ident.Epoch
	at    time.Time
}

// checkExclusive verifies that a process with full authority does not take itself for the only owner at a time after the claim
// of a successor: it would deny jobs that came through the inbox of the cell, which the claim opens.
func (s *sim) checkExclusive(p *process, g Grant) {
	for _, c := range s.claims[g.Cell] {
		if c.epoch <= g.Epoch {
			continue
		}
		age := s.now.Sub(c.at)
		if age > clockTolerance && g.WasExclusiveAt(p.clock().Add(clockTolerance-age)) {
			s.violation = fmt.Sprintf("cell %d at %s: %s takes itself for the only owner although epoch %d was claimed %s ago:%s",
				g.Cell, s.now.Sub(s.start), p.self, c.epoch, age, s.describe(g.Cell))
		}
		return
	}
}
