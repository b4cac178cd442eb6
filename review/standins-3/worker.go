package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// worker is a sound stand-in of a runner. It works on a task for as many milliseconds as its Spec says.
type worker struct {
	w    *world
	id   string
	addr string
	born int64

	mu       sync.Mutex
	fence    uint64
	deadline int64
	running  map[string]*task
	ended    []end
	nextEnd  int64
	// highest is the highest run of each task that was stopped or has ended here.
	highest map[string]uint32
	changed chan struct{}
	seq     int
	// started counts the runs that were started, by the id of their job.
	started map[string]int
}

type task struct {
	run    uint32
	begun  time.Time
	endsAt time.Time
}

type end struct {
	number int64
	task   string
	run    uint32
	how    string
}

// Bounds of the site: the longest lease, and how long a stop takes here, which is below StopMs.
const (
	maxHoldMs = 6000
	stopTime  = 50 * time.Millisecond
	workerCPU = 64000
	workerMem = 256000
)

// addWorkers starts n workers and registers them.
func (w *world) addWorkers(n int) error {
	for i := range n {
		k := &worker{
			w: w, id: fmt.Sprintf("i-%08x", 0x5000+i), born: time.Now().UnixMilli(),
			running: make(map[string]*task), highest: make(map[string]uint32), changed: make(chan struct{}),
			started: make(map[string]int),
		}
		var err error
		if k.addr, err = w.serve(k); err != nil {
			return err
		}
		w.workers = append(w.workers, k)
		k.register()
		go k.beat()
		go k.work()
	}
	return nil
}

func (k *worker) clock() int64 { return time.Now().UnixMilli() - k.born + 1000 }

func (k *worker) register() {
	k.mu.Lock()
	k.seq++
	seq := k.seq
	k.mu.Unlock()
	body, _ := json.Marshal(map[string]any{
		"Service": service, "Addr": k.addr, "Zone": "nelson", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
		"Capacity": map[string]int{"Cpu": workerCPU, "MemMb": workerMem, "Gpu": 0}, "Labels": []string{"a", "r1-1"},
		"ClockMs": k.clock(), "Seq": seq, "born": k.born,
	})
	k.w.store.Put("servers/"+k.id, body)
}

func (k *worker) beat() {
	for range time.Tick(1500 * time.Millisecond) {
		k.register()
	}
}

// work ends the tasks that are done and, when the lease has lapsed, all of them.
func (k *worker) work() {
	for range time.Tick(10 * time.Millisecond) {
		k.mu.Lock()
		lapsed := k.clock() > k.deadline
		for name, t := range k.running {
			switch {
			case lapsed:
				k.finish(name, t, "lapsed")
			case time.Now().After(t.endsAt):
				k.finish(name, t, "done")
			}
		}
		k.mu.Unlock()
	}
}

// finish notes the end of a run. It requires mu.
func (k *worker) finish(name string, t *task, how string) {
	delete(k.running, name)
	k.nextEnd++
	k.ended = append(k.ended, end{k.nextEnd, name, t.run, how})
	k.highest[name] = max(k.highest[name], t.run)
	k.w.log("worker %s: run %d of task %s has ended: %s", k.id, t.run, name, how)
	close(k.changed)
	k.changed = make(chan struct{})
}

// order is the body of every call.
type order struct {
	Task, Spec, Saved string
	Run               uint32
	DeadlineMs        int64
	SeenUpto, WaitMs  int64
	Fence             uint64
}

// ServeHTTP implements http.Handler.
func (k *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		rw.WriteHeader(http.StatusOK)
		return
	}
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != k.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if o.Fence < k.fence {
		k.reply(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	k.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		k.start(rw, o)
	case "/-/run-stop":
		k.stop(o)
		k.reply(rw, http.StatusOK, map[string]any{})
	case "/-/pace":
		k.reply(rw, http.StatusOK, map[string]any{})
	case "/-/hold":
		k.hold(rw, o)
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}

// reply answers with the clock added. It requires mu.
func (k *worker) reply(rw http.ResponseWriter, status int, body map[string]any) {
	body["ClockMs"], body["born"] = k.clock(), k.born
	rw.Header().Set("Content-Type", "application/json")
	rw.WriteHeader(status)
	_ = json.NewEncoder(rw).Encode(body)
}

func (k *worker) extend(deadline int64) {
	k.deadline = max(k.deadline, min(deadline, k.clock()+maxHoldMs))
}

// start carries out a start. It requires mu.
func (k *worker) start(rw http.ResponseWriter, o order) {
	refuse := func(reason string) { k.reply(rw, http.StatusConflict, map[string]any{"Reason": reason}) }
	if o.DeadlineMs < k.clock() {
		refuse("late")
		return
	}
	k.extend(o.DeadlineMs)
	if t := k.running[o.Task]; t != nil && t.run == o.Run {
		k.reply(rw, http.StatusOK, map[string]any{})
		return
	}
	if o.Run <= k.highest[o.Task] || k.running[o.Task] != nil {
		refuse("old")
		return
	}
	text, _, _ := strings.Cut(o.Spec, " ")
	ms, _ := strconv.Atoi(text)
	now := time.Now()
	k.running[o.Task] = &task{run: o.Run, begun: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond)}
	job, _, _ := strings.Cut(o.Task, ".")
	k.started[job]++
	k.w.log("worker %s: run %d of task %s starts, spec %q", k.id, o.Run, o.Task, o.Spec)
	k.reply(rw, http.StatusOK, map[string]any{})
}

// stop ends a run some time later. It requires mu.
func (k *worker) stop(o order) {
	k.highest[o.Task] = max(k.highest[o.Task], o.Run)
	t := k.running[o.Task]
	if t == nil || t.run > o.Run {
		return
	}
	time.AfterFunc(stopTime, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.running[o.Task] == t {
			k.finish(o.Task, t, "stopped")
		}
	})
}

// hold answers once there is an end, or after the wait. It requires mu, which it releases while it waits.
func (k *worker) hold(rw http.ResponseWriter, o order) {
	k.extend(o.DeadlineMs)
	for len(k.ended) > 0 && k.ended[0].number <= o.SeenUpto {
		k.ended = k.ended[1:]
	}
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	for waiting := o.WaitMs > 0; waiting && len(k.ended) == 0; {
		changed := k.changed
		k.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		}
		k.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for name, t := range k.running {
		percent := 0
		if time.Since(t.begun) > 100*time.Millisecond {
			percent = 100
		}
		running = append(running, []any{name, t.run, "", percent, 0})
	}
	for _, e := range k.ended {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	k.reply(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ended})
}
