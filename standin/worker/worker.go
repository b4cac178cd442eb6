// Package worker is the stand-in for the platform's workers: it runs simulated tasks under leases on its own clock,
// fences owners by epoch, reports usage with a lag and records what ran, for checking. It serves tests and the demo,
// in-process or over the worker protocol.
package worker

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// DefaultUsageLag is the age of the usage that a worker reports.
const DefaultUsageLag = 5 * time.Second

// Config describes a worker. Zero fields take the defaults.
type Config struct {
	ID       ident.WorkerID
	Rack     ident.Rack
	Capacity resource.Vector
	// Now is the worker's own clock; time.Now by default.
	Now      func() time.Time
	UsageLag time.Duration
	// Interference returns how much a task of one class is slowed down by one of another beside it, at least 1.
	Interference func(task, beside ident.ClassName) float64
	Recorder     *Recorder
}

// Fault is the set of failures injected into a worker.
type Fault struct {
	// FailAll makes each task fail soon after its start.
	FailAll bool
	// SlowFactor divides the speed of each task; 0 means no change.
	SlowFactor float64
	// UsageFactor multiplies the reported usage; 0 means no change.
	UsageFactor float64
	// RefuseCheckpoints refuses checkpoints.
	RefuseCheckpoints bool
}

// Worker runs tasks. It is safe for concurrent use.
type Worker struct {
	cfg Config

	// mu guards everything below: a check of epoch, lease and capacity and its effect are one step.
	mu          sync.Mutex
	epoch       ident.Epoch
	cell        ident.CellID
	incarnation int
	leaving     bool
	fault       Fault
	active      map[ident.TaskID]*task
	ended       map[lifecycle.AttemptID]lifecycle.EndedAttempt
	// refuse holds attempts that were stopped before they were seen, until no start of them can be valid.
	refuse map[lifecycle.AttemptID]time.Time
	// version counts the ends; a sync that has reported an older one answers at once.
	version  int
	reported int
	changed  chan struct{}
	timer    *time.Timer
}

type task struct {
	run     lifecycle.AttemptID
	class   ident.ClassName
	booked  resource.Vector
	plan    plan
	done    time.Duration
	speed   float64
	limit   float64
	updated time.Time
	started time.Time
	lease   time.Time
	saved   string
}

// New returns an idle worker.
func New(c Config) *Worker {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.UsageLag == 0 {
		c.UsageLag = DefaultUsageLag
	}
	if c.Interference == nil {
		c.Interference = func(_, _ ident.ClassName) float64 { return 1 }
	}
	if c.Recorder == nil {
		c.Recorder = NewRecorder()
	}
	w := &Worker{cfg: c, changed: make(chan struct{})}
	w.reset()
	return w
}

func (w *Worker) reset() {
	w.incarnation++
	w.active = make(map[ident.TaskID]*task)
	w.ended = make(map[lifecycle.AttemptID]lifecycle.EndedAttempt)
	w.refuse = make(map[lifecycle.AttemptID]time.Time)
}

// Member returns the worker as the host list shows it.
func (w *Worker) Member() lifecycle.Member {
	w.mu.Lock()
	defer w.mu.Unlock()
	return lifecycle.Member{ID: w.cfg.ID, Rack: w.cfg.Rack, Leaving: w.leaving}
}

// SetFault replaces the injected faults.
func (w *Worker) SetFault(f Fault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.fault = f
	w.settle()
}

// SetLeaving makes the worker refuse new tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Crash ends all tasks without a trace, as the loss of the host does. The worker then runs as a new process, which
// knows neither its tasks nor the epoch with which it was claimed.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.active {
		w.cfg.Recorder.stop(w.cfg.ID, t, EndCrashed, w.cfg.Now())
	}
	w.cfg.Recorder.forget(w.cfg.ID, w.cfg.Now())
	w.reset()
	w.epoch = 0
	w.settle()
}

// RunningTasks returns the number of tasks that run.
func (w *Worker) RunningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.active)
}

func (w *Worker) token(now time.Time) string {
	return fmt.Sprintf("%d/%d", w.incarnation, now.UnixNano())
}

// leaseOf returns the end of a lease that runs from the time of a token; ok is false for a token of another process.
func (w *Worker) leaseOf(token string) (lease time.Time, ok bool) {
	process, at, found := strings.Cut(token, "/")
	if !found || process != strconv.Itoa(w.incarnation) {
		return time.Time{}, false
	}
	ns, err := strconv.ParseInt(at, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(0, ns).Add(lifecycle.LeaseDuration), true
}

// held returns what a task takes of its worker: a throttled task leaves the rest of its processors to others.
func (t *task) held() resource.Vector {
	v := t.booked
	v.MilliCPU = int64(math.Ceil(float64(v.MilliCPU) * t.limit))
	return v
}

func (w *Worker) used() resource.Vector {
	var sum resource.Vector
	for _, t := range w.active {
		sum = sum.Add(t.held())
	}
	return sum
}

// advance brings the progress of all tasks up to now and ends those that are complete or have lost their lease.
func (w *Worker) advance() {
	now := w.cfg.Now()
	for _, t := range w.active {
		t.done += time.Duration(float64(now.Sub(t.updated)) * t.speed)
		t.updated = now
	}
	for _, t := range w.active {
		switch {
		case !now.Before(t.lease):
			w.end(t, lifecycle.EndLapsed, "")
		case t.done >= t.plan.failAt && t.plan.failAt > 0:
			w.end(t, lifecycle.EndFailed, t.plan.failure)
		case w.fault.FailAll && now.Sub(t.started) >= failDelay:
			w.end(t, lifecycle.EndFailed, "worker fault")
		case t.done >= t.plan.work:
			w.end(t, lifecycle.EndDone, "")
		}
	}
	for r, until := range w.refuse {
		if now.After(until) {
			delete(w.refuse, r)
		}
	}
}

// failDelay is how long a task runs on a worker that fails everything.
const failDelay = 100 * time.Millisecond

// end records the end of a task and keeps it for the owner.
func (w *Worker) end(t *task, how lifecycle.End, message string) {
	delete(w.active, t.run.Task)
	w.ended[t.run] = lifecycle.EndedAttempt{
		AttemptID: t.run, End: how, Checkpoint: lifecycle.Checkpoint{ID: t.saved}, Message: message,
	}
	w.version++
	w.cfg.Recorder.stop(w.cfg.ID, t, how, w.cfg.Now())
}

// settle recomputes speeds and arms the timer for the next end of a task. It is called after each change.
func (w *Worker) settle() {
	now := w.cfg.Now()
	var next time.Duration = -1
	for _, t := range w.active {
		t.speed = w.speedOf(t)
		d := t.lease.Sub(now)
		goal := t.plan.work
		if t.plan.failAt > 0 {
			goal = min(goal, t.plan.failAt)
		}
		if t.speed > 0 {
			d = min(d, time.Duration(float64(goal-t.done)/t.speed)+time.Microsecond)
		}
		if w.fault.FailAll {
			d = min(d, t.started.Add(failDelay).Sub(now))
		}
		if next < 0 || d < next {
			next = max(d, time.Microsecond)
		}
	}
	if w.timer != nil {
		w.timer.Stop()
	}
	if next >= 0 {
		w.timer = time.AfterFunc(next, w.onTimer)
	}
	if w.version > w.reported {
		close(w.changed)
		w.changed = make(chan struct{})
	}
}

func (w *Worker) onTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.settle()
}

func (w *Worker) speedOf(t *task) float64 {
	speed := t.limit / w.slowdown(t)
	if w.fault.SlowFactor > 0 {
		speed /= w.fault.SlowFactor
	}
	return speed
}

// slowdown multiplies the interference of each task beside t.
func (w *Worker) slowdown(t *task) float64 {
	s := 1.0
	for _, other := range w.active {
		if other != t {
			s *= w.cfg.Interference(t.class, other.class)
		}
	}
	return s
}
