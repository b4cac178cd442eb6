package load

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/history"
)

const (
	verdictRan        = "ran"
	verdictNotRun     = "not-run"
	verdictMayHaveRun = "may-have-run"
	// operationPrefix precedes the operation ID in the body of a request. The stand-in target repeats the body in its
	// answer.
	operationPrefix = "operation="
	// maxReasonBytes bounds how much of the body of a refusal is recorded as its reason.
	maxReasonBytes = 240
)

// runOperation makes attempts with the same key until the operation is answered or its attempts are used up.
func (g *Generator) runOperation(ctx context.Context, c Class, arrivedAt time.Time, random *rand.Rand) {
	k := g.results[c.Name]
	k.sent.Add(1)
	op := &operation{
		id:          fmt.Sprintf("%s%s-%d", g.options.RunID, c.Name, g.operationCount.Add(1)),
		class:       c,
		serviceTime: time.Duration(random.ExpFloat64() * float64(c.MeanServiceTime)),
		client:      g.client,
	}
	if !c.Idempotent {
		key, err := g.keys.take(ctx)
		if err != nil {
			k.notRun.Add(1)
			return
		}
		op.key = key
	}
	outcome := verdictNotRun
	for attempt := 1; attempt <= c.MaxAttempts; attempt++ {
		if attempt > 1 {
			k.retries.Add(1)
		}
		result := g.attempt(ctx, op, attempt, g.pickHost(random))
		if result.verdict == verdictRan {
			k.recordAnswer(arrivedAt, op.serviceTime)
			return
		}
		// Once an attempt may have run, the operation may have run, whatever the verdicts of later attempts are.
		if result.verdict == verdictMayHaveRun {
			outcome = verdictMayHaveRun
		}
		if attempt < c.MaxAttempts && !waitBeforeRetry(ctx, result.retryAfter) {
			break
		}
	}
	if outcome == verdictMayHaveRun {
		k.unknown.Add(1)
		return
	}
	k.notRun.Add(1)
}

// waitBeforeRetry waits for d, but at least 20 ms and at most maxRetryPause. It reports false if ctx ends first.
func waitBeforeRetry(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(min(max(d, 20*time.Millisecond), maxRetryPause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// operation is one operation of a class. All its attempts have the same body and key.
type operation struct {
	id    string
	class Class
	key   string
	// serviceTime is the service time that the target is asked to take.
	serviceTime time.Duration
	client      *http.Client
}

// body returns the request body: the operation ID, padded to the body size of the class.
func (o *operation) body() []byte {
	b := []byte(operationPrefix + o.id + "\n")
	if missing := o.class.BodyBytes - len(b); missing > 0 {
		b = append(b, bytes.Repeat([]byte{'.'}, missing)...)
	}
	return b
}

// answeredOperation returns the operation ID that an answer repeats, or "" if there is none.
func answeredOperation(body string) string {
	_, after, _ := strings.Cut(body, operationPrefix)
	operation, _, _ := strings.Cut(after, "\n")
	return operation
}

// attemptResult is the outcome of one attempt.
type attemptResult struct {
	// unsent is set if nothing was sent, because no connection was made or the host had closed it. The verdict is then
	// not that of a relay host.
	unsent bool
	// reusedConnection is set if the connection had served an earlier request.
	reusedConnection bool
	// noAnswer is set if the request was sent and no answer came.
	noAnswer bool
	// reason is the text of a refusal or of an error.
	reason     string
	verdict    string
	retryAfter time.Duration
}

// attempt sends one attempt to a host and records it.
func (g *Generator) attempt(ctx context.Context, op *operation, attempt int, host string) attemptResult {
	g.options.Recorder.Add(history.Event{
		Kind: history.CallSent, Operation: op.id, Attempt: attempt, Class: op.class.Name, Host: host, Idempotent: op.class.Idempotent,
		TimeoutMS: op.class.Timeout.Milliseconds(),
	})
	result, answer := g.send(ctx, op, host)
	recorded := result.verdict
	if result.unsent {
		recorded = history.VerdictUnsent
	}
	g.options.Recorder.Add(history.Event{
		Kind: history.CallAnswered, Operation: op.id, Attempt: attempt, Verdict: recorded, Answer: answer, ReusedConnection: result.reusedConnection, NoAnswer: result.noAnswer, Reason: result.reason,
	})
	return result
}

// send sends one request. It returns the result and the operation ID that the answer names. Without a verdict from the
// service, the caller must assume that its request may have run.
func (g *Generator) send(ctx context.Context, op *operation, host string) (result attemptResult, answer string) {
	unknown := attemptResult{verdict: verdictMayHaveRun, noAnswer: true}
	ctx, cancel := context.WithTimeout(ctx, op.class.Timeout+5*time.Second)
	defer cancel()
	var lastUse atomic.Pointer[connUse]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		u := &connUse{reused: c.Reused}
		if conn, ok := c.Conn.(*closeAwareConn); ok {
			u.conn, u.writtenBefore = conn, conn.written.Load()
		}
		lastUse.Store(u)
	}})
	defer func() { result.reusedConnection = lastUse.Load() != nil && lastUse.Load().reused }()
	url := fmt.Sprintf("%s/v1/run/%s/work?service=%s", g.options.Hosts[host], op.class.Name, op.serviceTime)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(op.body()))
	if err != nil {
		return unknown, ""
	}
	// Without GetBody, net/http does not repeat the request by itself after a connection breaks.
	r.GetBody = nil
	r.Header.Set(HeaderOperation, op.id)
	r.Header.Set("Bulrush-Timeout-Ms", strconv.FormatInt(op.class.Timeout.Milliseconds(), 10))
	if op.key != "" {
		r.Header.Set("Idempotency-Key", op.key)
	}
	g.requestsByHost[host].Add(1)
	defer g.requestsByHost[host].Add(-1)
	response, err := op.client.Do(r)
	if isDialError(err) || (err != nil && lastUse.Load().nothingWritten()) {
		return attemptResult{verdict: verdictNotRun, unsent: true, reason: err.Error()}, ""
	}
	if err != nil {
		g.results[op.class.Name].noAnswer.Add(1)
		unknown.reason = err.Error()
		return unknown, ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		g.results[op.class.Name].noAnswer.Add(1)
		unknown.reason = err.Error()
		return unknown, ""
	}
	v := g.verdictOf(response)
	seconds, _ := strconv.Atoi(response.Header.Get("Retry-After"))
	result = attemptResult{verdict: v, retryAfter: time.Duration(seconds) * time.Second}
	if v != verdictRan {
		result.reason = string(body[:min(len(body), maxReasonBytes)])
	}
	return result, answeredOperation(string(body))
}
