package membership

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// helpers is the number of members asked to probe a member that did not answer.
const helpers = 2

// NextProbe returns the member to probe now. Each round visits every running member once, in random order, so that a
// failed member is probed within one round.
func (s *View) NextProbe(rng *rand.Rand) (Member, bool) {
	for range 2 {
		for len(s.order) > 0 {
			id := s.order[0]
			s.order = s.order[1:]
			if e, ok := s.members[id]; ok && e.Running() {
				return e.Member, true
			}
		}
		for _, m := range s.pick(len(s.members), rng, func(e *entry) bool { return e.Running() }) {
			s.order = append(s.order, m.Instance.Host)
		}
	}
	return Member{}, false
}

// IndirectProbers returns the members to ask for an indirect probe of the target.
func (s *View) IndirectProbers(target ident.Instance, rng *rand.Rand) []Member {
	return s.pick(helpers, rng, func(e *entry) bool { return e.Health == Alive && e.Running() && e.Instance != target })
}

// ProbeFailed notes that neither a direct nor an indirect probe reached the instance.
func (s *View) ProbeFailed(target ident.Instance, now time.Time) {
	e, ok := s.members[target.Host]
	if !ok || e.Instance != target || e.Health != Alive || !e.Running() {
		return
	}
	m := e.Member
	m.Health = Suspect
	s.put(m, now)
}
