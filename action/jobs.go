package action

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/load"
)

// job submits jobs, waits for them and cancels them. Its forms are job submit class=C count=N cpu=N time=D jobs=N
// command=S, job await STATE and job cancel.
func (a *Actions) job(ctx context.Context, args []string) error {
	if len(args) < 1 {
		return errors.New("want submit, await or cancel")
	}
	switch args[0] {
	case "submit":
		return a.submit(ctx, args[1:])
	case "await":
		if len(args) != 2 {
			return errors.New("want a state")
		}
		return a.await(ctx, args[1])
	case "cancel":
		return a.cancel(ctx)
	default:
		return fmt.Errorf("action %q: want submit, await or cancel", args[0])
	}
}

func (a *Actions) submit(ctx context.Context, args []string) error {
	values, err := ParseSettings(args, "class", "count", "cpu", "time", "jobs", "command")
	if err != nil {
		return err
	}
	count, errCount := NumberOr(values, "count", 4)
	cpu, errCPU := NumberOr(values, "cpu", 1)
	jobs, errJobs := NumberOr(values, "jobs", 1)
	runTime, errTime := time.ParseDuration(ValueOr(values, "time", "1s"))
	if err := errors.Join(errCount, errCPU, errJobs, errTime); err != nil {
		return err
	}
	before := len(a.Jobs.AcceptedJobs())
	refusedBefore, unknownBefore := a.Jobs.FailureCounts(values["class"])
	for range int(jobs) {
		a.Jobs.Submit(ctx, load.JobClass{Name: values["class"], Group: jobhttp.Group{
			Count: int(count), Processors: cpu, MemoryMB: 100, RunTimeMS: runTime.Milliseconds(), Command: values["command"],
		}})
	}
	if accepted := len(a.Jobs.AcceptedJobs()) - before; accepted < int(jobs) {
		refused, unknown := a.Jobs.FailureCounts(values["class"])
		return fmt.Errorf("%d of %d jobs accepted, %d refused, %d unknown: %s", accepted, int(jobs),
			refused-refusedBefore, unknown-unknownBefore, a.Jobs.LastError())
	}
	return nil
}

// await waits until every accepted job has been in the state.
func (a *Actions) await(ctx context.Context, state string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	lastStatus := ""
	for _, j := range a.Jobs.AcceptedJobs() {
		for {
			job, err := a.Jobs.JobState(ctx, j.ID)
			if err == nil && job.State == state {
				break
			}
			lastStatus = fmt.Sprintf("job %s: %s %v, error %v", j.ID, job.State, job.Counts, err)
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return errors.New(lastStatus)
			}
		}
	}
	return nil
}

// cancel cancels every accepted job.
func (a *Actions) cancel(ctx context.Context) error {
	var errs error
	for _, j := range a.Jobs.AcceptedJobs() {
		errs = errors.Join(errs, a.Jobs.Cancel(ctx, j.ID))
	}
	return errs
}
