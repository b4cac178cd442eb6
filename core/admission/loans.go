package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// RequestLoans returns requests for the classes whose own limit holds back waiting requests. The caller sends each to one
// other cell right away: the period of a loan counts from now.
func (c *Controller) RequestLoans(now time.Time) []LoanRequest {
	if c.grant.Authority == ownership.None {
		return nil
	}
	var requests []LoanRequest
	for name, cl := range c.classes {
		cl.limits.expire(now)
		c.limit(now, cl)
		if cl.queue.len() == 0 || len(cl.limits.pending) > 0 {
			continue
		}
		r := LoanRequest{Class: name}
		if cl.tokenWait(now, cl.queue.len()) > 0 {
			r.Rate = float64(cl.queue.len()) / usageWindow.Seconds()
		}
		if !cl.mayStart(now, cl.queue.head().deadline) {
			r.Concurrency = cl.queue.len()
		}
		if r.Rate == 0 && r.Concurrency == 0 {
			continue
		}
		c.loanSeq++
		r.ID = LoanID{Borrower: c.grant.Cell, Epoch: c.grant.Epoch, Seq: c.loanSeq}
		cl.limits.ask(now, r.ID)
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b LoanRequest) int { return strings.Compare(string(a.Class), string(b.Class)) })
	return requests
}

// Lend answers the request of another cell with what this one does not use. It lends at most half of its own limits.
func (c *Controller) Lend(now time.Time, r LoanRequest) LoanReply {
	cl, ok := c.classes[r.Class]
	if !ok || c.grant.Authority != ownership.Full {
		return LoanReply{ID: r.ID, Class: r.Class}
	}
	inUse := cl.inUse + cl.queue.len()
	reply := cl.limits.lend(now, r, cl.usedRate(now)+float64(cl.queue.len()), inUse)
	c.limit(now, cl)
	return reply
}

// AcceptLoan counts a reply to a request of this cell. Repeated, late and unknown replies have no effect.
func (c *Controller) AcceptLoan(now time.Time, r LoanReply) {
	cl, ok := c.classes[r.Class]
	if !ok || r.ID.Epoch != c.grant.Epoch {
		return
	}
	cl.limits.accept(now, r)
	c.limit(now, cl)
}

// endLoans takes ended loans out of the limits.
func (c *Controller) endLoans(now time.Time) {
	if c.boundary.IsZero() || now.Before(c.boundary) {
		return
	}
	c.boundary = time.Time{}
	if !now.Before(c.halvedUntil) {
		c.halvedUntil = time.Time{}
	}
	for _, cl := range c.classes {
		if cl.limits.temporary() {
			cl.limits.expire(now)
			c.limit(now, cl)
		}
	}
}

// EffectiveLimits returns the rate and concurrency that the class may use in this cell now, including loans. A negative
// value means unlimited.
func (c *Controller) EffectiveLimits(now time.Time, name ident.ClassName) (rate float64, concurrency int) {
	cl, ok := c.classes[name]
	if !ok {
		return 0, 0
	}
	rate, limited := cl.limits.rate(now)
	if !limited {
		rate = -1
	}
	concurrency, limited = cl.limits.concurrency(now, now)
	if !limited {
		concurrency = -1
	}
	return rate, concurrency
}

// temporary reports whether the limits change by the passing of time alone.
func (l *limits) temporary() bool {
	return len(l.lent)+len(l.borrowed)+len(l.pending) > 0 || !l.halvedUntil.IsZero()
}

// nextEnd returns the earliest end of a loan or of the wait for a predecessor's loans; zero if there is none.
func (l *limits) nextEnd(now time.Time) time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	earliest(l.halvedUntil)
	for _, loans := range [][]loan{l.lent, l.borrowed, l.pending} {
		for _, n := range loans {
			earliest(n.until)
		}
	}
	return next
}
