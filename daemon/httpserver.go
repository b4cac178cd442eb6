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
	"github.com/bulrushrelay/bulrushrelay/adapter/clientconn"
)

// Limits on slow and oversized clients.
const (
	// readHeaderTimeout bounds the time to read the headers of a request, and a TLS handshake.
	readHeaderTimeout = 5 * time.Second
	// readTimeout bounds the time to read a whole request. A body of 1 MB then needs 35 KB a second.
	readTimeout = 30 * time.Second
	// responseReadTime is the time that a client has for reading a response once it is ready.
	responseReadTime = 90 * time.Second
	// idleTimeout bounds the time between two requests on a connection.
	idleTimeout    = 90 * time.Second
	maxHeaderBytes = 32 << 10
)

// httpLimits bounds the resources that the clients of one HTTP port can hold.
type httpLimits struct {
	maxConnections    int
	readHeaderTimeout time.Duration
	readTimeout       time.Duration
	// writeTimeout runs from the end of the headers to the last byte of the response.
	writeTimeout   time.Duration
	idleTimeout    time.Duration
	maxHeaderBytes int
	// guard bounds the memory of unfinished requests; nil for none.
	guard *clientconn.Guard
}

// newHTTPLimits returns the limits of a port whose responses are ready at most longest after the request was read.
// writeTimeout includes this time, because it would otherwise cut off the responses to long requests.
func newHTTPLimits(connections int, longest time.Duration) httpLimits {
	return httpLimits{
		maxConnections:    connections,
		readHeaderTimeout: readHeaderTimeout,
		readTimeout:       readTimeout,
		writeTimeout:      readTimeout + longest + responseReadTime,
		idleTimeout:       idleTimeout,
		maxHeaderBytes:    maxHeaderBytes,
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

// newHTTPServer returns a server without routes on a listener. Connections above the limit wait until others close. A
// nil tlsConfig means plain HTTP.
func newHTTPServer(listener net.Listener, limits httpLimits, tlsConfig *tls.Config) *httpServer {
	listener = limitListener(listener, limits.maxConnections)
	if tlsConfig != nil {
		listener = tls.NewListener(listener, tlsConfig)
	}
	if limits.guard != nil {
		listener = limits.guard.Listener(listener, limits.maxConnections)
	}
	e := echo.New()
	e.HideBanner = true
	e.HidePort = true
	e.Use(middleware.Recover())
	idle := newIdleConns()
	var handler http.Handler = e
	if limits.guard != nil {
		handler = limits.guard.Handler(e)
	}
	return &httpServer{
		listener: listener,
		idle:     idle,
		echo:     e,
		done:     make(chan struct{}),
		server: &http.Server{
			Handler: handler,
			ConnContext: func(ctx context.Context, c net.Conn) context.Context {
				return clientconn.ConnContext(callerhttp.ConnContext(ctx, c), c)
			},
			ConnState: func(c net.Conn, state http.ConnState) {
				clientconn.Track(c, state)
				idle.track(c, state)
			},
			ReadHeaderTimeout: limits.readHeaderTimeout,
			ReadTimeout:       limits.readTimeout,
			WriteTimeout:      limits.writeTimeout,
			IdleTimeout:       limits.idleTimeout,
			MaxHeaderBytes:    limits.maxHeaderBytes,
			ErrorLog:          log.New(io.Discard, "", 0),
		},
	}
}

// serve accepts connections until shutdown.
func (s *httpServer) serve() error {
	defer close(s.done)
	err := s.server.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// notifyIdleAndShutdown ends the idle connections with a response, and then shuts the server down.
func (s *httpServer) notifyIdleAndShutdown(ctx context.Context) error {
	s.idle.notifyAndWait(ctx)
	return s.shutdown(ctx)
}

// shutdown stops accepting connections and waits for the requests in progress until ctx ends.
func (s *httpServer) shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}
