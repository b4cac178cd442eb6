package cell

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Sender sends one request to a target. It returns when the request ended or ctx ends. If pending is true, the request
// still holds its slot at the target, and late is called once at its end.
type Sender interface {
	Send(ctx context.Context, t routing.Target, r request.Request, late func(routing.AttemptResult)) (a routing.AttemptResult, pending bool)
}

// Grants tells the right of this host in a cell. It is asked before each start of a request, so that authority that
// lapsed while the process was paused is not used.
type Grants interface {
	Grant(cell ident.CellID, now time.Time) ownership.Grant
}

// Lenders carries loan requests to the owners of other cells.
type Lenders interface {
	Lend(ctx context.Context, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error)
}

// Recorder counts outcomes. It must not block.
type Recorder interface {
	// Executed records a request that ended in a cell of this host, with its time from arrival in the cell.
	Executed(class ident.ClassName, v verdict.Verdict, took time.Duration)
	// Retried records another attempt inside the cell.
	Retried(class ident.ClassName)
	// LateAnswer records an answer that came after its request had been reported as MayHaveRun.
	LateAnswer(class ident.ClassName)
}

// noRecorder discards what it is told.
type noRecorder struct{}

func (noRecorder) Executed(ident.ClassName, verdict.Verdict, time.Duration) {}
func (noRecorder) Retried(ident.ClassName)                                  {}
func (noRecorder) LateAnswer(ident.ClassName)                               {}

// Clock is the time and its timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a timer of a Clock.
type Timer interface {
	Reset(d time.Duration) bool
	Stop() bool
}

// SystemClock is the clock of the process.
type SystemClock struct{}

// Now returns the time.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after d.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
