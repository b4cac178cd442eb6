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
	// idleCloseResponse is the closeResponse of a server unless its port has another one. HTTP clients take a request
	// time-out as the end of an idle connection. The verdict is may-have-run, because the host did not read the request
	// and an earlier attempt under its key may have run.
	idleCloseResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nRetry-After: 1\r\nBulrush-Verdict: may-have-run\r\nContent-Length: 0\r\n\r\n"
	// idleCloseWait bounds the wait for callers to close their connections after this response.
	idleCloseWait = 300 * time.Millisecond
)

// idleConns tracks the connections of a server that wait for their first or next request.
type idleConns struct {
	// closeResponse is written to an idle connection before it is closed. A caller that writes a request at the same
	// moment takes it for the response to its request.
	closeResponse string
	// mu guards the fields below.
	mu   sync.Mutex
	idle map[net.Conn]bool
	// notified are the open connections to which closeResponse is written.
	notified map[net.Conn]bool
	// closed receives a value when the last notified connection has closed.
	closed chan struct{}
}

func newIdleConns() *idleConns {
	return &idleConns{
		closeResponse: idleCloseResponse,
		idle:          make(map[net.Conn]bool), notified: make(map[net.Conn]bool), closed: make(chan struct{}, 1),
	}
}

// track is the ConnState callback of the server.
func (i *idleConns) track(c net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.idle, c)
	switch state {
	case http.StateNew, http.StateIdle:
		// A new connection may stay without a request: clients open one for a request that another connection then
		// takes, and keep it for later.
		i.idle[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(i.notified, c)
		if len(i.notified) == 0 {
			select {
			case i.closed <- struct{}{}:
			default:
			}
		}
	default:
	}
}

// markNotified adds the connections that are idle now to the notified ones and returns them.
func (i *idleConns) markNotified() []net.Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	var out []net.Conn
	for c := range i.idle {
		i.notified[c] = true
		out = append(out, c)
	}
	return out
}

func (i *idleConns) allNotifiedClosed() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.notified) == 0
}

// notifyAndWait writes closeResponse to the idle connections and waits until their callers have closed them, at
// most for idleCloseWait or until ctx ends. Closing them at once would lose a request that a caller has just written,
// and the caller could not know whether it ran. A connection that has just become active also gets the response to
// its request, which its caller does not read any more. closeResponse must be true of both.
func (i *idleConns) notifyAndWait(ctx context.Context) {
	for _, c := range i.markNotified() {
		// This does not block even if the caller does not read: the send buffer of an idle connection has room for
		// the response.
		_, _ = io.WriteString(c, i.closeResponse)
	}
	timer := time.NewTimer(idleCloseWait)
	defer timer.Stop()
	for !i.allNotifiedClosed() {
		select {
		case <-i.closed:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
