package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// simulateTail sends the loads to a cell, with exponentially distributed service times. It returns for each class the
// sorted times from arrival to answer and the number of requests that were not answered.
func simulateTail(loads []load, slots int, length time.Duration) (times [][]time.Duration, unanswered []int) {
	rng := rand.New(rand.NewPCG(1, 4))
	rows := make([]table.Row, len(loads))
	index := map[ident.ClassName]int{}
	var pending events
	for i, l := range loads {
		rows[i] = l.row
		index[l.row.Name] = i
		heap.Push(&pending, event{class: i})
	}
	c := newController(1, slots, rows...)
	times, unanswered = make([][]time.Duration, len(loads)), make([]int, len(loads))
	for pending.Len() > 0 {
		e := heap.Pop(&pending).(event)
		now := testStart.Add(e.at)
		if e.end != nil {
			c.Release(now, e.end, true)
			times[e.class] = append(times[e.class], now.Sub(e.end.enqueuedAt))
		} else if l := loads[e.class]; e.at < length {
			gap := l.service.Seconds() / (l.offered * float64(slots))
			heap.Push(&pending, event{at: e.at + seconds(gap*rng.ExpFloat64()), class: e.class})
			if _, refusal := c.Enqueue(now, l.row.Name, now.Add(l.row.Deadline)); refusal != nil {
				unanswered[e.class]++
			}
		}
		for _, t := range c.Dispatch(now, anyTarget) {
			class := index[t.Class()]
			if t.Refusal() != nil {
				unanswered[class]++
				continue
			}
			service := time.Duration(rng.ExpFloat64() * float64(loads[class].service))
			heap.Push(&pending, event{at: e.at + service, class: class, end: t})
		}
	}
	for _, d := range times {
		slices.Sort(d)
	}
	return times, unanswered
}

// Guards against a flood of one class making the p99 of classes within their share more than 1.5 times as long. Service
// times vary, so that the charge made at the start of a request differs from the slot time known at its end.
func TestFloodBoundsTailOfOtherClasses(t *testing.T) {
	const slots, length = 8, 300 * time.Second
	for _, flood := range []struct {
		name    string
		weights []int
	}{{"least", []int{1, 6, 4}}, {"urgent", []int{6, 4, 4}}} {
		loads := make([]load, len(flood.weights))
		for i, w := range flood.weights {
			loads[i] = load{
				row: table.Row{
					Name: ident.ClassName(rune('a' + i)), Kind: table.LatencyCritical,
					Weight: w, Queue: 200, Deadline: time.Second,
				},
				offered: 0.25, service: 100 * time.Millisecond,
			}
		}
		loads[0].offered = 1.0 / 16
		withoutFlood, _ := simulateTail(loads, slots, length)
		loads[0].offered = 20
		got, unanswered := simulateTail(loads, slots, length)
		for i := 1; i < len(loads); i++ {
			percentile := func(d []time.Duration, p int) time.Duration { return d[len(d)*p/100] }
			ratio := float64(percentile(got[i], 99)) / float64(percentile(withoutFlood[i], 99))
			t.Logf("flood of %s: weight %d, p50 %v -> %v, p99 %v -> %v (%.2f times), %d of %d not answered", flood.name, flood.weights[i],
				percentile(withoutFlood[i], 50), percentile(got[i], 50), percentile(withoutFlood[i], 99), percentile(got[i], 99), ratio, unanswered[i], unanswered[i]+len(got[i]))
			require.LessOrEqual(t, ratio, 1.5, "weight %d in a flood of %s", flood.weights[i], flood.name)
		}
	}
}

// Guards against a class that was idle during a long flood of another class taking all slots for long once it has work.
// The flooding class may wait while the other uses its credit, and must get its share from then on.
func TestShareCreditIsBounded(t *testing.T) {
	const service, idle = 10 * time.Millisecond, time.Minute
	rows := []table.Row{
		{Name: "flood", Kind: table.LatencyCritical, Weight: 1, Queue: 10},
		{Name: "idle", Kind: table.LatencyCritical, Weight: 1, Queue: 10},
	}
	c := newController(1, 1, rows...)
	var longestGap, gap time.Duration
	for at := time.Duration(0); at < 2*idle; at += service {
		now := testStart.Add(at)
		for _, row := range rows {
			for row.Name == "flood" && c.classes[row.Name].queue.len() < 2 || row.Name == "idle" && at >= idle && c.classes[row.Name].queue.len() < 2 {
				_, refusal := c.Enqueue(now, row.Name, now.Add(time.Hour))
				require.Nil(t, refusal)
			}
		}
		for _, ticket := range c.Dispatch(now, anyTarget) {
			if gap += service; ticket.Class() == "flood" {
				gap = 0
			}
			longestGap = max(longestGap, gap)
			c.Release(now.Add(service), ticket, true)
		}
	}
	t.Logf("the flooding class got no slot for %v", longestGap)
	require.Greater(t, longestGap, maxShareCredit/2, "the idle class must use most of its credit")
	require.LessOrEqual(t, longestGap, maxShareCredit+2*service)
}
