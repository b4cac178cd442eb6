package admission

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func fullGrant() ownership.Grant {
	return ownership.Grant{Cell: 0, Epoch: 1, Authority: ownership.Full}
}

func newController(cells, capacity int, rows ...table.Row) *Controller {
	c := New(cells)
	c.SetTable(testStart, table.New(1, rows))
	c.SetGrant(testStart.Add(-LoanPeriod), fullGrant())
	c.SetCapacity(capacity, time.Time{})
	return c
}

func anyTarget(*Ticket) bool { return true }

// load is the traffic of one class in a simulation. offered is its demand as a multiple of the whole capacity.
type load struct {
	row     table.Row
	offered float64
	service time.Duration
}

// event is the arrival of a request of a class, or the end of a request if end is set.
type event struct {
	at    time.Duration
	class int
	end   *Ticket
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }

func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// simulate runs the loads against the controller, or against one first-in-first-out queue of the same total length. It
// returns the fraction of all slot time that each class got.
func simulate(loads []load, slots int, length time.Duration, fifo bool) []float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	rows := make([]table.Row, len(loads))
	index := map[ident.ClassName]int{}
	maxQueued := 0
	var pending events
	for i, l := range loads {
		rows[i] = l.row
		index[l.row.Name] = i
		maxQueued += l.row.Queue
		heap.Push(&pending, event{class: i})
	}
	c := newController(1, slots, rows...)
	var fifoQueue []int
	fifoRunning := 0
	used := make([]time.Duration, len(loads))
	startRequest := func(now time.Duration, class int, t *Ticket) {
		used[class] += min(loads[class].service, length-now)
		heap.Push(&pending, event{at: now + loads[class].service, class: class, end: t})
	}
	for pending.Len() > 0 {
		e := heap.Pop(&pending).(event)
		if e.at >= length {
			break
		}
		now := testStart.Add(e.at)
		switch {
		case e.end != nil && fifo:
			fifoRunning--
		case e.end != nil:
			c.Release(now, e.end, true)
		default:
			gap := loads[e.class].service.Seconds() / (loads[e.class].offered * float64(slots))
			heap.Push(&pending, event{at: e.at + seconds(gap*rng.ExpFloat64()), class: e.class})
			if !fifo {
				_, _ = c.Enqueue(now, loads[e.class].row.Name, now.Add(loads[e.class].row.Deadline))
			} else if len(fifoQueue) < maxQueued {
				fifoQueue = append(fifoQueue, e.class)
			}
		}
		for fifo && fifoRunning < slots && len(fifoQueue) > 0 {
			fifoRunning++
			startRequest(e.at, fifoQueue[0], &Ticket{})
			fifoQueue = fifoQueue[1:]
		}
		if fifo {
			continue
		}
		for _, t := range c.Dispatch(now, anyTarget) {
			if t.Refusal() == nil {
				startRequest(e.at, index[t.Class()], t)
			}
		}
	}
	parts := make([]float64, len(loads))
	for i := range used {
		parts[i] = used[i].Seconds() / (length.Seconds() * float64(slots))
	}
	return parts
}

// Guards against a flood of one class taking slots from the weighted share of another, for short and for long requests.
// The other classes offer twice their share, so that each of them always has requests waiting.
func TestFloodKeepsWeightedShares(t *testing.T) {
	const slots, length = 16, 8 * time.Second
	weights := []int{8, 4, 2, 1, 1}
	services := []time.Duration{4 * time.Millisecond, 10 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}
	for flooded := range weights {
		loads := make([]load, len(weights))
		for i, w := range weights {
			loads[i] = load{
				row: table.Row{
					Name: ident.ClassName(fmt.Sprintf("class%d", i)), Kind: table.LatencyCritical,
					Weight: w, Queue: 1000, Deadline: time.Second,
				},
				offered: 2 * float64(w) / 16,
				service: services[i],
			}
		}
		loads[flooded].offered = 20
		got := simulate(loads, slots, length, false)
		baseline := simulate(loads, slots, length, true)
		for i, w := range weights {
			share := float64(w) / 16
			t.Logf("flood of class%d: class%d share %.3f, got %.3f, first in first out %.3f", flooded, i, share, got[i], baseline[i])
			if i == flooded {
				continue
			}
			// Running requests keep their slots, so that at the end a class may be short by one request in each slot.
			allowed := services[i].Seconds() / length.Seconds()
			require.GreaterOrEqual(t, got[i], share-allowed, "class%d in a flood of class%d", i, flooded)
			require.Less(t, baseline[i], share, "a first-in-first-out queue must not keep the share, or the test proves nothing")
		}
	}
}
