package worker

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Fleet is a group of simulated workers in one process, by id.
type Fleet map[ident.WorkerID]*Worker

// Link connects one owner to the workers of a fleet within the process, with injected network faults.
type Link struct {
	fleet Fleet

	// mu guards the fields below.
	mu          sync.Mutex
	unreachable map[ident.WorkerID]bool
	// callDelay returns how long a call takes to arrive; nil means no delay.
	callDelay func() time.Duration
	// loseAnswer reports whether the answer to the next call is lost; nil means that none is.
	loseAnswer func() bool
	// resumed is closed by Resume; nil if calls are not paused.
	resumed chan struct{}
}

var _ jobs.WorkerPort = (*Link)(nil)

// NewLink returns a link without faults.
func NewLink(f Fleet) *Link {
	return &Link{fleet: f, unreachable: make(map[ident.WorkerID]bool)}
}

// SetCut makes a worker unreachable over this link, or reachable again.
func (l *Link) SetCut(id ident.WorkerID, unreachable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachable[id] = unreachable
}

// SetDelay sets the function that returns how long a call takes to arrive; nil means no delay. A delayed call takes
// effect even if its caller has given up by then.
func (l *Link) SetDelay(callDelay func() time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.callDelay = callDelay
}

// SetAnswerLoss sets the function that decides for each call whether its answer is lost after the call has taken
// effect; nil means that no answer is lost.
func (l *Link) SetAnswerLoss(loseAnswer func() bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswer = loseAnswer
}

// Pause holds back every call until Resume, as if the owner's process were paused just before it sends the call.
func (l *Link) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed == nil {
		l.resumed = make(chan struct{})
	}
}

// Resume delivers the calls that Pause held back.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.resumed != nil {
		close(l.resumed)
		l.resumed = nil
	}
}

// deliver performs a call under the injected faults. It returns false if the answer does not reach the caller; the call
// may still take effect, also after deliver has returned.
func (l *Link) deliver(ctx context.Context, m lifecycle.Member, call func(w *Worker)) bool {
	l.mu.Lock()
	w, known := l.fleet[m.ID]
	unreachable, callDelay, loseAnswer, resumed := l.unreachable[m.ID], l.callDelay, l.loseAnswer, l.resumed
	answerLost := loseAnswer != nil && loseAnswer()
	var delay time.Duration
	if callDelay != nil {
		delay = callDelay()
	}
	l.mu.Unlock()
	if !known || unreachable {
		<-ctx.Done()
		return false
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if resumed != nil {
			<-resumed
		}
		if delay > 0 {
			time.Sleep(delay)
		}
		call(w)
	}()
	select {
	case <-done:
		return !answerLost
	case <-ctx.Done():
		return false
	}
}

// Claim implements jobs.WorkerPort.
func (l *Link) Claim(ctx context.Context, m lifecycle.Member, cell ident.CellID, epoch ident.Epoch) jobs.ClaimAnswer {
	out := make(chan jobs.ClaimAnswer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) {
		a, r, inc := w.Claim(cell, epoch)
		out <- jobs.ClaimAnswer{Answer: a, Report: r, Incarnation: inc}
	})
	return answerOrUnknown(ok, out)
}

// Sync implements jobs.WorkerPort.
func (l *Link) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	out := make(chan jobs.ClaimAnswer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) {
		a, rep, inc := w.Sync(ctx, epoch, r, wait)
		out <- jobs.ClaimAnswer{Answer: a, Report: rep, Incarnation: inc}
	})
	return answerOrUnknown(ok, out)
}

// Start implements jobs.WorkerPort.
func (l *Link) Start(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	out := make(chan lifecycle.Answer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) { out <- w.Start(epoch, s) })
	return answerOrUnknown(ok, out)
}

// Stop implements jobs.WorkerPort.
func (l *Link) Stop(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempts []lifecycle.AttemptID) jobs.StopAnswer {
	out := make(chan jobs.StopAnswer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) {
		a, ends, inc := w.Stop(epoch, attempts)
		out <- jobs.StopAnswer{Answer: a, Ends: ends, Incarnation: inc}
	})
	return answerOrUnknown(ok, out)
}

// Checkpoint implements jobs.WorkerPort.
func (l *Link) Checkpoint(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, stop bool) jobs.CheckpointAnswer {
	out := make(chan jobs.CheckpointAnswer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) {
		a, id := w.Checkpoint(epoch, attempt, stop)
		out <- jobs.CheckpointAnswer{Answer: a, Checkpoint: id}
	})
	return answerOrUnknown(ok, out)
}

// Throttle implements jobs.WorkerPort.
func (l *Link) Throttle(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, fraction float64) lifecycle.Answer {
	out := make(chan lifecycle.Answer, 1)
	ok := l.deliver(ctx, m, func(w *Worker) { out <- w.Throttle(epoch, attempt, fraction) })
	return answerOrUnknown(ok, out)
}

// answerOrUnknown returns the answer if it was received. Otherwise it returns the zero value, whose outcome is Unknown.
func answerOrUnknown[T any](received bool, answer chan T) T {
	var unknown T
	if !received {
		return unknown
	}
	return <-answer
}

// Reaches reports whether a worker answers over this link. The call has no effect.
func (l *Link) Reaches(ctx context.Context, m lifecycle.Member) bool {
	return l.deliver(ctx, m, func(*Worker) {})
}
