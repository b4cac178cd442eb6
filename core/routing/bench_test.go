package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// BenchmarkDecision measures the decisions on one request in admission and routing: queueing, start with the choice of
// a target, end. The queue of each class holds a request, so that the scheduler chooses among all classes.
func BenchmarkDecision(b *testing.B) {
	for _, classes := range []int{10, 100, 1100} {
		for _, targets := range []int{50, 500, 5000} {
			b.Run(fmt.Sprintf("classes=%d/targets=%d", classes, targets), func(b *testing.B) {
				benchmarkDecision(b, classes, targets)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, classes, targets int) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rows := make([]table.Row, classes)
	for i := range rows {
		rows[i] = table.Row{
			Name: ident.ClassName(fmt.Sprintf("class%d", i)), Weight: 1 + i%8, Queue: 1000, Deadline: time.Hour, Rate: 1e9,
		}
	}
	list := make([]routing.Target, targets)
	for i := range list {
		list[i].ID = ident.TargetID(fmt.Sprintf("t%d", i))
	}
	ts := routing.NewTargets(rand.New(rand.NewPCG(1, 2)))
	ts.SetSlotsPerTarget(routing.SlotsPerTarget)
	ts.Set(list)
	c := admission.New(1)
	c.SetTable(now, table.New(1, rows))
	c.SetGrant(now, ownership.Grant{Epoch: 1, Authority: ownership.Full})
	// Rate limiters start without tokens.
	now = now.Add(time.Second)
	assignTarget := func(t *admission.Ticket) bool {
		target, ok := ts.Pick(now, "")
		t.Data = target.ID
		return ok
	}
	running := make([]*admission.Ticket, 0, targets*routing.SlotsPerTarget)
	for i := 0; c.Waiting() < classes; i++ {
		_, _ = c.Enqueue(now, rows[i%classes].Name, now.Add(time.Hour))
		c.SetCapacity(ts.Capacity(), time.Time{})
		running = append(running, c.Dispatch(now, assignTarget)...)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		n := i % len(running)
		id := running[n].Data.(ident.TargetID)
		ts.Observe(now, id, routing.Observation{Signal: routing.SignalOK, Latency: time.Millisecond})
		ts.Release(id)
		c.Release(now, running[n], true)
		_, _ = c.Enqueue(now, rows[i%classes].Name, now.Add(time.Hour))
		ts.ExpirePauses(now)
		c.SetCapacity(ts.Capacity(), time.Time{})
		running[n] = c.Dispatch(now, assignTarget)[0]
	}
}
