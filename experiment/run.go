package experiment

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// Options are the settings of a run.
type Options struct {
	// Hosts is the number of relay hosts, and of cells, where the experiment does not vary it.
	Hosts   int
	Targets int
	Workers int
	// MeanServiceTime is the mean service time of a target; 0 for the one of the experiment.
	MeanServiceTime time.Duration
	// ArmDuration is the time of one repetition of one arm; 0 for the one of the experiment.
	ArmDuration time.Duration
	Repetitions int
	Seed        uint64
	// TimeBudget bounds the time of one experiment. No repetition starts that would pass it.
	TimeBudget time.Duration
	// SpreadHostCounts are the numbers of hosts of "spread".
	SpreadHostCounts []int
	// LogDir receives the logs of the relay hosts.
	LogDir string
	// HistoryDir receives the histories as <experiment>-<n>.jsonl, for "relaydev check"; none are written if it is empty.
	HistoryDir string
}

// dataCentres is the number of data centres of the deployments. Each host comes with a cell, and each data centre has as
// many cells as the others.
const dataCentres = 3

// Defaults returns small sizes that a busy machine carries.
func Defaults() Options {
	return Options{Hosts: 3, Targets: 6, Workers: 6, Repetitions: 3, Seed: 1, TimeBudget: 85 * time.Second, SpreadHostCounts: []int{3, 9, 18}}
}

type experiment struct {
	name, question string
	run            func(ctx context.Context, r *runner) error
}

// all lists the experiments in the order of worth.
func all() []experiment {
	return []experiment{
		{"latency", "What does the way through the relay hosts add to a direct call of the targets?", latency},
		{"flood-least", "What do the other classes keep while the least urgent class sends 20 times the capacity?", floodLeast},
		{"flood-urgent", "What do the other classes keep while the most urgent class sends 20 times the capacity?", floodUrgent},
		{"flood-batch", "Do urgent tasks start within 1.5 s while batch tasks fill every worker?", floodBatch},
		{"rolling", "What do callers see while every relay host is replaced by a planned stop?", rolling},
		{"store-outage", "What do callers see while the key-value service is down for 20 s?", storeOutage},
		{"data-centre-loss", "How long are cells without an owner after all hosts of a data centre died?", dataCentreLoss},
		{"spread", "How long does a changed table take to be in force everywhere, and what does the store pay?", spread},
		{"black-hole", "How much is lost to a target and a worker that fail everything they get?", blackHole},
	}
}

// Names returns the names of the experiments.
func Names() []string {
	var out []string
	for _, e := range all() {
		out = append(out, e.name)
	}
	return out
}

// Run runs one experiment and the history checker. A broken guarantee is in the result, not in the error.
func Run(ctx context.Context, name string, o Options) (*Result, error) {
	i := slices.IndexFunc(all(), func(e experiment) bool { return e.name == name })
	if i < 0 {
		return nil, fmt.Errorf("experiment %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	if o.Hosts < 1 || o.Targets < 1 || o.Workers < 1 || o.Repetitions < 1 {
		return nil, fmt.Errorf("hosts %d, targets %d, workers %d and repetitions %d must be positive", o.Hosts, o.Targets, o.Workers, o.Repetitions)
	}
	for _, n := range append([]int{o.Hosts}, o.SpreadHostCounts...) {
		if n < 1 || n%dataCentres != 0 {
			return nil, fmt.Errorf("%d relay hosts: want a multiple of the %d data centres", n, dataCentres)
		}
	}
	e := all()[i]
	r := &runner{options: o, result: &Result{Name: e.name, Question: e.question, Seed: o.Seed, Began: time.Now()}}
	r.note("load averages of the machine before the run: %s", machineLoad())
	err := e.run(ctx, r)
	err = errors.Join(err, r.close())
	r.result.Took = time.Since(r.result.Began)
	r.note("load averages of the machine after the run: %s", machineLoad())
	return r.result, err
}

// runner is the state of one experiment.
type runner struct {
	options    Options
	result     *Result
	deployment *deployment.Deployment
	// recorded is the number of histories written.
	recorded int
}

func (r *runner) note(format string, args ...any) {
	r.result.Notes = append(r.result.Notes, fmt.Sprintf(format, args...))
}

// more reports whether a part of the given length still fits into the budget, and notes it if not.
func (r *runner) more(repetition int, need time.Duration) bool {
	if time.Since(r.result.Began)+need <= r.options.TimeBudget {
		return true
	}
	r.note("stopped after %d repetitions: the next one does not fit into %s", repetition, r.options.TimeBudget)
	return false
}

// part returns the time of one repetition of one arm.
func (r *runner) part(of time.Duration) time.Duration {
	if r.options.ArmDuration > 0 {
		return r.options.ArmDuration
	}
	return of
}

// size is the size of a deployment.
type size struct {
	hosts, cells, targets, workers int
	service                        time.Duration
}

func (r *runner) size(service time.Duration) size {
	o := r.options
	if o.MeanServiceTime > 0 {
		service = o.MeanServiceTime
	}
	return size{o.Hosts, o.Hosts, o.Targets, o.Workers, service}
}

// deploy replaces the deployment by a new one with the table in force.
func (r *runner) deploy(ctx context.Context, s size, rows []row) error {
	if err := r.close(); err != nil {
		return err
	}
	o := deployment.Small()
	o.Hosts, o.Cells, o.Targets, o.Workers = s.hosts, s.cells, s.targets, s.workers
	o.ServiceTime, o.Seed, o.LogDir = s.service, r.options.Seed, r.options.LogDir
	d, err := deployment.Start(ctx, o)
	if err != nil {
		return err
	}
	r.deployment = d
	if _, err := d.SetTable(ctx, tableCSV(rows)); err != nil {
		return fmt.Errorf("set the table: %w", err)
	}
	return d.AwaitReady(ctx)
}

// close checks the history of the deployment, if there is one, and ends it.
func (r *runner) close() error {
	d := r.deployment
	if d == nil {
		return nil
	}
	r.deployment = nil
	events, violations := action.Check(d, bounds())
	r.result.Events += len(events)
	for _, v := range violations {
		r.result.Violations = append(r.result.Violations, v.String())
	}
	d.Stop()
	return r.record(events)
}

func (r *runner) record(events []history.Event) error {
	if r.options.HistoryDir == "" {
		return nil
	}
	r.recorded++
	name := filepath.Join(r.options.HistoryDir, fmt.Sprintf("%s-%d.jsonl", r.result.Name, r.recorded))
	return action.WriteHistory(name, events)
}

// bounds are those of the design page for today's size.
func bounds() history.Bounds { return history.DefaultBounds() }

const pollInterval = 50 * time.Millisecond

// setTable commits a table and waits until it is in force on every host.
func (r *runner) setTable(ctx context.Context, rows []row) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	revision, err := r.deployment.SetTable(ctx, tableCSV(rows))
	if err != nil {
		return fmt.Errorf("set the table: %w", err)
	}
	for {
		n := len(r.inForce(revision))
		if n == len(r.deployment.Hosts) {
			return nil
		}
		if err := sleep.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("revision %d is in force on %d of %d hosts", revision, n, len(r.deployment.Hosts))
		}
	}
}

// inForce returns when a revision, or a later one, came into force on each host that has it.
func (r *runner) inForce(revision uint64) map[string]time.Time {
	out := make(map[string]time.Time)
	for _, e := range r.deployment.Recorder.Events() {
		if _, seen := out[e.Host]; e.Kind == history.TableInForce && e.Revision >= revision && !seen {
			out[e.Host] = e.At
		}
	}
	return out
}
