package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

const (
	classWrite  = "write"
	classRead   = "read"
	classLeast  = "least"
	classUrgent = "urgent"
	classBatch  = "batch"
	// classLasting is the class of jobs whose tasks run until the end of the run.
	classLasting = "lasting"

	// stepTimeout bounds one action.
	stepTimeout = 20 * time.Second
	// recoveryTimeout bounds the time from the last failure until all hosts are ready and all accepted jobs have ended.
	recoveryTimeout = 3 * time.Minute
	pollInterval    = 100 * time.Millisecond
	// inForceBound bounds the time until an accepted table is in force on every host. It is the bound for the target
	// size of deployments, not that for today's size, because a host that was cut off or frozen learns of a table later
	// than a host in an undisturbed deployment.
	inForceBound = 11 * time.Second
	// noBound is a bound longer than any run.
	noBound = 24 * time.Hour
)

// Options are the settings of Run.
type Options struct {
	Deployment deployment.Options
	// Duration is the duration of the load and of the schedule. The run then waits until the deployment has recovered.
	Duration time.Duration
	Seed     uint64
	// Schedule is the schedule to run; nil for the one that Seed determines.
	Schedule []Step
	// WithoutTimeBounds omits the time bounds of the guarantees P7 and P9, for runs whose result must not depend on the
	// speed of the machine.
	WithoutTimeBounds bool
}

// Result describes a run.
type Result struct {
	Schedule    []Step
	Events      []history.Event
	LoadResults []load.Result
	// JobCounts counts the accepted jobs by class and state, such as "batch done".
	JobCounts  map[string]int
	Violations []string
	// Notes lists the actions that failed, which is allowed when failures are combined, and the violations found during
	// the run.
	Notes []string
	// MovesToWeak counts the changes of a cell's owner from a strong host to a weak one, MovesToStrong those back.
	MovesToWeak, MovesToStrong int
	// Restarts counts the attempts of lasting tasks that ended with the loss of their workers and whose restarts were
	// checked, and RestartsLeftOut those to which the promise does not apply. LongestRestart is the longest time from the loss
	// to the restart.
	Restarts, RestartsLeftOut int
	LongestRestart            time.Duration
}

// runner is the state of one run.
type runner struct {
	options Options
	actions *action.Actions
	// lasting submits the jobs of lasting tasks, which the schedule does not cancel.
	lasting    *load.JobClient
	result     *Result
	background sync.WaitGroup

	startedAt time.Time
	// evacuating orders the requests for evacuations. It guards no field.
	evacuating sync.Mutex

	// mu guards the fields below and the result, which background actions write.
	mu sync.Mutex
	// weight is the weight of one class in the latest table.
	weight int
	// seenViolations holds the messages of the violations that were found during the run.
	seenViolations map[string]bool
	// performed lists the steps with the times at which they were performed, and losses the lost workers.
	performed []performedStep
	losses    []workerLoss
	// lostWorkers maps the number of a worker in the schedule to the one that was lost in its place.
	lostWorkers map[int]int
	// holders holds the last known owner of each cell, and takeovers the changes.
	holders   map[ident.CellID]ident.Instance
	takeovers []takeover
}

// Run runs one schedule. Violated guarantees are reported in the result, not as an error.
func Run(ctx context.Context, o Options) (*Result, error) {
	d, err := deployment.Start(ctx, o.Deployment)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	r := &runner{options: o, actions: action.New(d), lasting: load.NewJobClient(d.CallerURLs()), result: &Result{Schedule: o.Schedule}, seenViolations: make(map[string]bool), holders: make(map[ident.CellID]ident.Instance), lostWorkers: make(map[int]int), weight: 1}
	if r.result.Schedule == nil {
		r.result.Schedule = Generate(o.Seed, o.Duration, r.topology())
	}
	if _, err := d.SetTable(ctx, r.nextTable()); err != nil {
		return nil, fmt.Errorf("set the table: %w", err)
	}
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	r.startedAt = time.Now()
	if err := r.startLoad(ctx); err != nil {
		return nil, err
	}
	watchCtx, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.checkPeriodically(watchCtx) })
	watchers.Go(func() { r.watchOwners(watchCtx) })
	for _, s := range r.result.Schedule {
		if sleep.For(ctx, s.At-time.Since(r.startedAt)) != nil {
			break
		}
		r.performStep(ctx, s)
		r.restartCrashedHosts()
	}
	r.background.Wait()
	r.awaitRecovery(ctx)
	stopWatching()
	watchers.Wait()
	r.checkCompleteHistory()
	return r.result, ctx.Err()
}

func (r *runner) topology() Topology {
	t := Topology{SeparateProcesses: true, DataCentres: r.options.Deployment.DataCentres, Targets: r.options.Deployment.Targets, Workers: r.options.Deployment.Workers}
	for _, h := range r.actions.Deployment.Hosts {
		t.Hosts = append(t.Hosts, h.ID())
		if r.isStrong(h) {
			t.StrongHosts = append(t.StrongHosts, h.ID())
		}
	}
	return t
}

// nextTable returns a table that differs from the previous 999.
func (r *runner) nextTable() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weight = r.weight%1000 + 1
	return fmt.Appendf(nil, `name,kind,idempotent,tenant,weight,rate (1/s),concurrency,queue,deadline (ms),processors (processors),memory (MB),accelerators,retries,evictions
write,latency-critical,no,a,40,0,0,200,1000,0,0,0,2,0
read,latency-critical,yes,a,40,0,0,200,1000,0,0,0,2,0
urgent,latency-critical,yes,b,60,0,0,200,1500,0,0,0,3,0
least,latency-critical,yes,c,%d,0,0,200,3000,0,0,0,2,0
batch,batch,yes,c,10,0,0,0,0,0,0,0,100,5
lasting,batch,yes,c,10,0,0,0,0,0,0,0,100,5
`, r.weight)
}

func (r *runner) addNote(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Notes = append(r.result.Notes, fmt.Sprintf(format, args...))
}

func (r *runner) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *runner) performStep(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	r.notePerformed(s)
	var err error
	switch s.Action[0] {
	case "replace":
		err = r.startReplacement(s.Action[1:])
	case "flood":
		err = r.startFlood(s.Action[1:], s.At)
	case "race":
		err = r.startTableRace(s.Action[1:])
	case "rolling":
		err = r.startRollingRestart(s.Action[1:])
	case "churn":
		err = r.startTableChurn(s.Action[1:])
	case "lose":
		err = r.loseWorker(s.Action[1:])
	case "find":
		err = r.findWorker(s.Action[1:])
	case "kill-owner":
		err = r.killOwner(ctx, s.Action[1:])
	case "evacuation":
		// A request that is repeated until a host answers must not delay the next steps, nor overtake the one before it.
		r.background.Go(func() {
			r.evacuating.Lock()
			defer r.evacuating.Unlock()
			r.runAction(context.Background(), s)
		})
	case "job":
		// Requests for many jobs take long while hosts are down, and must not delay the next steps.
		r.background.Go(func() { r.runAction(context.Background(), s) })
	default:
		r.runAction(ctx, s)
	}
	if err != nil {
		r.addNote("%s: %v", s, err)
	}
}

func (r *runner) runAction(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := r.actions.Do(ctx, s.Action[0], s.Action[1:]...); err != nil {
		r.addNote("%s: %v", s, err)
	}
}

// awaitRecovery waits until every host is ready, strong hosts own all cells, and every accepted job has ended.
func (r *runner) awaitRecovery(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	r.restartCrashedHosts()
	r.startStoppedHosts()
	for _, h := range r.actions.Deployment.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			r.addViolation("after the last failure: %v", err)
		}
	}
	r.awaitStrongOwners(ctx)
	r.checkRestarts(ctx)
	r.cancelLastingJobs(ctx)
	r.result.JobCounts = make(map[string]int)
	for _, j := range slices.Concat(r.actions.Jobs.AcceptedJobs(), r.lasting.AcceptedJobs()) {
		state, err := r.awaitJob(ctx, j.ID)
		r.result.JobCounts[j.Class+" "+state]++
		if state == "cancelled" {
			r.recordCancelledTasks(j)
		}
		if err != nil {
			r.addViolation("accepted job %s of class %s is not finished: %v", j.ID, j.Class, err)
		}
	}
}

// recordCancelledTasks records the tasks of a cancelled job as cancelled, because its evicted tasks need not resume.
func (r *runner) recordCancelledTasks(j load.SubmittedJob) {
	for i := range j.Tasks {
		r.actions.Deployment.Recorder.Add(history.Event{Kind: history.TaskCancelled, Task: fmt.Sprintf("%s.%d", j.ID, i)})
	}
}

func (r *runner) awaitJob(ctx context.Context, id string) (string, error) {
	lastState := "state not read"
	for {
		job, err := r.actions.Jobs.JobState(ctx, id)
		if err == nil && slices.Contains([]string{"done", "failed", "cancelled"}, job.State) {
			return job.State, nil
		}
		if err == nil {
			lastState = fmt.Sprintf("%s %v", job.State, job.Counts)
		}
		if sleep.For(ctx, pollInterval) != nil {
			return "unfinished", errors.New(lastState)
		}
	}
}

func (r *runner) bounds(runComplete bool) history.Bounds {
	bounds := history.DefaultBounds()
	bounds.InForceDelay, bounds.RunComplete, bounds.WithOtherFailures = inForceBound, runComplete, true
	if r.options.WithoutTimeBounds {
		bounds.InForceDelay, bounds.LeavingDelay = noBound, noBound
	}
	return bounds
}

func (r *runner) checkCompleteHistory() {
	events, violations := action.Check(r.actions.Deployment, r.bounds(true))
	r.result.Events = events
	for _, v := range violations {
		r.addViolation("%s", v)
	}
	// An owner without an undisturbed path to the store may learn of a request later than within the bound, so that such starts
	// are no violation by themselves.
	for _, late := range r.actions.Deployment.StartsUnderEvacuation() {
		r.addNote("start in a data centre under evacuation: %s", late)
	}
}
