package daemon

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/callerhttp"
	"github.com/bulrushrelay/bulrushrelay/relay/entry"
)

// countingService counts the requests that reach the service.
type countingService struct{ calls atomic.Int32 }

func (s *countingService) Do(context.Context, entry.Call) (entry.Reply, error) {
	s.calls.Add(1)
	return entry.Reply{}, nil
}

func (s *countingService) IssueKeys(n int) ([]string, error) { return make([]string, n), nil }

// Guards against a host that runs requests of callers that have given up. It happens when the process was paused: the
// server accepts connections only after some callers have closed theirs. A caller that still waits is served.
func TestRequestOfDisconnectedCallerIsNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := newHTTPServer(listener, newHTTPLimits(100, time.Minute), nil)
	send := func() net.Conn {
		conn, err := net.Dial("tcp", server.listener.Addr().String())
		require.NoError(t, err)
		_, err = fmt.Fprint(conn, "POST /v1/run/write/x HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\nab")
		require.NoError(t, err)
		return conn
	}
	const disconnected = 20
	for range disconnected {
		require.NoError(t, send().Close())
	}
	waiting := send()
	defer func() { _ = waiting.Close() }()

	s := &countingService{}
	handled := make(chan struct{}, disconnected+1)
	server.echo.Use(func(next echo.HandlerFunc) echo.HandlerFunc {
		return func(c echo.Context) error {
			defer func() { handled <- struct{}{} }()
			return next(c)
		}
	})
	callerhttp.Register(server.echo, s)
	go func() { _ = server.serve() }()
	defer func() { _ = server.server.Close() }()
	for range disconnected + 1 {
		<-handled
	}
	require.EqualValues(t, 1, s.calls.Load())
}
