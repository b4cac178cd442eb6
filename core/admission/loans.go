package admission

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// RequestLoans returns loan requests for the classes whose waiting requests are held back by a limit of the class. The
// caller sends each of them to one other cell at once, because the loan period counts from now.
func (c *Controller) RequestLoans(now time.Time) []LoanRequest {
	if c.grant.Authority == ownership.None {
		return nil
	}
	var requests []LoanRequest
	for name, cl := range c.classes {
		cl.limits.expire(now)
		c.updateLimits(now, cl)
		if cl.queue.len() == 0 || len(cl.limits.pending) > 0 {
			continue
		}
		r := LoanRequest{Class: name}
		if cl.tokenWait(now, cl.queue.len()) > 0 {
			r.Rate = float64(cl.queue.len()) / usageWindow.Seconds()
		}
		if !cl.withinConcurrency(now, cl.queue.head().deadline) {
			r.Concurrency = cl.queue.len()
		}
		if r.Rate == 0 && r.Concurrency == 0 {
			continue
		}
		c.loanSeq++
		r.ID = LoanID{Borrower: c.grant.Cell, Epoch: c.grant.Epoch, Seq: c.loanSeq}
		cl.limits.recordRequest(now, r.ID)
		requests = append(requests, r)
	}
	slices.SortFunc(requests, func(a, b LoanRequest) int { return strings.Compare(string(a.Class), string(b.Class)) })
	return requests
}

// Lend answers the loan request of another cell with limits that this cell does not use, at most half of its own.
func (c *Controller) Lend(now time.Time, r LoanRequest) LoanReply {
	cl, ok := c.classes[r.Class]
	if !ok || c.grant.Authority != ownership.Full {
		return LoanReply{ID: r.ID, Class: r.Class}
	}
	inUse := cl.inUse + cl.queue.len()
	reply := cl.limits.lend(now, r, cl.startRate(now)+float64(cl.queue.len()), inUse)
	c.updateLimits(now, cl)
	return reply
}

// AcceptLoan adds the reply to a loan request of this cell to its limits. Repeated, late and unknown replies have no
// effect.
func (c *Controller) AcceptLoan(now time.Time, r LoanReply) {
	cl, ok := c.classes[r.Class]
	if !ok || r.ID.Epoch != c.grant.Epoch {
		return
	}
	cl.limits.accept(now, r)
	c.updateLimits(now, cl)
}

// expireLoans removes loans that have ended from the limits.
func (c *Controller) expireLoans(now time.Time) {
	if c.nextLimitChange.IsZero() || now.Before(c.nextLimitChange) {
		return
	}
	c.nextLimitChange = time.Time{}
	if !now.Before(c.halfLimitsUntil) {
		c.halfLimitsUntil = time.Time{}
	}
	for _, cl := range c.classes {
		if cl.limits.timeDependent() {
			cl.limits.expire(now)
			c.updateLimits(now, cl)
		}
	}
}

// EffectiveLimits returns the rate and concurrency that the class may use in this cell now, loans included. A negative
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

// timeDependent reports whether the limits will change with time alone.
func (l *limits) timeDependent() bool {
	return len(l.lent)+len(l.borrowed)+len(l.pending) > 0 || !l.halfLimitsUntil.IsZero()
}

// nextChange returns the earliest end of a loan or of the halving of the limits; zero if neither is pending.
func (l *limits) nextChange(now time.Time) time.Time {
	var next time.Time
	earliest := func(t time.Time) {
		if t.After(now) && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	earliest(l.halfLimitsUntil)
	for _, loans := range [][]loan{l.lent, l.borrowed, l.pending} {
		for _, ln := range loans {
			earliest(ln.until)
		}
	}
	return next
}
