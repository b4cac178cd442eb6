package explore

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/soak"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// inForceBound bounds the time until an accepted table is in force on every host. It is the bound for the target size
// of deployments, as in soak runs.
const inForceBound = 11 * time.Second

// Run runs a schedule of failures under load. It returns the history and the violations that the history checker finds.
func Run(ctx context.Context, seed uint64, duration time.Duration, steps []soak.Step) ([]history.Event, []history.Violation, error) {
	d, err := NewDeployment()
	if err != nil {
		return nil, nil, err
	}
	defer d.Stop()
	for err = d.commitTable(ctx, d.hosts[0], 1); err != nil; err = d.commitTable(ctx, d.hosts[0], 1) {
		if sleep.For(ctx, pollInterval) != nil {
			return nil, nil, err
		}
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, nil, err
	}
	callers := make(map[string]string)
	for _, h := range d.hosts {
		callers[h.settings.HostID] = "http://" + h.settings.CallerAddress
	}
	dial := d.links.Dialer(platformZone)
	dialer := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }
	generator, err := load.New(load.Options{
		Hosts: callers, Duration: duration, Seed: seed, Recorder: d.recorder, Dial: dialer, Classes: []load.Class{
			{Name: "write", Rate: 10, Timeout: time.Second, MaxAttempts: 4, MeanServiceTime: serviceTime},
			{Name: "read", Rate: 10, Idempotent: true, Timeout: time.Second, MaxAttempts: 3, MeanServiceTime: serviceTime},
		},
	})
	if err != nil {
		return nil, nil, err
	}
	jobs := load.NewJobClient(callers)
	jobs.DialWith(dialer)
	defer jobs.Close()
	watchCtx, stopWatching := context.WithCancel(ctx)
	defer stopWatching()
	for _, h := range d.hosts {
		d.goroutines.Go(func() { h.recordTableRevisions(watchCtx) })
	}
	var wg sync.WaitGroup
	wg.Go(func() { generator.Run(ctx) })
	wg.Go(func() {
		jobs.Run(ctx, load.JobClass{Name: "batch", Rate: 0.3, Group: jobhttp.Group{Count: 4, Processors: 2, MemoryMB: 100, RunTimeMS: 3000}}, duration, seed)
	})
	runner := &scheduleRunner{deployment: d, jobs: jobs}
	runner.run(ctx, steps)
	wg.Wait()
	runner.background.Wait()
	if runner.stepErr != nil {
		return nil, nil, runner.stepErr
	}
	if err := d.awaitReady(ctx); err != nil {
		return nil, nil, err
	}
	cancelled, err := awaitJobs(ctx, jobs)
	if err != nil {
		return nil, nil, err
	}
	for _, id := range cancelled {
		d.recorder.Add(history.Event{Kind: history.TaskCancelled, Task: id})
	}
	events := deployment.MergedEvents(d.recorder, d.executions)
	bounds := history.DefaultBounds()
	bounds.InForceDelay, bounds.RunComplete, bounds.WithOtherFailures = inForceBound, true, true
	violations := history.Check(events, bounds)
	for _, worker := range deployment.OverloadedWorkers(d.executions) {
		violations = append(violations, history.Violation{Guarantee: "P1", Message: "worker over capacity: " + worker})
	}
	return events, violations, nil
}

// awaitJobs waits until every accepted job has ended, and returns the IDs of the tasks of cancelled jobs.
func awaitJobs(ctx context.Context, jobs *load.JobClient) (cancelled []string, err error) {
	for _, j := range jobs.AcceptedJobs() {
		for {
			job, err := jobs.JobState(ctx, j.ID)
			if err == nil && slices.Contains([]string{"done", "failed", "cancelled"}, job.State) {
				for i := 0; job.State == "cancelled" && i < j.Tasks; i++ {
					cancelled = append(cancelled, fmt.Sprintf("%s.%d", j.ID, i))
				}
				break
			}
			if sleep.For(ctx, pollInterval) != nil {
				return nil, fmt.Errorf("accepted job %s is not finished: state %q, tasks %v, last error %w", j.ID, job.State, job.Counts, err)
			}
		}
	}
	return cancelled, nil
}

// commitTable commits a table through a host and records its revision if it is accepted.
func (d *Deployment) commitTable(ctx context.Context, h *host, weight int) error {
	client := h.operatorClient()
	base := table.Revision(0)
	if current, err := client.Table(ctx, 0); err == nil {
		base = current.Revision
	}
	csv := fmt.Appendf(nil, `name,kind,idempotent,tenant,weight,deadline (ms),retries,evictions
write,latency-critical,no,a,40,1000,2,0
read,latency-critical,yes,a,40,1000,2,0
urgent,latency-critical,yes,b,60,1500,3,0
least,latency-critical,yes,b,%d,3000,2,0
batch,batch,yes,c,10,0,100,5
`, weight)
	change, err := client.Put(ctx, operatorhttp.ChangeMetadata{Base: base, Author: "explore", Reason: "explore", Nonce: uuid.NewString()}, operatorhttp.CSV(csv))
	if err == nil {
		d.recorder.Add(history.Event{Kind: history.TableAccepted, Revision: uint64(change.Revision)})
	}
	return err
}

// awaitReady waits until each host accepts requests and knows an owner of each cell.
func (d *Deployment) awaitReady(ctx context.Context) error {
	for _, h := range d.hosts {
		for {
			r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.OperatorAddress+"/readyz", nil)
			if err != nil {
				return err
			}
			response, err := d.httpClient.Do(r)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if err := sleep.For(ctx, pollInterval); err != nil {
				return fmt.Errorf("host %s is not ready: %w", h.settings.HostID, err)
			}
		}
	}
	return nil
}

// recordTableRevisions records each revision of the table that comes into force on the host, until ctx ends.
func (h *host) recordTableRevisions(ctx context.Context) {
	lastRevision := uint64(0)
	for sleep.For(ctx, pollInterval) == nil {
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.settings.OperatorAddress+"/healthz", nil)
		if err != nil {
			return
		}
		response, err := h.deployment.httpClient.Do(r)
		if err != nil {
			continue
		}
		var reply struct {
			TableRevision uint64 `json:"table_revision"`
		}
		err = json.NewDecoder(response.Body).Decode(&reply)
		_ = response.Body.Close()
		if err == nil && reply.TableRevision != 0 && reply.TableRevision != lastRevision {
			lastRevision = reply.TableRevision
			h.deployment.recorder.Add(history.Event{Kind: history.TableInForce, Host: h.settings.HostID, Revision: lastRevision})
		}
	}
}
