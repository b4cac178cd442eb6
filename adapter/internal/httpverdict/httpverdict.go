// Package httpverdict writes an error as an HTTP response: the verdict in a header, a status that agrees with it, and a
// JSON body.
package httpverdict

import (
	"errors"
	"math"
	"net/http"
	"strconv"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Header carries the verdict of every answer.
const Header = "Bulrush-Verdict"

// Problem is the JSON body of an error response.
type Problem struct {
	Verdict string `json:"verdict"`
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Write sends the response for an error. RetryAfter is rounded up to whole seconds.
func Write(c echo.Context, err error) error {
	e := verdict.FromError(err)
	h := c.Response().Header()
	h.Set(Header, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set(echo.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	return c.JSON(Status(e), Problem{Verdict: e.Verdict.String(), Code: string(e.Code), Message: e.Error()})
}

// BodyError returns the error of a request whose body could not be read. A body that the host has given up keeps its
// verdict; any other error is the client's.
func BodyError(err error, doing string) *verdict.Error {
	var givenUp *verdict.Error
	if errors.As(err, &givenUp) {
		return givenUp
	}
	return verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "%s", doing)
}

// Status returns the HTTP status for an error: 502 or 504 if the request may have run, 500 if it ran but its answer was
// lost, and any other status if it did not run.
func Status(e *verdict.Error) int {
	switch e.Verdict {
	case verdict.MayHaveRun:
		if e.Code == verdict.CodeDeadline {
			return http.StatusGatewayTimeout
		}
		return http.StatusBadGateway
	case verdict.Ran:
		return http.StatusInternalServerError
	default:
		return notRunStatus(e.Code)
	}
}

func notRunStatus(code verdict.Code) int {
	switch code {
	case verdict.CodeInvalid:
		return http.StatusBadRequest
	case verdict.CodeNotFound:
		return http.StatusNotFound
	case verdict.CodeConflict:
		return http.StatusUnprocessableEntity
	case verdict.CodeLimited, verdict.CodeDeadline:
		return http.StatusTooManyRequests
	default:
		return http.StatusServiceUnavailable
	}
}
