package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// idleDuration is the time over which the calls of the key-value service are counted while nothing changes.
const idleDuration = 5 * time.Second

// spread measures how long a changed table takes to be in force on every host, for growing numbers of hosts. The
// smallest number is the baseline.
func spread(ctx context.Context, r *runner) error {
	longestTimes := Series{Name: "longest of the changes"}
	callRates := Series{Name: "calls at rest"}
	for _, hosts := range r.options.SpreadHostCounts {
		if !r.hasTimeFor(len(longestTimes.Points), 20*time.Second) {
			break
		}
		s := deploymentSize{hosts: hosts, cells: hosts, targets: hosts, workers: hosts, meanServiceTime: 20 * time.Millisecond}
		if err := r.deploy(ctx, s, standardTable()); err != nil {
			return err
		}
		longestMS, callsPerSecond, err := r.measureSpread(ctx, fmt.Sprintf("%d hosts", hosts))
		if err != nil {
			return err
		}
		longestTimes.Points = append(longestTimes.Points, Point{float64(hosts), longestMS})
		callRates.Points = append(callRates.Points, Point{float64(hosts), callsPerSecond})
	}
	r.result.Plots = append(r.result.Plots,
		Plot{"Time until a change is in force everywhere", "relay hosts", "ms", []Series{longestTimes}},
		Plot{"Calls of the key-value service", "relay hosts", "calls a second", []Series{callRates}})
	r.addNote("the revision of each host is polled every 20 ms, which bounds the resolution of the times")
	return nil
}

// measureSpread counts the calls of the key-value service at rest, and then commits changes of the table. It returns
// the longest time until a change was in force everywhere, in milliseconds, and the calls a second at rest.
func (r *runner) measureSpread(ctx context.Context, arm string) (longestMS, callsPerSecond float64, err error) {
	interval := r.armDuration(idleDuration)
	before := r.deployment.Store.Counts().Total()
	if err := sleep.For(ctx, interval); err != nil {
		return 0, 0, err
	}
	callsPerSecond = float64(r.deployment.Store.Counts().Total()-before) / interval.Seconds()
	r.result.addFigure(arm, 0, "calls of the key-value service at rest", callsPerSecond, "1/s")
	var durations []float64
	for repetition := 1; repetition <= 2*r.options.Repetitions; repetition++ {
		ms, err := r.timeTableChange(ctx, repetition)
		if err != nil {
			return 0, 0, err
		}
		durations = append(durations, ms)
		longestMS = max(longestMS, ms)
		r.result.addFigure(arm, repetition, "time from the acceptance to in force on every host", ms, "ms")
	}
	r.result.addFigure(arm, 0, "time to in force everywhere, median of changes", Median(durations), "ms")
	r.result.addFigure(arm, 0, "time to in force everywhere, longest of changes", longestMS, "ms")
	return longestMS, callsPerSecond, nil
}

func (r *runner) timeTableChange(ctx context.Context, repetition int) (ms float64, err error) {
	table := withChangedRow(standardTable(), classLeast, func(c *tableRow) { c.weight = 1 + repetition })
	sentAt := time.Now()
	if err := r.commitTable(ctx, table); err != nil {
		return 0, err
	}
	accepted, lastInForce := r.tableChangeTimes(sentAt)
	return float64(lastInForce.Sub(accepted).Microseconds()) / 1000, nil
}

// tableChangeTimes returns when the change sent at sentAt was accepted, and when the last host had it in force. A host
// may have it in force before the operator gets the answer; the second time is then that of the answer.
func (r *runner) tableChangeTimes(sentAt time.Time) (accepted, lastInForce time.Time) {
	for _, e := range r.deployment.Recorder.Events() {
		if e.At.Before(sentAt) {
			continue
		}
		switch e.Kind {
		case history.TableAccepted:
			accepted = e.At
		case history.TableInForce:
			lastInForce = latest(lastInForce, e.At)
		default:
		}
	}
	return accepted, latest(lastInForce, accepted)
}
