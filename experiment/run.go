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

// Options are the settings of Run.
type Options struct {
	// Hosts is the number of relay hosts and of cells, unless the experiment varies it. It must be a multiple of the
	// number of data centres.
	Hosts   int
	Targets int
	Workers int
	// MeanServiceTime is the mean service time of a target; 0 selects the default of the experiment.
	MeanServiceTime time.Duration
	// ArmDuration is the duration of one repetition of one arm; 0 selects the default of the experiment.
	ArmDuration time.Duration
	Repetitions int
	Seed        uint64
	// TimeBudget bounds the duration of one experiment: a repetition that is expected to exceed it is not started.
	TimeBudget time.Duration
	// SpreadHostCounts are the numbers of relay hosts that the experiment "spread" compares.
	SpreadHostCounts []int
	// LogDir receives the logs of the relay hosts.
	LogDir string
	// HistoryDir is an existing directory for the histories, <experiment>-<n>.jsonl, which "relaydev check" reads. If
	// it is empty, none are written.
	HistoryDir string
}

// dataCentreCount is the number of data centres of the deployments. There are as many cells as hosts, and each data
// centre has the same number of both.
const dataCentreCount = 3

// Defaults returns options for a deployment that is small enough for a busy machine.
func Defaults() Options {
	return Options{Hosts: 3, Targets: 6, Workers: 6, Repetitions: 3, Seed: 1, TimeBudget: 85 * time.Second, SpreadHostCounts: []int{3, 9, 18}}
}

type experiment struct {
	name, question string
	run            func(ctx context.Context, r *runner) error
}

// experiments lists the experiments, the most important ones first.
func experiments() []experiment {
	return []experiment{
		{"latency", "How much latency do the relay hosts add to direct calls of the targets?", latency},
		{"flood-least", "What service do the other classes get while the least urgent class sends 20 times the capacity?", floodLeast},
		{"flood-urgent", "What service do the other classes get while the most urgent class sends 20 times the capacity?", floodUrgent},
		{"flood-batch", "Do urgent tasks start within 1.5 s while batch tasks fill every worker?", floodBatch},
		{"rolling", "What do callers see while every relay host is replaced by a planned stop?", rollingRestart},
		{"store-outage", "What do callers see while the key-value service is down for 20 s?", storeOutage},
		{"data-centre-loss", "How long are cells without an owner after all hosts of a data centre were killed?", dataCentreLoss},
		{"spread", "How long does a changed table take to be in force on every host, and how many calls of the store does it cost?", spread},
		{"black-hole", "How much work is lost to a target and a worker that fail everything they get?", blackHole},
	}
}

// Names returns the names of the experiments.
func Names() []string {
	var names []string
	for _, e := range experiments() {
		names = append(names, e.name)
	}
	return names
}

// Run runs the named experiment and the history checker. Violated guarantees are reported in the result, not as an
// error. The result is nil only if the name or the options are invalid.
func Run(ctx context.Context, name string, o Options) (*Result, error) {
	i := slices.IndexFunc(experiments(), func(e experiment) bool { return e.name == name })
	if i < 0 {
		return nil, fmt.Errorf("experiment %q: want one of %s", name, strings.Join(Names(), ", "))
	}
	if o.Hosts < 1 || o.Targets < 1 || o.Workers < 1 || o.Repetitions < 1 {
		return nil, fmt.Errorf("hosts %d, targets %d, workers %d and repetitions %d must be positive", o.Hosts, o.Targets, o.Workers, o.Repetitions)
	}
	for _, n := range append([]int{o.Hosts}, o.SpreadHostCounts...) {
		if n < 1 || n%dataCentreCount != 0 {
			return nil, fmt.Errorf("%d relay hosts: want a multiple of the %d data centres", n, dataCentreCount)
		}
	}
	e := experiments()[i]
	r := &runner{options: o, result: &Result{Name: e.name, Question: e.question, Seed: o.Seed, StartedAt: time.Now()}}
	r.addNote("load averages of the machine before the run: %s", loadAverages())
	err := e.run(ctx, r)
	err = errors.Join(err, r.checkAndStop())
	r.result.Elapsed = time.Since(r.result.StartedAt)
	r.addNote("load averages of the machine after the run: %s", loadAverages())
	return r.result, err
}

// runner is the state of one experiment.
type runner struct {
	options    Options
	result     *Result
	deployment *deployment.Deployment
	// historiesWritten is the number of histories written.
	historiesWritten int
}

func (r *runner) addNote(format string, args ...any) {
	r.result.Notes = append(r.result.Notes, fmt.Sprintf(format, args...))
}

// hasTimeFor reports whether a repetition that takes the needed time still fits into the time budget, and adds a note
// if not. completed is the number of repetitions so far.
func (r *runner) hasTimeFor(completed int, needed time.Duration) bool {
	if time.Since(r.result.StartedAt)+needed <= r.options.TimeBudget {
		return true
	}
	r.addNote("stopped after %d repetitions: the next one does not fit into the time budget of %s", completed, r.options.TimeBudget)
	return false
}

// armDuration returns the duration of one repetition of one arm: the given default, unless an option replaces it.
func (r *runner) armDuration(defaultDuration time.Duration) time.Duration {
	if r.options.ArmDuration > 0 {
		return r.options.ArmDuration
	}
	return defaultDuration
}

// deploymentSize is the size of a deployment, and the service time of its targets.
type deploymentSize struct {
	hosts, cells, targets, workers int
	meanServiceTime                time.Duration
}

func (r *runner) deploymentSize(meanServiceTime time.Duration) deploymentSize {
	o := r.options
	if o.MeanServiceTime > 0 {
		meanServiceTime = o.MeanServiceTime
	}
	return deploymentSize{o.Hosts, o.Hosts, o.Targets, o.Workers, meanServiceTime}
}

// deploy replaces the deployment by a new one and waits until the table is in force there.
func (r *runner) deploy(ctx context.Context, s deploymentSize, rows []tableRow) error {
	if err := r.checkAndStop(); err != nil {
		return err
	}
	o := deployment.Small()
	o.Hosts, o.Cells, o.Targets, o.Workers = s.hosts, s.cells, s.targets, s.workers
	o.ServiceTime, o.Seed, o.LogDir = s.meanServiceTime, r.options.Seed, r.options.LogDir
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

// checkAndStop checks the history of the deployment, if there is one, and stops it.
func (r *runner) checkAndStop() error {
	d := r.deployment
	if d == nil {
		return nil
	}
	r.deployment = nil
	events, violations := action.Check(d, checkerBounds())
	r.result.Events += len(events)
	for _, v := range violations {
		r.result.Violations = append(r.result.Violations, v.String())
	}
	d.Stop()
	return r.writeHistory(events)
}

func (r *runner) writeHistory(events []history.Event) error {
	if r.options.HistoryDir == "" {
		return nil
	}
	r.historiesWritten++
	name := filepath.Join(r.options.HistoryDir, fmt.Sprintf("%s-%d.jsonl", r.result.Name, r.historiesWritten))
	return action.WriteHistory(name, events)
}

// checkerBounds returns the bounds of the guarantees for today's deployment size.
func checkerBounds() history.Bounds { return history.DefaultBounds() }

const pollInterval = 50 * time.Millisecond

// commitTable commits a table and waits until it is in force on every host.
func (r *runner) commitTable(ctx context.Context, rows []tableRow) error {
	ctx, cancel := context.WithTimeout(ctx, 15*time.Second)
	defer cancel()
	revision, err := r.deployment.SetTable(ctx, tableCSV(rows))
	if err != nil {
		return fmt.Errorf("set the table: %w", err)
	}
	for {
		inForceHosts := len(r.inForceTimes(revision))
		if inForceHosts == len(r.deployment.Hosts) {
			return nil
		}
		if err := sleep.For(ctx, pollInterval); err != nil {
			return fmt.Errorf("revision %d of the table is in force on %d of %d hosts only", revision, inForceHosts, len(r.deployment.Hosts))
		}
	}
}

// inForceTimes returns, by host, when the given revision or a later one came into force there.
func (r *runner) inForceTimes(revision uint64) map[string]time.Time {
	times := make(map[string]time.Time)
	for _, e := range r.deployment.Recorder.Events() {
		if _, seen := times[e.Host]; e.Kind == history.TableInForce && e.Revision >= revision && !seen {
			times[e.Host] = e.At
		}
	}
	return times
}
