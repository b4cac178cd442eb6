package store

import (
	"errors"
	"fmt"
)

// The causes of a failed call. Errors of a Store wrap one of them where it applies.
var (
	// ErrUnavailable means that the service could not be reached or did not answer.
	ErrUnavailable = errors.New("store unavailable")
	// ErrTooLarge means that a value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("value too large")
	// ErrRateLimited means that the rate limit of the service or the call budget of the client refused the call.
	ErrRateLimited = errors.New("store rate limit")
	// ErrLeaseNotFound means that the lease has expired, was revoked or never existed.
	ErrLeaseNotFound = errors.New("lease not found")
	// ErrCompacted means that a watch starts from a revision whose history has been compacted.
	ErrCompacted = errors.New("revision compacted")
	// ErrInvalid means that the service rejects the call as malformed.
	ErrInvalid = errors.New("invalid call")
)

// Error is a failed call with what is known about its effect.
type Error struct {
	// Call names the failed method, such as "Txn".
	Call    string
	Outcome Outcome

	cause error
}

// NewError returns an Error for the method call with the given outcome and cause.
func NewError(call string, o Outcome, cause error) *Error {
	return &Error{Call: call, Outcome: o, cause: cause}
}

// Error returns the message with the outcome.
func (e *Error) Error() string {
	return fmt.Sprintf("store %s: outcome %s: %v", e.Call, e.Outcome, e.cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// OutcomeOf returns the outcome of a call that returned err: Applied for nil, that of the Error in the chain of err, or
// Unknown if there is none.
func OutcomeOf(err error) Outcome {
	if err == nil {
		return Applied
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Outcome
	}
	return Unknown
}
