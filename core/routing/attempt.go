package routing

import (
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// AttemptResult is the outcome of one request at a target: an answer, or an error with a proven verdict.
type AttemptResult struct {
	Answer      request.Answer
	Err         *verdict.Error
	Observation Observation
}
