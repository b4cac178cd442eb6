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
	// HeaderRequestID carries the id of the request; the target echoes it.
	HeaderRequestID = "Bulrush-Request-Id"
	// HeaderRefused says in an answer with status 503 that the request was not run, and why.
	HeaderRefused = "Bulrush-Refused"
	// RefusedNoSlot is the value of HeaderRefused for lack of slots.
	RefusedNoSlot = "slots"
	// RefusedLeaving is the value of HeaderRefused of a target that is leaving.
	RefusedLeaving = "leaving"

	headerPrefix = "Bulrush-"
)

// connectionHeaders concern one connection and are not passed on. Idempotency keys are left out because the transport
// repeats requests that carry them.
var connectionHeaders = []string{
	"Connection", "Content-Length", "Expect", "Host", "Idempotency-Key", "Keep-Alive", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "X-Idempotency-Key",
}

func passedOn(name string) bool {
	canonical := http.CanonicalHeaderKey(name)
	return !slices.Contains(connectionHeaders, canonical) && !strings.HasPrefix(canonical, headerPrefix)
}

// newRequest builds the HTTP request. All faults of the caller are found here, before a connection is used.
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
		if passedOn(h.Name) {
			httpRequest.Header.Add(h.Name, h.Value)
		}
	}
	if !httpguts.ValidHeaderFieldValue(r.ID) || r.ID == "" {
		return nil, fmt.Errorf("request id %q is malformed", r.ID)
	}
	httpRequest.Header.Set(HeaderRequestID, r.ID)
	return httpRequest, nil
}

// read checks the response and reads its body.
func read(e *exchange, response *http.Response, t routing.Target, r request.Request) routing.AttemptResult {
	if echo := response.Header.Values(HeaderRequestID); len(echo) != 1 || echo[0] != r.ID {
		return unusable("the answer belongs to request %q", strings.Join(echo, ", "))
	}
	if refused := refusal(response); refused != nil {
		return *refused
	}
	// A status below 200 is no final answer, and net/http panics on one such as 099 when it is passed on.
	if response.StatusCode < http.StatusOK {
		return unusable("the answer has status %d", response.StatusCode)
	}
	if response.ContentLength > request.MaxAnswerBytes {
		return unusable("the answer of %d bytes exceeds %d", response.ContentLength, request.MaxAnswerBytes)
	}
	bodiless := r.Method == http.MethodHead
	if !bodiless && response.ContentLength < 0 && !slices.Contains(response.TransferEncoding, "chunked") {
		return unusable("the answer has no length, so that its end cannot be checked")
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, request.MaxAnswerBytes+1))
	if err != nil {
		return unusable("the answer broke off after %d bytes: %v", len(body), err)
	}
	if len(body) > request.MaxAnswerBytes {
		return unusable("the answer exceeds %d bytes", request.MaxAnswerBytes)
	}
	if n := e.surplus(int64(len(body))); response.ContentLength >= 0 && !bodiless && n > 0 {
		return unusable("the answer is %d bytes longer than announced", n)
	}
	answer := request.Answer{Status: response.StatusCode, Headers: headers(response), Body: body, Target: t.ID}
	return routing.AttemptResult{Answer: answer, Observation: routing.Observation{Signal: signal(response)}}
}

func unusable(format string, args ...any) routing.AttemptResult {
	return routing.AttemptResult{
		Err:         verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, format, args...),
		Observation: routing.Observation{Signal: routing.SignalFailed},
	}
}

// refusal returns the attempt of a definite refusal; nil if the response is not one.
func refusal(response *http.Response) *routing.AttemptResult {
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

// signal returns what a complete answer says about its target.
func signal(response *http.Response) routing.Signal {
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

// headers returns the headers for the caller, sorted by name.
func headers(response *http.Response) []request.Header {
	var list []request.Header
	for name, values := range response.Header {
		if !passedOn(name) {
			continue
		}
		for _, v := range values {
			list = append(list, request.Header{Name: name, Value: v})
		}
	}
	slices.SortStableFunc(list, func(a, b request.Header) int { return strings.Compare(a.Name, b.Name) })
	return list
}
