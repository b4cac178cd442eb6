package operatorhttp

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/tablecsv"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

var statusByCode = map[verdict.Code]int{
	verdict.CodeInvalid:     http.StatusUnprocessableEntity,
	verdict.CodeConflict:    http.StatusPreconditionFailed,
	verdict.CodeNotFound:    http.StatusNotFound,
	verdict.CodeLimited:     http.StatusTooManyRequests,
	verdict.CodeUnavailable: http.StatusServiceUnavailable,
	verdict.CodeIncomplete:  http.StatusServiceUnavailable,
	verdict.CodeUnknown:     http.StatusGatewayTimeout,
}

// writeProblem writes an error as an HTTP status, headers and a Problem.
func writeProblem(c echo.Context, err error) error {
	status, v := classifyError(err)
	p := Problem{Code: string(v.Code), Verdict: v.Verdict.String(), Message: v.Error(), Faults: faultsFromError(err)}
	var conflict *config.ConflictError
	if errors.As(err, &conflict) {
		p.Merge = fromConflict(conflict)
	}
	var unknown *config.UnknownOutcomeError
	if errors.As(err, &unknown) {
		p.Marker = unknown.Marker.String()
	}
	if len(p.Faults) > 0 {
		p.Message = "the table has " + strconv.Itoa(len(p.Faults)) + " faults; nothing was changed"
	}
	header := c.Response().Header()
	header.Set(HeaderVerdict, p.Verdict)
	if v.RetryAfter > 0 {
		header.Set(echo.HeaderRetryAfter, strconv.Itoa(int(v.RetryAfter.Seconds()+0.999)))
	}
	return c.JSON(status, p)
}

// classifyError returns the HTTP status of an error and its verdict.
func classifyError(err error) (int, *verdict.Error) {
	var (
		tooLarge    *http.MaxBytesError
		notReceived *receiveError
		givenUp     *verdict.Error
	)
	switch {
	case errors.Is(err, errNoToken):
		return http.StatusUnauthorized, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "not allowed")
	case errors.Is(err, errForbidden):
		return http.StatusForbidden, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "not allowed")
	case errors.As(err, &tooLarge):
		return http.StatusRequestEntityTooLarge, verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"the body is larger than %d bytes", tooLarge.Limit)
	case errors.As(err, &notReceived) && errors.As(notReceived.cause, &givenUp):
		return http.StatusServiceUnavailable, givenUp
	case errors.As(err, &notReceived):
		return http.StatusBadRequest, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "the body was not received")
	}
	v := verdict.FromError(err)
	status, found := statusByCode[v.Code]
	if !found {
		status = http.StatusInternalServerError
	}
	return status, v
}

// faultsFromError returns the table faults in the chain of err.
func faultsFromError(err error) []Fault {
	var (
		tableFaults table.Faults
		csvFaults   tablecsv.Faults
		faults      []Fault
	)
	if errors.As(err, &tableFaults) {
		for _, f := range tableFaults {
			faults = append(faults, Fault{Row: f.Row, Name: f.Name, Column: f.Column, Message: f.Message})
		}
	}
	if errors.As(err, &csvFaults) {
		for _, f := range csvFaults {
			faults = append(faults, Fault{Line: f.Line, Column: f.Column, Message: f.Message})
		}
	}
	return faults
}

func fromConflict(e *config.ConflictError) *Merge {
	m := &Merge{Base: e.Base, Head: e.Head, Merged: fromRows(e.Merged), Conflicts: []Conflict{}}
	for _, c := range e.Conflicts {
		m.Conflicts = append(m.Conflicts, Conflict{
			Name: string(c.Name), Base: optionalRow(c.Base), Mine: optionalRow(c.Mine),
			Theirs: optionalRow(c.Theirs), Columns: c.Columns(),
		})
	}
	return m
}

func invalid(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeInvalid, format, args...)
}
