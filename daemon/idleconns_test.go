package daemon

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"
)

// Guards against a graceful shutdown that closes idle connections to which requests have just been written: each such
// request must get a response, and a caller that closes its connection must not delay the shutdown.
func TestIdleConnectionsEndWithAnAnswer(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := newHTTPServer(listener, newHTTPLimits(100, time.Minute), nil)
	server.echo.POST("/x", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	go func() { _ = server.serve() }()
	const callers = 10
	conns, readers := make([]net.Conn, callers), make([]*bufio.Reader, callers)
	request := func(i int) *http.Response {
		_, err := fmt.Fprint(conns[i], "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")
		require.NoError(t, err)
		response, err := http.ReadResponse(readers[i], nil)
		require.NoError(t, err, "no answer on an open connection")
		require.NoError(t, response.Body.Close())
		return response
	}
	for i := range conns {
		conns[i], err = net.Dial("tcp", server.listener.Addr().String())
		require.NoError(t, err)
		readers[i] = bufio.NewReader(conns[i])
		if i < callers-1 { // the last one has not been used yet
			require.Equal(t, http.StatusOK, request(i).StatusCode)
		}
	}
	idle := func() bool {
		server.idle.mu.Lock()
		defer server.idle.mu.Unlock()
		return len(server.idle.idle) == callers
	}
	require.Eventually(t, idle, 10*time.Second, time.Millisecond)
	require.Len(t, server.idle.markNotified(), callers)
	require.False(t, server.idle.allNotifiedClosed())

	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		server.idle.notifyAndWait(t.Context())
	}()
	for i := range conns {
		response := request(i)
		if response.StatusCode == http.StatusRequestTimeout {
			require.True(t, response.Close)
			require.Equal(t, "may-have-run", response.Header.Get("Bulrush-Verdict"))
		}
		require.NoError(t, conns[i].Close())
	}
	<-stopped
	require.Eventually(t, server.idle.allNotifiedClosed, 10*time.Second, time.Millisecond)
	require.NoError(t, server.shutdown(t.Context()))
}
