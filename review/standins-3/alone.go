package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["alone"] = playAlone }

const (
	// slowAnswerTime is 60 times the usual answer time of the store, slowFor how long it is slow: the limits of the site.
	slowAnswerTime = 60 * storeAnswerTime
	slowFor        = 4500 * time.Millisecond
	// downFor is how long the host that comes back is away: below for_s = 9.5 s of the site's power loss.
	downFor = 3500 * time.Millisecond
	// judgeAfter is RecoveryS and finish_s of the site, 12 s and 14 s, after the store is well again.
	judgeAfter = slowFor + 26*time.Second
	longJob    = `{"Spec":"4000","Steps":[{"Count":2,"Cpu":500,"MemMb":256,"EstimateMs":4000,"Checkpoint":true}]}`
)

// playAlone stops all hosts at once. One of them, which does not own the cell, comes back. The store is slow meanwhile.
func playAlone(w *world, trouble bool) int {
	w.putManifest(3, newRoute("old"))
	if w.addWorkers(4) != nil || w.addHosts(3) != nil {
		return exitNotRun
	}
	for _, h := range w.hosts {
		if w.start(h) != nil {
			return exitNotRun
		}
	}
	if !w.awaitReady(w.hosts...) || !await(10*time.Second, func() bool { return w.owner() != nil }) {
		return exitNotRun
	}
	time.Sleep(6 * time.Second)
	owner := w.owner()
	back := w.hosts[0]
	if back == owner {
		back = w.hosts[1]
	}
	var accepted []string
	for i := range 10 {
		id := fmt.Sprintf("%016x", 0xcafe0000+i)
		if status, _ := w.submit(w.hosts[i%len(w.hosts)], "old", id, longJob); status == http.StatusOK {
			accepted = append(accepted, id)
		}
	}
	w.log("%s owns the cell; all hosts lose power, and %s comes back", owner.name, back.name)
	for _, h := range w.hosts {
		h.kill()
	}
	time.Sleep(downFor)
	w.slowDown(trouble)
	if w.start(back) != nil {
		return exitNotRun
	}
	time.Sleep(judgeAfter)
	return w.judgeUnanswered(back, accepted)
}

// slowDown makes the answers of the store slow for slowFor.
func (w *world) slowDown(slow bool) {
	if !slow {
		return
	}
	var over atomic.Bool
	w.log("the store takes %s for an answer", slowAnswerTime)
	w.setTap(func(*host, http.ResponseWriter, *http.Request) bool {
		if !over.Load() {
			time.Sleep(slowAnswerTime - storeAnswerTime)
		}
		return false
	})
	time.AfterFunc(slowFor, func() {
		over.Store(true)
		w.log("the store takes %s for an answer again", storeAnswerTime)
	})
}

// judgeUnanswered asks for the accepted jobs, each up to three times within 3 s.
func (w *world) judgeUnanswered(h *host, accepted []string) int {
	unanswered := 0
	for _, id := range accepted {
		answered := false
		for try := 0; try < 3 && !answered; try++ {
			status, _ := w.state(h, "old", id)
			if answered = status == http.StatusOK; !answered {
				time.Sleep(time.Second)
			}
		}
		if !answered {
			unanswered++
		}
	}
	status, _ := w.submit(h, "old", "00000000beef0001", longJob)
	name := "nobody"
	if o := w.owner(); o != nil {
		name = o.name
	}
	w.log("%d of %d accepted jobs got no answer; a new job got %d; the cell is owned by %s", unanswered, len(accepted), status, name)
	switch {
	case len(accepted) == 0:
		return exitNotRun
	case unanswered > 0:
		return exitBroken
	default:
		return exitHeld
	}
}
