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
	s := r.deploymentSize(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	healthyPhaseDuration := r.armDuration(storeOutageDuration / 2)
	for _, phase := range []struct {
		arm      string
		fault    kv.Fault
		duration time.Duration
	}{{"before", kv.Fault{}, healthyPhaseDuration}, {"during", kv.Fault{Down: true}, 2 * healthyPhaseDuration}, {"after", kv.Fault{}, healthyPhaseDuration}} {
		for _, h := range r.deployment.Hosts {
			h.Session.SetFault(phase.fault)
		}
		st := stream{runID: phase.arm, classes: []load.Class{
			s.loadClass(classWrite, s.capacity()/8, time.Second, 3), s.loadClass(classRead, s.capacity()/8, time.Second, 3),
		}}
		results, err := r.sendStreams(ctx, phase.duration, st)
		if err != nil {
			return err
		}
		r.result.addLoadRows(phase.arm, 1, phase.duration, st.classes, results[0], s.capacity())
	}
	for _, arm := range []string{"during", "after"} {
		for _, class := range []string{classWrite, classRead} {
			r.result.addRatio("answered", class, arm, "before", answeredPerSecond)
			r.result.addRatio("p99", class, arm, "before", p99Milliseconds)
		}
	}
	r.result.Plots = append(r.result.Plots, r.verdictTimeline("store down in the middle half"))
	return nil
}

// blackHole makes one target and one worker fail everything they get. The baseline has the same load and no faults.
func blackHole(ctx context.Context, r *runner) error {
	s := r.deploymentSize(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	armDuration := r.armDuration(7 * time.Second)
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.hasTimeFor(repetition-1, 2*armDuration+5*time.Second) {
			break
		}
		for _, arm := range []string{"good", "black hole"} {
			if err := r.runBlackHoleArm(ctx, s, arm, repetition, armDuration); err != nil {
				return err
			}
		}
	}
	for _, class := range []string{classWrite, classRead} {
		r.result.addRatio("answered", class, "black hole", "good", answeredPerSecond)
		r.result.addRatio("p99", class, "black hole", "good", p99Milliseconds)
	}
	r.addNote("a call that gets status 500 from a target counts as answered; the part of the runs on target 0 shows these calls")
	return nil
}

func (r *runner) runBlackHoleArm(ctx context.Context, s deploymentSize, arm string, repetition int, armDuration time.Duration) error {
	d := r.deployment
	if arm != "good" {
		d.Targets[0].SetFault(target.FaultFail)
		d.Workers[0].SetFault(worker.Fault{FailAll: true})
		defer d.Targets[0].SetFault(target.FaultNone)
		defer d.Workers[0].SetFault(worker.Fault{})
	}
	startedAt := time.Now()
	jobs := load.NewJobClient(d.CallerURLs())
	batch := load.JobClass{Name: classBatch, Rate: 4, Group: jobhttp.Group{Count: 10, Processors: 1, MemoryMB: 100, RunTimeMS: 300}}
	go jobs.Run(ctx, batch, armDuration, r.options.Seed)
	st := stream{runID: fmt.Sprintf("%s-%d", arm, repetition), classes: []load.Class{
		s.loadClass(classWrite, s.capacity()/8, time.Second, 1), s.loadClass(classRead, s.capacity()/8, time.Second, 3),
	}}
	results, err := r.sendStreams(ctx, armDuration, st)
	if err != nil {
		return err
	}
	r.result.addLoadRows(arm, repetition, armDuration, st.classes, results[0], s.capacity())
	r.addBlackHoleFigures(arm, repetition, startedAt, 1/float64(s.targets))
	return nil
}

// addBlackHoleFigures adds the runs on target 0 and the task attempts on worker 0 since startedAt. fairShare is the
// share of the runs that each target gets if they are spread evenly.
func (r *runner) addBlackHoleFigures(arm string, repetition int, startedAt time.Time, fairShare float64) {
	runsByBucket, faultyRunsByBucket := make(map[int]int), make(map[int]int)
	runs, faultyRuns, lastBucket := 0, 0, 0
	for _, e := range r.deployment.Recorder.Events() {
		if e.Kind != history.RunStarted || e.At.Before(startedAt) {
			continue
		}
		lastBucket = int(e.At.Sub(startedAt) / bucketDuration)
		runsByBucket[lastBucket]++
		runs++
		if e.Target == "target-000" {
			faultyRunsByBucket[lastBucket]++
			faultyRuns++
		}
	}
	// endBucket follows the last bucket in which target 0 got a tenth of its fair share or more.
	endBucket := 0
	for bucket := 0; bucket <= lastBucket; bucket++ {
		if float64(faultyRunsByBucket[bucket]) >= fairShare/10*float64(runsByBucket[bucket]) && runsByBucket[bucket] > 0 {
			endBucket = bucket + 1
		}
	}
	r.result.addFigure(arm, repetition, "part of the runs on target 0", float64(faultyRuns)/float64(max(1, runs)), "")
	r.result.addFigure(arm, repetition, "time until target 0 got under a tenth of a fair part for good", float64(endBucket)*bucketDuration.Seconds(), "s")
	failedAttempts, attempts := 0, 0
	var lastStart time.Duration
	for _, e := range r.deployment.Executions.Executions() {
		if e.StartedAt.Before(startedAt) {
			continue
		}
		attempts++
		if e.Worker == "worker-000" {
			lastStart = e.StartedAt.Sub(startedAt)
		}
		if e.Stopped && e.End == lifecycle.EndFailed {
			failedAttempts++
		}
	}
	r.result.addFigure(arm, repetition, "part of the task attempts that failed", float64(failedAttempts)/float64(max(1, attempts)), "")
	r.result.addFigure(arm, repetition, "last start at worker 0", lastStart.Seconds(), "s")
}
