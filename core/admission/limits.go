package admission

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// LoanPeriod is how long a loan lasts. A new owner of a cell does not know the loans made by its predecessor and
	// therefore uses half of its limits for this long; no more than half is ever lent.
	LoanPeriod = 2 * time.Second
	// clockMargin is how much earlier a loan ends for the borrower than for the lender, to allow for clock drift.
	clockMargin = LoanPeriod / 16
)

// LoanID identifies a loan request of one borrower.
type LoanID struct {
	Borrower ident.CellID
	Epoch    ident.Epoch
	Seq      uint64
}

// LoanRequest asks another cell for a part of its limit of a class.
type LoanRequest struct {
	ID          LoanID
	Class       ident.ClassName
	Rate        float64
	Concurrency int
}

// LoanReply is what the lender grants; either amount may be 0.
type LoanReply struct {
	ID          LoanID
	Class       ident.ClassName
	Rate        float64
	Concurrency int
}

// concurrencyPart returns the part of total that belongs to cell. The remainder of the division goes to the first
// cells, one each.
func concurrencyPart(total, cells int, cell ident.CellID) int {
	part := total / cells
	if int(cell) < total%cells {
		part++
	}
	return part
}

// rateQuota returns this grant's part of the rate limit of a row, and whether there is a limit.
func rateQuota(row table.Row, cells int, grant ownership.Grant) (float64, bool) {
	if row.Rate <= 0 {
		return 0, false
	}
	if grant.Authority == ownership.None {
		return 0, true
	}
	return row.Rate / float64(cells) / float64(uint64(1)<<grant.ShareShift), true
}

// concurrencyQuota returns this grant's part of the concurrency limit of a row, and whether there is a limit.
func concurrencyQuota(row table.Row, cells int, grant ownership.Grant) (int, bool) {
	if row.Concurrency <= 0 {
		return 0, false
	}
	if grant.Authority == ownership.None {
		return 0, true
	}
	return concurrencyPart(row.Concurrency, cells, grant.Cell) >> grant.ShareShift, true
}

// loan is a lent, borrowed or requested part of a limit.
type loan struct {
	id          LoanID
	rate        float64
	concurrency int
	// until is when the loan ends on this host's clock. The lender counts from the arrival of the request, the borrower
	// from its sending.
	until time.Time
}

// limits holds the limits of one class in one cell, with its loans. The sum over all cells never exceeds the limit of
// the row: a loan does not end earlier for the lender than for the borrower, because the request arrives after it was
// sent.
type limits struct {
	rateLimited        bool
	concurrencyLimited bool
	ownRate            float64
	ownConcurrency     int
	// halfLimitsUntil is when the loans made by the previous owner of the cell have ended.
	halfLimitsUntil time.Time

	lent     []loan
	borrowed []loan
	// pending holds the loan requests without a reply, with until set and no amounts.
	pending []loan
}

func (l *limits) set(row table.Row, cells int, grant ownership.Grant) {
	l.ownRate, l.rateLimited = rateQuota(row, cells, grant)
	l.ownConcurrency, l.concurrencyLimited = concurrencyQuota(row, cells, grant)
}

// expire drops the loans that have ended.
func (l *limits) expire(now time.Time) {
	ended := func(ln loan) bool { return !now.Before(ln.until) }
	l.lent = slices.DeleteFunc(l.lent, ended)
	l.borrowed = slices.DeleteFunc(l.borrowed, ended)
	l.pending = slices.DeleteFunc(l.pending, ended)
}

// lendable returns the largest rate and concurrency that this cell may have lent at one time: half of its own limits.
func (l *limits) lendable() (float64, int) {
	return l.ownRate / 2, l.ownConcurrency / 2
}

// rate returns the rate limit at now, loans included, and whether there is a limit.
func (l *limits) rate(now time.Time) (float64, bool) {
	if !l.rateLimited {
		return 0, false
	}
	own := l.ownRate
	if now.Before(l.halfLimitsUntil) {
		own -= l.ownRate / 2
	}
	for _, ln := range l.lent {
		if now.Before(ln.until) {
			own -= ln.rate
		}
	}
	own = max(0, own)
	for _, ln := range l.borrowed {
		if now.Before(ln.until) {
			own += ln.rate
		}
	}
	return own, true
}

// concurrency returns the concurrency limit for starting a request that ends at deadline at the latest, and whether
// there is a limit. A borrowed part counts only if its loan lasts until the deadline, so that the requests in progress
// never exceed the limit when a loan ends.
func (l *limits) concurrency(now, deadline time.Time) (int, bool) {
	if !l.concurrencyLimited {
		return 0, false
	}
	own := l.ownConcurrency
	if now.Before(l.halfLimitsUntil) {
		own -= l.ownConcurrency / 2
	}
	for _, ln := range l.lent {
		if now.Before(ln.until) {
			own -= ln.concurrency
		}
	}
	own = max(0, own)
	for _, ln := range l.borrowed {
		if now.Before(ln.until) && !ln.until.Before(deadline) {
			own += ln.concurrency
		}
	}
	return own, true
}

// lend grants the available part of a request. ownUseRate and ownUseConcurrency are what the lender needs itself. A
// repeated request gets nothing, because the first reply may still arrive.
func (l *limits) lend(now time.Time, r LoanRequest, ownUseRate float64, ownUseConcurrency int) LoanReply {
	reply := LoanReply{ID: r.ID, Class: r.Class}
	l.expire(now)
	if now.Before(l.halfLimitsUntil) || slices.ContainsFunc(l.lent, func(ln loan) bool { return ln.id == r.ID }) {
		return reply
	}
	lendableRate, lendableConcurrency := l.lendable()
	lentRate, lentConcurrency := 0.0, 0
	for _, ln := range l.lent {
		lentRate += ln.rate
		lentConcurrency += ln.concurrency
	}
	if l.rateLimited {
		spare := min(lendableRate-lentRate, l.ownRate-lentRate-ownUseRate)
		reply.Rate = max(0, min(r.Rate, spare))
	}
	if l.concurrencyLimited {
		spare := min(lendableConcurrency-lentConcurrency, l.ownConcurrency-lentConcurrency-ownUseConcurrency)
		reply.Concurrency = max(0, min(r.Concurrency, spare))
	}
	if reply.Rate > 0 || reply.Concurrency > 0 {
		l.lent = append(l.lent, loan{r.ID, reply.Rate, reply.Concurrency, now.Add(LoanPeriod)})
	}
	return reply
}

// recordRequest records that a loan request was sent at now.
func (l *limits) recordRequest(now time.Time, id LoanID) {
	l.pending = append(l.pending, loan{id: id, until: now.Add(LoanPeriod - clockMargin)})
}

// accept adds the granted loan to the limits, once for each request. The loan lasts LoanPeriod less clockMargin from
// the sending of the request.
func (l *limits) accept(now time.Time, r LoanReply) {
	l.expire(now)
	i := slices.IndexFunc(l.pending, func(ln loan) bool { return ln.id == r.ID })
	if i < 0 {
		return
	}
	until := l.pending[i].until
	l.pending = slices.Delete(l.pending, i, i+1)
	l.borrowed = append(l.borrowed, loan{r.ID, max(0, r.Rate), max(0, r.Concurrency), until})
}
