package main

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against job commands that call the wrong route, or omit the verdict of a failure or the reason why tasks wait.
func TestJobCommands(t *testing.T) {
	var requests []string
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		requests = append(requests, r.Method+" "+r.URL.String()+" "+r.Header.Get("Idempotency-Key")+string(body))
		switch {
		case strings.HasSuffix(r.URL.Path, "/watch"):
			_, _ = io.WriteString(w, ":\n\ndata: {\"job\":\"1-2-3\",\"state\":\"done\",\"counts\":{\"done\":2},\"verdict\":\"ran\"}\n\n")
		case r.Method == http.MethodPost:
			_, _ = io.WriteString(w, `{"job":"1-2-3"}`)
		case r.Method == http.MethodDelete:
			w.WriteHeader(http.StatusBadGateway)
			_, _ = io.WriteString(w, `{"code":"unavailable","message":"store down","verdict":"may-have-run"}`)
		case r.URL.Path == "/v1/jobs":
			_, _ = io.WriteString(w, `{"jobs":[{"job":"1-2-3","counts":{"queued":2}}],"next":"1-2-3","unavailable_cells":[4]}`)
		default:
			_, _ = io.WriteString(w, `{"job":"1-2-3","tasks":[{"state":"queued","why":"no room"},{"state":"queued","why":"no room"}]}`)
		}
	}))
	defer s.Close()
	run := func(args ...string) (string, error) {
		var out bytes.Buffer
		err := newRoot(nil, &out, io.Discard).Run(t.Context(), append([]string{"relayctl", "--url", s.URL, "job"}, args...))
		return out.String(), err
	}
	_, err := run("submit", "--client-token", "k", "testdata/job.json")
	require.NoError(t, err)
	out, err := run("list", "--limit", "1")
	require.NoError(t, err)
	require.Contains(t, out, "2 queued")
	require.Contains(t, out, "--after 1-2-3")
	require.Contains(t, out, "cells [4]")
	out, err = run("why", "1-2-3")
	require.NoError(t, err)
	require.Contains(t, out, "2 tasks queued: no room")
	out, err = run("watch", "1-2-3")
	require.NoError(t, err)
	require.Contains(t, out, "2 done")
	_, err = run("cancel", "1-2-3")
	require.ErrorContains(t, err, "store down (unavailable, may-have-run)")
	require.Equal(t, exitUnknownOutcome, exitCode(err))
	_, err = run("show")
	require.ErrorContains(t, err, "JOB")
	require.Equal(t, []string{
		"POST /v1/jobs k{\"class\":\"batch\",\"groups\":[{\"count\":1,\"processors\":1}]}\n",
		"GET /v1/jobs?limit=1 ",
		"GET /v1/jobs/1-2-3?limit=1000 ",
		"GET /v1/jobs/1-2-3/watch ",
		"DELETE /v1/jobs/1-2-3 ",
	}, requests)
}
