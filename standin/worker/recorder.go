package worker

import (
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// EndCrashed is the recorded end of a task whose worker crashed; no worker reports it.
const EndCrashed lifecycle.End = 255

// Execution is one recorded attempt, from start to end.
type Execution struct {
	lifecycle.AttemptID
	Worker ident.WorkerID
	// Epoch is that of the owner that started the attempt.
	Epoch ident.Epoch
	// ResumedFrom is the checkpoint that the attempt resumed from.
	ResumedFrom string
	StartedAt   time.Time
	// Stopped is false while the attempt runs.
	Stopped   bool
	StoppedAt time.Time
	End       lifecycle.End
	// LastCheckpoint is the last checkpoint of the attempt.
	LastCheckpoint string
	// LeaseEnd is when the lease of the attempt ended, or would have ended had the attempt gone on.
	LeaseEnd time.Time
	// AckedAt is when an owner acknowledged the end, which it does only after logging it; zero if none did.
	AckedAt time.Time
	// AckEpoch is the epoch of that owner.
	AckEpoch ident.Epoch
	// LostAt is when the worker crashed with the end not acknowledged; zero if it did not.
	LostAt time.Time
}

// Peak is the largest booked size that ran on a worker at once, with its capacity.
type Peak struct {
	Used, Capacity resource.Vector
}

// Recorder collects what ran on a group of workers, by real time and not by the clocks of the workers.
type Recorder struct {
	// mu guards all fields: the order of entries over all workers matters.
	mu  sync.Mutex
	all []*Execution
	// live holds the attempts whose end is not acknowledged.
	live  map[liveKey]*Execution
	peaks map[ident.WorkerID]Peak
}

type liveKey struct {
	worker ident.WorkerID
	run    lifecycle.AttemptID
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{live: make(map[liveKey]*Execution), peaks: make(map[ident.WorkerID]Peak)}
}

func (r *Recorder) start(w *Worker, run lifecycle.AttemptID, from string, now time.Time) {
	id, capacity, used := w.cfg.ID, w.cfg.Capacity, w.used()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &Execution{AttemptID: run, Worker: id, Epoch: w.epoch, ResumedFrom: from, StartedAt: now}
	r.all = append(r.all, e)
	r.live[liveKey{id, run}] = e
	p := r.peaks[id]
	r.peaks[id] = Peak{Used: p.Used.Max(used), Capacity: capacity}
}

func (r *Recorder) stop(id ident.WorkerID, t *task, end lifecycle.End, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.live[liveKey{id, t.run}]
	if !ok || e.Stopped {
		return
	}
	e.Stopped = true
	e.StoppedAt = now
	e.End = end
	e.LastCheckpoint = t.saved
	e.LeaseEnd = t.lease
}

// forget notes that the worker lost the ends that were not acknowledged.
func (r *Recorder) forget(id ident.WorkerID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.live {
		if key.worker == id && e.Stopped {
			e.LostAt = now
			delete(r.live, key)
		}
	}
}

func (r *Recorder) acked(id ident.WorkerID, run lifecycle.AttemptID, by ident.Epoch, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.live[liveKey{id, run}]; ok && e.Stopped {
		e.AckedAt = now
		e.AckEpoch = by
		delete(r.live, liveKey{id, run})
	}
}

// Executions returns a copy of what was recorded, in the order of the starts.
func (r *Recorder) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Execution, len(r.all))
	for i, e := range r.all {
		out[i] = *e
	}
	return out
}

// Peaks returns the largest load of each worker.
func (r *Recorder) Peaks() map[ident.WorkerID]Peak {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[ident.WorkerID]Peak, len(r.peaks))
	for id, p := range r.peaks {
		out[id] = p
	}
	return out
}
