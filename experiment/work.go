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

// row is a row of a table with the columns that experiments change.
type row struct {
	name       string
	batch      bool
	idempotent bool
	weight     int
	deadlineMS int
	evictions  int
}

func standardTable() []row {
	return []row{
		{name: classWrite, weight: 4, deadlineMS: 1000},
		{name: classRead, idempotent: true, weight: 4, deadlineMS: 1000},
		{name: classUrgent, idempotent: true, weight: 6, deadlineMS: 1500},
		{name: classLeast, idempotent: true, weight: 1, deadlineMS: 3000},
		{name: classBatch, batch: true, idempotent: true, weight: 1, evictions: 5},
	}
}

// change returns the rows with one of them changed.
func change(rows []row, name string, edit func(*row)) []row {
	out := append([]row(nil), rows...)
	for i := range out {
		if out[i].name == name {
			edit(&out[i])
		}
	}
	return out
}

func tableCSV(rows []row) []byte {
	var b bytes.Buffer
	b.WriteString("name,kind,idempotent,tenant,weight,rate (1/s),concurrency,queue,deadline (ms),processors (processors),memory (MB),accelerators,retries,evictions\n")
	word := func(choice bool, yes, no string) string {
		if choice {
			return yes
		}
		return no
	}
	for _, r := range rows {
		deadline := r.deadlineMS
		if r.batch {
			deadline = 0
		}
		fmt.Fprintf(&b, "%s,%s,%s,team-%s,%d,0,0,%s,%d,0,0,0,3,%d\n", r.name, word(r.batch, "batch", "latency-critical"),
			word(r.idempotent, "yes", "no"), r.name, r.weight, word(r.batch, "0", "200"), deadline, r.evictions)
	}
	return b.Bytes()
}

// capacity returns how many operations a second the targets can take.
func (s size) capacity() float64 {
	return float64(s.targets*target.Slots) / s.service.Seconds()
}

// class returns the load of a class. Non-idempotent classes are sent with keys.
func (s size) class(name string, rate float64, timeout time.Duration, attempts int) load.Class {
	return load.Class{
		Name: name, Rate: rate, Idempotent: name != classWrite, Timeout: timeout, MaxAttempts: attempts,
		MeanServiceTime: s.service, BodyBytes: 100,
	}
}

// stream is a load that runs beside others.
type stream struct {
	id      string
	classes []load.Class
	// limit bounds the operations in progress; 0 for the default of the generator.
	limit  int
	direct bool
	hosts  map[string]string
	usable func(string) bool
}

// send runs streams at the same time and returns their results in order.
func (r *runner) send(ctx context.Context, d time.Duration, streams ...stream) ([][]load.Result, error) {
	generators := make([]*load.Generator, len(streams))
	for i, s := range streams {
		if s.hosts == nil {
			s.hosts = r.deployment.CallerURLs()
		}
		g, err := load.New(load.Options{
			Hosts: s.hosts, Classes: s.classes, Duration: d, MaxInProgress: s.limit, Seed: r.options.Seed,
			Recorder: r.deployment.Recorder, RunID: s.id + "-", IsHealthy: s.usable, DirectToTargets: s.direct,
		})
		if err != nil {
			return nil, err
		}
		generators[i] = g
	}
	out := make([][]load.Result, len(streams))
	var wg sync.WaitGroup
	for i, g := range generators {
		wg.Go(func() { out[i] = g.Run(ctx) })
	}
	wg.Wait()
	return out, ctx.Err()
}

// targets returns the base URLs of the targets.
func (r *runner) targets() map[string]string {
	out := make(map[string]string)
	for i, t := range r.deployment.Targets {
		out[fmt.Sprintf("target-%03d", i)] = "http://" + t.Address()
	}
	return out
}
