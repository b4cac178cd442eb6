package main

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxLease is MaxHoldMs, the longest lease that a worker grants.
	maxLease = 6 * time.Second
	// stopTime is how long a stop takes. StopMs allows 900 ms.
	stopTime = 50 * time.Millisecond
	// maxListedEnds is the number of ends that a worker lists at a time.
	maxListedEnds = 500
	// heartbeat is HeartbeatMs, the time between two registrations.
	heartbeat = 1500 * time.Millisecond
)

// runKey names one run of a task.
type runKey struct {
	task string
	run  int
}

// ended is a row of the ended runs.
type ended struct {
	number int64
	runKey
	how string
}

// worker is a stand-in of a runner. Its id, address and capacity stay the same over its lives.
type worker struct {
	id, address string
	cluster     *cluster
	// server serves the present life. Only the goroutine that begins and ends lives uses it.
	server *http.Server

	// mu guards the fields below, because calls are served concurrently.
	mu sync.Mutex
	// up is false while the process of the worker is down.
	up       bool
	life     int
	bornAt   time.Time
	seq      int
	fence    int64
	deadline time.Duration
	running  map[runKey]*time.Timer
	// highest holds, by task, the highest run that was stopped or has ended.
	highest map[string]int
	ends    []ended
	nextEnd int64
	// news is closed and replaced with each end.
	news chan struct{}
}

// clock returns the time of the worker's steady clock. It requires mu.
func (w *worker) clock() time.Duration {
	return time.Since(w.bornAt)
}

// begin starts a life of the worker, which knows nothing of earlier ones.
func (w *worker) begin() error {
	l, err := net.Listen("tcp", w.address)
	if err != nil {
		return fmt.Errorf("worker %s: %w", w.id, err)
	}
	w.address = l.Addr().String()
	w.server = &http.Server{Handler: w.handler(), ReadHeaderTimeout: time.Minute}
	w.mu.Lock()
	w.up = true
	w.life++
	w.bornAt = time.Now()
	w.seq, w.fence, w.deadline, w.nextEnd = 0, 0, 0, 1
	w.running, w.highest, w.ends = make(map[runKey]*time.Timer), make(map[string]int), nil
	w.news = make(chan struct{})
	life := w.life
	w.mu.Unlock()
	w.cluster.record("worker %s begins life %d", w.id, life)
	go func() { _ = w.server.Serve(l) }()
	go w.register(life)
	return nil
}

// end ends a life of the worker as a crash does: nothing runs any more, and its connections and its port are closed.
func (w *worker) end() {
	_ = w.server.Close()
	w.mu.Lock()
	w.up = false
	for key, t := range w.running {
		t.Stop()
		w.cluster.runs.broken(key)
	}
	w.running = make(map[runKey]*time.Timer)
	close(w.news)
	w.news = make(chan struct{})
	life := w.life
	w.mu.Unlock()
	w.cluster.record("worker %s crashes in life %d", w.id, life)
}

// register writes the registration of the worker with each heartbeat of a life.
func (w *worker) register(life int) {
	for {
		w.mu.Lock()
		if !w.up || w.life != life {
			w.mu.Unlock()
			return
		}
		w.seq++
		value := fmt.Sprintf(`{"Service":%q,"Addr":%q,"Zone":%q,"Version":"v1","Slots":8,"State":"ready","ColdLeftMs":0,`+
			`"Capacity":{"Cpu":64000,"MemMb":256000,"Gpu":0},"Labels":["a","r1-1"],"ClockMs":%d,"Seq":%d,"born":%d}`,
			serviceName, w.address, zoneNames[0], w.clock().Milliseconds(), w.seq, w.bornAt.UnixMilli())
		w.mu.Unlock()
		w.cluster.store.write("servers/"+w.id, []byte(value), 0)
		time.Sleep(heartbeat)
	}
}

// extend extends the lease of all runs to a time of the worker's clock. It requires mu.
func (w *worker) extend(until time.Duration) {
	w.deadline = max(w.deadline, min(until, w.clock()+maxLease))
}

// admit checks the fence of an order, and reports whether the worker obeys it. It requires mu.
func (w *worker) admit(fence int64) bool {
	if fence < w.fence {
		return false
	}
	w.fence = fence
	return true
}

// start begins a run. It returns the reason of a refusal, or an empty string.
func (w *worker) start(key runKey, spec string, until time.Duration, fence int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(fence) {
		return "fence"
	}
	if until <= w.clock() {
		return "late"
	}
	w.extend(until)
	if _, there := w.running[key]; there {
		return ""
	}
	if key.run <= w.highest[key.task] {
		return "old"
	}
	duration, how := outcomeOf(spec)
	life := w.life
	w.running[key] = time.AfterFunc(duration, func() { w.finish(life, key, how) })
	w.cluster.runs.started(key, w.id)
	return ""
}

// outcomeOf returns how long a task with a spec runs and how it ends: "MS" or "MS fail".
func outcomeOf(spec string) (time.Duration, string) {
	ms, failing, _ := strings.Cut(spec, " ")
	n, _ := strconv.Atoi(ms)
	if failing == "fail" {
		return time.Duration(n) * time.Millisecond, "failed"
	}
	return time.Duration(n) * time.Millisecond, "done"
}

// finish ends a run of a life.
func (w *worker) finish(life int, key runKey, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, there := w.running[key]; !there || life != w.life || !w.up {
		return
	}
	w.running[key].Stop()
	delete(w.running, key)
	w.highest[key.task] = max(w.highest[key.task], key.run)
	w.ends = append(w.ends, ended{number: w.nextEnd, runKey: key, how: how})
	w.nextEnd++
	w.cluster.runs.ended(key, how)
	close(w.news)
	w.news = make(chan struct{})
}

// stop ends a run, or makes the worker refuse it if it has not arrived.
func (w *worker) stop(key runKey, fence int64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.admit(fence) {
		return false
	}
	life := w.life
	w.highest[key.task] = max(w.highest[key.task], key.run)
	if _, there := w.running[key]; there {
		time.AfterFunc(stopTime, func() { w.finish(life, key, "stopped") })
	}
	return true
}

// forget drops the ends up to a number that the caller has seen. It requires mu.
func (w *worker) forget(upTo int64) {
	kept := w.ends[:0]
	for _, e := range w.ends {
		if e.number <= upTo {
			w.cluster.runs.noted(e.runKey, w.id, upTo)
			continue
		}
		kept = append(kept, e)
	}
	w.ends = kept
}

// lapse kills everything once the lease has ended, until stop is closed.
func (w *worker) lapse(stop <-chan struct{}) {
	tick := time.NewTicker(10 * time.Millisecond)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			w.mu.Lock()
			life := w.life
			var lapsed []runKey
			if w.up && w.clock() >= w.deadline {
				for key := range w.running {
					lapsed = append(lapsed, key)
				}
			}
			w.mu.Unlock()
			for _, key := range lapsed {
				w.finish(life, key, "lapsed")
			}
		case <-stop:
			return
		}
	}
}
