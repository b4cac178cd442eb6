package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// idle is the time over which calls of the key-value service are counted.
const idle = 5 * time.Second

// spread measures how long a changed table takes to be in force on every host, at growing sizes. The smallest size is
// the baseline.
func spread(ctx context.Context, r *runner) error {
	times := Series{Name: "longest of the changes"}
	calls := Series{Name: "calls at rest"}
	for _, hosts := range r.options.SpreadHostCounts {
		if !r.more(len(times.Points), 20*time.Second) {
			break
		}
		s := size{hosts: hosts, cells: hosts, targets: hosts, workers: hosts, service: 20 * time.Millisecond}
		if err := r.deploy(ctx, s, standardTable()); err != nil {
			return err
		}
		longest, rate, err := r.spreadPart(ctx, fmt.Sprintf("%d hosts", hosts))
		if err != nil {
			return err
		}
		times.Points = append(times.Points, Point{float64(hosts), longest})
		calls.Points = append(calls.Points, Point{float64(hosts), rate})
	}
	r.result.Plots = append(r.result.Plots,
		Plot{"Time until a change is in force everywhere", "relay hosts", "ms", []Series{times}},
		Plot{"Calls of the key-value service", "relay hosts", "calls a second", []Series{calls}})
	r.note("the hosts are asked every 20 ms for their revision, which bounds the resolution of the times")
	return nil
}

// spreadPart commits changes and returns the longest time in milliseconds, and the calls a second at rest.
func (r *runner) spreadPart(ctx context.Context, arm string) (longest, rate float64, err error) {
	rest := r.part(idle)
	before := r.deployment.Store.Counts().Total()
	if err := sleep.For(ctx, rest); err != nil {
		return 0, 0, err
	}
	rate = float64(r.deployment.Store.Counts().Total()-before) / rest.Seconds()
	r.result.figure(arm, 0, "calls of the key-value service at rest", rate, "1/s")
	var took []float64
	for repetition := 1; repetition <= 2*r.options.Repetitions; repetition++ {
		ms, err := r.changeTable(ctx, repetition)
		if err != nil {
			return 0, 0, err
		}
		took = append(took, ms)
		longest = max(longest, ms)
		r.result.figure(arm, repetition, "time from the acceptance to in force on every host", ms, "ms")
	}
	r.result.figure(arm, 0, "time to in force everywhere, median of changes", Median(took), "ms")
	r.result.figure(arm, 0, "time to in force everywhere, longest of changes", longest, "ms")
	return longest, rate, nil
}

func (r *runner) changeTable(ctx context.Context, repetition int) (ms float64, err error) {
	table := change(standardTable(), classLeast, func(c *row) { c.weight = 1 + repetition })
	before := time.Now()
	if err := r.setTable(ctx, table); err != nil {
		return 0, err
	}
	accepted, last := r.lastChange(before)
	return float64(last.Sub(accepted).Microseconds()) / 1000, nil
}

// lastChange returns when the change sent after a time was accepted, and when the last host had it in force. A host may
// have it before the operator has the answer.
func (r *runner) lastChange(after time.Time) (accepted, last time.Time) {
	for _, e := range r.deployment.Recorder.Events() {
		if e.At.Before(after) {
			continue
		}
		switch e.Kind {
		case history.TableAccepted:
			accepted = e.At
		case history.TableInForce:
			last = latest(last, e.At)
		default:
		}
	}
	return accepted, latest(last, accepted)
}
