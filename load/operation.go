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
	// operationPrefix precedes the operation in the body of a request. The stand-in target repeats the body in its answer.
	operationPrefix = "operation="
	// maxReason bounds the bytes of a refusal that are recorded.
	maxReason = 240
)

// operate runs one operation to its end: attempts with the same key until it is answered or the attempts are used up.
func (g *Generator) operate(ctx context.Context, c Class, due time.Time, random *rand.Rand) {
	k := g.results[c.Name]
	k.sent.Add(1)
	op := &operation{
		id:      fmt.Sprintf("%s%s-%d", g.options.RunID, c.Name, g.next.Add(1)),
		class:   c,
		service: time.Duration(random.ExpFloat64() * float64(c.MeanServiceTime)),
		client:  g.client,
	}
	if !c.Idempotent {
		key, err := g.keys.take(ctx)
		if err != nil {
			k.notRun.Add(1)
			return
		}
		op.key = key
	}
	last := verdictNotRun
	for attempt := 1; attempt <= c.MaxAttempts; attempt++ {
		if attempt > 1 {
			k.retries.Add(1)
		}
		result := g.attempt(ctx, op, attempt, g.pick(random))
		if result.verdict == verdictRan {
			k.answer(due, op.service)
			return
		}
		// An attempt that may have run decides the verdict of the operation, whatever later attempts say.
		if result.verdict == verdictMayHaveRun {
			last = verdictMayHaveRun
		}
		if attempt < c.MaxAttempts && !pause(ctx, result.retryAfter) {
			break
		}
	}
	if last == verdictMayHaveRun {
		k.unknown.Add(1)
		return
	}
	k.notRun.Add(1)
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(min(max(d, 20*time.Millisecond), maxRetryPause))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

type operation struct {
	id    string
	class Class
	key   string
	// service is the time that the target is asked to take.
	service time.Duration
	// client sends the requests.
	client *http.Client
}

// body returns the body of the requests of the operation: its name, padded to the size of the class.
func (o *operation) body() []byte {
	b := []byte(operationPrefix + o.id + "\n")
	if missing := o.class.BodyBytes - len(b); missing > 0 {
		b = append(b, bytes.Repeat([]byte{'.'}, missing)...)
	}
	return b
}

// answeredOperation returns the operation that an answer repeats.
func answeredOperation(body string) string {
	_, after, _ := strings.Cut(body, operationPrefix)
	operation, _, _ := strings.Cut(after, "\n")
	return operation
}

type attemptResult struct {
	// unsent is set if no connection was made: the verdict is then the caller's own and not that of a relay host.
	unsent bool
	// open is set if the connection had served another request before.
	open bool
	// broken is set if the request was sent and no answer came.
	broken bool
	// reason is what a refusal or an error said.
	reason     string
	verdict    string
	retryAfter time.Duration
}

func (g *Generator) attempt(ctx context.Context, op *operation, attempt int, host string) attemptResult {
	g.options.Recorder.Add(history.Event{
		Kind: history.CallSent, Operation: op.id, Attempt: attempt, Class: op.class.Name, Host: host, Idempotent: op.class.Idempotent,
		TimeoutMS: op.class.Timeout.Milliseconds(),
	})
	result, answer := g.send(ctx, op, host)
	said := result.verdict
	if result.unsent {
		said = history.VerdictUnsent
	}
	g.options.Recorder.Add(history.Event{
		Kind: history.CallAnswered, Operation: op.id, Attempt: attempt, Verdict: said, Answer: answer, ReusedConnection: result.open, NoAnswer: result.broken, Reason: result.reason,
	})
	return result
}

// send returns the verdict, and the operation named by the answer. Without a verdict of the service the caller only
// knows that its request may have run.
func (g *Generator) send(ctx context.Context, op *operation, host string) (result attemptResult, answer string) {
	unknown := attemptResult{verdict: verdictMayHaveRun, broken: true}
	ctx, cancel := context.WithTimeout(ctx, op.class.Timeout+5*time.Second)
	defer cancel()
	var last atomic.Pointer[use]
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(c httptrace.GotConnInfo) {
		u := &use{open: c.Reused}
		if conn, ok := c.Conn.(*callerConn); ok {
			u.conn, u.before = conn, conn.written.Load()
		}
		last.Store(u)
	}})
	defer func() { result.open = last.Load() != nil && last.Load().open }()
	url := fmt.Sprintf("%s/v1/run/%s/work?service=%s", g.options.Hosts[host], op.class.Name, op.service)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(op.body()))
	if err != nil {
		return unknown, ""
	}
	// Without GetBody the client does not repeat the request by itself on a broken connection.
	r.GetBody = nil
	r.Header.Set(HeaderOperation, op.id)
	r.Header.Set("Bulrush-Timeout-Ms", strconv.FormatInt(op.class.Timeout.Milliseconds(), 10))
	if op.key != "" {
		r.Header.Set("Idempotency-Key", op.key)
	}
	g.running[host].Add(1)
	defer g.running[host].Add(-1)
	response, err := op.client.Do(r)
	if notConnected(err) || (err != nil && last.Load().unwritten()) {
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
		result.reason = string(body[:min(len(body), maxReason)])
	}
	return result, answeredOperation(string(body))
}
