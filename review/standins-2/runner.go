package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/platform/platformtest"
)

const (
	maxHold      = 6 * time.Second
	stopTime     = 100 * time.Millisecond
	pingInterval = 1500 * time.Millisecond
)

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// recorder collects what happened, with the time since its start.
type recorder struct {
	mu    sync.Mutex
	start time.Time
	lines []string
}

func (r *recorder) now() float64 { return time.Since(r.start).Seconds() }

func (r *recorder) note(format string, args ...any) {
	line := fmt.Sprintf("%8.3f ", r.now()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	r.lines = append(r.lines, line)
	r.mu.Unlock()
}

func (r *recorder) save(path string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return os.WriteFile(path, []byte(strings.Join(r.lines, "\n")+"\n"), 0o644)
}

// span is one run of a task on a runner. end is 0 while it runs.
type span struct {
	runner, task string
	run          int
	start, end   float64
	how          string
}

// activeRun is what a runner runs now.
type activeRun struct {
	run, cpu int
	ends     time.Time
	stopping bool
	span     *span
}

// needs tells the stand-ins what a task needs: the orders do not carry it, so the spec does.
type needs struct {
	Cpu   int //nolint:revive // The name on the wire.
	RunMs int
}

// runner is a sound stand-in of a runner. All its state but the list of spans ends with its process.
type runner struct {
	id, address, label string
	capacity           int
	store              *platformtest.Store
	rec                *recorder
	// fails is set if what runs there fails instead of being done.
	fails bool
	// onStart is called after a start was accepted.
	onStart func(task string, run int)

	mu       sync.Mutex
	server   *http.Server
	cut      bool
	boot     int
	born     time.Time
	fence    int64
	leaseEnd int64
	running  map[string]*activeRun
	refused  map[string]int
	ended    [][5]any
	nextEnd  int64
	changed  chan struct{}
	seq      int
	spans    []*span
}

// startProcess starts the process of the runner, which knows nothing of an earlier one.
func (r *runner) startProcess() error {
	l, err := net.Listen("tcp", r.address)
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.boot++
	boot := r.boot
	r.born, r.fence, r.leaseEnd, r.nextEnd, r.seq = time.Now(), 0, 0, 0, 0
	r.running, r.refused, r.ended = map[string]*activeRun{}, map[string]int{}, nil
	r.changed = make(chan struct{})
	r.server = &http.Server{Handler: r}
	server := r.server
	r.mu.Unlock()
	r.rec.note("runner %s: process %d starts", r.id, boot)
	go func() { _ = server.Serve(&gatedListener{l, r}) }()
	go r.keepTime(boot)
	go r.ping(boot)
	return nil
}

// crash ends the process at once: what ran ends, and connections are reset.
func (r *runner) crash() {
	r.mu.Lock()
	server := r.server
	for task, a := range r.running {
		r.close(task, a, "crash")
	}
	r.boot++
	r.mu.Unlock()
	r.rec.note("runner %s: crashes", r.id)
	_ = server.Close()
}

// setCut cuts the runner off from all machines, or heals the cut. What the cut held up is lost.
func (r *runner) setCut(cut bool) {
	r.mu.Lock()
	r.cut = cut
	r.mu.Unlock()
	r.rec.note("runner %s: cut off: %v", r.id, cut)
}

func (r *runner) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

func (r *runner) close(task string, a *activeRun, how string) {
	a.span.end, a.span.how = r.rec.now(), how
	delete(r.running, task)
	r.rec.note("runner %s: %s run %d ends: %s", r.id, task, a.run, how)
}

// finish lists an end. It requires mu.
func (r *runner) finish(task string, a *activeRun, how string) {
	r.close(task, a, how)
	r.refused[task] = max(r.refused[task], a.run)
	r.nextEnd++
	r.ended = append(r.ended, [5]any{r.nextEnd, task, a.run, how, ""})
	close(r.changed)
	r.changed = make(chan struct{})
}

// clock is the steady clock of the process in milliseconds. It requires mu.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// keepTime ends runs that are done or whose lease has lapsed.
func (r *runner) keepTime(boot int) {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if r.boot != boot {
			r.mu.Unlock()
			return
		}
		for task, a := range r.running {
			switch {
			case a.stopping && time.Now().After(a.ends):
				r.finish(task, a, "stopped")
			case r.clock() >= r.leaseEnd:
				r.finish(task, a, "lapsed")
			case time.Now().After(a.ends) && r.fails:
				r.finish(task, a, "failed")
			case time.Now().After(a.ends):
				r.finish(task, a, "done")
			}
		}
		r.mu.Unlock()
	}
}

// ping registers the runner. A cut concerns only the machines of the system.
func (r *runner) ping(boot int) {
	for {
		r.mu.Lock()
		if r.boot != boot {
			r.mu.Unlock()
			return
		}
		r.seq++
		value, _ := json.Marshal(map[string]any{
			"Service": "booking", "Addr": r.address, "Zone": "nelson", "Version": "v1", "Slots": 8, "State": "ready",
			"ColdLeftMs": 0, "Capacity": map[string]int{"Cpu": r.capacity, "MemMb": 256000, "Gpu": 0},
			"Labels": []string{r.label, "r1-" + r.label}, "ClockMs": r.clock(), "Seq": r.seq, "born": r.born.UnixMilli(),
		})
		r.mu.Unlock()
		r.store.Put("servers/"+r.id, value)
		time.Sleep(pingInterval)
	}
}

// order is the body of every call to a runner.
type order struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      int64
	SeenUpto   int64
	WaitMs     int64
}

func (r *runner) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if want := q.Header.Get("X-Expect-Instance"); want != "" && want != r.id {
		reply(w, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	var o order
	if json.NewDecoder(q.Body).Decode(&o) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	if o.Fence < r.fence {
		r.mu.Unlock()
		r.refuse(w, "fence")
		return
	}
	r.fence = o.Fence
	r.mu.Unlock()
	switch q.URL.Path {
	case "/-/run-start":
		r.start(w, o)
	case "/-/run-stop":
		r.stop(w, o)
	case "/-/hold":
		r.hold(w, q, o)
	case "/-/pace":
		r.accept(w)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (r *runner) refuse(w http.ResponseWriter, reason string) {
	r.mu.Lock()
	clock, born := r.clock(), r.born
	r.mu.Unlock()
	reply(w, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": reason, "born": born.UnixMilli()})
}

func (r *runner) accept(w http.ResponseWriter) {
	r.mu.Lock()
	clock, born := r.clock(), r.born
	r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"ClockMs": clock, "born": born.UnixMilli()})
}

// extend extends the lease. One that is too long is shortened to the longest, and it never shortens. It requires mu.
func (r *runner) extend(deadline int64) {
	r.leaseEnd = max(r.leaseEnd, min(deadline, r.clock()+maxHold.Milliseconds()))
}

func (r *runner) start(w http.ResponseWriter, o order) {
	var n needs
	if json.Unmarshal([]byte(o.Spec), &n) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	r.mu.Lock()
	reason, used := "", 0
	for _, a := range r.running {
		used += a.cpu
	}
	a := r.running[o.Task]
	switch {
	case o.DeadlineMs <= r.clock():
		reason = "late"
	case a != nil && a.run == o.Run:
		r.extend(o.DeadlineMs)
		r.mu.Unlock()
		r.accept(w)
		return
	case o.Run <= r.refused[o.Task] || a != nil:
		reason = "old"
	case used+n.Cpu > r.capacity:
		reason = "room"
	}
	if reason != "late" {
		r.extend(o.DeadlineMs)
	}
	if reason != "" {
		r.mu.Unlock()
		r.refuse(w, reason)
		return
	}
	s := &span{runner: r.id, task: o.Task, run: o.Run, start: r.rec.now()}
	r.spans = append(r.spans, s)
	r.running[o.Task] = &activeRun{run: o.Run, cpu: n.Cpu, ends: time.Now().Add(time.Duration(n.RunMs) * time.Millisecond), span: s}
	clock, leaseEnd, boot := r.clock(), r.leaseEnd, r.boot
	r.mu.Unlock()
	r.rec.note("runner %s: process %d starts %s run %d, clock %d, deadline %d, lease until %d", r.id, boot, o.Task, o.Run, clock, o.DeadlineMs, leaseEnd)
	r.accept(w)
	if r.onStart != nil {
		go r.onStart(o.Task, o.Run)
	}
}

func (r *runner) stop(w http.ResponseWriter, o order) {
	r.mu.Lock()
	r.refused[o.Task] = max(r.refused[o.Task], o.Run)
	if a := r.running[o.Task]; a != nil && a.run == o.Run && !a.stopping {
		a.stopping, a.ends = true, time.Now().Add(stopTime)
		r.rec.note("runner %s: told to stop %s run %d", r.id, o.Task, o.Run)
	}
	r.mu.Unlock()
	r.accept(w)
}

func (r *runner) hold(w http.ResponseWriter, q *http.Request, o order) {
	deadline := time.After(time.Duration(o.WaitMs) * time.Millisecond)
	r.mu.Lock()
	if o.DeadlineMs > 0 {
		r.extend(o.DeadlineMs)
	}
	for len(r.ended) > 0 && r.ended[0][0].(int64) <= o.SeenUpto {
		r.ended = r.ended[1:]
	}
	for waiting := o.WaitMs > 0; waiting && len(r.ended) == 0; {
		changed := r.changed
		r.mu.Unlock()
		select {
		case <-changed:
		case <-deadline:
			waiting = false
		case <-q.Context().Done():
			return
		}
		r.mu.Lock()
	}
	running := [][]any{}
	for task, a := range r.running {
		running = append(running, []any{task, a.run, "", 100, a.cpu})
	}
	sort.Slice(running, func(i, j int) bool { return running[i][0].(string) < running[j][0].(string) })
	ended := append([][5]any{}, r.ended[:min(len(r.ended), 500)]...)
	clock, born := r.clock(), r.born
	r.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"ClockMs": clock, "Running": running, "Ended": ended, "born": born.UnixMilli()})
}

// gatedListener passes no bytes while its runner is cut off.
type gatedListener struct {
	net.Listener
	r *runner
}

func (l *gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedConn{c, l.r}, nil
}

type gatedConn struct {
	net.Conn
	r *runner
}

var errCut = errors.New("the bytes were lost in a cut")

// wait returns at once if the runner is not cut off, and else an error once the cut has healed.
func (c *gatedConn) wait() error {
	if !c.r.isCut() {
		return nil
	}
	for c.r.isCut() {
		time.Sleep(5 * time.Millisecond)
	}
	_ = c.Close()
	return errCut
}

func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if lost := c.wait(); lost != nil {
		return 0, lost
	}
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	if err := c.wait(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
