package main

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// maxPageItems is the number of items of a page of a range.
const maxPageItems = 500

// wireItem is an item or a change as the store sends it.
type wireItem struct {
	Key     string `json:"Key"`
	Value   []byte `json:"Value"`
	Rev     int64  `json:"Rev"`
	Created int64  `json:"Created"`
	Lease   int64  `json:"Lease"`
	Deleted bool   `json:"Deleted,omitempty"`
}

func (i item) wire() wireItem {
	return wireItem{Key: i.Key, Value: i.Value, Rev: i.Rev, Created: i.Created, Lease: i.Lease}
}

// handler serves the calls of the store.
func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.serveKey)
	mux.HandleFunc("GET /-/kv-range", s.serveRange)
	mux.HandleFunc("GET /-/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /-/kv-txn", s.serveTxn)
	mux.HandleFunc("POST /-/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /-/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /-/kv-lease-end/{id}", s.serveEnd)
	return mux
}

// access is how one host reaches the store. While it is turned away, its calls get no answer and nothing is done.
type access struct {
	turnedAway atomic.Bool
	// renewedAt is the time of the last renewal of a lease, in nanoseconds since 1970.
	renewedAt atomic.Int64
}

// handler serves the calls of one host to the store.
func (a *access) handler(s *store) http.Handler {
	all := s.handler()
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if a.turnedAway.Load() {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		}
		if strings.HasPrefix(r.URL.Path, "/-/kv-keep/") {
			a.renewedAt.Store(time.Now().UnixNano())
		}
		all.ServeHTTP(w, r)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.currentAnswerTime())
	s.mu.Lock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, i.wire())
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(s.currentAnswerTime())
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []wireItem{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i.wire())
		}
	}
	slices.SortFunc(items, func(a, b wireItem) int { return strings.Compare(a.Key, b.Key) })
	truncated := len(items) > maxPageItems
	if truncated {
		items = items[:maxPageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "Truncated": truncated, "CurrentRev": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("Prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("WaitMs"), 10, 64)
	time.Sleep(s.currentAnswerTime())
	timeout := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		events := []wireItem{}
		first, _ := slices.BinarySearchFunc(s.history, after+1, func(c change, rev int64) int { return int(c.Rev - rev) })
		for _, c := range s.history[first:] {
			if strings.HasPrefix(c.Key, prefix) {
				e := c.wire()
				e.Deleted = c.Deleted
				events = append(events, e)
			}
		}
		changed, rev := s.changed, s.rev
		s.mu.Unlock()
		expired := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout.C:
				expired = true
			case <-r.Context().Done():
				return
			}
		}
		if len(events) > 0 || expired {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": rev})
			return
		}
	}
}

// serveTxn executes a transaction. If its answer is lost, the connection stays open and returns nothing further.
func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		ExpectRev []expectation
		Puts      []put
		Remove    []string
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	t := txn{ExpectRev: body.ExpectRev, Puts: body.Puts, Remove: body.Remove}
	s.mu.Lock()
	lose := s.lose
	s.mu.Unlock()
	if lose != nil {
		if delay, lost := lose(t); lost {
			time.AfterFunc(delay, func() { s.execute(t) })
			<-r.Context().Done()
			return
		}
	}
	time.Sleep(s.currentAnswerTime())
	status, rev, present := s.execute(t)
	if status == http.StatusPreconditionFailed {
		items := []wireItem{}
		for _, i := range present {
			items = append(items, i.wire())
		}
		writeJSON(w, status, map[string]any{"items": items})
		return
	}
	writeJSON(w, status, map[string]any{"Rev": rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TtlMs int64 //nolint:revive,staticcheck // The name on the wire.
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	id := s.grant(time.Duration(body.TtlMs) * time.Millisecond)
	time.Sleep(s.currentAnswerTime())
	writeJSON(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": body.TtlMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	kept := s.keep(id)
	time.Sleep(s.currentAnswerTime())
	if !kept {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(s.currentAnswerTime())
	s.mu.Lock()
	_, ok := s.leases[id]
	if ok {
		s.endLease(id)
	}
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct{}{})
}
