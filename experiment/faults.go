package experiment

import (
	"context"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// storeOutage sends the same load before, during and after an outage of the key-value service.
func storeOutage(ctx context.Context, r *runner) error {
	s := r.size(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	side := r.part(outage / 2)
	for _, phase := range []struct {
		arm   string
		fault kv.Fault
		part  time.Duration
	}{{"before", kv.Fault{}, side}, {"during", kv.Fault{Down: true}, 2 * side}, {"after", kv.Fault{}, side}} {
		for _, h := range r.deployment.Hosts {
			h.Session.SetFault(phase.fault)
		}
		st := stream{id: phase.arm, classes: []load.Class{
			s.class(classWrite, s.capacity()/8, time.Second, 3), s.class(classRead, s.capacity()/8, time.Second, 3),
		}}
		results, err := r.send(ctx, phase.part, st)
		if err != nil {
			return err
		}
		r.result.addLoad(phase.arm, 1, phase.part, st.classes, results[0], s.capacity())
	}
	for _, arm := range []string{"during", "after"} {
		for _, class := range []string{classWrite, classRead} {
			r.result.ratios("answered", class, arm, "before", answeredRate)
			r.result.ratios("p99", class, arm, "before", p99)
		}
	}
	r.result.Plots = append(r.result.Plots, r.timeline("store down in the middle half"))
	return nil
}

// blackHole lets one target and one worker fail everything they get, and compares with the same load on good ones.
func blackHole(ctx context.Context, r *runner) error {
	s := r.size(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	part := r.part(7 * time.Second)
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.more(repetition-1, 2*part+5*time.Second) {
			break
		}
		for _, arm := range []string{"good", "black hole"} {
			if err := r.holePart(ctx, s, arm, repetition, part); err != nil {
				return err
			}
		}
	}
	for _, class := range []string{classWrite, classRead} {
		r.result.ratios("answered", class, "black hole", "good", answeredRate)
		r.result.ratios("p99", class, "black hole", "good", p99)
	}
	r.note("a target that answers 500 has answered: such calls count as answered, and as lost in the share of runs on the bad target")
	return nil
}

func (r *runner) holePart(ctx context.Context, s size, arm string, repetition int, part time.Duration) error {
	d := r.deployment
	if arm != "good" {
		d.Targets[0].SetFault(target.FaultFail)
		d.Workers[0].SetFault(worker.Fault{FailAll: true})
		defer d.Targets[0].SetFault(target.FaultNone)
		defer d.Workers[0].SetFault(worker.Fault{})
	}
	began := time.Now()
	jobs := load.NewJobClient(d.CallerURLs())
	batch := load.JobClass{Name: classBatch, Rate: 4, Group: jobhttp.Group{Count: 10, Processors: 1, MemoryMB: 100, RunTimeMS: 300}}
	go jobs.Run(ctx, batch, part, r.options.Seed)
	st := stream{id: fmt.Sprintf("%s-%d", arm, repetition), classes: []load.Class{
		s.class(classWrite, s.capacity()/8, time.Second, 1), s.class(classRead, s.capacity()/8, time.Second, 3),
	}}
	results, err := r.send(ctx, part, st)
	if err != nil {
		return err
	}
	r.result.addLoad(arm, repetition, part, st.classes, results[0], s.capacity())
	r.holeFigures(arm, repetition, began, 1/float64(s.targets))
	return nil
}

// holeFigures adds what target 0 and worker 0 got. fair is the part of the runs that each target would get.
func (r *runner) holeFigures(arm string, repetition int, began time.Time, fair float64) {
	total, bad := make(map[int]int), make(map[int]int)
	runs, lost, last := 0, 0, 0
	for _, e := range r.deployment.Recorder.Events() {
		if e.Kind != history.RunStarted || e.At.Before(began) {
			continue
		}
		last = int(e.At.Sub(began) / bucket)
		total[last]++
		runs++
		if e.Target == "target-000" {
			bad[last]++
			lost++
		}
	}
	// Little is under a tenth of the fair part.
	until := 0
	for at := 0; at <= last; at++ {
		if float64(bad[at]) >= fair/10*float64(total[at]) && total[at] > 0 {
			until = at + 1
		}
	}
	r.result.figure(arm, repetition, "part of the runs on target 0", float64(lost)/float64(max(1, runs)), "")
	r.result.figure(arm, repetition, "time until target 0 got under a tenth of a fair part for good", float64(until)*bucket.Seconds(), "s")
	failed, tasks := 0, 0
	var lastStart time.Duration
	for _, e := range r.deployment.Executions.Executions() {
		if e.StartedAt.Before(began) {
			continue
		}
		tasks++
		if e.Worker == "worker-000" {
			lastStart = e.StartedAt.Sub(began)
		}
		if e.Stopped && e.End == lifecycle.EndFailed {
			failed++
		}
	}
	r.result.figure(arm, repetition, "part of the task attempts that failed", float64(failed)/float64(max(1, tasks)), "")
	r.result.figure(arm, repetition, "last start at worker 0", lastStart.Seconds(), "s")
}
