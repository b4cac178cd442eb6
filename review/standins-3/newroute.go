package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["newroute"] = playNewRoute }

const shortJob = `{"Spec":"200","Steps":[{"Count":1,"Cpu":500,"MemMb":256,"EstimateMs":200}]}`

// playNewRoute restarts the owner of the cell just after a manifest has added a queue, while the channel of one host on which
// it waits for the manifest is silent. Jobs of the new queue are handed in at the third host.
func playNewRoute(w *world, trouble bool) int {
	next, ok := w.begin()
	if !ok {
		return exitNotRun
	}
	owner := w.owner()
	var entry *host
	for _, h := range w.hosts {
		if h != owner && h != next {
			entry = h
		}
	}
	w.log("%s owns the cell, %s is to take it over, clients call %s", owner.name, next.name, entry.name)
	silenced := make(chan struct{})
	var once sync.Once
	if trouble {
		w.setTap(func(h *host, _ http.ResponseWriter, r *http.Request) bool {
			if h != next || r.URL.Path != "/-/kv-watch" || r.URL.Query().Get("Prefix") != "op/config" {
				return false
			}
			silent := false
			once.Do(func() { silent = true })
			if silent {
				w.log("the channel on which %s waits for the manifest falls silent", h.name)
				close(silenced)
				<-r.Context().Done()
			}
			return silent
		})
	} else {
		close(silenced)
	}
	select {
	case <-silenced:
	case <-time.After(5 * time.Second):
		return exitNotRun
	}
	w.putManifest(12, newRoute("old"), newRoute("new"))
	time.Sleep(200 * time.Millisecond)
	owner.signal(sigterm)
	w.log("SIGTERM to %s", owner.name)
	accepted := w.handIn(entry, 60)
	w.log("%d jobs of the new queue were accepted", len(accepted))
	w.setTap(nil)
	time.Sleep(3 * time.Second)
	return w.judgeFailed(entry, accepted)
}

// begin starts three hosts and workers, and returns the host that takes the cell over when its owner leaves.
func (w *world) begin() (next *host, ok bool) {
	w.putManifest(3, newRoute("old"))
	if w.addWorkers(4) != nil || w.addHosts(3) != nil {
		return nil, false
	}
	for _, h := range w.hosts {
		if w.start(h) != nil {
			return nil, false
		}
	}
	if !w.awaitReady(w.hosts...) || !await(10*time.Second, func() bool { return w.owner() != nil }) {
		return nil, false
	}
	first := w.owner()
	time.Sleep(6 * time.Second)
	// A planned restart of the first owner shows who comes next in the order of the hosts: the first one does, once it is back.
	first.signal(sigterm)
	<-first.exited
	if w.start(first) != nil || !w.awaitReady(w.hosts...) {
		return nil, false
	}
	time.Sleep(8 * time.Second)
	if second := w.owner(); second == nil || second == first {
		w.log("the cell has not changed its owner")
		return nil, false
	}
	return first, true
}

// handIn hands n jobs in, one each 12 ms, and returns the ids of those that were accepted.
func (w *world) handIn(h *host, n int) (accepted []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("%016x", 0xabc0000+i)
		calls.Go(func() {
			if status, _ := w.submit(h, "new", id, shortJob); status == http.StatusOK {
				mu.Lock()
				accepted = append(accepted, id)
				mu.Unlock()
			}
		})
		time.Sleep(12 * time.Millisecond)
	}
	calls.Wait()
	return accepted
}

// judgeFailed checks that no accepted job is shown as failed: no run of any task has ended as failed.
func (w *world) judgeFailed(h *host, accepted []string) int {
	broken := 0
	for _, id := range accepted {
		status, answer := w.state(h, "new", id)
		if status == http.StatusOK && strings.Contains(answer, `"failed"`) {
			w.log("job %s was accepted and is shown as failed; %d runs of its task were started", id, w.runsOf(id))
			broken++
		}
	}
	w.log("%d of %d accepted jobs are shown as failed; no task of theirs has failed", broken, len(accepted))
	switch {
	case len(accepted) == 0:
		return exitNotRun
	case broken > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
