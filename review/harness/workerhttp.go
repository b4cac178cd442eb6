package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// orderBody holds the fields of all calls to a worker.
type orderBody struct {
	Task       string
	Run        int
	Spec       string
	DeadlineMs int64
	Fence      int64
	SeenUpto   int64
	WaitMs     int64
}

// handler serves the calls to a worker.
func (w *worker) handler() http.Handler {
	mux := http.NewServeMux()
	for path, serve := range map[string]func(http.ResponseWriter, *http.Request, orderBody){
		"POST /-/run-start": w.serveStart, "POST /-/run-stop": w.serveStop, "POST /-/hold": w.serveHold, "POST /-/pace": w.servePace,
	} {
		mux.HandleFunc(path, func(rw http.ResponseWriter, r *http.Request) {
			var body orderBody
			switch {
			case r.Header.Get("X-Expect-Instance") != w.id:
				w.answer(rw, http.StatusMisdirectedRequest, nil)
			case json.NewDecoder(r.Body).Decode(&body) != nil:
				w.answer(rw, http.StatusBadRequest, nil)
			default:
				serve(rw, r, body)
			}
		})
	}
	mux.HandleFunc("GET /healthz", func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusOK) })
	return mux
}

// answer writes an answer with the worker's clock and the start of its life.
func (w *worker) answer(rw http.ResponseWriter, status int, fields map[string]any) {
	w.mu.Lock()
	body := map[string]any{"ClockMs": w.clock().Milliseconds(), "born": w.bornAt.UnixMilli()}
	w.mu.Unlock()
	for name, value := range fields {
		body[name] = value
	}
	writeJSON(rw, status, body)
}

func (w *worker) serveStart(rw http.ResponseWriter, _ *http.Request, b orderBody) {
	key := runKey{b.Task, b.Run}
	reason := w.start(key, b.Spec, time.Duration(b.DeadlineMs)*time.Millisecond, b.Fence)
	w.cluster.record("worker %s: start %s run %d spec %q fence %d: %s", w.id, b.Task, b.Run, b.Spec, b.Fence, orOK(reason))
	if reason != "" {
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": reason})
		return
	}
	w.answer(rw, http.StatusOK, nil)
}

func orOK(reason string) string {
	if reason == "" {
		return "200"
	}
	return "409 " + reason
}

func (w *worker) serveStop(rw http.ResponseWriter, _ *http.Request, b orderBody) {
	if !w.stop(runKey{b.Task, b.Run}, b.Fence) {
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	w.cluster.record("worker %s: stop %s run %d", w.id, b.Task, b.Run)
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) servePace(rw http.ResponseWriter, _ *http.Request, b orderBody) {
	w.mu.Lock()
	admitted := w.admit(b.Fence)
	w.mu.Unlock()
	if !admitted {
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	w.answer(rw, http.StatusOK, nil)
}

// serveHold renews the lease, forgets the ends that were seen, and returns both lists, at once or after the next end.
func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, b orderBody) {
	w.mu.Lock()
	if !w.admit(b.Fence) {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"Reason": "fence"})
		return
	}
	if b.DeadlineMs > 0 {
		w.extend(time.Duration(b.DeadlineMs) * time.Millisecond)
	}
	w.forget(b.SeenUpto)
	life, news, waits := w.life, w.news, len(w.ends) == 0 && b.WaitMs > 0
	w.mu.Unlock()
	if waits {
		timeout := time.NewTimer(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		defer timeout.Stop()
		select {
		case <-news:
		case <-timeout.C:
		case <-r.Context().Done():
		}
	}
	w.mu.Lock()
	if life != w.life || !w.up {
		// The process that took the call is gone, and its connections with it.
		w.mu.Unlock()
		return
	}
	running, ends := [][]any{}, [][]any{}
	for key := range w.running {
		running = append(running, []any{key.task, key.run, "", 50, 100})
	}
	for _, e := range w.ends[:min(len(w.ends), maxListedEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, map[string]any{"Running": running, "Ended": ends})
}
