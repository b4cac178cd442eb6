package load

import (
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/history"
)

// recordPersistentClient sends requests from one persistent client to a host with the given handler, and returns the
// events that the client recorded.
func recordPersistentClient(t *testing.T, handler http.HandlerFunc) []history.Event {
	server := httptest.NewServer(handler)
	defer server.Close()
	recorder := history.NewRecorder(time.Now)
	c := Class{Name: "read", Rate: 200, Idempotent: true, Timeout: time.Second, MaxAttempts: 1}
	g, err := New(Options{Hosts: map[string]string{"h": server.URL}, Classes: []Class{c}, Duration: 300 * time.Millisecond, Recorder: recorder})
	require.NoError(t, err)
	require.NoError(t, g.RunPersistentClients(t.Context(), c, 1))
	return recorder.Events()
}

func answers(events []history.Event) []history.Event {
	return slices.DeleteFunc(events, func(e history.Event) bool { return e.Kind != history.CallAnswered })
}

// Guards against a client that closes its connection before the host does. Whether a draining host closes a connection
// at the wrong time shows only with callers that continue to use it.
func TestPersistentClientKeepsItsConnection(t *testing.T) {
	var mu sync.Mutex
	connections := make(map[string]int)
	events := answers(recordPersistentClient(t, func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		connections[r.RemoteAddr]++
		w.Header().Set("Bulrush-Verdict", "not-run")
		if connections[r.RemoteAddr] == 5 {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	require.Greater(t, len(events), 6)
	require.Greater(t, len(connections), 1)
	for i, e := range events {
		require.Equal(t, i%5 != 0, e.ReusedConnection, "the client may connect again only after the host has closed the connection")
		require.False(t, e.NoAnswer)
		require.Equal(t, "not-run", e.Verdict)
	}
}

// Guards against recording a broken connection as an answer of the host.
func TestBrokenConnectionIsNoAnswer(t *testing.T) {
	n := 0
	events := answers(recordPersistentClient(t, func(w http.ResponseWriter, _ *http.Request) {
		if n++; n%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Bulrush-Verdict", "not-run")
	}))
	require.Greater(t, len(events), 2)
	require.False(t, events[0].NoAnswer)
	require.True(t, events[1].NoAnswer && events[1].ReusedConnection)
	require.Equal(t, "may-have-run", events[1].Verdict)
}

// Guards against persistent clients for a class that needs keys: they send none, so a request may run twice.
func TestPersistentClientsNeedAnIdempotentClass(t *testing.T) {
	c := Class{Name: "write", Rate: 1, MaxAttempts: 1}
	g, err := New(Options{Hosts: map[string]string{"h": "http://127.0.0.1:1"}, Classes: []Class{c}})
	require.NoError(t, err)
	err = g.RunPersistentClients(t.Context(), c, 1)
	require.Error(t, err)
	require.True(t, strings.Contains(err.Error(), "idempotent"))
}

// Guards against sending a request over a connection that the host has already closed. The lost request would look as
// if the host had cut it off.
func TestClosedConnectionIsNotWritten(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	c, err := closeAwareDialer((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
	require.NoError(t, err)
	host, err := l.Accept()
	require.NoError(t, err)
	_, err = c.Write([]byte("first"))
	require.NoError(t, err)
	conn := c.(*closeAwareConn)
	u := &connUse{conn: conn, writtenBefore: conn.written.Load()}
	require.NoError(t, host.Close())
	require.Eventually(t, conn.closedByHost, 10*time.Second, time.Millisecond)
	_, err = c.Write([]byte("second"))
	require.ErrorIs(t, err, errHostClosed)
	require.True(t, u.nothingWritten())
	require.False(t, (&connUse{conn: conn}).nothingWritten(), "the first request was written")
}
