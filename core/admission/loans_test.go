package admission

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// TestMain fixes the seed of the generated tests, so that each run gives the same result, and raises their number, so
// that rare orders of messages occur.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "400"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type loanMessage struct {
	to      int
	at      time.Time
	request *LoanRequest
	reply   *LoanReply
}

// loanModel simulates a fleet of cells whose loan messages are delayed, lost and repeated.
type loanModel struct {
	cells   []*Controller
	epochs  []ident.Epoch
	running [][]*Ticket
	now     time.Time
	network []loanMessage
}

const (
	modelRate        = 100.0
	modelConcurrency = 11
)

func newLoanModel(n int) *loanModel {
	m := &loanModel{now: testStart, running: make([][]*Ticket, n), epochs: make([]ident.Epoch, n)}
	for i := range n {
		c := New(n)
		c.SetTable(testStart, table.New(1, []table.Row{row("a", func(r *table.Row) {
			r.Rate, r.Concurrency, r.Deadline = modelRate, modelConcurrency, LoanPeriod/2
		})}))
		c.SetCapacity(100, time.Time{})
		m.cells = append(m.cells, c)
		m.replaceOwner(i)
	}
	m.now = testStart.Add(LoanPeriod)
	return m
}

// replaceOwner gives a cell to a new owner that does not know the loans of its predecessor.
func (m *loanModel) replaceOwner(i int) {
	m.epochs[i]++
	m.cells[i].SetGrant(m.now, ownership.Grant{Cell: ident.CellID(i), Epoch: m.epochs[i], Authority: ownership.Full})
}

func (m *loanModel) send(t *rapid.T, message loanMessage) {
	for range rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "copies") {
		delayed := message
		maxDelay := rapid.SampledFrom([]int{0, 200, 3000}).Draw(t, "longest delay")
		delayed.at = m.now.Add(time.Duration(rapid.IntRange(0, maxDelay).Draw(t, "delay")) * time.Millisecond)
		m.network = append(m.network, delayed)
	}
}

func (m *loanModel) deliver(t *rapid.T) {
	var later []loanMessage
	due := m.network
	m.network = nil
	for _, message := range due {
		switch {
		case message.at.After(m.now):
			later = append(later, message)
		case message.request != nil:
			reply := m.cells[message.to].Lend(m.now, *message.request)
			m.send(t, loanMessage{to: int(message.request.ID.Borrower), reply: &reply})
		default:
			m.cells[message.to].AcceptLoan(m.now, *message.reply)
		}
	}
	m.network = append(later, m.network...)
}

func (m *loanModel) enqueueArrivals(t *rapid.T, i int) {
	for range rapid.IntRange(1, 12).Draw(t, "arrivals") {
		_, _ = m.cells[i].Enqueue(m.now, "a", m.now.Add(LoanPeriod))
	}
	for _, ticket := range m.cells[i].Dispatch(m.now, anyTarget) {
		if ticket.Refusal() == nil {
			m.running[i] = append(m.running[i], ticket)
		}
	}
}

// finish ends the running requests whose deadline has passed and, if first is set, the first one.
func (m *loanModel) finish(i int, first bool) {
	var remaining []*Ticket
	for n, ticket := range m.running[i] {
		if (first && n == 0) || !m.now.Before(ticket.Deadline()) {
			m.cells[i].Release(m.now, ticket, true)
			continue
		}
		remaining = append(remaining, ticket)
	}
	m.running[i] = remaining
}

func (m *loanModel) check(t *rapid.T) {
	rate, concurrency, inUse := 0.0, 0, 0
	for _, c := range m.cells {
		r, n := c.EffectiveLimits(m.now, "a")
		rate += r
		concurrency += n
		inUse += c.InUse()
	}
	require.LessOrEqual(t, rate, modelRate+1e-6)
	require.LessOrEqual(t, concurrency, modelConcurrency)
	require.LessOrEqual(t, inUse, modelConcurrency)
}

// Guards against the limits of all cells together exceeding the limit of the table when loan messages are delayed, lost
// or repeated, or when a lender or borrower is replaced.
func TestLoansNeverExceedTheLimit(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newLoanModel(rapid.IntRange(2, 4).Draw(t, "cells"))
		for range rapid.IntRange(10, 60).Draw(t, "steps") {
			m.now = m.now.Add(time.Duration(rapid.IntRange(1, 300).Draw(t, "ms")) * time.Millisecond)
			for i := range m.cells {
				m.finish(i, false)
			}
			m.deliver(t)
			m.check(t)
			i := rapid.IntRange(0, len(m.cells)-1).Draw(t, "cell")
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				m.finish(i, true)
			case 1:
				if len(m.running[i]) == 0 {
					m.replaceOwner(i)
				}
			default:
				m.enqueueArrivals(t, i)
				for _, r := range m.cells[i].RequestLoans(m.now) {
					m.send(t, loanMessage{to: (i + 1) % len(m.cells), request: &r})
				}
			}
			m.deliver(t)
			m.check(t)
			for _, c := range m.cells {
				granted += len(c.classes["a"].limits.borrowed)
			}
		}
	})
	require.Positive(t, granted, "the test proves nothing if no loan is granted")
}

// Guards against loans without effect: a busy cell must get more than its own part of a limit while another is idle.
func TestIdleLimitIsLent(t *testing.T) {
	rows := []table.Row{
		row("concurrency", func(r *table.Row) { r.Concurrency = 10 }),
		row("rate", func(r *table.Row) { r.Rate = 20 }),
	}
	busy, idle := newController(2, 100, rows...), newController(2, 100, rows...)
	now := testStart.Add(time.Second)
	busy.Dispatch(now, anyTarget)
	for range 20 {
		_, _ = busy.Enqueue(now, "concurrency", now.Add(LoanPeriod/2))
		_, _ = busy.Enqueue(now, "rate", now.Add(LoanPeriod/2))
	}
	busy.Dispatch(now, anyTarget)
	idle.Dispatch(now, anyTarget)
	requests := busy.RequestLoans(now)
	require.Len(t, requests, 2)
	for _, r := range requests {
		busy.AcceptLoan(now, idle.Lend(now, r))
	}
	_, concurrency := busy.EffectiveLimits(now, "concurrency")
	rate, _ := busy.EffectiveLimits(now, "rate")
	require.Equal(t, 7, concurrency)
	require.InDelta(t, 15, rate, 1e-9)
	busy.Dispatch(now.Add(LoanPeriod), anyTarget)
	_, concurrency = busy.EffectiveLimits(now.Add(LoanPeriod), "concurrency")
	require.Equal(t, 5, concurrency, "the loan has ended")
}
