package worker

import (
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// EndCrashed is the recorded end of an attempt whose worker crashed. It is not part of the worker protocol.
const EndCrashed lifecycle.End = 255

// Execution is the record of one attempt on a worker.
type Execution struct {
	lifecycle.AttemptID
	Worker ident.WorkerID
	// Epoch is the epoch of the owner that started the attempt.
	Epoch ident.Epoch
	// ResumedFrom is the checkpoint that the attempt resumed from; empty if there was none.
	ResumedFrom string
	StartedAt   time.Time
	// Stopped is false while the attempt runs; StoppedAt, End, LastCheckpoint and LeaseEnd are set when it stops.
	Stopped   bool
	StoppedAt time.Time
	End       lifecycle.End
	// LastCheckpoint is the id of the last checkpoint of the attempt; empty if there is none.
	LastCheckpoint string
	// LeaseEnd is the time to which the lease of the attempt was last extended.
	LeaseEnd time.Time
	// AckedAt is when an owner acknowledged the end, which it does only after logging it; zero if none did.
	AckedAt time.Time
	// AckEpoch is the epoch of the owner that acknowledged the end.
	AckEpoch ident.Epoch
	// LostAt is when the worker crashed before the end was acknowledged; zero if it did not.
	LostAt time.Time
}

// Peak is the largest allocation of a worker over time, per dimension, and its capacity.
type Peak struct {
	Used, Capacity resource.Vector
}

// Recorder records the executions on a group of workers. It is safe for concurrent use.
type Recorder struct {
	// mu guards the fields below. One lock for all workers keeps the executions in the order of their starts.
	mu         sync.Mutex
	executions []*Execution
	// unacked holds the executions that are running or whose end is not acknowledged.
	unacked map[executionKey]*Execution
	peaks   map[ident.WorkerID]Peak
}

type executionKey struct {
	worker  ident.WorkerID
	attempt lifecycle.AttemptID
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{unacked: make(map[executionKey]*Execution), peaks: make(map[ident.WorkerID]Peak)}
}

func (r *Recorder) recordStart(w *Worker, attempt lifecycle.AttemptID, checkpoint string, now time.Time) {
	workerID, capacity, allocated := w.cfg.ID, w.cfg.Capacity, w.allocated()
	r.mu.Lock()
	defer r.mu.Unlock()
	e := &Execution{AttemptID: attempt, Worker: workerID, Epoch: w.epoch, ResumedFrom: checkpoint, StartedAt: now}
	r.executions = append(r.executions, e)
	r.unacked[executionKey{workerID, attempt}] = e
	p := r.peaks[workerID]
	r.peaks[workerID] = Peak{Used: p.Used.Max(allocated), Capacity: capacity}
}

func (r *Recorder) recordEnd(workerID ident.WorkerID, t *task, end lifecycle.End, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e, ok := r.unacked[executionKey{workerID, t.attempt}]
	if !ok || e.Stopped {
		return
	}
	e.Stopped = true
	e.StoppedAt = now
	e.End = end
	e.LastCheckpoint = t.checkpoint
	e.LeaseEnd = t.leaseEnd
}

// recordLoss records that the worker has crashed and lost its unacknowledged ends.
func (r *Recorder) recordLoss(workerID ident.WorkerID, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for key, e := range r.unacked {
		if key.worker == workerID && e.Stopped {
			e.LostAt = now
			delete(r.unacked, key)
		}
	}
}

func (r *Recorder) recordAck(workerID ident.WorkerID, attempt lifecycle.AttemptID, epoch ident.Epoch, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if e, ok := r.unacked[executionKey{workerID, attempt}]; ok && e.Stopped {
		e.AckedAt = now
		e.AckEpoch = epoch
		delete(r.unacked, executionKey{workerID, attempt})
	}
}

// Executions returns a copy of all executions in the order of their starts.
func (r *Recorder) Executions() []Execution {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Execution, len(r.executions))
	for i, e := range r.executions {
		out[i] = *e
	}
	return out
}

// Peaks returns the peak of each worker.
func (r *Recorder) Peaks() map[ident.WorkerID]Peak {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[ident.WorkerID]Peak, len(r.peaks))
	for id, p := range r.peaks {
		out[id] = p
	}
	return out
}
