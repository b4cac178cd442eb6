package reach

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// relief is the state of the questions to a host that ranks higher than the owner of a cell gained by reach.
type relief struct {
	host    ident.Instance
	number  uint64
	nextAt  time.Time
	matched bool
}

// ReliefQuestion returns the question to a host that would get the cell by rank; false if none is due.
func (m *Monitor) ReliefQuestion(now time.Time, c Contact, host ident.Instance) (Question, bool) {
	if host != m.relief.host {
		m.relief = relief{host: host, nextAt: m.relief.nextAt}
	}
	if c.workers() == 0 || m.claiming(now) || now.Before(m.relief.nextAt) {
		return Question{}, false
	}
	if m.relief.number != 0 {
		// The last question has no result.
		m.relief.matched = false
	}
	unreached := min(len(c.Unreached), m.cfg.UnreachedSample)
	q := m.question(host, c, m.cfg.UnreachedSample+m.cfg.ReachedSample-unreached)
	m.relief.number, m.relief.nextAt = q.number, now.Add(m.cfg.ReliefPause)
	return q, true
}

// ReliefAnswered takes the result of a ReliefQuestion. confirmed is set once the host was estimated to reach at least as
// many workers as the owner in two consecutive answers.
func (m *Monitor) ReliefAnswered(q Question, reached []ident.WorkerID, answered bool) (confirmed bool) {
	if q.number == 0 || q.Peer != m.relief.host || q.number != m.relief.number {
		return false
	}
	m.relief.number = 0
	matches := answered && q.estimate(reached) >= float64(q.allReached)
	confirmed = matches && m.relief.matched
	m.relief.matched = matches && !confirmed
	return confirmed
}
