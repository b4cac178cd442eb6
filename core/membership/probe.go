package membership

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// indirectProberCount is the number of members asked to probe a member that did not answer a direct probe.
const indirectProberCount = 2

// NextProbe returns the member to probe next; false if there is none. Each round probes every running member once, in
// random order, so that a failed member is probed in this round or the next one.
func (v *View) NextProbe(rng *rand.Rand) (Member, bool) {
	for range 2 {
		for len(v.probeOrder) > 0 {
			id := v.probeOrder[0]
			v.probeOrder = v.probeOrder[1:]
			if e, ok := v.members[id]; ok && e.Running() {
				return e.Member, true
			}
		}
		for _, m := range v.randomMembers(len(v.members), rng, func(e *entry) bool { return e.Running() }) {
			v.probeOrder = append(v.probeOrder, m.Instance.Host)
		}
	}
	return Member{}, false
}

// IndirectProbers returns random members to ask for an indirect probe of the target.
func (v *View) IndirectProbers(target ident.Instance, rng *rand.Rand) []Member {
	return v.randomMembers(indirectProberCount, rng, func(e *entry) bool { return e.Health == Alive && e.Running() && e.Instance != target })
}

// ProbeFailed marks an instance that neither a direct nor an indirect probe reached as suspect.
func (v *View) ProbeFailed(target ident.Instance, now time.Time) {
	e, ok := v.members[target.Host]
	if !ok || e.Instance != target || e.Health != Alive || !e.Running() {
		return
	}
	m := e.Member
	m.Health = Suspect
	v.replace(m, now)
}
