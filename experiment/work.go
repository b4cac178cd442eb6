package experiment

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
)

// The classes of all experiments.
const (
	classWrite  = "write"
	classRead   = "read"
	classUrgent = "urgent"
	classLeast  = "least"
	classBatch  = "batch"
)

// tableRow is a class in the table, with the columns that experiments change.
type tableRow struct {
	name         string
	batch        bool
	idempotent   bool
	weight       int
	deadlineMS   int
	maxEvictions int
}

func standardTable() []tableRow {
	return []tableRow{
		{name: classWrite, weight: 4, deadlineMS: 1000},
		{name: classRead, idempotent: true, weight: 4, deadlineMS: 1000},
		{name: classUrgent, idempotent: true, weight: 6, deadlineMS: 1500},
		{name: classLeast, idempotent: true, weight: 1, deadlineMS: 3000},
		{name: classBatch, batch: true, idempotent: true, weight: 1, maxEvictions: 5},
	}
}

// withChangedRow returns a copy of the rows in which edit has changed the row of the named class.
func withChangedRow(rows []tableRow, name string, edit func(*tableRow)) []tableRow {
	changed := append([]tableRow(nil), rows...)
	for i := range changed {
		if changed[i].name == name {
			edit(&changed[i])
		}
	}
	return changed
}

func tableCSV(rows []tableRow) []byte {
	var b bytes.Buffer
	b.WriteString("name,kind,idempotent,tenant,weight,rate (1/s),concurrency,queue,deadline (ms),processors (processors),memory (MB),accelerators,retries,evictions\n")
	choose := func(condition bool, yes, no string) string {
		if condition {
			return yes
		}
		return no
	}
	for _, r := range rows {
		deadline := r.deadlineMS
		if r.batch {
			deadline = 0
		}
		fmt.Fprintf(&b, "%s,%s,%s,team-%s,%d,0,0,%s,%d,0,0,0,3,%d\n", r.name, choose(r.batch, "batch", "latency-critical"),
			choose(r.idempotent, "yes", "no"), r.name, r.weight, choose(r.batch, "0", "200"), deadline, r.maxEvictions)
	}
	return b.Bytes()
}

// capacity returns the number of operations a second that the targets can serve.
func (s deploymentSize) capacity() float64 {
	return float64(s.targets*target.Slots) / s.meanServiceTime.Seconds()
}

// loadClass returns the load of a class, with rate in operations a second. Operations of non-idempotent classes are
// sent with idempotency keys.
func (s deploymentSize) loadClass(name string, rate float64, timeout time.Duration, maxAttempts int) load.Class {
	return load.Class{
		Name: name, Rate: rate, Idempotent: name != classWrite, Timeout: timeout, MaxAttempts: maxAttempts,
		MeanServiceTime: s.meanServiceTime, BodyBytes: 100,
	}
}

// stream is the load of one generator. Several streams can run at the same time.
type stream struct {
	runID   string
	classes []load.Class
	// maxInProgress bounds the operations in progress; 0 selects the default of the generator.
	maxInProgress   int
	directToTargets bool
	// hosts are the base URLs to send to, by name; nil selects the relay hosts.
	hosts map[string]string
	// isHealthy reports whether a host accepts requests; nil for always.
	isHealthy func(string) bool
}

// sendStreams runs the streams at the same time and returns their results by class, in the order of the streams.
func (r *runner) sendStreams(ctx context.Context, duration time.Duration, streams ...stream) ([][]load.Result, error) {
	generators := make([]*load.Generator, len(streams))
	for i, s := range streams {
		if s.hosts == nil {
			s.hosts = r.deployment.CallerURLs()
		}
		g, err := load.New(load.Options{
			Hosts: s.hosts, Classes: s.classes, Duration: duration, MaxInProgress: s.maxInProgress, Seed: r.options.Seed,
			Recorder: r.deployment.Recorder, RunID: s.runID + "-", IsHealthy: s.isHealthy, DirectToTargets: s.directToTargets,
		})
		if err != nil {
			return nil, err
		}
		generators[i] = g
	}
	results := make([][]load.Result, len(streams))
	var wg sync.WaitGroup
	for i, g := range generators {
		wg.Go(func() { results[i] = g.Run(ctx) })
	}
	wg.Wait()
	return results, ctx.Err()
}

// targetURLs returns the base URLs of the targets, by name.
func (r *runner) targetURLs() map[string]string {
	urls := make(map[string]string)
	for i, t := range r.deployment.Targets {
		urls[fmt.Sprintf("target-%03d", i)] = "http://" + t.Address()
	}
	return urls
}
