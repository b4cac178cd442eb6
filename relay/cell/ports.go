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

// Sender sends one request to a target. Send returns when the request or ctx ends. If pending is true, the request
// still holds its slot at the target, and late is called once when it ends there.
type Sender interface {
	Send(ctx context.Context, t routing.Target, r request.Request, late func(routing.AttemptResult)) (a routing.AttemptResult, pending bool)
}

// Grants returns the grant of this host for a cell. It is asked before each start of a request, so that authority
// that lapsed while the process was paused is not used.
type Grants interface {
	Grant(cell ident.CellID, now time.Time) ownership.Grant
}

// Lenders sends loan requests to the owners of other cells.
type Lenders interface {
	Lend(ctx context.Context, lender ident.CellID, r admission.LoanRequest) (admission.LoanReply, error)
}

// Recorder records outcomes. Its methods must not block.
type Recorder interface {
	// Executed records a request that ended in a cell of this host, with the time since its arrival in the cell.
	Executed(class ident.ClassName, v verdict.Verdict, took time.Duration)
	// Retried records a retry inside the cell.
	Retried(class ident.ClassName)
	// LateAnswer records an answer that arrived after its request had been reported as MayHaveRun.
	LateAnswer(class ident.ClassName)
}

// discardOutcomes is the Recorder of a service that was given none.
type discardOutcomes struct{}

func (discardOutcomes) Executed(ident.ClassName, verdict.Verdict, time.Duration) {}
func (discardOutcomes) Retried(ident.ClassName)                                  {}
func (discardOutcomes) LateAnswer(ident.ClassName)                               {}

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func()) Timer
}

// Timer is a timer of a Clock.
type Timer interface {
	Reset(d time.Duration) bool
	Stop() bool
}

// SystemClock is the Clock of the process.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc calls f in its own goroutine after d.
func (SystemClock) AfterFunc(d time.Duration, f func()) Timer { return time.AfterFunc(d, f) }
