package lifecycle

import (
	"slices"
	"strings"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// EvacuatedCentre is what is on the evacuated workers of a data centre.
type EvacuatedCentre struct {
	DataCentre ident.DataCentre
	Workers    int
	// Stays counts the tasks that run there by why they stay.
	Stays [evacuation.StayReasons]int
}

// Evacuated returns what is on the evacuated workers by data centre. Of many tasks that could move, some count as moving
// without a search for room.
func (c *Cell) Evacuated() []EvacuatedCentre {
	c.mu.Lock()
	defer c.mu.Unlock()
	var centres []EvacuatedCentre
	if len(c.appliedEvacuations.Requests()) == 0 && len(c.returns) == 0 {
		return centres
	}
	room := c.newRoom()
	for _, w := range c.sortedWorkers() {
		if !w.evacuated {
			continue
		}
		i := slices.IndexFunc(centres, func(e EvacuatedCentre) bool { return e.DataCentre == w.member.DataCentre })
		if i < 0 {
			i = len(centres)
			centres = append(centres, EvacuatedCentre{DataCentre: w.member.DataCentre})
		}
		centres[i].Workers++
		for _, t := range w.running {
			centres[i].Stays[t.whyStays(room)]++
		}
	}
	slices.SortFunc(centres, func(a, b EvacuatedCentre) int { return strings.Compare(string(a.DataCentre), string(b.DataCentre)) })
	return centres
}
