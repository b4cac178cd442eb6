package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// The exit codes. rootDescription documents them.
const (
	exitOK             = 0
	exitInvalidTable   = 1
	exitUsage          = 2
	exitConflict       = 3
	exitUnknownOutcome = 4
	exitUnavailable    = 5
	exitNotInForce     = 6
	exitNotAllowed     = 7
)

// exitError is an error with an exit code.
type exitError struct {
	code int
	err  error
}

func (e *exitError) Error() string { return e.err.Error() }

func (e *exitError) Unwrap() error { return e.err }

// exitWith returns a formatted error with an exit code.
func exitWith(code int, format string, args ...any) error {
	return &exitError{code: code, err: fmt.Errorf(format, args...)}
}

// exitCode returns the exit code of an error.
func exitCode(err error) int {
	var (
		withCode *exitError
		problem  *operatorhttp.ProblemError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &problem):
		return problemExitCode(problem)
	case errors.Is(err, operatorhttp.ErrNoAnswer):
		return exitUnavailable
	default:
		// Errors of the command-line parser have no type of their own.
		return exitUsage
	}
}

func problemExitCode(p *operatorhttp.ProblemError) int {
	switch {
	case p.Status == http.StatusUnauthorized, p.Status == http.StatusForbidden:
		return exitNotAllowed
	case p.Merge != nil, p.Status == http.StatusPreconditionFailed:
		return exitConflict
	case len(p.Faults) > 0:
		return exitInvalidTable
	case p.Status == http.StatusUnprocessableEntity, p.Status == http.StatusNotFound:
		return exitUsage
	case p.Verdict == verdict.MayHaveRun.String():
		return exitUnknownOutcome
	default:
		return exitUnavailable
	}
}

// provesNotRun reports whether the error of a change proves that nothing was written: the relay host said so, or no
// connection was made.
func provesNotRun(err error) bool {
	var problem *operatorhttp.ProblemError
	if errors.As(err, &problem) {
		return problem.Verdict == verdict.NotRun.String()
	}
	var netErr *net.OpError
	return errors.As(err, &netErr) && netErr.Op == "dial"
}
