// Package targethttp sends requests to targets over HTTP/1.1 and determines whether each request ran.
//
// Each attempt is written to one connection at most. http.Transport retries requests that it considers replayable when
// a reused connection breaks. To leave every retry to the relay, a connection here refuses the bytes of an attempt
// that has begun on another one.
package targethttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// DefaultMaxConnsPerTarget bounds the connections of this host to one target. A target accepts 60 in total, and up
	// to three hosts may hold connections to it during a change of ownership.
	DefaultMaxConnsPerTarget = 16
	// DefaultLateAnswerTimeout bounds the wait for a late answer after the deadline of its request.
	DefaultLateAnswerTimeout = 30 * time.Second
	// DefaultDialTimeout bounds the time to connect. It suits networks with a latency of a few milliseconds.
	DefaultDialTimeout = 2 * time.Second

	idleConnTimeout        = 30 * time.Second
	maxResponseHeaderBytes = 64 << 10
)

// Options configure a Client. A zero field has its default value.
type Options struct {
	MaxConnsPerTarget int
	LateAnswerTimeout time.Duration
	DialTimeout       time.Duration
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now replaces time.Now.
	Now func() time.Time
}

// Client sends requests to targets.
type Client struct {
	transport         *http.Transport
	lateAnswerTimeout time.Duration
	now               func() time.Time
}

// New returns a Client without connections.
func New(o Options) *Client {
	if o.MaxConnsPerTarget == 0 {
		o.MaxConnsPerTarget = DefaultMaxConnsPerTarget
	}
	if o.LateAnswerTimeout == 0 {
		o.LateAnswerTimeout = DefaultLateAnswerTimeout
	}
	if o.DialTimeout == 0 {
		o.DialTimeout = DefaultDialTimeout
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Dial == nil {
		dialer := &net.Dialer{}
		o.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		}
	}
	return &Client{
		transport: &http.Transport{
			DialContext:            gatedDialer(o.Dial, o.DialTimeout),
			DisableCompression:     true,
			MaxConnsPerHost:        o.MaxConnsPerTarget,
			MaxIdleConnsPerHost:    o.MaxConnsPerTarget,
			IdleConnTimeout:        idleConnTimeout,
			MaxResponseHeaderBytes: maxResponseHeaderBytes,
		},
		lateAnswerTimeout: o.LateAnswerTimeout,
		now:               o.Now,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Send sends one request. It returns when the request or ctx ends. If pending is true, the request is still at the
// target and occupies a slot there, and late is called once with the answer or the final error. Otherwise late is not
// called.
func (c *Client) Send(
	ctx context.Context, t routing.Target, r request.Request, late func(routing.AttemptResult),
) (a routing.AttemptResult, pending bool) {
	started := c.now()
	if err := ctx.Err(); err != nil {
		return routing.AttemptResult{Err: verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadline, "not sent")}, false
	}
	httpRequest, err := newRequest(t, r)
	if err != nil {
		return routing.AttemptResult{Err: verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "request cannot be sent")}, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = started.Add(c.lateAnswerTimeout)
	}
	exchangeCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(c.lateAnswerTimeout))
	e := &exchange{cancel: cancel, done: make(chan routing.AttemptResult, 1), deadline: deadline, now: c.now}
	go func() {
		defer cancel()
		a := c.roundTrip(exchangeCtx, e, httpRequest, t, r)
		a.Observation.Latency = c.now().Sub(started)
		e.finish(a, late)
	}()
	select {
	case a = <-e.done:
		return a, false
	case <-ctx.Done():
	}
	return c.resultAfterContextEnd(ctx, e, started)
}

// resultAfterContextEnd returns the result of a request whose context ended before its exchange.
func (c *Client) resultAfterContextEnd(ctx context.Context, e *exchange, started time.Time) (a routing.AttemptResult, pending bool) {
	a.Observation.Latency = c.now().Sub(started)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.Observation.Signal = routing.SignalTimedOut
	}
	if e.revoke() {
		e.cancel()
		a.Err = verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "the request was not sent in time")
		return a, false
	}
	if !e.markAbandoned() {
		return <-e.done, false
	}
	a.Err = verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time")
	return a, true
}

// roundTrip performs the exchange and returns its result. It closes the connection after an answer that leaves the
// outcome unknown.
func (c *Client) roundTrip(
	ctx context.Context, e *exchange, httpRequest *http.Request, t routing.Target, r request.Request,
) routing.AttemptResult {
	ctx = httptrace.WithClientTrace(ctx, e.trace())
	response, err := c.transport.RoundTrip(httpRequest.WithContext(ctx))
	if err != nil {
		return e.failure(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := readResponse(e, response, t, r)
	if a.Err != nil && a.Err.Verdict == verdict.MayHaveRun {
		e.closeConn()
	}
	return a
}

// failure returns the result of an exchange that ended with err instead of a response.
func (e *exchange) failure(err error) routing.AttemptResult {
	a := routing.AttemptResult{Observation: routing.Observation{Signal: routing.SignalFailed}}
	if errors.Is(err, context.DeadlineExceeded) {
		a.Observation.Signal = routing.SignalTimedOut
	}
	if e.mayHaveWritten() {
		a.Err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "the connection broke before the answer")
		return a
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.Observation.Signal = routing.SignalUnreachable
	}
	a.Err = verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "no connection to the target")
	return a
}
