// Package worker simulates the platform's workers for tests and the demo, in-process or over the worker protocol. A
// simulated worker runs tasks under leases by its own clock, rejects calls from owners with an outdated epoch, reports
// usage with a lag, and records every execution so that tests can check them.
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

// DefaultUsageLag is the default age of the usage measurements that a worker reports.
const DefaultUsageLag = 5 * time.Second

// Config describes a worker. Zero fields take the defaults.
type Config struct {
	ID       ident.WorkerID
	Rack     ident.Rack
	Capacity resource.Vector
	// Now is the worker's own clock; time.Now by default.
	Now func() time.Time
	// UsageLag is the age of reported usage. An attempt reports none before it has run that long.
	UsageLag time.Duration
	// Interference returns the factor, at least 1, by which a task of one class is slowed down by a task of another
	// class on the same worker. The default is 1 for all classes.
	Interference func(task, other ident.ClassName) float64
	// Recorder records the executions; by default the worker has a recorder of its own.
	Recorder *Recorder
}

// Fault is the set of failures injected into a worker.
type Fault struct {
	// FailAll makes each task fail failAllDelay after its start.
	FailAll bool
	// SlowFactor is the divisor of the speed of each task; 0 means no change.
	SlowFactor float64
	// UsageFactor is the multiplier of the reported usage; 0 means no change.
	UsageFactor float64
	// RefuseCheckpoints makes the worker refuse each Checkpoint call.
	RefuseCheckpoints bool
}

// Worker is a simulated worker. It is safe for concurrent use.
type Worker struct {
	cfg Config

	// mu guards all fields below. It is held from the check of epoch, lease and capacity to the resulting change, so
	// that each call is atomic.
	mu          sync.Mutex
	epoch       ident.Epoch
	cell        ident.CellID
	incarnation int
	leaving     bool
	fault       Fault
	active      map[ident.TaskID]*task
	ended       map[lifecycle.AttemptID]lifecycle.EndedAttempt
	// refusedUntil holds the attempts that were stopped before their start arrived. A later start is refused until the
	// given time. After that, its token has expired, and it is refused for that reason.
	refusedUntil map[lifecycle.AttemptID]time.Time
	// endCount is the number of attempts that have ended, and reportedEndCount its value at the last report. A sync
	// returns at once if they differ.
	endCount         int
	reportedEndCount int
	// endRecorded is closed and replaced when there is an end to report.
	endRecorded chan struct{}
	// endTimer fires at the earliest expected end of a task.
	endTimer *time.Timer
}

// task is the active attempt of a task.
type task struct {
	attempt lifecycle.AttemptID
	class   ident.ClassName
	booked  resource.Vector
	plan    plan
	// progress is the work done until updatedAt, in time at full speed.
	progress time.Duration
	// speed is the progress per unit of time.
	speed float64
	// cpuFraction is the share of the booked processors that the task may use.
	cpuFraction float64
	updatedAt   time.Time
	startedAt   time.Time
	leaseEnd    time.Time
	checkpoint  string
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
	w := &Worker{cfg: c, endRecorded: make(chan struct{})}
	w.reset()
	return w
}

// reset clears the tasks and ends that a process of the worker knows, and begins a new incarnation.
func (w *Worker) reset() {
	w.incarnation++
	w.active = make(map[ident.TaskID]*task)
	w.ended = make(map[lifecycle.AttemptID]lifecycle.EndedAttempt)
	w.refusedUntil = make(map[lifecycle.AttemptID]time.Time)
}

// Member returns the entry of the worker in the host list.
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
	w.reschedule()
}

// SetLeaving makes the worker refuse new tasks.
func (w *Worker) SetLeaving(leaving bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.leaving = leaving
}

// Crash simulates a crash of the worker followed by its restart: all tasks end without a report, and the new process
// knows neither the earlier attempts nor the epoch with which the worker was claimed.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	for _, t := range w.active {
		w.cfg.Recorder.recordEnd(w.cfg.ID, t, EndCrashed, w.cfg.Now())
	}
	w.cfg.Recorder.recordLoss(w.cfg.ID, w.cfg.Now())
	w.reset()
	w.epoch = 0
	w.reschedule()
}

// Cell returns the cell whose owner claimed the worker last.
func (w *Worker) Cell() ident.CellID {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cell
}

// RunningTasks returns the number of active tasks.
func (w *Worker) RunningTasks() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	return len(w.active)
}

// token returns a lease token, which holds the incarnation of the worker and the time of its clock.
func (w *Worker) token(now time.Time) string {
	return fmt.Sprintf("%d/%d", w.incarnation, now.UnixNano())
}

// leaseEndFor returns the end of a lease that runs from the time of a token. The token is invalid if it is malformed or
// was issued by an earlier process of the worker.
func (w *Worker) leaseEndFor(token string) (leaseEnd time.Time, valid bool) {
	tokenIncarnation, timestamp, found := strings.Cut(token, "/")
	if !found || tokenIncarnation != strconv.Itoa(w.incarnation) {
		return time.Time{}, false
	}
	nanoseconds, err := strconv.ParseInt(timestamp, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return time.Unix(0, nanoseconds).Add(lifecycle.LeaseDuration), true
}

// allocation returns the resources that a task occupies: those booked, with the processors reduced if it is throttled.
func (t *task) allocation() resource.Vector {
	v := t.booked
	v.MilliCPU = int64(math.Ceil(float64(v.MilliCPU) * t.cpuFraction))
	return v
}

// allocated returns the sum of the allocations of all active tasks.
func (w *Worker) allocated() resource.Vector {
	var sum resource.Vector
	for _, t := range w.active {
		sum = sum.Add(t.allocation())
	}
	return sum
}

// advance updates the progress of all tasks to the current time and ends those that are complete, that fail, or whose
// lease has expired.
func (w *Worker) advance() {
	now := w.cfg.Now()
	for _, t := range w.active {
		t.progress += time.Duration(float64(now.Sub(t.updatedAt)) * t.speed)
		t.updatedAt = now
	}
	for _, t := range w.active {
		switch {
		case !now.Before(t.leaseEnd):
			w.endTask(t, lifecycle.EndLapsed, "")
		case t.progress >= t.plan.failAt && t.plan.failAt > 0:
			w.endTask(t, lifecycle.EndFailed, t.plan.failMessage)
		case w.fault.FailAll && now.Sub(t.startedAt) >= failAllDelay:
			w.endTask(t, lifecycle.EndFailed, "worker fault")
		case t.progress >= t.plan.workTime:
			w.endTask(t, lifecycle.EndDone, "")
		}
	}
	for id, until := range w.refusedUntil {
		if now.After(until) {
			delete(w.refusedUntil, id)
		}
	}
}

// failAllDelay is how long a task runs before it fails under Fault.FailAll.
const failAllDelay = 100 * time.Millisecond

// endTask ends an active task. The end is reported until the owner acknowledges it.
func (w *Worker) endTask(t *task, end lifecycle.End, message string) {
	delete(w.active, t.attempt.Task)
	w.ended[t.attempt] = lifecycle.EndedAttempt{
		AttemptID: t.attempt, End: end, Checkpoint: lifecycle.Checkpoint{ID: t.checkpoint}, Message: message,
	}
	w.endCount++
	w.cfg.Recorder.recordEnd(w.cfg.ID, t, end, w.cfg.Now())
}

// reschedule recomputes the speed of each task, sets the timer to the earliest end of a task, and wakes the syncs that
// wait if there is an end to report. It must be called after each change of the tasks, faults or limits.
func (w *Worker) reschedule() {
	now := w.cfg.Now()
	var next time.Duration = -1
	for _, t := range w.active {
		t.speed = w.speedOf(t)
		untilEnd := t.leaseEnd.Sub(now)
		endProgress := t.plan.workTime
		if t.plan.failAt > 0 {
			endProgress = min(endProgress, t.plan.failAt)
		}
		if t.speed > 0 {
			untilEnd = min(untilEnd, time.Duration(float64(endProgress-t.progress)/t.speed)+time.Microsecond)
		}
		if w.fault.FailAll {
			untilEnd = min(untilEnd, t.startedAt.Add(failAllDelay).Sub(now))
		}
		if next < 0 || untilEnd < next {
			next = max(untilEnd, time.Microsecond)
		}
	}
	if w.endTimer != nil {
		w.endTimer.Stop()
	}
	if next >= 0 {
		w.endTimer = time.AfterFunc(next, w.onEndTimer)
	}
	if w.endCount > w.reportedEndCount {
		close(w.endRecorded)
		w.endRecorded = make(chan struct{})
	}
}

func (w *Worker) onEndTimer() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	w.reschedule()
}

func (w *Worker) speedOf(t *task) float64 {
	speed := t.cpuFraction / w.slowdown(t)
	if w.fault.SlowFactor > 0 {
		speed /= w.fault.SlowFactor
	}
	return speed
}

// slowdown returns the factor by which the other tasks on the worker slow t down.
func (w *Worker) slowdown(t *task) float64 {
	product := 1.0
	for _, other := range w.active {
		if other != t {
			product *= w.cfg.Interference(t.class, other.class)
		}
	}
	return product
}
