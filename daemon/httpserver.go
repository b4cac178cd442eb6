package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"github.com/bulrushrelay/bulrushrelay/adapter/callerhttp"
)

// Limits against slow and oversized clients.
const (
	// readHeaderTimeout is the longest time for the headers of a request, and for a TLS handshake.
	readHeaderTimeout = 5 * time.Second
	// readTimeout is the longest time for a whole request. A body of 1 MB then needs 35 KB a second.
	readTimeout = 30 * time.Second
	// writeAllowance is the time that a client has for reading an answer, besides the longest time until it is ready.
	writeAllowance = 90 * time.Second
	// idleTimeout is the longest time between two requests on a connection.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 32 << 10
)

// httpLimits bounds what clients of one HTTP port can hold.
type httpLimits struct {
	connections int
	readHeader  time.Duration
	read        time.Duration
	// write counts from the end of the headers to the last byte of the answer.
	write       time.Duration
	idle        time.Duration
	headerBytes int
}

// newHTTPLimits returns the limits of a port whose answers take at most longest after the request was read. A limit on
// writing that did not include this time would cut off the answers to long requests.
func newHTTPLimits(connections int, longest time.Duration) httpLimits {
	return httpLimits{
		connections: connections,
		readHeader:  readHeaderTimeout,
		read:        readTimeout,
		write:       readTimeout + longest + writeAllowance,
		idle:        idleTimeout,
		headerBytes: maxHeaderBytes,
	}
}

// httpServer is an echo server on one listener.
type httpServer struct {
	listener net.Listener
	server   *http.Server
	echo     *echo.Echo
	done     chan struct{}
	idle     *idleConns
}

// newHTTPServer returns a server without routes on a listener. Connections above the limit wait until others close.
func newHTTPServer(listener net.Listener, limits httpLimits, tlsConfig *tls.Config) *httpServer {
	listener = limitListener(listener, limits.connections)
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(middleware.Recover())
	idle := newIdleConns()
	return &httpServer{
		listener: listener,
		idle:     idle,
		echo:     e,
		done:     make(chan struct{}),
		server: &http.Server{
			Handler:           e,
			ConnContext:       callerhttp.ConnContext,
			ConnState:         idle.track,
			ReadHeaderTimeout: limits.readHeader,
			ReadTimeout:       limits.read,
			WriteTimeout:      limits.write,
			IdleTimeout:       limits.idle,
			MaxHeaderBytes:    limits.headerBytes,
			ErrorLog:          log.New(io.Discard, "", 0),
		},
	}
}

// serve answers connections until shutdown.
func (s *httpServer) serve() error {
	defer close(s.done)
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// shutdown stops accepting connections and waits for the requests in progress until ctx ends.
func (s *httpServer) shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}
