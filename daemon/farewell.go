package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// farewell is the last answer on an idle connection. It is a request time-out, which clients of HTTP take as the end of
	// an idle connection. A request that its caller writes at the same moment gets it as its answer: the host did not read
	// the request, but does not know whether an earlier attempt under its key ran.
	farewell = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nRetry-After: 1\r\nBulrush-Verdict: may-have-run\r\nContent-Length: 0\r\n\r\n"
	// farewellTime bounds the wait for callers to close their connections after that.
	farewellTime = 300 * time.Millisecond
)

// idleConns are the connections of a server that wait for their first or next request.
type idleConns struct {
	// mu guards the fields below.
	mu    sync.Mutex
	conns map[net.Conn]bool
	// told are the connections that got the farewell and are still open.
	told map[net.Conn]bool
	gone chan struct{}
}

func newIdleConns() *idleConns {
	return &idleConns{conns: make(map[net.Conn]bool), told: make(map[net.Conn]bool), gone: make(chan struct{}, 1)}
}

// track is the ConnState of the server.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.conns, c)
	switch state {
	case http.StateNew, http.StateIdle:
		// Clients keep connections for later that they opened for a request which another connection then took.
		i.conns[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(i.told, c)
		if len(i.told) == 0 {
			select {
			case i.gone <- struct{}{}:
			default:
			}
		}
	default:
	}
}

// take returns the connections that are idle now, and counts them as told.
func (i *idleConns) take() []net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []net.Conn
	for c := range i.conns {
		i.told[c] = true
		out = append(out, c)
	}
	return out
}

func (i *idleConns) allGone() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.told) == 0
}

// dismiss ends idle connections with an answer. Closing them would lose the request that a caller has just written to one,
// and the caller could not know what became of it. A connection that has just become active gets the answer of its request
// too, which refuses it: the host takes no requests any more.
func (i *idleConns) dismiss(ctx context.Context) {
	for _, c := range i.take() {
		// A caller that does not read cannot hold up the stop: an idle connection has room for these bytes.
		_, _ = io.WriteString(c, farewell)
	}
	timer := time.NewTimer(farewellTime)
	defer timer.Stop()
	for !i.allGone() {
		select {
		case <-i.gone:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
