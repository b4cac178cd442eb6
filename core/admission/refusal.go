package admission

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Refusal says why a request was not run. It is not an error, because building an error with its stack trace takes
// several times as long as the decision, which is made under the cell's lock.
type Refusal struct {
	Class      ident.ClassName
	Code       verdict.Code
	Reason     string
	RetryAfter time.Duration
}

// Err returns the refusal as an error with the verdict NotRun and RetryAfter.
func (r *Refusal) Err() *verdict.Error {
	return verdict.New(verdict.NotRun, r.Code, "class %q: %s", r.Class, r.Reason).WithRetryAfter(r.RetryAfter)
}

// tableRetryAfter is how long a new table may take to reach every host.
const tableRetryAfter = 2 * time.Second

// Reasons of refusals.
const (
	reasonUnknownClass   = "not in the table of this host"
	reasonClassRemoved   = "removed from the table"
	reasonNotOwned       = "this host does not own the cell"
	reasonDeadlinePassed = "the deadline has passed"
	reasonBusy           = "no slot is free"
	reasonQueueFull      = "the queue is full"
	reasonUnmeetable     = "the expected wait exceeds the deadline"
	reasonTooLate        = "the time left is shorter than a usual run"
	reasonCancelled      = "cancelled while waiting"
)
