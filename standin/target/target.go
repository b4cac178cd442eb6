// Package target is a small stand-in for a back end that answers requests over HTTP. It has the limits of a real one,
// can be told to fail in several ways, and counts how often each request ran.
package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// Slots is the number of requests that a target runs at one time.
	Slots = 8
	// MaxConnections is the number of connections that a target accepts; further ones are closed at once.
	MaxConnections = 60

	headerID      = "Bulrush-Request-Id"
	headerRefused = "Bulrush-Refused"
	maxBody       = 1 << 20
)

// Fault is a way in which the target misbehaves.
type Fault string

// The faults. Requests run under all of them but FaultLeaving.
const (
	FaultNone Fault = ""
	// FaultFail answers each request with status 500.
	FaultFail Fault = "fail"
	// FaultSlow takes SlowFactor times as long.
	FaultSlow Fault = "slow"
	// FaultBlackHole never answers.
	FaultBlackHole Fault = "black-hole"
	// FaultCloseEarly closes the connection instead of answering.
	FaultCloseEarly Fault = "close-early"
	// FaultCloseMidAnswer closes the connection in the middle of a chunked answer.
	FaultCloseMidAnswer Fault = "close-mid-answer"
	// FaultTruncated announces more bytes than it sends.
	FaultTruncated Fault = "truncated"
	// FaultWrongEcho echoes the id of another request.
	FaultWrongEcho Fault = "wrong-echo"
	// FaultDouble runs each request twice, and FaultFalseRefusal runs it and then says that it refused it. No relay host
	// can make up for them; they show that the checker sees a second run and a false "not run".
	FaultDouble       Fault = "double"
	FaultFalseRefusal Fault = "false-refusal"
	// FaultLeaving refuses each request because the target is leaving.
	FaultLeaving Fault = "leaving"
)

// SlowFactor is how many times longer FaultSlow takes.
const SlowFactor = 20

// Stats is what the target has counted.
type Stats struct {
	// PeakInProgress is the most requests in progress at one time.
	PeakInProgress int
	// Refused counts requests refused for lack of slots or because the target is leaving.
	Refused int
	// RefusedConnections counts connections above the limit.
	RefusedConnections int
	// Runs counts the runs of each request id.
	Runs map[string]int
}

// Target is one running stand-in.
type Target struct {
	listener net.Listener
	server   *http.Server
	stop     context.CancelFunc
	stopped  context.Context

	// mu guards the fields below.
	mu          sync.Mutex
	service     time.Duration
	fault       Fault
	observer    Observer
	running     int
	connections map[net.Conn]bool
	stats       Stats
}

// Observer is told of the start and the end of each run. running is the number of requests in progress with this one.
// It must not block.
type Observer func(r *http.Request, started bool, running int)

// SetObserver sets the observer of requests that come from now on.
func (t *Target) SetObserver(o Observer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observer = o
}

// Start serves on a loopback address; "127.0.0.1:0" picks a free port. Each request takes the service time.
func Start(address string, service time.Duration) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, service), nil
}

// Serve serves on a listener.
func Serve(listener net.Listener, service time.Duration) *Target {
	stopped, stop := context.WithCancel(context.Background())
	t := &Target{
		listener: listener, service: service, stop: stop, stopped: stopped,
		connections: make(map[net.Conn]bool), stats: Stats{Runs: make(map[string]int)},
	}
	t.server = &http.Server{Handler: t, ConnState: t.track, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return t
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close stops the target and breaks its connections.
func (t *Target) Close() error {
	t.stop()
	return t.server.Close()
}

// Shutdown stops the target as a planned stop does: it accepts no connection, closes idle ones and finishes its
// requests.
func (t *Target) Shutdown(ctx context.Context) error {
	return t.server.Shutdown(ctx)
}

// SetFault changes how the target misbehaves, for requests that come from now on.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// SetServiceTime changes the service time, for requests that come from now on.
func (t *Target) SetServiceTime(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service = d
}

// Stats returns a copy of the counts.
func (t *Target) Stats() Stats {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stats
	s.Runs = make(map[string]int, len(t.stats.Runs))
	for id, n := range t.stats.Runs {
		s.Runs[id] = n
	}
	return s
}

// track bounds the connections.
func (t *Target) track(c net.Conn, state http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateNew:
		if len(t.connections) >= MaxConnections {
			t.stats.RefusedConnections++
			_ = c.Close()
			return
		}
		t.connections[c] = true
	case http.StateClosed, http.StateHijacked:
		delete(t.connections, c)
	}
}

// begin takes a slot, or returns the reason to refuse the request. The observer is called under the lock, so that the
// numbers of requests in progress that it sees are those that there were.
func (t *Target) begin(r *http.Request, id string) (service time.Duration, fault Fault, refused string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.fault == FaultLeaving:
		refused = "leaving"
	case t.running >= Slots:
		refused = "slots"
	default:
		t.running++
		t.stats.Runs[id]++
		t.stats.PeakInProgress = max(t.stats.PeakInProgress, t.running)
		if t.observer != nil {
			t.observer(r, true, t.running)
			if t.fault == FaultDouble {
				t.observer(r, true, t.running)
			}
		}
		return t.service, t.fault, ""
	}
	t.stats.Refused++
	return 0, t.fault, refused
}

func (t *Target) end(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running--
	if t.observer != nil {
		t.observer(r, false, t.running)
	}
}

// ServeHTTP runs one request. The query parameter service overrides the service time, and status the status.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerID)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(headerID, id)
	service, fault, refused := t.begin(r, id)
	if refused != "" {
		w.Header().Set(headerRefused, refused)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.end(r)
	if d, err := time.ParseDuration(r.URL.Query().Get("service")); err == nil {
		service = d
	}
	if fault == FaultSlow {
		service *= SlowFactor
	}
	t.work(service, fault)
	t.answer(w, r, id, body, fault)
}

// work passes the service time. A run goes on when its connection breaks, as in a back end that does not watch it.
func (t *Target) work(service time.Duration, fault Fault) {
	if fault == FaultBlackHole {
		<-t.stopped.Done()
		return
	}
	timer := time.NewTimer(service)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.stopped.Done():
	}
}

func (t *Target) answer(w http.ResponseWriter, r *http.Request, id string, body []byte, fault Fault) {
	switch fault {
	case FaultBlackHole, FaultCloseEarly:
		panic(http.ErrAbortHandler)
	case FaultCloseMidAnswer:
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "the first half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultFalseRefusal:
		w.Header().Set(headerRefused, "slots")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+100))
	case FaultWrongEcho:
		w.Header().Set(headerID, id+"-other")
	}
	status, err := strconv.Atoi(r.URL.Query().Get("status"))
	if err != nil || status < 200 || status > 599 {
		status = http.StatusOK
	}
	if fault == FaultFail {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, "%s %s", id, body)
}
