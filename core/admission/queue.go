package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

type ticketState uint8

const (
	waiting ticketState = iota
	admitted
	refused
	finished
)

// Ticket is a request that waits for a slot or holds one. The cell's lock guards all of it but the channel.
type Ticket struct {
	// Data is for the caller of Enqueue; the controller does not use it.
	Data any

	class      *class
	deadline   time.Time
	enqueuedAt time.Time
	seq        uint64
	state      ticketState
	startedAt  time.Time
	charged    float64
	refusal    *Refusal
	decided    chan struct{}
}

// Class returns the class name of the request.
func (t *Ticket) Class() ident.ClassName { return t.class.row.Name }

// Deadline returns the deadline of the request.
func (t *Ticket) Deadline() time.Time { return t.deadline }

// Decided returns a channel that is closed after the request has been admitted or refused.
func (t *Ticket) Decided() <-chan struct{} { return t.decided }

// NotifyDecided closes the channel of Decided. It must be called once for each ticket that Dispatch returned, after the
// cell's lock has been released.
func (t *Ticket) NotifyDecided() { close(t.decided) }

// Refusal returns why the request was refused; nil if it was admitted. It is valid once the channel of Decided is
// closed.
func (t *Ticket) Refusal() *Refusal { return t.refusal }

// queue holds the waiting requests of one class, earliest deadline first. It is a sorted slice because the wait
// estimate needs the rank of a new request. Requests mostly arrive in the order of their deadlines, so that an insert
// moves few entries.
type queue struct {
	items []*Ticket
}

func compareTickets(a, b *Ticket) int {
	if n := a.deadline.Compare(b.deadline); n != 0 {
		return n
	}
	return cmp.Compare(a.seq, b.seq)
}

func (q *queue) len() int { return len(q.items) }

func (q *queue) head() *Ticket { return q.items[0] }

// rank returns the number of waiting requests that come before t.
func (q *queue) rank(t *Ticket) int {
	i, _ := slices.BinarySearchFunc(q.items, t, compareTickets)
	return i
}

func (q *queue) insert(t *Ticket) {
	q.items = slices.Insert(q.items, q.rank(t), t)
}

// remove removes t. The head is sliced off without moving the rest; append reclaims the space when the slice grows.
func (q *queue) remove(t *Ticket) {
	i := q.rank(t)
	if i == 0 {
		q.items[0] = nil
		q.items = q.items[1:]
		return
	}
	q.items = slices.Delete(q.items, i, i+1)
}
