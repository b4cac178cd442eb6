package explore

import (
	"context"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/soak"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// Topology returns what a schedule for such a deployment can act on.
func Topology() soak.Topology {
	t := soak.Topology{DataCentres: dataCentres, Targets: targetCount, Workers: workerCount}
	for i := range hostCount {
		t.Hosts = append(t.Hosts, dataCentres[i%len(dataCentres)]+"-1")
	}
	return t
}

// scheduleRunner performs the steps of a schedule.
type scheduleRunner struct {
	deployment *Deployment
	jobs       *load.JobClient
	background sync.WaitGroup
	// weight is the weight of one class in the latest table.
	weight int

	// mu guards stepErr, which background steps write.
	mu      sync.Mutex
	stepErr error
}

// addError records an error of a step, which makes the run fail. A nil error is ignored.
func (r *scheduleRunner) addError(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stepErr = errors.Join(r.stepErr, err)
}

func (r *scheduleRunner) run(ctx context.Context, steps []soak.Step) {
	startedAt := time.Now()
	for _, s := range steps {
		if sleep.For(ctx, s.At-time.Since(startedAt)) != nil {
			return
		}
		r.performStep(ctx, s.Action)
	}
}

func (r *scheduleRunner) performStep(ctx context.Context, step []string) {
	switch strings.Join(step[:min(2, len(step))], " ") {
	case "host kill":
		r.findHost(step[2]).kill()
	case "host start":
		r.addError(r.findHost(step[2]).start())
	case "host pause":
		r.findHost(step[2]).setIsolated(true)
	case "host resume":
		r.findHost(step[2]).setIsolated(false)
	case "links cut", "links restore":
		a, b := r.findHost(step[2]+"-1"), r.findHost(step[3]+"-1")
		r.deployment.links.SetCut(a.zone(), b.zone(), step[1] == "cut")
	case "target fault":
		fault := target.Fault(step[3])
		if step[3] == "none" {
			fault = target.FaultNone
		}
		r.deployment.targets[parseNumber(step[2])].SetFault(fault)
	case "target leave":
		r.deployment.removeTarget(parseNumber(step[2]))
	case "worker crash":
		r.deployment.workers[parseNumber(step[2])].Crash()
	case "worker fault":
		r.deployment.workers[parseNumber(step[2])].SetFault(worker.Fault{FailAll: step[3] == "fail"})
	default:
		r.performOtherStep(ctx, step)
	}
}

// performOtherStep performs the steps whose first word alone determines the action.
func (r *scheduleRunner) performOtherStep(ctx context.Context, step []string) {
	switch step[0] {
	case "job":
		for _, j := range r.jobs.AcceptedJobs() {
			r.background.Go(func() { _ = r.jobs.Cancel(ctx, j.ID) })
		}
	case "replace":
		r.background.Go(func() { r.addError(r.findHost(step[1]).replace()) })
	case "store":
		fault, _ := action.ParseStoreFault(step[1])
		for _, h := range r.deployment.hosts {
			if len(step) == 2 || h.settings.HostID == step[2] {
				h.session.SetFault(fault)
			}
		}
	case "race":
		for i := range parseNumber(step[1]) {
			r.weight = r.weight%1000 + 1
			weight, h := r.weight, r.deployment.hosts[i%hostCount]
			r.background.Go(func() { _ = r.deployment.commitTable(ctx, h, weight) })
		}
	default:
		// Floods are left to soak runs, because they need processor time even under a fake clock.
	}
}

func (r *scheduleRunner) findHost(id string) *host {
	i := slices.IndexFunc(r.deployment.hosts, func(h *host) bool { return h.settings.HostID == id })
	return r.deployment.hosts[i]
}

func parseNumber(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// removeTarget makes a target leave for good.
func (d *Deployment) removeTarget(index int) {
	d.listedHosts[index].State = "leaving"
	d.recorder.Add(history.Event{Kind: history.TargetLeaving, Target: d.listedHosts[index].ID})
	d.hostList.Set(d.listedHosts)
}
