package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// runJobs submits the jobs of every class for the duration.
func runJobs(ctx context.Context, jobs *load.JobClient, classes []load.JobClass, duration time.Duration) {
	var wg sync.WaitGroup
	for i, c := range classes {
		wg.Go(func() { jobs.Run(ctx, c, duration, uint64(i)) })
	}
	wg.Wait()
}

// taskSummary is what ran of the jobs of one class.
type taskSummary struct {
	class                             string
	jobs, refused, unknown            int
	tasks, started, done, evictions   int
	startWait                         []time.Duration
	workDone                          time.Duration
	failed, lapsed, stillRunningTasks int
}

// summarizeTasks joins the accepted jobs with what the workers recorded.
func summarizeTasks(d *deployment.Deployment, jobs *load.JobClient, classes []load.JobClass) []*taskSummary {
	byClass := make(map[string]*taskSummary)
	var out []*taskSummary
	for _, c := range classes {
		s := &taskSummary{class: c.Name}
		s.refused, s.unknown = jobs.FailureCounts(c.Name)
		byClass[c.Name] = s
		out = append(out, s)
	}
	byJob := make(map[string]load.SubmittedJob)
	for _, j := range jobs.AcceptedJobs() {
		byJob[j.ID] = j
		byClass[j.Class].jobs++
		byClass[j.Class].tasks += j.Tasks
	}
	seen := make(map[string]bool)
	for _, e := range d.Executions.Executions() {
		j, ok := byJob[e.Task.Job.String()]
		if !ok {
			continue
		}
		s := byClass[j.Class]
		if !seen[e.Task.String()] {
			seen[e.Task.String()] = true
			s.started++
			s.startWait = append(s.startWait, e.StartedAt.Sub(j.SubmittedAt))
		}
		s.count(e)
	}
	return out
}

func (s *taskSummary) count(e worker.Execution) {
	if !e.Stopped {
		s.stillRunningTasks++
		return
	}
	s.workDone += e.StoppedAt.Sub(e.StartedAt)
	switch e.End {
	case lifecycle.EndDone:
		s.done++
	case lifecycle.EndEvicted:
		s.evictions++
	case lifecycle.EndFailed:
		s.failed++
	case lifecycle.EndLapsed:
		s.lapsed++
	default:
	}
}

func (s *taskSummary) wait(q float64) time.Duration {
	if len(s.startWait) == 0 {
		return 0
	}
	slices.Sort(s.startWait)
	return s.startWait[min(len(s.startWait)-1, int(q*float64(len(s.startWait))))]
}

func printTasks(summaries []*taskSummary, d *deployment.Deployment) {
	fmt.Printf("\n%-14s %6s %8s %8s %7s %8s %7s %8s %7s %11s %11s\n", "job class", "jobs", "refused", "unknown", "tasks", "started", "done", "evicted", "failed", "start p50", "start p99")
	for _, s := range summaries {
		fmt.Printf("%-14s %6d %8d %8d %7d %8d %7d %8d %7d %11s %11s\n", s.class, s.jobs, s.refused, s.unknown, s.tasks, s.started, s.done, s.evictions, s.failed,
			s.wait(0.5).Round(time.Millisecond), s.wait(0.99).Round(time.Millisecond))
	}
	var cpu float64
	for _, p := range d.Executions.Peaks() {
		cpu = max(cpu, float64(p.Used.MilliCPU)/float64(max(1, p.Capacity.MilliCPU)))
	}
	fmt.Printf("\nlargest part of the processors of one worker in use: %.0f%%\n", cpu*100)
	if over := d.OverloadedWorkers(); len(over) > 0 {
		fmt.Println("P1 broken, workers over capacity:\n  " + strings.Join(over, "\n  "))
	}
}
