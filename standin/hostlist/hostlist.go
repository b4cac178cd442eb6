// Package hostlist simulates the platform's host list. It serves the live and leaving hosts as JSON over HTTP, and
// shows each change after a lag.
package hostlist

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Host is an entry of the list.
type Host struct {
	ID         string `json:"id"`
	Address    string `json:"address"`
	Kind       string `json:"kind"`
	DataCentre string `json:"data_centre"`
	Rack       string `json:"rack"`
	State      string `json:"state"`
}

// listVersion is the content of the list from visibleFrom until the next version is visible.
type listVersion struct {
	number      int
	visibleFrom time.Time
	hosts       []Host
}

// List is a running server of a host list.
type List struct {
	listener  net.Listener
	server    *http.Server
	changeLag time.Duration
	// startNanos is the start time in nanoseconds since the Unix epoch. It is part of the entity tag, so that
	// versions of a restarted list differ from those before the restart.
	startNanos int64

	// mu guards the fields below.
	mu         sync.Mutex
	down       bool
	lastNumber int
	versions   []listVersion
}

// Start serves an empty list on a loopback address; "127.0.0.1:0" picks a free port. Changes are visible after
// changeLag.
func Start(address string, changeLag time.Duration) (*List, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return Serve(listener, changeLag), nil
}

// Serve serves an empty list on a listener. Changes are visible after changeLag.
func Serve(listener net.Listener, changeLag time.Duration) *List {
	list := &List{listener: listener, changeLag: changeLag, startNanos: time.Now().UnixNano(), versions: []listVersion{{}}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", list.handleList)
	list.server = &http.Server{Handler: mux, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = list.server.Serve(listener) }()
	return list
}

// URL returns the URL of the list.
func (l *List) URL() string { return "http://" + l.listener.Addr().String() + "/v1/hosts" }

// Close stops serving.
func (l *List) Close() error { return l.server.Close() }

// Set replaces the list.
func (l *List) Set(hosts []Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastNumber++
	l.versions = append(l.versions, listVersion{l.lastNumber, time.Now().Add(l.changeLag), append([]Host(nil), hosts...)})
}

// SetDown makes the list answer with status 500, or normally again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// current returns the newest visible version and whether the list is up, and drops older versions.
func (l *List) current() (newest listVersion, up bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	for len(l.versions) > 1 && !now.Before(l.versions[1].visibleFrom) {
		l.versions = l.versions[1:]
	}
	return l.versions[0], !l.down
}

func (l *List) handleList(w http.ResponseWriter, r *http.Request) {
	shown, up := l.current()
	if !up {
		http.Error(w, "the host list is down", http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%d-%d"`, l.startNanos, shown.number)
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	hosts := shown.hosts
	if hosts == nil {
		hosts = []Host{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string][]Host{"hosts": hosts})
}
