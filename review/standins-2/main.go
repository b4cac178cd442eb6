// Command standins-2 plays the cases of a review against processes of the relay: it holds the stand-ins of the store,
// the runners and the clients, and starts the relay's own program.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/platform/platformtest"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// world is a small deployment with its stand-ins.
type world struct {
	rec     *recorder
	store   *platformtest.Store
	relays  []*relayProcess
	runners []*runner
	trouble bool
	// folder holds the settings and the logs of the machines.
	folder string
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	w := &world{rec: &recorder{start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	cases := map[string]func(*world) (bool, error){"crash-then-cut": crashThenCut, "store-drops-out": storeDropsOut, "cancel-lost": cancelLost}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(exitNotRun)
	}
	w.endOnSignal()
	broken, err := play(w)
	w.tearDown()
	code := exitHeld
	switch {
	case err != nil:
		w.rec.note("the case could not run: %v", err)
		code = exitNotRun
	case broken:
		code = exitBroken
	}
	w.rec.note("exit code %d", code)
	if err := w.rec.save(filepath.Join(os.Args[2], "record.txt")); err != nil {
		code = exitNotRun
	}
	os.Exit(code)
}

// endOnSignal ends the processes of the relay if this one is told to end.
func (w *world) endOnSignal() {
	told := make(chan os.Signal, 1)
	signal.Notify(told, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-told
		w.tearDown()
		os.Exit(exitNotRun)
	}()
}

// tearDown ends the processes of the relay and removes their folder.
func (w *world) tearDown() {
	for _, p := range w.relays {
		p.kill()
	}
	if w.folder != "" {
		_ = os.RemoveAll(w.folder)
	}
}

const manifest = `{"Version":7,"Routes":[{"Name":"r-3hwrr6x","Host":"nony24.example","Prefix":"/lohu930/","Kind":"unsafe",
"TimeoutMs":3000,"SloMs":1000,"Priority":2,"Service":"booking","Attempts":1,"Stretch":2.0}],
"Services":[{"Name":"booking","HealthPath":"/healthz","MaxConns":64,"Protocol":"h1","Tls":false,"RejectsOverload":true,
"Standby":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":262144}}`

// setUp starts the store, the runners with the given labels, and n machines, and waits until the machines are ready.
func (w *world) setUp(n int, labels ...string) error {
	dir, err := os.MkdirTemp("", "standins")
	if err != nil {
		return err
	}
	w.folder = dir
	w.store = platformtest.New()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, w.store) }() //nolint:gosec // A stand-in without limits.
	w.store.Put("op/config", []byte(manifest))
	for i, label := range labels {
		free, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		r := &runner{id: fmt.Sprintf("i-%d%s", i, label), address: free.Addr().String(), label: label, capacity: 8000, store: w.store, rec: w.rec}
		_ = free.Close()
		if err := r.startProcess(); err != nil {
			return err
		}
		w.runners = append(w.runners, r)
	}
	for i := range n {
		p, err := newRelay(i+1, dir, l.Addr().String())
		if err != nil {
			return err
		}
		if err := p.start(); err != nil {
			return err
		}
		w.relays = append(w.relays, p)
	}
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, p := range w.relays {
			if p.isReady() {
				ready++
			}
		}
		if ready == n {
			break
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d of %d machines are ready", ready, n)
		}
	}
	w.rec.note("all machines are ready")
	time.Sleep(6 * time.Second)
	return nil
}

// owner returns the machine that holds the cell, as its record in the store says; the first one if there is none.
func (w *world) owner() *relayProcess {
	record := w.store.Value("/own/0")
	for _, p := range w.relays {
		if bytes.Contains(record, []byte(p.name)) {
			return p
		}
	}
	return w.relays[0]
}

// submit hands in a job of one task, at each machine in turn until one accepts it.
func (w *world) submit(id string, s step, run time.Duration) error {
	spec, _ := json.Marshal(needs{Cpu: s.Cpu, RunMs: int(run.Milliseconds())})
	for range 4 {
		for _, p := range w.relays {
			if status, _ := call(w.rec, p, http.MethodPost, id, map[string]any{"Spec": string(spec), "Steps": []step{s}}); status == http.StatusOK {
				return nil
			}
		}
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// spans returns all runs so far. Those that have not ended count until now.
func (w *world) spans() []*span {
	var all []*span
	for _, r := range w.runners {
		r.mu.Lock()
		for _, s := range r.spans {
			copied := *s
			if copied.end == 0 {
				copied.end = w.rec.now()
			}
			all = append(all, &copied)
		}
		r.mu.Unlock()
	}
	return all
}

// overlaps returns pairs of runs of one task that were at work at the same time.
func (w *world) overlaps() int {
	all := w.spans()
	n := 0
	for i, a := range all {
		for _, b := range all[:i] {
			from, to := max(a.start, b.start), min(a.end, b.end)
			if a.task == b.task && from < to {
				n++
				w.rec.note("TWICE: %s run %d on %s and run %d on %s at the same time, from %.3f to %.3f", a.task, b.run, b.runner, a.run, a.runner, from, to)
			}
		}
	}
	return n
}
