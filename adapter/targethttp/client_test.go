package targethttp

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// rawServer starts a server that passes each request to handle, which writes the raw answer and reports whether the
// connection stays open.
func rawServer(t *testing.T, handle func(conn net.Conn, r *http.Request) bool) routing.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					if !handle(conn, r) {
						return
					}
				}
			}()
		}
	}()
	return routing.Target{ID: "t", Address: listener.Addr().String()}
}

func writeAnswer(conn net.Conn, id, rest string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nBulrush-Request-Id: %s\r\n%s", id, rest)
	return err == nil
}

func newGetRequest(id string) request.Request {
	return request.Request{ID: id, Method: http.MethodGet, Path: "/x?y=1"}
}

func send(t *testing.T, c *Client, target routing.Target, r request.Request) routing.AttemptResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	a, pending := c.Send(ctx, target, r, func(routing.AttemptResult) { t.Error("unexpected late answer") })
	require.False(t, pending)
	return a
}

// Guards against a retry by http.Transport on a reused connection that breaks after the target has read the request.
// The test first shows that a plain transport retries.
func TestRequestIsWrittenOnce(t *testing.T) {
	var reads atomic.Int32
	target := rawServer(t, func(conn net.Conn, r *http.Request) bool {
		if r.URL.Path == "/warm" {
			return writeAnswer(conn, r.Header.Get(HeaderRequestID), "Content-Length: 0\r\n\r\n")
		}
		reads.Add(1)
		return false
	})
	plain := &http.Transport{}
	for _, path := range []string{"/warm", "/x"} {
		r, err := http.NewRequest(http.MethodGet, "http://"+target.Address+path, nil)
		require.NoError(t, err)
		if response, err := plain.RoundTrip(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}
	require.Greater(t, reads.Load(), int32(1), "a plain transport retries the request")

	for _, method := range []string{http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodOptions} {
		for _, body := range []string{"", "body"} {
			c := New(Options{})
			r := request.Request{
				ID: "1", Method: method, Path: "/x", Body: []byte(body),
				Headers: []request.Header{{Name: "Idempotency-Key", Value: "k"}, {Name: "x-idempotency-key", Value: "k"}},
			}
			warmUp := r
			warmUp.Path = "/warm"
			require.Nil(t, send(t, c, target, warmUp).Err)
			reads.Store(0)
			a := send(t, c, target, r)
			require.Equal(t, int32(1), reads.Load(), "%s with body %q", method, body)
			require.Equal(t, verdict.MayHaveRun, a.Err.Verdict)
			require.Equal(t, routing.SignalFailed, a.Observation.Signal)
			c.Close()
		}
	}
}

// Guards against a wrong NotRun or Ran for each kind of unusable answer, and against reuse of the connection
// afterwards.
func TestUnusableAnswers(t *testing.T) {
	answers := map[string]string{
		"id of another request":        "HTTP/1.1 200 OK\r\nBulrush-Request-Id: other\r\nContent-Length: 2\r\n\r\nok",
		"no id":                        "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
		"two ids":                      "HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\nBulrush-Request-Id: 2\r\nContent-Length: 2\r\n\r\nok",
		"body shorter than its length": "HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\nContent-Length: 20\r\n\r\nok",
		"body longer than its length":  "HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\nContent-Length: 2\r\n\r\nok and more",
		"no last chunk":                "HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
		"no length":                    "HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\n\r\nok",
		"too large":                    fmt.Sprintf("HTTP/1.1 200 OK\r\nBulrush-Request-Id: 1\r\nContent-Length: %d\r\n\r\n", request.MaxAnswerBytes+1),
		"refusal of another request": "HTTP/1.1 503 No\r\nBulrush-Request-Id: other\r\nBulrush-Refused: slots\r\n" +
			"Content-Length: 0\r\n\r\n",
		"not HTTP": "no http at all\r\n\r\n",
	}
	for name, raw := range answers {
		target := rawServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = io.WriteString(conn, raw)
			return name == "id of another request" || name == "body longer than its length"
		})
		c := New(Options{})
		for range 2 {
			a := send(t, c, target, newGetRequest("1"))
			require.NotNil(t, a.Err, name)
			require.Equal(t, verdict.MayHaveRun, a.Err.Verdict, name)
			require.Equal(t, routing.SignalFailed, a.Observation.Signal, name)
		}
	}
}

// Guards against complete answers that are rejected, and against the forwarding of headers with the reserved prefix.
func TestCompleteAnswers(t *testing.T) {
	for name, rest := range map[string]string{
		"length":  "Content-Length: 2\r\nX-Own: 1\r\nBulrush-Secret: 1\r\n\r\nok",
		"chunked": "Transfer-Encoding: chunked\r\nX-Own: 1\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		target := rawServer(t, func(conn net.Conn, r *http.Request) bool {
			require.Empty(t, r.Header.Get("Bulrush-Verdict"))
			require.Equal(t, "1", r.URL.Query().Get("y"))
			_, _ = io.WriteString(conn, "HTTP/1.1 103 Early Hints\r\n\r\n")
			return writeAnswer(conn, r.Header.Get(HeaderRequestID), rest)
		})
		r := newGetRequest("7")
		r.Headers = []request.Header{{Name: "Bulrush-Verdict", Value: "ran"}}
		a := send(t, New(Options{}), target, r)
		require.Nil(t, a.Err, name)
		require.Equal(t, request.Answer{
			Status: 200, Headers: []request.Header{{Name: "X-Own", Value: "1"}}, Body: []byte("ok"), Target: "t",
		}, a.Answer)
		require.Equal(t, routing.SignalOK, a.Observation.Signal)
	}
}

// Guards against MayHaveRun for a definite refusal, and against any other 503 that is taken for a refusal.
func TestRefusals(t *testing.T) {
	for reason, want := range map[string]routing.Signal{
		RefusedNoSlot: routing.SignalNoSlot, RefusedLeaving: routing.SignalLeaving, "maybe": routing.SignalErrorStatus,
	} {
		target := rawServer(t, func(conn net.Conn, _ *http.Request) bool {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 No\r\nBulrush-Request-Id: 1\r\nBulrush-Refused: %s\r\nContent-Length: 0\r\n\r\n", reason)
			return true
		})
		a := send(t, New(Options{}), target, newGetRequest("1"))
		require.Equal(t, want, a.Observation.Signal)
		if want == routing.SignalErrorStatus {
			require.Nil(t, a.Err)
			continue
		}
		require.Equal(t, verdict.NotRun, a.Err.Verdict)
	}
}

// Guards against MayHaveRun for a request that was never sent, and against invalid requests that count as failures of
// the target.
func TestUnsentRequestIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	unreachable := routing.Target{ID: "gone", Address: listener.Addr().String()}
	require.NoError(t, listener.Close())
	a := send(t, New(Options{}), unreachable, newGetRequest("1"))
	require.Equal(t, verdict.NotRun, a.Err.Verdict)
	require.Equal(t, routing.SignalUnreachable, a.Observation.Signal)

	for _, r := range []request.Request{
		{ID: "1", Method: "G T", Path: "/"},
		{ID: "1", Method: "GET", Path: "http://elsewhere/"},
		{ID: "1", Method: "GET", Path: "x"},
		{ID: "", Method: "GET", Path: "/"},
		{ID: "1\r\nX: y", Method: "GET", Path: "/"},
		{ID: "1", Method: "GET", Path: "/", Headers: []request.Header{{Name: "A", Value: "b\r\nC: d"}}},
		{ID: "1", Method: "POST", Path: "/", Body: make([]byte, request.MaxBodyBytes+1)},
	} {
		a := send(t, New(Options{}), unreachable, r)
		require.Equal(t, verdict.NotRun, a.Err.Verdict, r)
		require.Equal(t, verdict.CodeInvalid, a.Err.Code, r)
		require.Equal(t, routing.SignalNone, a.Observation.Signal, r)
	}
}

// manualDeadline is a context whose deadline passes when expired is closed.
type manualDeadline struct {
	context.Context
	expired chan struct{}
}

func (d manualDeadline) Done() <-chan struct{} { return d.expired }

func (d manualDeadline) Err() error {
	select {
	case <-d.expired:
		return context.DeadlineExceeded
	default:
		return nil
	}
}

// Guards against a late answer that is lost, and against a slot that counts as free while the request is at the
// target.
func TestLateAnswerIsDelivered(t *testing.T) {
	proceed, expired := make(chan struct{}), make(chan struct{})
	target := rawServer(t, func(conn net.Conn, r *http.Request) bool {
		close(expired)
		<-proceed
		return writeAnswer(conn, r.Header.Get(HeaderRequestID), "Content-Length: 2\r\n\r\nok")
	})
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	late := make(chan routing.AttemptResult, 1)
	a, pending := New(Options{}).Send(manualDeadline{ctx, expired}, target, newGetRequest("1"), func(a routing.AttemptResult) { late <- a })
	require.True(t, pending)
	require.Equal(t, verdict.MayHaveRun, a.Err.Verdict)
	require.Equal(t, routing.SignalTimedOut, a.Observation.Signal)
	close(proceed)
	got := <-late
	require.Nil(t, got.Err)
	require.Equal(t, "ok", string(got.Answer.Body))
}

// Guards against a request that is sent after its deadline when the process resumes after a pause, before timers fire.
func TestNoWriteAfterDeadline(t *testing.T) {
	var reads atomic.Int32
	target := rawServer(t, func(net.Conn, *http.Request) bool {
		reads.Add(1)
		return false
	})
	started := time.Now()
	calls := 0
	pausedClock := func() time.Time {
		// The process is paused for an hour after the first reading of the clock.
		if calls++; calls == 1 {
			return started
		}
		return started.Add(time.Hour)
	}
	a := send(t, New(Options{Now: pausedClock}), target, newGetRequest("1"))
	require.Equal(t, verdict.NotRun, a.Err.Verdict)
	require.Zero(t, reads.Load())
}

// Guards against a request that waits for a connection and is sent after its context has ended.
func TestRevokedRequestIsNotSent(t *testing.T) {
	var paths []string
	proceed := make(chan struct{})
	received := make(chan struct{})
	target := rawServer(t, func(conn net.Conn, r *http.Request) bool {
		paths = append(paths, r.URL.Path)
		if strings.HasPrefix(r.URL.Path, "/first") {
			close(received)
			<-proceed
		}
		return writeAnswer(conn, r.Header.Get(HeaderRequestID), "Content-Length: 0\r\n\r\n")
	})
	c := New(Options{MaxConnsPerTarget: 1})
	first := make(chan routing.AttemptResult, 1)
	go func() {
		a, _ := c.Send(context.Background(), target, request.Request{
			ID: "1", Method: "GET", Path: "/first", Deadline: time.Now().Add(time.Minute),
		}, nil)
		first <- a
	}()
	<-received
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	a, pending := c.Send(ctx, target, request.Request{ID: "2", Method: "GET", Path: "/second"}, nil)
	require.False(t, pending)
	require.Equal(t, verdict.NotRun, a.Err.Verdict)
	close(proceed)
	require.Nil(t, (<-first).Err)
	require.Nil(t, send(t, c, target, request.Request{ID: "3", Method: "GET", Path: "/third"}).Err)
	require.Equal(t, []string{"/first", "/third"}, paths)
}
