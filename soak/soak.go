package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/action"
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

	// stepTimeout bounds an action that does not wait for the deployment.
	stepTimeout = 20 * time.Second
	// settleTimeout bounds the time after the last failure until all hosts are ready and all accepted jobs are final.
	settleTimeout = 3 * time.Minute
	pollInterval  = 100 * time.Millisecond
	// inForce is the bound of the target size: a host that was cut off or frozen learns a table later than in a quiet
	// deployment of today's size.
	inForce = 11 * time.Second
	// untimed is longer than any run.
	untimed = 24 * time.Hour
)

// Options describe a run.
type Options struct {
	Deployment deployment.Options
	// Duration is the time of the load and of the schedule; the run ends a little later.
	Duration time.Duration
	Seed     uint64
	// Schedule replaces the one of the seed.
	Schedule []Step
	// Untimed leaves the bounds in time of P7 and P9 out, for runs whose verdict must not depend on the speed of the
	// machine.
	Untimed bool
}

// Result is what happened in a run.
type Result struct {
	Schedule    []Step
	Events      []history.Event
	LoadResults []load.Result
	JobCounts   map[string]int
	Violations  []string
	// Notes tell of actions that did not work as asked, which a combination of failures allows.
	Notes []string
	// MovesToWeak and MovesToStrong count the changes of owner from a strong host to a weak one and back.
	MovesToWeak, MovesToStrong int
}

// runner is the state of one run.
type runner struct {
	options Options
	actions *action.Actions
	result  *Result
	wg      sync.WaitGroup

	began time.Time

	// mu guards the fields below and the result, which actions in the background write.
	mu     sync.Mutex
	weight int
	// seen are the violations that the checks during the run have found.
	seen map[string]bool
}

// Run runs one schedule. A broken guarantee is in the result, not in the error.
func Run(ctx context.Context, o Options) (*Result, error) {
	d, err := deployment.Start(ctx, o.Deployment)
	if err != nil {
		return nil, err
	}
	defer d.Stop()
	r := &runner{options: o, actions: action.New(d), result: &Result{Schedule: o.Schedule}, seen: make(map[string]bool), weight: 1}
	if r.result.Schedule == nil {
		r.result.Schedule = Generate(o.Seed, o.Duration, r.size())
	}
	if _, err := d.SetTable(ctx, r.table()); err != nil {
		return nil, fmt.Errorf("set the table: %w", err)
	}
	if err := d.AwaitReady(ctx); err != nil {
		return nil, err
	}
	r.began = time.Now()
	if err := r.sendLoad(ctx); err != nil {
		return nil, err
	}
	watch, stopWatching := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	watchers.Go(func() { r.checkWhileRunning(watch) })
	watchers.Go(func() { r.watchOwners(watch) })
	for _, s := range r.result.Schedule {
		if sleep.For(ctx, s.At-time.Since(r.began)) != nil {
			break
		}
		r.perform(ctx, s)
		r.lookForCrashes()
	}
	r.wg.Wait()
	r.settle(ctx)
	stopWatching()
	watchers.Wait()
	r.check()
	return r.result, ctx.Err()
}

func (r *runner) size() Size {
	s := Size{Processes: true, DataCentres: r.options.Deployment.DataCentres, Targets: r.options.Deployment.Targets, Workers: r.options.Deployment.Workers}
	for _, h := range r.actions.Deployment.Hosts {
		s.Hosts = append(s.Hosts, h.ID())
		if r.strong(h) {
			s.Strong = append(s.Strong, h.ID())
		}
	}
	return s
}

// table returns a table that differs from all before.
func (r *runner) table() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.weight = r.weight%1000 + 1
	return fmt.Appendf(nil, `name,kind,idempotent,tenant,weight,rate (1/s),concurrency,queue,deadline (ms),processors (processors),memory (MB),accelerators,retries,evictions
write,latency-critical,no,a,40,0,0,200,1000,0,0,0,2,0
read,latency-critical,yes,a,40,0,0,200,1000,0,0,0,2,0
urgent,latency-critical,yes,b,60,0,0,200,1500,0,0,0,3,0
least,latency-critical,yes,c,%d,0,0,200,3000,0,0,0,2,0
batch,batch,yes,c,10,0,0,0,0,0,0,0,100,5
`, r.weight)
}

func (r *runner) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Notes = append(r.result.Notes, fmt.Sprintf(format, args...))
}

func (r *runner) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Violations = append(r.result.Violations, fmt.Sprintf(format, args...))
}

func (r *runner) perform(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	var err error
	switch s.Words[0] {
	case "replace":
		err = r.replace(s.Words[1:])
	case "flood":
		err = r.flood(s.Words[1:], s.At)
	case "race":
		err = r.race(s.Words[1:])
	case "rolling":
		err = r.rolling(s.Words[1:])
	case "churn":
		err = r.churn(s.Words[1:])
	case "job":
		// Asking for many jobs takes long while hosts are away, and must not hold up the steps after it.
		r.wg.Go(func() { r.act(context.Background(), s) })
	default:
		r.act(ctx, s)
	}
	if err != nil {
		r.note("%s: %v", s, err)
	}
}

func (r *runner) act(ctx context.Context, s Step) {
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	defer cancel()
	if err := r.actions.Do(ctx, s.Words[0], s.Words[1:]...); err != nil {
		r.note("%s: %v", s, err)
	}
}

// settle waits until every host is ready and every accepted job is final.
func (r *runner) settle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	r.lookForCrashes()
	r.startAll()
	for _, h := range r.actions.Deployment.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			r.violation("after the last failure: %v", err)
		}
	}
	r.awaitStrongOwners(ctx)
	r.result.JobCounts = make(map[string]int)
	for _, j := range r.actions.Jobs.AcceptedJobs() {
		state, err := r.awaitJob(ctx, j.ID)
		r.result.JobCounts[j.Class+" "+state]++
		if state == "cancelled" {
			r.recordCancelled(j)
		}
		if err != nil {
			r.violation("accepted job %s of class %s is not finished: %v", j.ID, j.Class, err)
		}
	}
}

// recordCancelled records the tasks of a cancelled job, whose evicted tasks need not resume.
func (r *runner) recordCancelled(j load.SubmittedJob) {
	for i := range j.Tasks {
		r.actions.Deployment.Recorder.Add(history.Event{Kind: history.TaskCancelled, Task: fmt.Sprintf("%s.%d", j.ID, i)})
	}
}

func (r *runner) awaitJob(ctx context.Context, id string) (string, error) {
	last := "not read"
	for {
		job, err := r.actions.Jobs.JobState(ctx, id)
		if err == nil && slices.Contains([]string{"done", "failed", "cancelled"}, job.State) {
			return job.State, nil
		}
		if err == nil {
			last = fmt.Sprintf("%s %v", job.State, job.Counts)
		}
		if sleep.For(ctx, pollInterval) != nil {
			return "unfinished", errors.New(last)
		}
	}
}

func (r *runner) bounds(complete bool) history.Bounds {
	bounds := history.DefaultBounds()
	bounds.InForceDelay, bounds.RunComplete, bounds.WithOtherFailures = inForce, complete, true
	if r.options.Untimed {
		bounds.InForceDelay, bounds.LeavingDelay = untimed, untimed
	}
	return bounds
}

func (r *runner) check() {
	events, violations := action.Check(r.actions.Deployment, r.bounds(true))
	r.result.Events = events
	for _, v := range violations {
		r.violation("%s", v)
	}
}
