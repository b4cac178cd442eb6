package worker

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Fleet is a group of workers in one process.
type Fleet map[ident.WorkerID]*Worker

// Link carries the calls of one owner to the workers of a fleet in-process, with faults of the network between them.
type Link struct {
	fleet Fleet

	// mu guards the faults below.
	mu  sync.Mutex
	cut map[ident.WorkerID]bool
	// delay returns how long a call takes to arrive; the caller may have given up by then.
	delay func() time.Duration
	// lose reports whether the answer of a call is lost.
	lose func() bool
	// hold is closed when a paused owner continues; nil if it is not paused.
	hold chan struct{}
}

var _ jobs.WorkerPort = (*Link)(nil)

// NewLink returns a link without faults.
func NewLink(f Fleet) *Link {
	return &Link{fleet: f, cut: make(map[ident.WorkerID]bool)}
}

// SetCut makes a worker unreachable over this link, or reachable again.
func (l *Link) SetCut(id ident.WorkerID, cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut[id] = cut
}

// SetDelay sets how long calls take to arrive; nil for no delay.
func (l *Link) SetDelay(delay func() time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delay = delay
}

// SetAnswerLoss sets which answers are lost after the call took effect; nil for none.
func (l *Link) SetAnswerLoss(lose func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = lose
}

// Pause holds every call until Resume, as if the sender's process stood still just before sending.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hold == nil {
		l.hold = make(chan struct{})
	}
}

// Resume sends the held calls.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hold != nil {
		close(l.hold)
		l.hold = nil
	}
}

// carry performs a call with the faults around it; false means that the answer is not known. The call may take effect
// after the caller has given up.
func (l *Link) carry(ctx context.Context, m lifecycle.Member, call func(w *Worker)) bool {
	l.mu.Lock()
	w, known := l.fleet[m.ID]
	cut, delay, lose, hold := l.cut[m.ID], l.delay, l.lose, l.hold
	lost := lose != nil && lose()
	var d time.Duration
	if delay != nil {
		d = delay()
	}
	l.mu.Unlock()
	if !known || cut {
		<-ctx.Done()
		return false
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if hold != nil {
			<-hold
		}
		if d > 0 {
			time.Sleep(d)
		}
		call(w)
	}()
	select {
	case <-done:
		return !lost
	case <-ctx.Done():
		return false
	}
}

// Claim implements jobs.WorkerPort.
func (l *Link) Claim(ctx context.Context, m lifecycle.Member, cell ident.CellID, epoch ident.Epoch) jobs.ClaimAnswer {
	out := make(chan jobs.ClaimAnswer, 1)
	ok := l.carry(ctx, m, func(w *Worker) {
		a, r, inc := w.Claim(cell, epoch)
		out <- jobs.ClaimAnswer{Answer: a, Report: r, Incarnation: inc}
	})
	return received(ok, out)
}

// Sync implements jobs.WorkerPort.
func (l *Link) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	out := make(chan jobs.ClaimAnswer, 1)
	ok := l.carry(ctx, m, func(w *Worker) {
		a, rep, inc := w.Sync(ctx, epoch, r, wait)
		out <- jobs.ClaimAnswer{Answer: a, Report: rep, Incarnation: inc}
	})
	return received(ok, out)
}

// Start implements jobs.WorkerPort.
func (l *Link) Start(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	out := make(chan lifecycle.Answer, 1)
	ok := l.carry(ctx, m, func(w *Worker) { out <- w.Start(epoch, s) })
	return received(ok, out)
}

// Stop implements jobs.WorkerPort.
func (l *Link) Stop(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, runs []lifecycle.AttemptID) jobs.StopAnswer {
	out := make(chan jobs.StopAnswer, 1)
	ok := l.carry(ctx, m, func(w *Worker) {
		a, ends, inc := w.Stop(epoch, runs)
		out <- jobs.StopAnswer{Answer: a, Ends: ends, Incarnation: inc}
	})
	return received(ok, out)
}

// Checkpoint implements jobs.WorkerPort.
func (l *Link) Checkpoint(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, stop bool) jobs.CheckpointAnswer {
	out := make(chan jobs.CheckpointAnswer, 1)
	ok := l.carry(ctx, m, func(w *Worker) {
		a, id := w.Checkpoint(epoch, r, stop)
		out <- jobs.CheckpointAnswer{Answer: a, Checkpoint: id}
	})
	return received(ok, out)
}

// Throttle implements jobs.WorkerPort.
func (l *Link) Throttle(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, f float64) lifecycle.Answer {
	out := make(chan lifecycle.Answer, 1)
	ok := l.carry(ctx, m, func(w *Worker) { out <- w.Throttle(epoch, r, f) })
	return received(ok, out)
}

// received returns the answer, or the zero value, which means unknown, if it was lost.
func received[T any](ok bool, out chan T) T {
	var lost T
	if !ok {
		return lost
	}
	return <-out
}
