package targethttp

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"golang.org/x/net/http/httpguts"

	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// HeaderRequestID carries the id of the request. The target returns it in the answer.
	HeaderRequestID = "Bulrush-Request-Id"
	// HeaderRefused gives the reason in an answer with status 503 to a request that the target did not run.
	HeaderRefused = "Bulrush-Refused"
	// RefusedNoSlot is the value of HeaderRefused of a target without a free slot.
	RefusedNoSlot = "slots"
	// RefusedLeaving is the value of HeaderRefused of a target that is leaving.
	RefusedLeaving = "leaving"

	reservedHeaderPrefix = "Bulrush-"
)

// nonForwardedHeaders are not forwarded. Most concern one connection only. Idempotency keys are excluded because
// http.Transport retries requests that carry them.
var nonForwardedHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Idempotency-Key", "Keep-Alive", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Idempotency-Key",
}

// isForwarded reports whether a header is passed on between caller and target.
func isForwarded(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	return !slices.Contains(nonForwardedHeaders, canonical) && !strings.HasPrefix(canonical, reservedHeaderPrefix)
}

// newRequest builds the HTTP request. It returns an error for every request that cannot be sent, before a connection
// is used.
func newRequest(t routing.Target, r request.Request) (*http.Request, error) {
	path, err := url.ParseRequestURI(r.Path)
	if err != nil || path.Host != "" || !strings.HasPrefix(r.Path, "/") {
		return nil, fmt.Errorf("path %q: want an absolute path", r.Path)
	}
	if len(r.Body) > request.MaxBodyBytes {
		return nil, fmt.Errorf("body of %d bytes: at most %d are allowed", len(r.Body), request.MaxBodyBytes)
	}
	if r.Method == http.MethodConnect {
		return nil, fmt.Errorf("method %s is not supported", r.Method)
	}
	httpRequest, err := http.NewRequest(r.Method, "http://"+t.Address, bytes.NewReader(r.Body))
	if err != nil {
		return nil, err
	}
	path.Scheme = httpRequest.URL.Scheme
	path.Host = httpRequest.URL.Host
	httpRequest.URL = path
	for _, h := range r.Headers {
		if !httpguts.ValidHeaderFieldName(h.Name) || !httpguts.ValidHeaderFieldValue(h.Value) {
			return nil, fmt.Errorf("header %q is malformed", h.Name)
		}
		if isForwarded(h.Name) {
			httpRequest.Header.Add(h.Name, h.Value)
		}
	}
	if !httpguts.ValidHeaderFieldValue(r.ID) || r.ID == "" {
		return nil, fmt.Errorf("request id %q is malformed", r.ID)
	}
	httpRequest.Header.Set(HeaderRequestID, r.ID)
	return httpRequest, nil
}

// readResponse validates the response, reads its body and returns the result of the attempt.
func readResponse(e *exchange, response *http.Response, t routing.Target, r request.Request) routing.AttemptResult {
	if echo := response.Header.Values(HeaderRequestID); len(echo) != 1 || echo[0] != r.ID {
		return unusableAnswer("the answer belongs to request %q", strings.Join(echo, ", "))
	}
	if refused := refusalResult(response); refused != nil {
		return *refused
	}
	// A status below 200 is not final, and net/http panics when one such as 099 is written to a caller.
	if response.StatusCode < http.StatusOK {
		return unusableAnswer("the answer has status %d", response.StatusCode)
	}
	if response.ContentLength > request.MaxAnswerBytes {
		return unusableAnswer("the answer of %d bytes exceeds %d", response.ContentLength, request.MaxAnswerBytes)
	}
	bodiless := r.Method == http.MethodHead
	if !bodiless && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return unusableAnswer("the answer has no length, so that its end cannot be checked")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, request.MaxAnswerBytes+1))
	if err != nil {
		return unusableAnswer("the answer ended after %d bytes: %v", len(body), err)
	}
	if len(body) > request.MaxAnswerBytes {
		return unusableAnswer("the answer exceeds %d bytes", request.MaxAnswerBytes)
	}
	if n := e.surplusBytes(int64(len(body))); response.ContentLength >= 0 && !bodiless && n > 0 {
		return unusableAnswer("the answer is %d bytes longer than its Content-Length", n)
	}
	answer := request.Answer{Status: response.StatusCode, Headers: callerHeaders(response), Body: body, Target: t.ID}
	return routing.AttemptResult{Answer: answer, Observation: routing.Observation{Signal: statusSignal(response)}}
}

// unusableAnswer returns the result of an attempt whose answer cannot be used, with the verdict MayHaveRun.
func unusableAnswer(format string, args ...any) routing.AttemptResult {
	return routing.AttemptResult{
		Err:         verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, format, args...),
		Observation: routing.Observation{Signal: routing.SignalFailed},
	}
}

// refusalResult returns the result of an attempt that the target definitely refused, or nil if response is not a
// refusal.
func refusalResult(response *http.Response) *routing.AttemptResult {
	if response.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	reason := response.Header.Get(HeaderRefused)
	a := routing.AttemptResult{Err: verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the target refused: %s", reason)}
	switch reason {
	case RefusedNoSlot:
		a.Observation.Signal = routing.SignalNoSlot
	case RefusedLeaving:
		a.Observation.Signal = routing.SignalLeaving
	default:
		return nil
	}
	return &a
}

// statusSignal returns the routing signal of a complete answer.
func statusSignal(response *http.Response) routing.Signal {
	switch {
	case response.StatusCode >= http.StatusInternalServerError:
		return routing.SignalErrorStatus
	case response.StatusCode == http.StatusTooManyRequests:
		return routing.SignalRateLimited
	case response.StatusCode >= http.StatusBadRequest:
		return routing.SignalCallerFault
	case response.Close:
		return routing.SignalClosing
	default:
		return routing.SignalOK
	}
}

// callerHeaders returns the response headers that are forwarded to the caller, sorted by name.
func callerHeaders(response *http.Response) []request.Header {
	var list []request.Header
	for name, values := range response.Header {
		if !isForwarded(name) {
			continue
		}
		for _, v := range values {
			list = append(list, request.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b request.Header) int { return strings.Compare(a.Name, b.Name) })
	return list
}
