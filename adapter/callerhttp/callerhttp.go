// Package callerhttp serves callers over HTTP.
//
// POST /v1/keys issues idempotency keys. A request of any method under /v1/run/<class>/ is forwarded to a target with
// the path after the class, the query, the body and the end-to-end headers. The response headers Bulrush-Verdict and,
// where known, Idempotency-Key, Bulrush-Target and Retry-After describe the outcome.
package callerhttp

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/httpverdict"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/internal/bodyread"
	"github.com/bulrushrelay/bulrushrelay/relay/entry"
)

// The header fields that the service itself reads or sets.
const (
	// HeaderVerdict says whether the request ran.
	HeaderVerdict = httpverdict.Header
	// HeaderTarget names the target that answered.
	HeaderTarget = "Bulrush-Target"
	// HeaderTimeout is the time that the caller allows for the request, in milliseconds.
	HeaderTimeout = "Bulrush-Timeout-Ms"
	// HeaderIdempotencyKey is the key under which all attempts of one request are sent.
	HeaderIdempotencyKey = "Idempotency-Key"
)

const maxHeaderFields = 64

// Service runs requests and issues idempotency keys.
type Service interface {
	Do(ctx context.Context, call entry.Call) (entry.Reply, error)
	IssueKeys(n int) ([]string, error)
}

// Register adds the routes for callers to e.
func Register(e *echo.Echo, service Service) {
	h := &handler{service: service}
	e.POST("/v1/keys", h.issueKeys)
	e.Any("/v1/run/:class", h.run)
	e.Any("/v1/run/:class/*", h.run)
}

type handler struct {
	service Service
}

type keysReply struct {
	Keys []string `json:"keys"`
}

func (h *handler) issueKeys(c echo.Context) error {
	n := 1
	if text := c.QueryParam("count"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			return httpverdict.Write(c, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "count"))
		}
		n = parsed
	}
	keys, err := h.service.IssueKeys(n)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	return c.JSON(http.StatusOK, keysReply{Keys: keys})
}

func (h *handler) run(c echo.Context) error {
	call, err := parseCall(c)
	if err != nil {
		return httpverdict.Write(c, err)
	}
	if ctx := c.Request().Context(); callerDisconnected(ctx) {
		// The caller may already have repeated the request and been told that it did not run.
		return httpverdict.Write(c, verdict.New(verdict.MayHaveRun, verdict.CodeDeadline, "the caller has closed the connection"))
	}
	reply, err := h.service.Do(c.Request().Context(), call)
	if reply.Key != "" {
		c.Response().Header().Set(HeaderIdempotencyKey, reply.Key)
	}
	if err != nil {
		return httpverdict.Write(c, err)
	}
	return writeAnswer(c, reply.Answer)
}

func parseCall(c echo.Context) (entry.Call, error) {
	r := c.Request()
	body, err := bodyread.Receive(http.MaxBytesReader(c.Response(), r.Body, request.MaxBodyBytes))
	if err != nil {
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			return entry.Call{}, verdict.New(verdict.NotRun, verdict.CodeInvalid, "the body is larger than %d bytes", request.MaxBodyBytes)
		}
		e := httpverdict.BodyError(err, "reading the request body")
		if e.Code == verdict.CodeUnavailable && r.Header.Get(HeaderIdempotencyKey) != "" {
			// The host gave the body up. An earlier attempt under the key may have run.
			return entry.Call{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "this attempt did not run").WithRetryAfter(e.RetryAfter)
		}
		return entry.Call{}, e
	}
	timeout, err := parseTimeout(r.Header)
	if err != nil {
		return entry.Call{}, err
	}
	headers, err := forwardedHeaders(r.Header)
	if err != nil {
		return entry.Call{}, err
	}
	path := "/" + c.Param("*")
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	return entry.Call{
		Class:   ident.ClassName(c.Param("class")),
		Method:  r.Method,
		Path:    path,
		Headers: headers,
		Body:    body.Bytes(),
		Timeout: timeout,
		Key:     strings.Trim(r.Header.Get(HeaderIdempotencyKey), `"`),
	}, nil
}

func parseTimeout(h http.Header) (time.Duration, error) {
	text := h.Get(HeaderTimeout)
	if text == "" {
		return 0, nil
	}
	ms, err := strconv.ParseInt(text, 10, 32)
	if err != nil || ms < 1 {
		return 0, verdict.New(verdict.NotRun, verdict.CodeInvalid, "%s: %.20q is not a positive number of milliseconds", HeaderTimeout, text)
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// nonForwardedHeaders are hop-by-hop headers and headers of this service. They are not forwarded in either direction.
var nonForwardedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Host": true, "Expect": true, HeaderIdempotencyKey: true, HeaderTimeout: true,
	HeaderVerdict: true, HeaderTarget: true, "Bulrush-Request-Id": true,
}

func forwardedHeaders(h http.Header) ([]request.Header, error) {
	var out []request.Header
	for name, values := range h {
		if nonForwardedHeaders[name] {
			continue
		}
		for _, v := range values {
			out = append(out, request.Header{Name: name, Value: v})
		}
	}
	if len(out) > maxHeaderFields {
		return nil, verdict.New(verdict.NotRun, verdict.CodeInvalid, "more than %d header fields", maxHeaderFields)
	}
	return out, nil
}

func writeAnswer(c echo.Context, a request.Answer) error {
	h := c.Response().Header()
	for _, field := range a.Headers {
		if !nonForwardedHeaders[http.CanonicalHeaderKey(field.Name)] {
			h.Add(field.Name, field.Value)
		}
	}
	h.Set(HeaderVerdict, verdict.Ran.String())
	h.Set(HeaderTarget, string(a.Target))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	c.Response().WriteHeader(a.Status)
	_, err := c.Response().Write(a.Body)
	return err
}
