// Package target simulates a back end that answers requests over HTTP. It has the limits of a real one, injects faults,
// and counts the runs of each request.
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
	// MaxConnections is the number of connections that a target keeps open; further ones are closed at once.
	MaxConnections = 60

	headerRequestID = "Bulrush-Request-Id"
	headerRefusal   = "Bulrush-Refused"
	maxBodyBytes    = 1 << 20
)

// Fault is an injected fault of a target.
type Fault string

// The faults. A request runs under each of them except FaultLeaving.
const (
	// FaultNone is normal operation.
	FaultNone Fault = ""
	// FaultFail answers each request with status 500.
	FaultFail Fault = "fail"
	// FaultSlow multiplies the service time by SlowFactor.
	FaultSlow Fault = "slow"
	// FaultBlackHole never answers a request.
	FaultBlackHole Fault = "black-hole"
	// FaultCloseEarly closes the connection instead of answering.
	FaultCloseEarly Fault = "close-early"
	// FaultCloseMidAnswer closes the connection in the middle of a chunked answer.
	FaultCloseMidAnswer Fault = "close-mid-answer"
	// FaultTruncated declares a Content-Length above the number of bytes sent.
	FaultTruncated Fault = "truncated"
	// FaultWrongEcho returns a request id other than that of the request.
	FaultWrongEcho Fault = "wrong-echo"
	// FaultDouble reports the start of each run to the Observer twice, as if the request ran twice. No relay host can
	// make up for this fault or for FaultFalseRefusal; they show that the checker detects a second run and a false
	// "not run".
	FaultDouble Fault = "double"
	// FaultFalseRefusal runs each request and then answers that it was refused.
	FaultFalseRefusal Fault = "false-refusal"
	// FaultLeaving refuses each request with the reason that the target is leaving.
	FaultLeaving Fault = "leaving"
)

// SlowFactor is the factor by which FaultSlow multiplies the service time.
const SlowFactor = 20

// Stats holds the counts of a target since its start.
type Stats struct {
	// PeakInProgress is the highest number of requests in progress at one time.
	PeakInProgress int
	// Refused is the number of requests refused for lack of a slot or because the target is leaving.
	Refused int
	// RefusedConnections is the number of connections closed because of MaxConnections.
	RefusedConnections int
	// Runs is the number of runs by request id.
	Runs map[string]int
}

// Target is a running simulated back end.
type Target struct {
	listener net.Listener
	server   *http.Server
	// cancel cancels ctx when the target is closed, which ends the runs in progress.
	cancel context.CancelFunc
	ctx    context.Context

	// mu guards the fields below.
	mu          sync.Mutex
	serviceTime time.Duration
	fault       Fault
	observer    Observer
	inProgress  int
	connections map[net.Conn]bool
	stats       Stats
}

// Observer is called at the start and at the end of each run, with started true at the start. inProgress is the
// number of requests in progress after that. An Observer must not block.
type Observer func(r *http.Request, started bool, inProgress int)

// SetObserver sets the observer of starts and ends of runs from now on.
func (t *Target) SetObserver(o Observer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.observer = o
}

// Start starts a target on a loopback address; "127.0.0.1:0" picks a free port. Each request takes serviceTime.
func Start(address string, serviceTime time.Duration) (*Target, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, serviceTime), nil
}

// Serve starts a target on a listener. Each request takes serviceTime.
func Serve(listener net.Listener, serviceTime time.Duration) *Target {
	ctx, cancel := context.WithCancel(context.Background())
	t := &Target{
		listener: listener, serviceTime: serviceTime, cancel: cancel, ctx: ctx,
		connections: make(map[net.Conn]bool), stats: Stats{Runs: make(map[string]int)},
	}
	t.server = &http.Server{Handler: t, ConnState: t.trackConnection, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = t.server.Serve(listener) }()
	return t
}

// Address returns the address that the target listens on.
func (t *Target) Address() string { return t.listener.Addr().String() }

// Close stops the target at once and closes its connections.
func (t *Target) Close() error {
	t.cancel()
	return t.server.Close()
}

// Shutdown stops the target as in a planned shutdown: it accepts no more connections, closes idle ones and finishes the
// requests in progress.
func (t *Target) Shutdown(ctx context.Context) error {
	return t.server.Shutdown(ctx)
}

// SetFault sets the fault for requests that arrive from now on; FaultNone removes it.
func (t *Target) SetFault(f Fault) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.fault = f
}

// SetServiceTime sets the service time for requests that arrive from now on.
func (t *Target) SetServiceTime(duration time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.serviceTime = duration
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

// trackConnection counts the open connections and closes new ones above MaxConnections.
func (t *Target) trackConnection(c net.Conn, state http.ConnState) {
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

// beginRequest takes a slot, or returns the reason to refuse the request. The observer is called under the lock, so
// that it gets the numbers of requests in progress in the order in which they changed.
func (t *Target) beginRequest(r *http.Request, id string) (serviceTime time.Duration, fault Fault, refusal string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.fault == FaultLeaving:
		refusal = "leaving"
	case t.inProgress >= Slots:
		refusal = "slots"
	default:
		t.inProgress++
		t.stats.Runs[id]++
		t.stats.PeakInProgress = max(t.stats.PeakInProgress, t.inProgress)
		if t.observer != nil {
			t.observer(r, true, t.inProgress)
			if t.fault == FaultDouble {
				t.observer(r, true, t.inProgress)
			}
		}
		return t.serviceTime, t.fault, ""
	}
	t.stats.Refused++
	return 0, t.fault, refusal
}

func (t *Target) endRequest(r *http.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inProgress--
	if t.observer != nil {
		t.observer(r, false, t.inProgress)
	}
}

// ServeHTTP runs one request. The query parameters service and status override the service time and the status of the
// answer.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headerRequestID)
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(headerRequestID, id)
	serviceTime, fault, refusal := t.beginRequest(r, id)
	if refusal != "" {
		w.Header().Set(headerRefusal, refusal)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.endRequest(r)
	if d, err := time.ParseDuration(r.URL.Query().Get("service")); err == nil {
		serviceTime = d
	}
	if fault == FaultSlow {
		serviceTime *= SlowFactor
	}
	t.awaitServiceTime(serviceTime, fault)
	t.writeAnswer(w, r, id, body, fault)
}

// awaitServiceTime waits for the service time or until the target is closed. It goes on waiting when the connection
// of the request breaks, as in a back end that does not watch its connections.
func (t *Target) awaitServiceTime(serviceTime time.Duration, fault Fault) {
	if fault == FaultBlackHole {
		<-t.ctx.Done()
		return
	}
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

func (t *Target) writeAnswer(w http.ResponseWriter, r *http.Request, id string, body []byte, fault Fault) {
	switch fault {
	case FaultBlackHole, FaultCloseEarly:
		panic(http.ErrAbortHandler)
	case FaultCloseMidAnswer:
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "the first half")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	case FaultFalseRefusal:
		w.Header().Set(headerRefusal, "slots")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case FaultTruncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(body)+100))
	case FaultWrongEcho:
		w.Header().Set(headerRequestID, id+"-other")
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
