package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/platform/platformtest"
)

const (
	// restartTime is how long the crashed process of a runner is away, and cutTime how long the runner is cut off
	// afterwards.
	restartTime = 750 * time.Millisecond
	cutTime     = 5500 * time.Millisecond
)

// crashThenCut lets a runner crash and start again under its id, and cuts it off shortly after it has taken a task.
func crashThenCut(w *world) (bool, error) {
	if err := w.setUp(3, "a", "b"); err != nil {
		return false, err
	}
	first := w.runners[0]
	// The second runner is full for the next seconds, so that the job comes to the first.
	if err := w.submit("00000000000000b1", step{Count: 1, Cpu: 8000, MemMb: 1000, EstimateMs: 4000, Requires: "b"}, 4*time.Second); err != nil {
		return false, err
	}
	time.Sleep(300 * time.Millisecond)
	var cuts atomic.Int32
	if w.trouble {
		first.onStart = func(string, int) {
			if cuts.Add(1) > 1 {
				return
			}
			time.Sleep(100 * time.Millisecond)
			first.setCut(true)
			time.Sleep(cutTime)
			first.setCut(false)
		}
		first.crash()
		time.Sleep(restartTime)
		if err := first.startProcess(); err != nil {
			return false, err
		}
		time.Sleep(50 * time.Millisecond)
	}
	if err := w.submit("00000000000000a1", step{Count: 1, Cpu: 5000, MemMb: 1000, EstimateMs: 8000}, 8*time.Second); err != nil {
		return false, err
	}
	time.Sleep(18 * time.Second)
	return w.overlaps() > 0, nil
}

const (
	// outage is how long the store is down, longer than any lease. It is slow for slowTime afterwards, and silent for
	// silentTime from silentFrom on.
	outage, slowTime       = 4500 * time.Millisecond, 4500 * time.Millisecond
	silentFrom, silentTime = 1170 * time.Millisecond, 2 * time.Second
	// earlierJobs are handed in before, one after the other.
	earlierJobs = 200
	// askAfter is how long after the end of the disturbance jobs are asked for, and askFor for how long.
	askAfter, askFor = 14 * time.Second, 6 * time.Second
)

// storeDropsOut lets the store be down, come back slow, and then be silent for a moment.
func storeDropsOut(w *world) (bool, error) {
	if err := w.setUp(3, "a", "b"); err != nil {
		return false, err
	}
	w.store.OnDrop = func(call string) { w.rec.note("the store drops %s", call) }
	id := ""
	// The jobs of some seconds make the owner write a snapshot, as it does in service.
	for n := range earlierJobs {
		id = fmt.Sprintf("00000000000d%04x", n)
		if err := w.submit(id, step{Count: 1, Cpu: 100, MemMb: 100, EstimateMs: 20}, 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.rec.note("the store is down")
		w.store.SetMood(platformtest.MoodBusy)
		time.Sleep(outage)
		w.rec.note("the store is back, and slow")
		w.store.SetMood(platformtest.MoodSlow)
		time.Sleep(silentFrom)
		w.rec.note("the store does not answer")
		w.store.SetMood(platformtest.MoodSilent)
		time.Sleep(silentTime)
		w.rec.note("the store is slow")
		w.store.SetMood(platformtest.MoodSlow)
		time.Sleep(slowTime - silentFrom - silentTime)
		w.rec.note("the store is well")
		w.store.SetMood(platformtest.MoodWell)
	}
	time.Sleep(askAfter)
	for deadline := time.Now().Add(askFor); time.Now().Before(deadline); time.Sleep(500 * time.Millisecond) {
		for _, p := range w.relays {
			if status, _ := call(w.rec, p, http.MethodGet, id, nil); status == http.StatusOK {
				return false, nil
			}
		}
	}
	w.rec.note("LOST: job %s was accepted, and no machine tells its state %s after the end of the disturbance", id, askAfter)
	return true, nil
}

// cancelTime is how long after an acknowledged cancellation tasks may start.
const cancelTime = 3 * time.Second

// cancelLost lets a task of a job fail for good while the store is down. The client cancels the job, which is
// acknowledged. Then the owner of the cell is killed, and the runner that knows of the failure crashes.
func cancelLost(w *world) (bool, error) {
	if err := w.setUp(3, "a", "b"); err != nil {
		return false, err
	}
	const id = "00000000000000e1"
	failing := w.runners[0]
	failing.fails = true
	body := map[string]any{
		"Spec": `{"Cpu":1000,"RunMs":2000}`,
		"Steps": []step{
			{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 2000, Requires: "a"},
			{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 2000, Requires: "b"},
			{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 2000, Requires: "b", After: []int{1}},
			{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 2000, Requires: "b", After: []int{2}},
			{Count: 1, Cpu: 1000, MemMb: 1000, EstimateMs: 2000, Requires: "b", After: []int{3}},
		},
	}
	if status, _ := call(w.rec, w.relays[0], http.MethodPost, id, body); status != http.StatusOK {
		return false, fmt.Errorf("the job was not accepted: %d", status)
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		w.rec.note("the store is down")
		w.store.SetMood(platformtest.MoodBusy)
	}
	// The first task fails 2 s after its start.
	time.Sleep(1800 * time.Millisecond)
	acknowledged := 0.0
	for n := 0; acknowledged == 0; n++ {
		if status, _ := call(w.rec, w.relays[n%len(w.relays)], http.MethodDelete, id, nil); status == http.StatusOK || status == http.StatusGone {
			acknowledged = w.rec.now()
		}
	}
	if w.trouble {
		owner := w.owner()
		w.rec.note("%s, the owner, is killed", owner.name)
		owner.kill()
		failing.crash()
		failing.fails = false
		time.Sleep(time.Second)
		if err := owner.start(); err != nil {
			return false, err
		}
		if err := failing.startProcess(); err != nil {
			return false, err
		}
		time.Sleep(outage - 3300*time.Millisecond)
		w.rec.note("the store is well")
		w.store.SetMood(platformtest.MoodWell)
	}
	time.Sleep(25 * time.Second)
	call(w.rec, w.relays[0], http.MethodGet, id, nil)
	broken := false
	for _, s := range w.spans() {
		if s.start > acknowledged+cancelTime.Seconds() {
			broken = true
			w.rec.note("UNASKED: %s run %d was started %.3f s after the cancelling was acknowledged", s.task, s.run, s.start-acknowledged)
		}
	}
	return broken, nil
}
