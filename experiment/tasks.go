package experiment

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
)

const (
	// urgentStartBound is the longest time from submission to start of an urgent task.
	urgentStartBound = 1500 * time.Millisecond
	processorsEach   = 8
	urgentJobRate    = 2
	longestWait      = 5 * time.Minute
)

// floodBatch fills the workers with batch tasks and measures how long urgent tasks wait. In the baseline the urgent
// class is declared batch, so that only its weight distinguishes it.
func floodBatch(ctx context.Context, r *runner) error {
	present := standardTable()
	baseline := change(present, classUrgent, func(c *row) { c.batch = true })
	part := r.part(7 * time.Second)
	arms := []struct {
		name  string
		table []row
	}{{"urgent", present}, {"declared batch", baseline}}
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.more(repetition-1, 2*(part+6*time.Second)) {
			break
		}
		for _, arm := range arms {
			if err := r.deploy(ctx, r.size(20*time.Millisecond), arm.table); err != nil {
				return err
			}
			if err := r.batchPart(ctx, arm.name, repetition, part); err != nil {
				return err
			}
		}
	}
	r.result.ratios("p99 of the wait for the start", classUrgent, "declared batch", "urgent", p99)
	r.result.ratios("tasks finished", classBatch, "urgent", "declared batch", func(row Row) float64 { return float64(row.TasksDone) })
	r.note("answered counts tasks that started; the part of the capacity counts throttled tasks with their full size")
	r.result.Plots = append(r.result.Plots, r.byArm("p99 of the wait for the start", "ms", p99))
	return nil
}

func (r *runner) batchPart(ctx context.Context, arm string, repetition int, part time.Duration) error {
	jobs := load.NewJobClient(r.deployment.CallerURLs())
	batch := load.JobClass{Name: classBatch, Group: jobhttp.Group{Count: 20, Processors: 2, MemoryMB: 1000, RunTimeMS: 2000}}
	urgent := load.JobClass{Name: classUrgent, Rate: urgentJobRate, Group: jobhttp.Group{Count: 2, Processors: 2, MemoryMB: 1000, RunTimeMS: 300}}
	// Each job of 20 tasks asks for five workers, so that the flood is 20 times what the workers hold.
	var wg sync.WaitGroup
	for range floodFactor * r.options.Workers / 5 {
		wg.Go(func() { jobs.Submit(ctx, batch) })
	}
	wg.Wait()
	if err := sleep.For(ctx, time.Second); err != nil {
		return err
	}
	began := time.Now()
	jobs.Run(ctx, urgent, part, r.options.Seed)
	// Tasks that come last get the bound to start in.
	if err := sleep.For(ctx, urgentStartBound); err != nil {
		return err
	}
	r.addTasks(arm, repetition, began, jobs, []load.JobClass{urgent, batch})
	return nil
}

// addTasks adds a row for each class of jobs. Work done counts from began on.
func (r *runner) addTasks(arm string, repetition int, began time.Time, jobs *load.JobClient, classes []load.JobClass) {
	now := time.Now()
	rows := make(map[string]*Row)
	capacity := float64(r.options.Workers*processorsEach) * now.Sub(began).Seconds()
	for _, c := range classes {
		row := &Row{Arm: arm, Rate: c.Rate, Repetition: repetition, Class: c.Name, Duration: now.Sub(began)}
		row.Latency = hdrhistogram.New(1, longestWait.Microseconds(), 3)
		refused, unknown := jobs.FailureCounts(c.Name)
		row.NotRun, row.Unknown = int64(refused*c.Group.Count), int64(unknown*c.Group.Count)
		row.Sent = row.NotRun + row.Unknown
		rows[c.Name] = row
	}
	byJob := make(map[string]load.SubmittedJob)
	for _, j := range jobs.AcceptedJobs() {
		byJob[j.ID] = j
		rows[j.Class].Sent += int64(j.Tasks)
	}
	seen := make(map[string]bool)
	for _, e := range r.deployment.Executions.Executions() {
		j, ok := byJob[e.Task.Job.String()]
		if !ok {
			continue
		}
		row := rows[j.Class]
		if !seen[e.Task.String()] {
			seen[e.Task.String()] = true
			row.Answered++
			_ = row.Latency.RecordValue(max(1, e.StartedAt.Sub(j.SubmittedAt).Microseconds()))
		}
		stop := now
		if e.Stopped {
			stop = e.StoppedAt
		}
		if stop.Before(began) {
			continue
		}
		row.Kept += stop.Sub(latest(e.StartedAt, began)).Seconds() * 2 / capacity
		switch {
		case e.Stopped && e.End == lifecycle.EndDone:
			row.TasksDone++
		case e.Stopped && e.End == lifecycle.EndEvicted:
			row.Evictions++
		default:
		}
	}
	for _, c := range classes {
		r.result.Rows = append(r.result.Rows, *rows[c.Name])
	}
	r.countLate(arm, repetition, *rows[classUrgent])
}

// countLate adds how many urgent tasks did not start within the bound, those that had not started at the end included.
func (r *runner) countLate(arm string, repetition int, urgent Row) {
	late := urgent.Sent - urgent.NotRun - urgent.Unknown - urgent.Answered
	for _, bar := range urgent.Latency.Distribution() {
		if bar.From > urgentStartBound.Microseconds() {
			late += bar.Count
		}
	}
	r.result.figure(arm, repetition, "urgent tasks not started within 1.5 s", float64(late), "tasks")
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
