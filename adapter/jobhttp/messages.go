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
	"github.com/bulrushrelay/bulrushrelay/internal/jsonlist"
)

// Submission is the body of POST /v1/jobs.
type Submission struct {
	Name  string `json:"name,omitempty"`
	Class string `json:"class"`
	// ClientNumber is a number that the caller assigns to the job, as 1 to 16 hexadecimal digits. Every host maps it
	// to the same job.
	ClientNumber string `json:"number,omitempty"`
	// Pool names the pool of workers that may run the job.
	Pool string `json:"pool,omitempty"`
	// FailFast ends the job when a task fails permanently.
	FailFast bool `json:"fail_fast,omitempty"`
	// Stretch and GraceMS define the objective for the duration of the job: Stretch times the longest chain of run
	// times, plus GraceMS.
	Stretch float64 `json:"stretch,omitempty"`
	GraceMS int64   `json:"grace_ms,omitempty"`
	Groups  Groups  `json:"groups"`
}

// Groups are the task groups of a job, at most as many as a job may have.
type Groups []Group

// UnmarshalJSON implements json.Unmarshaler.
func (g *Groups) UnmarshalJSON(data []byte) (err error) {
	*g, err = jsonlist.Decode[Group](data, lifecycle.MaxGroupsPerJob, true)
	return err
}

// Group describes a group of identical tasks.
type Group struct {
	Count int `json:"count"`
	// Processors may be fractional, in thousandths of a processor.
	Processors   float64 `json:"processors"`
	MemoryMB     int64   `json:"memory_mb"`
	Accelerators int64   `json:"accelerators,omitempty"`
	RunTimeMS    int64   `json:"run_time_ms,omitempty"`
	Command      string  `json:"command,omitempty"`
	// After lists the indexes, from 0, of earlier groups whose tasks must all be done first.
	After []int `json:"after,omitempty"`
	// Lasting tasks run until the job is cancelled. Volatile tasks save no checkpoints.
	Lasting  bool `json:"lasting,omitempty"`
	Volatile bool `json:"volatile,omitempty"`
	// Label is a label that the worker must have, Rack the preferred rack, and MaxPerWorker the maximum number of the
	// group's tasks on one worker.
	Label        string `json:"label,omitempty"`
	Rack         string `json:"rack,omitempty"`
	MaxPerWorker int    `json:"max_per_worker,omitempty"`
	// TailTargetMS is the upper bound for the tail latency of serving tasks. Filler tasks use processors that other
	// tasks leave idle, and are throttled on a worker where a tail latency approaches its target.
	TailTargetMS int64 `json:"tail_target_ms,omitempty"`
	Filler       bool  `json:"filler,omitempty"`
	// Image names what the tasks run. Tasks of the same image are assumed to interfere with others in the same way.
	Image string `json:"image,omitempty"`
	// DisruptionBudget is how many lasting tasks the scheduler may make unavailable at the same time by its own orders.
	// Speculative allows copies of a task to run in parallel.
	DisruptionBudget int  `json:"disruption_budget,omitempty"`
	Speculative      bool `json:"speculative,omitempty"`
}

// SubmitResult is the answer to an accepted submission. Job is the id of the job.
type SubmitResult struct {
	Job string `json:"job"`
}

// Failure is the body of every error answer.
type Failure = httpverdict.Problem

// Job is the state of a job in an answer.
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

// Task is the state of a task in an answer.
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
	// Next is the value of the parameter "after" for the next page. It is empty on the last page.
	Next string `json:"next,omitempty"`
	// UnavailableCells lists the cells that did not answer. Their jobs are missing from the page.
	UnavailableCells []uint32 `json:"unavailable_cells,omitempty"`
}

const (
	milliCPUPerProcessor = 1000
	// The largest amounts of a task are far above those of any worker, and small enough that sums over a job do not
	// overflow.
	maxProcessors     = 1 << 20
	maxResourceAmount = 1 << 40
)

// validMilliseconds reports whether ms is not negative and fits into a time.Duration.
func validMilliseconds(ms int64) bool {
	return ms >= 0 && ms <= int64(math.MaxInt64/time.Millisecond)
}

// toSpec validates the submission and returns its job specification.
func (s Submission) toSpec(token string) (lifecycle.JobSpec, error) {
	spec := lifecycle.JobSpec{
		Name: s.Name, Class: ident.ClassName(s.Class), ClientToken: token, Pool: s.Pool, FailFast: s.FailFast,
		Stretch: s.Stretch, Grace: time.Duration(s.GraceMS) * time.Millisecond,
	}
	if !validMilliseconds(s.GraceMS) {
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
		if g.MemoryMB > maxResourceAmount || g.Accelerators > maxResourceAmount {
			return spec, invalid("group %d: memory_mb and accelerators: want at most %d", i, int64(maxResourceAmount))
		}
		if !validMilliseconds(g.TailTargetMS) {
			return spec, invalid("group %d: tail_target_ms is out of range", i)
		}
		if !validMilliseconds(g.RunTimeMS) {
			return spec, invalid("group %d: run_time_ms is out of range", i)
		}
		spec.Groups = append(spec.Groups, lifecycle.TaskGroup{
			Count: g.Count,
			Need: resource.Vector{
				MilliCPU: int64(math.Ceil(g.Processors * milliCPUPerProcessor)), MemoryMB: g.MemoryMB, Accelerators: g.Accelerators,
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
			TailTarget:       time.Duration(g.TailTargetMS) * time.Millisecond,
			DisruptionBudget: g.DisruptionBudget,
			Speculative:      g.Speculative,
		})
	}
	return spec, spec.Validate()
}

func jobFromView(v lifecycle.JobView) Job {
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
			Count: g.Count, Processors: float64(g.Need.MilliCPU) / milliCPUPerProcessor, MemoryMB: g.Need.MemoryMB,
			Accelerators: g.Need.Accelerators, RunTimeMS: g.RunTime.Milliseconds(), Command: g.Command,
			After: g.After, Lasting: g.Lasting, Volatile: g.Volatile,
			Label: g.Constraints.Label, Rack: string(g.Constraints.Rack), MaxPerWorker: g.Constraints.MaxPerWorker,
			TailTargetMS: g.TailTarget.Milliseconds(), Filler: g.Constraints.Filler,
			Image:            g.Constraints.Image,
			DisruptionBudget: g.DisruptionBudget, Speculative: g.Speculative,
		})
	}
	for _, t := range v.Tasks {
		j.Tasks = append(j.Tasks, taskFromView(t))
	}
	return j
}

func taskFromView(t lifecycle.TaskView) Task {
	out := Task{
		Task: t.Task.String(), State: t.State.String(), Attempts: t.Attempts, Worker: string(t.Worker),
		Evictions: t.Evictions, Failures: t.Failures, Reason: t.Reason,
	}
	if t.State.Final() {
		out.Verdict = t.Verdict.String()
	}
	return out
}
