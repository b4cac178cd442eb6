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

// Size returns what a schedule can act on.
func Size() soak.Topology {
	s := soak.Topology{DataCentres: dataCentres, Targets: targets, Workers: workers}
	for i := range hosts {
		s.Hosts = append(s.Hosts, dataCentres[i%len(dataCentres)]+"-1")
	}
	return s
}

// failures performs the steps of a schedule.
type failures struct {
	world      *World
	jobs       *load.JobClient
	background sync.WaitGroup
	weight     int

	// mu guards failed, which steps in the background write.
	mu     sync.Mutex
	failed error
}

// note keeps an error of a step that no failure excuses.
func (f *failures) note(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = errors.Join(f.failed, err)
}

func (f *failures) run(ctx context.Context, steps []soak.Step) {
	began := time.Now()
	for _, s := range steps {
		if sleep.For(ctx, s.At-time.Since(began)) != nil {
			return
		}
		f.perform(ctx, s.Action)
	}
}

func (f *failures) perform(ctx context.Context, words []string) {
	switch strings.Join(words[:min(2, len(words))], " ") {
	case "host kill":
		f.host(words[2]).kill()
	case "host start":
		f.note(f.host(words[2]).start())
	case "host pause":
		f.host(words[2]).cutOff(true)
	case "host resume":
		f.host(words[2]).cutOff(false)
	case "links cut", "links restore":
		a, b := f.host(words[2]+"-1"), f.host(words[3]+"-1")
		f.world.links.SetCut(a.zone(), b.zone(), words[1] == "cut")
	case "target fault":
		fault := target.Fault(words[3])
		if words[3] == "none" {
			fault = target.FaultNone
		}
		f.world.targets[number(words[2])].SetFault(fault)
	case "target leave":
		f.world.leave(number(words[2]))
	case "worker crash":
		f.world.workers[number(words[2])].Crash()
	case "worker fault":
		f.world.workers[number(words[2])].SetFault(worker.Fault{FailAll: words[3] == "fail"})
	default:
		f.performOther(ctx, words)
	}
}

func (f *failures) performOther(ctx context.Context, words []string) {
	switch words[0] {
	case "job":
		for _, j := range f.jobs.AcceptedJobs() {
			f.background.Go(func() { _ = f.jobs.Cancel(ctx, j.ID) })
		}
	case "replace":
		f.background.Go(func() { f.note(f.host(words[1]).replace()) })
	case "store":
		fault, _ := action.ParseStoreFault(words[1])
		for _, h := range f.world.hosts {
			if len(words) == 2 || h.settings.HostID == words[2] {
				h.session.SetFault(fault)
			}
		}
	case "race":
		for i := range number(words[1]) {
			f.weight = f.weight%1000 + 1
			weight, h := f.weight, f.world.hosts[i%hosts]
			f.background.Go(func() { _ = f.world.commit(ctx, h, weight) })
		}
	default:
		// Floods are left to soak runs: they need processors, not time.
	}
}

func (f *failures) host(id string) *host {
	i := slices.IndexFunc(f.world.hosts, func(h *host) bool { return h.settings.HostID == id })
	return f.world.hosts[i]
}

func number(text string) int {
	n, _ := strconv.Atoi(text)
	return n
}

// leave lets a target leave for good.
func (w *World) leave(n int) {
	w.listed[n].State = "leaving"
	w.recorder.Add(history.Event{Kind: history.TargetLeaving, Target: w.listed[n].ID})
	w.list.Set(w.listed)
}
