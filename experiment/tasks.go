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
	// urgentStartBound is the longest allowed time from submission to start of an urgent task.
	urgentStartBound    = 1500 * time.Millisecond
	processorsPerWorker = 8
	urgentJobsPerSecond = 2
	// maxRecordedWait is the largest time from submission to start that the histogram holds.
	maxRecordedWait = 5 * time.Minute
)

// floodBatch fills the workers with batch tasks and measures how long urgent tasks wait. In the baseline the urgent
// class is declared a batch class, so that it differs from the other batch class only in its weight.
func floodBatch(ctx context.Context, r *runner) error {
	currentTable := standardTable()
	baselineTable := withChangedRow(currentTable, classUrgent, func(c *tableRow) { c.batch = true })
	armDuration := r.armDuration(7 * time.Second)
	arms := []struct {
		name  string
		table []tableRow
	}{{"urgent", currentTable}, {"declared batch", baselineTable}}
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if !r.hasTimeFor(repetition-1, 2*(armDuration+6*time.Second)) {
			break
		}
		for _, arm := range arms {
			if err := r.deploy(ctx, r.deploymentSize(20*time.Millisecond), arm.table); err != nil {
				return err
			}
			if err := r.runBatchArm(ctx, arm.name, repetition, armDuration); err != nil {
				return err
			}
		}
	}
	r.result.addRatio("p99 of the wait for the start", classUrgent, "declared batch", "urgent", p99Milliseconds)
	r.result.addRatio("tasks finished", classBatch, "urgent", "declared batch", func(row Row) float64 { return float64(row.TasksDone) })
	r.addNote("the column answered counts the tasks that started; part_of_capacity counts throttled tasks with their full size")
	r.result.Plots = append(r.result.Plots, r.plotByArm("p99 of the wait for the start", "ms", p99Milliseconds))
	return nil
}

func (r *runner) runBatchArm(ctx context.Context, arm string, repetition int, armDuration time.Duration) error {
	jobs := load.NewJobClient(r.deployment.CallerURLs())
	batch := load.JobClass{Name: classBatch, Group: jobhttp.Group{Count: 20, Processors: 2, MemoryMB: 1000, RunTimeMS: 2000}}
	urgent := load.JobClass{Name: classUrgent, Rate: urgentJobsPerSecond, Group: jobhttp.Group{Count: 2, Processors: 2, MemoryMB: 1000, RunTimeMS: 300}}
	// Each job of 20 tasks fills five workers, so that the flood is floodCapacityFactor times the capacity of the
	// workers.
	var wg sync.WaitGroup
	for range floodCapacityFactor * r.options.Workers / 5 {
		wg.Go(func() { jobs.Submit(ctx, batch) })
	}
	wg.Wait()
	if err := sleep.For(ctx, time.Second); err != nil {
		return err
	}
	startedAt := time.Now()
	jobs.Run(ctx, urgent, armDuration, r.options.Seed)
	// The last tasks get the full bound to start in.
	if err := sleep.For(ctx, urgentStartBound); err != nil {
		return err
	}
	r.addTaskRows(arm, repetition, startedAt, jobs, []load.JobClass{urgent, batch})
	return nil
}

// addTaskRows adds a row for each class of jobs. The use of the capacity, the finished tasks and the evictions count
// from startedAt on.
func (r *runner) addTaskRows(arm string, repetition int, startedAt time.Time, jobs *load.JobClient, classes []load.JobClass) {
	now := time.Now()
	rows := make(map[string]*Row)
	capacity := float64(r.options.Workers*processorsPerWorker) * now.Sub(startedAt).Seconds()
	for _, c := range classes {
		row := &Row{Arm: arm, Rate: c.Rate, Repetition: repetition, Class: c.Name, Duration: now.Sub(startedAt)}
		row.Latency = hdrhistogram.New(1, maxRecordedWait.Microseconds(), 3)
		refused, unknown := jobs.FailureCounts(c.Name)
		row.NotRun, row.Unknown = int64(refused*c.Group.Count), int64(unknown*c.Group.Count)
		row.Sent = row.NotRun + row.Unknown
		rows[c.Name] = row
	}
	jobsByID := make(map[string]load.SubmittedJob)
	for _, j := range jobs.AcceptedJobs() {
		jobsByID[j.ID] = j
		rows[j.Class].Sent += int64(j.Tasks)
	}
	started := make(map[string]bool)
	for _, e := range r.deployment.Executions.Executions() {
		j, ok := jobsByID[e.Task.Job.String()]
		if !ok {
			continue
		}
		row := rows[j.Class]
		if !started[e.Task.String()] {
			started[e.Task.String()] = true
			row.Answered++
			_ = row.Latency.RecordValue(max(1, e.StartedAt.Sub(j.SubmittedAt).Microseconds()))
		}
		end := now
		if e.Stopped {
			end = e.StoppedAt
		}
		if end.Before(startedAt) {
			continue
		}
		row.CapacityShare += end.Sub(latest(e.StartedAt, startedAt)).Seconds() * 2 / capacity
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
	r.addLateTasks(arm, repetition, *rows[classUrgent])
}

// addLateTasks adds the number of urgent tasks that did not start within the bound, including those that had not
// started by the end.
func (r *runner) addLateTasks(arm string, repetition int, urgent Row) {
	late := urgent.Sent - urgent.NotRun - urgent.Unknown - urgent.Answered
	for _, bar := range urgent.Latency.Distribution() {
		if bar.From > urgentStartBound.Microseconds() {
			late += bar.Count
		}
	}
	r.result.addFigure(arm, repetition, "urgent tasks not started within 1.5 s", float64(late), "tasks")
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
