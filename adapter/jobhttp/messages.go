package jobhttp

import (
	"math"
	"strconv"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/httpverdict"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Name  string `json:"name,omitempty"`
	Class string `json:"class"`
	// ClientNumber is the caller's own number for the job, 1 to 16 hexadecimal digits. It leads to the same job at every host.
	ClientNumber string `json:"number,omitempty"`
	// Pool names the pool of workers that may run the job.
	Pool string `json:"pool,omitempty"`
	// FailFast ends the job with the first task that fails for good.
	FailFast bool `json:"fail_fast,omitempty"`
	// Stretch and GraceMS give the objective: Stretch times the longest chain of run times, and GraceMS more.
	Stretch float64 `json:"stretch,omitempty"`
	GraceMS int64   `json:"grace_ms,omitempty"`
	Groups  []Group `json:"groups"`
}

// Group describes equal tasks.
type Group struct {
	Count int `json:"count"`
	// Processors may be a fraction, down to a thousandth.
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators,omitempty"`
	RunTimeMS    int64   `json:"run_time_ms,omitempty"`
	Command      string  `json:"command,omitempty"`
	// After lists earlier groups, counted from 0, whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Lasting tasks run until the job is cancelled; Volatile ones save no progress.
	Lasting  bool `json:"lasting,omitempty"`
	Volatile bool `json:"volatile,omitempty"`
	// Label is a label that the worker must have, Rack the preferred rack, MaxPerWorker the most tasks on one worker.
	Label        string `json:"label,omitempty"`
	Rack         string `json:"rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"`
	// TailTargetMS is what the tail of the response times of tasks that serve must stay below. Filler tasks use the
	// processors that others leave, and are slowed down where a tail comes near its target.
	TailTargetMS int64 `json:"tail_target_ms,omitempty"`
	Filler       bool  `json:"filler,omitempty"`
	// Image names what the tasks run; tasks of one image disturb others alike.
	Image string `json:"image,omitempty"`
}

// SubmitResult is the answer to an accepted submission.
type SubmitResult struct {
	Job string `json:"job"`
}

// Failure is the body of every answer that is not a success.
type Failure = httpverdict.Problem

// Job is a job as callers see it.
type Job struct {
	Job        string         `json:"job"`
	Name       string         `json:"name,omitempty"`
	Class      string         `json:"class"`
	Tenant     string         `json:"tenant,omitempty"`
	State      string         `json:"state"`
	Counts     map[string]int `json:"counts"`
	AcceptedAt time.Time      `json:"accepted_at"`
	FinishedAt *time.Time     `json:"finished_at,omitempty"`
	// Verdict is set once the state is final.
	Verdict string  `json:"verdict,omitempty"`
	Version uint64  `json:"version"`
	Groups  []Group `json:"groups,omitempty"`
	Tasks   []Task  `json:"tasks,omitempty"`
}

// Task is a task as callers see it.
type Task struct {
	Task      string `json:"task"`
	State     string `json:"state"`
	Attempts  int    `json:"attempts"`
	Worker    string `json:"worker,omitempty"`
	Verdict   string `json:"verdict,omitempty"`
	Evictions int    `json:"evictions,omitempty"`
	Failures  int    `json:"failures,omitempty"`
	Reason    string `json:"why,omitempty"`
}

// Page is one page of a list.
type Page struct {
	Jobs []Job `json:"jobs"`
	// Next is passed as "after" to get the next page; empty on the last page.
	Next string `json:"next,omitempty"`
	// UnavailableCells lists the cells that could not be asked; their jobs are missing from the page.
	UnavailableCells []uint32 `json:"unavailable_cells,omitempty"`
}

const (
	milli = 1000
	// The largest amounts are far above any worker, and keep sums over a job in range.
	maxProcessors = 1 << 20
	maxAmount     = 1 << 40
)

// inRange reports whether milliseconds are a duration of at least 0.
func inRange(ms int64) bool {
	return ms >= 0 && ms <= int64(math.MaxInt64/time.Millisecond)
}

func (s Submission) spec(token string) (lifecycle.JobSpec, error) {
	spec := lifecycle.JobSpec{
		Name: s.Name, Class: ident.ClassName(s.Class), ClientToken: token, Pool: s.Pool, FailFast: s.FailFast,
		Stretch: s.Stretch, Grace: time.Duration(s.GraceMS) * time.Millisecond,
	}
	if !inRange(s.GraceMS) {
		return spec, invalid("grace_ms is out of range")
	}
	if s.ClientNumber != "" {
		n, err := strconv.ParseUint(s.ClientNumber, 16, 64)
		if err != nil || n == 0 {
			return spec, invalid("number %q: want 1 to 16 hexadecimal digits, not all 0", s.ClientNumber)
		}
		spec.ClientNumber = n
	}
	for i, g := range s.Groups {
		if math.IsNaN(g.Processors) || g.Processors < 0 || g.Processors > maxProcessors {
			return spec, invalid("group %d: processors: want 0 to %d", i, maxProcessors)
		}
		if g.MemoryMB > maxAmount || g.Accelerators > maxAmount {
			return spec, invalid("group %d: amounts: want at most %d", i, int64(maxAmount))
		}
		if !inRange(g.TailTargetMS) {
			return spec, invalid("group %d: tail_target_ms is out of range", i)
		}
		if !inRange(g.RunTimeMS) {
			return spec, invalid("group %d: run_time_ms is out of range", i)
		}
		spec.Groups = append(spec.Groups, lifecycle.TaskGroup{
			Count: g.Count,
			Need: resource.Vector{
				MilliCPU: int64(math.Ceil(g.Processors * milli)), MemoryMB: g.MemoryMB, Accelerators: g.Accelerators,
			},
			RunTime:  time.Duration(g.RunTimeMS) * time.Millisecond,
			Command:  g.Command,
			After:    g.After,
			Lasting:  g.Lasting,
			Volatile: g.Volatile,
			Constraints: placement.Constraints{
				Label: g.Label, Rack: ident.Rack(g.Rack), MaxPerWorker: g.MaxPerWorker, Serving: g.TailTargetMS > 0,
				Filler: g.Filler, Image: g.Image,
			},
			TailTarget: time.Duration(g.TailTargetMS) * time.Millisecond,
		})
	}
	return spec, spec.Validate()
}

func jobOf(v lifecycle.JobView) Job {
	j := Job{
		Job: v.Job.String(), Name: v.Spec.Name, Class: string(v.Spec.Class), Tenant: string(v.Spec.Tenant),
		State: v.State.String(), Counts: make(map[string]int), AcceptedAt: v.AcceptedAt.UTC(), Version: v.Version,
	}
	for s, n := range v.Counts {
		j.Counts[s.String()] = n
	}
	if v.State.Final() {
		finished := v.FinishedAt.UTC()
		j.FinishedAt = &finished
		j.Verdict = v.Verdict.String()
	}
	for _, g := range v.Spec.Groups {
		j.Groups = append(j.Groups, Group{
			Count: g.Count, Processors: float64(g.Need.MilliCPU) / milli, MemoryMB: g.Need.MemoryMB,
			Accelerators: g.Need.Accelerators, RunTimeMS: g.RunTime.Milliseconds(), Command: g.Command,
			After: g.After, Lasting: g.Lasting, Volatile: g.Volatile,
			Label: g.Constraints.Label, Rack: string(g.Constraints.Rack), MaxPerWorker: g.Constraints.MaxPerWorker,
			TailTargetMS: g.TailTarget.Milliseconds(), Filler: g.Constraints.Filler,
			Image: g.Constraints.Image,
		})
	}
	for _, t := range v.Tasks {
		j.Tasks = append(j.Tasks, taskOf(t))
	}
	return j
}

func taskOf(t lifecycle.TaskView) Task {
	out := Task{
		Task: t.Task.String(), State: t.State.String(), Attempts: t.Attempts, Worker: string(t.Worker),
		Evictions: t.Evictions, Failures: t.Failures, Reason: t.Reason,
	}
	if t.State.Final() {
		out.Verdict = t.Verdict.String()
	}
	return out
}
