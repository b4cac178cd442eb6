// Package targethttp sends requests to targets over HTTP/1.1 and proves what became of them.
//
// Each attempt is written to one connection at most. http.Transport by itself repeats requests that it regards as
// replayable when a reused connection breaks; here a connection refuses the bytes of an attempt that has begun on
// another one, so that a repeat is always a decision of the relay.
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
	// DefaultMaxConnsPerTarget is the most connections of this host to one target. A target takes 60 in total, and while
	// ownership changes, up to three hosts may hold connections to it.
	DefaultMaxConnsPerTarget = 16
	// DefaultLateAnswerTimeout is how long a late answer is awaited after the deadline.
	DefaultLateAnswerTimeout = 30 * time.Second
	// DefaultDialTimeout bounds the wait for a connection on networks of a few milliseconds.
	DefaultDialTimeout = 2 * time.Second

	idleTimeout    = 30 * time.Second
	maxHeaderBytes = 64 << 10
)

// Options are the settings of a Client. A zero value means the default.
type Options struct {
	MaxConnsPerTarget int
	LateAnswerTimeout time.Duration
	DialTimeout       time.Duration
	// Dial replaces the TCP dialer.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Client sends requests to targets.
type Client struct {
	transport  *http.Transport
	lateWindow time.Duration
	now        func() time.Time
}

// New returns a Client.
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
			DialContext:            dialGated(o.Dial, o.DialTimeout),
			DisableCompression:     true,
			MaxConnsPerHost:        o.MaxConnsPerTarget,
			MaxIdleConnsPerHost:    o.MaxConnsPerTarget,
			IdleConnTimeout:        idleTimeout,
			MaxResponseHeaderBytes: maxHeaderBytes,
		},
		lateWindow: o.LateAnswerTimeout,
		now:        o.Now,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// Send sends one request. It returns when the request ended or ctx ends. If pending is true, the request is still at
// the target and holds its slot; late is then called once, with the answer or the final error. late is not called
// otherwise.
func (c *Client) Send(
	ctx context.Context, t routing.Target, r request.Request, late func(routing.AttemptResult),
) (a routing.AttemptResult, pending bool) {
	begin := c.now()
	if err := ctx.Err(); err != nil {
		return routing.AttemptResult{Err: verdict.Wrap(err, verdict.NotRun, verdict.CodeDeadline, "not sent")}, false
	}
	httpRequest, err := newRequest(t, r)
	if err != nil {
		return routing.AttemptResult{Err: verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "request cannot be sent")}, false
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = begin.Add(c.lateWindow)
	}
	runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline.Add(c.lateWindow))
	e := &exchange{cancel: cancel, done: make(chan routing.AttemptResult, 1), deadline: deadline, now: c.now}
	go func() {
		defer cancel()
		a := c.run(runCtx, e, httpRequest, t, r)
		a.Observation.Latency = c.now().Sub(begin)
		e.finish(a, late)
	}()
	select {
	case a = <-e.done:
		return a, false
	case <-ctx.Done():
	}
	return c.abandon(ctx, e, begin)
}

// abandon decides what a caller learns whose deadline has come before the end of its request.
func (c *Client) abandon(ctx context.Context, e *exchange, begin time.Time) (a routing.AttemptResult, pending bool) {
	a.Observation.Latency = c.now().Sub(begin)
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		a.Observation.Signal = routing.SignalTimedOut
	}
	if e.revoke() {
		e.cancel()
		a.Err = verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "the request was not sent in time")
		return a, false
	}
	if !e.abandon() {
		return <-e.done, false
	}
	a.Err = verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeDeadline, "no answer in time")
	return a, true
}

// run performs the exchange to its end.
func (c *Client) run(
	ctx context.Context, e *exchange, httpRequest *http.Request, t routing.Target, r request.Request,
) routing.AttemptResult {
	ctx = httptrace.WithClientTrace(ctx, e.trace())
	response, err := c.transport.RoundTrip(httpRequest.WithContext(ctx))
	if err != nil {
		return e.failed(err)
	}
	defer func() { _ = response.Body.Close() }()
	a := read(e, response, t, r)
	if a.Err != nil && a.Err.Verdict == verdict.MayHaveRun {
		e.closeConn()
	}
	return a
}

// failed returns the attempt of an exchange without a response.
func (e *exchange) failed(err error) routing.AttemptResult {
	a := routing.AttemptResult{Observation: routing.Observation{Signal: routing.SignalFailed}}
	if errors.Is(err, context.DeadlineExceeded) {
		a.Observation.Signal = routing.SignalTimedOut
	}
	if e.written() {
		a.Err = verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "the connection broke before the answer")
		return a
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		a.Observation.Signal = routing.SignalUnreachable
	}
	a.Err = verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "no connection to the target")
	return a
}
