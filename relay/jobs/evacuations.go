package jobs

import (
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// SetEvacuations puts a set of requests for evacuations in force in all cells. It does not wait for the loops of the
// owners: starts that have not been sent are checked against the set from now on.
func (s *Service) SetEvacuations(set evacuation.Set) {
	s.evacuations.Store(&set)
	for _, o := range s.allOwners() {
		s.passEvacuations(o)
	}
}

// passEvacuations passes the newest set to an owner. It repeats this if the set has changed meanwhile: another goroutine
// may have passed the newer one before.
func (s *Service) passEvacuations(o *owner) {
	for {
		set := s.evacuations.Load()
		if set == nil {
			return
		}
		o.cell.NoteEvacuations(set.ReadSince(o.acquiredAt))
		select {
		case o.evacuationsNoted <- struct{}{}:
		default:
		}
		if s.evacuations.Load() == set {
			return
		}
	}
}

// applyNotedEvacuations applies the set that was noted since the last event, if there is one.
func (o *owner) applyNotedEvacuations() {
	select {
	case <-o.evacuationsNoted:
		o.applyEvacuations()
	default:
	}
}

func (o *owner) applyEvacuations() {
	set, eff := o.cell.ApplyEvacuations(o.now())
	o.apply(eff)
	o.planNeeded = true
	if set.Known() {
		o.logEvacuations(set)
	}
}

// checkLog tells the cell when the commits begin or cease to fail.
func (o *owner) checkLog() {
	if failing := o.log.failingFor() > 0; failing != o.logFailing {
		o.logFailing = failing
		o.cell.SetLogFailing(failing)
	}
}

// logEvacuations logs the requests that have come or gone since the last set.
func (o *owner) logEvacuations(set evacuation.Set) {
	before := o.loggedEvacuations
	o.loggedEvacuations = set
	for _, r := range set.Requests() {
		if b, ok := before.Find(r.DataCentre); ok && b.Revision == r.Revision {
			continue
		}
		o.logEvacuation(EventEvacuationStarted, r)
	}
	for _, r := range before.Without(set) {
		o.logEvacuation(EventEvacuationEnded, r)
	}
}

func (o *owner) logEvacuation(e EventName, r evacuation.Request) {
	o.logDecision(e, Fields{
		FieldDataCentre: r.DataCentre, FieldRevision: uint64(r.Revision), FieldAgeMs: o.now().Sub(r.Since).Milliseconds(),
	})
}

// Evacuated returns what is on the evacuated workers of the cells of this host, by data centre, and the number of these
// cells.
func (s *Service) Evacuated() (centres []lifecycle.EvacuatedCentre, cells int) {
	for _, o := range s.allOwners() {
		cells++
		for _, e := range o.cell.Evacuated() {
			i := slices.IndexFunc(centres, func(c lifecycle.EvacuatedCentre) bool { return c.DataCentre == e.DataCentre })
			if i < 0 {
				centres = append(centres, e)
				continue
			}
			centres[i].Workers += e.Workers
			for reason, tasks := range e.Stays {
				centres[i].Stays[reason] += tasks
			}
		}
	}
	return centres, cells
}
