// Package verdict defines errors that say whether a request may have run. Every error that leaves a decision package
// carries a Verdict.
package verdict

import (
	"errors"
	"fmt"
	"time"

	"github.com/samber/oops"
)

// Verdict says whether a request ran at its target.
type Verdict uint8

const (
	// MayHaveRun means that it is not known whether the request ran. It is the zero value, so that an error without a
	// verdict never claims more than is known.
	MayHaveRun Verdict = iota
	// NotRun means that the request certainly did not run.
	NotRun
	// Ran means that the request ran and its whole answer is known.
	Ran
)

// String returns the external form used in headers and messages.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not-run"
	case Ran:
		return "ran"
	default:
		return "may-have-run"
	}
}

// Parse returns the verdict with the given external form.
func Parse(s string) (Verdict, error) {
	for _, v := range []Verdict{MayHaveRun, NotRun, Ran} {
		if s == v.String() {
			return v, nil
		}
	}
	return MayHaveRun, fmt.Errorf("unknown verdict %q", s)
}

// Code classifies an error for the caller. Adapters map it to statuses of their protocol.
type Code string

const (
	// CodeInvalid means that the request itself is wrong; a repeat fails in the same way.
	CodeInvalid Code = "invalid"
	// CodeConflict means that the request contradicts an earlier one, such as a key used with another body.
	CodeConflict Code = "conflict"
	// CodeNotFound means that the named object does not exist.
	CodeNotFound Code = "not_found"
	// CodeLimited means that a limit of the class or of the fleet refused the request.
	CodeLimited Code = "limited"
	// CodeDeadline means that the deadline passed or could not be met.
	CodeDeadline Code = "deadline"
	// CodeUnavailable means that a part of the system that the request needs is not available.
	CodeUnavailable Code = "unavailable"
	// CodeBusy means that no slot is free and the sender asked not to wait. RetryAfter is the expected wait.
	CodeBusy Code = "busy"
	// CodeFenced means that the sender's epoch is no longer the current one.
	CodeFenced Code = "fenced"
	// CodeIncomplete means that an answer was lost, truncated or belongs to another request.
	CodeIncomplete Code = "incomplete"
	// CodeUnknown means that the outcome is not known, such as for an idempotency key without a record.
	CodeUnknown Code = "unknown"
)

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	Code    Code
	// RetryAfter is the shortest time after which a repeat may succeed; 0 if it is not known.
	RetryAfter time.Duration

	cause error
}

// New returns an Error with a formatted message.
func New(v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, cause: oops.Code(string(code)).Errorf(format, args...)}
}

// Wrap returns an Error that wraps cause, with a formatted message.
func Wrap(cause error, v Verdict, code Code, format string, args ...any) *Error {
	return &Error{Verdict: v, Code: code, cause: oops.Code(string(code)).Wrapf(cause, format, args...)}
}

// WithRetryAfter sets RetryAfter of e and returns e.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	e.RetryAfter = d
	return e
}

// Error returns the message without the verdict.
func (e *Error) Error() string {
	return e.cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.cause
}

// FromError returns the Error in the chain of err; nil for nil. If there is none, it returns a MayHaveRun error that
// wraps err, because nothing proves that the request did not run.
func FromError(err error) *Error {
	if err == nil {
		return nil
	}
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, MayHaveRun, CodeUnknown, "outcome unknown")
}
