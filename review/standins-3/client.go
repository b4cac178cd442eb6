package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// call makes one call on a connection of its own. status is 0 if there was no whole answer.
func call(method, address, hostName, path, body string, limit time.Duration) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = hostName
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	t := &http.Transport{DialContext: (&net.Dialer{}).DialContext, DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	res, err := t.RoundTrip(r)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	text, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error()
	}
	return res.StatusCode, strings.TrimSpace(string(text))
}

// clientDeadline is how long clients wait for an answer: the time limit of the site's requests.
const clientDeadline = 3 * time.Second

// submit hands in a job and records the answer.
func (w *world) submit(h *host, queue, id, body string) (status int, answer string) {
	sent := time.Since(w.begun).Seconds()
	status, answer = call(http.MethodPost, h.front, queueHost, "/"+queue+"/"+id, body, clientDeadline)
	w.log("POST /%s/%s at %s, sent at %.3f: %d %s", queue, id, h.name, sent, status, answer)
	return status, answer
}

// state asks for the state of a job and records the answer.
func (w *world) state(h *host, queue, id string) (status int, answer string) {
	status, answer = call(http.MethodGet, h.front, queueHost, "/"+queue+"/"+id, "", clientDeadline)
	w.log("GET /%s/%s at %s: %d %s", queue, id, h.name, status, answer)
	return status, answer
}
