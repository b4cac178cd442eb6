package jobhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

var testJobID = ident.JobID{Cell: 1, Epoch: 2, Seq: 3}

// fakeJobs returns the view and error that the test sets, and records the last submission.
type fakeJobs struct {
	err      error
	lastSpec lifecycle.JobSpec
	jobView  lifecycle.JobView
}

func (f *fakeJobs) Submit(_ context.Context, spec lifecycle.JobSpec) (ident.JobID, error) {
	f.lastSpec = spec
	return testJobID, f.err
}

func (f *fakeJobs) Get(context.Context, ident.JobID, int, int) (lifecycle.JobView, error) {
	return f.jobView, f.err
}

func (f *fakeJobs) List(_ context.Context, cell ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	if cell == 2 {
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no owner")
	}
	var views []lifecycle.JobView
	for seq := after.Seq + 1; seq <= 3 && len(views) < limit; seq++ {
		views = append(views, lifecycle.JobView{Job: ident.JobID{Cell: cell, Epoch: 2, Seq: seq}})
	}
	return views, nil
}

func (f *fakeJobs) Watch(context.Context, ident.JobID) (<-chan lifecycle.JobView, error) {
	updates := make(chan lifecycle.JobView, 2)
	updates <- f.jobView
	f.jobView.State = lifecycle.Done
	updates <- f.jobView
	close(updates)
	return updates, f.err
}

func (f *fakeJobs) Cancel(context.Context, ident.JobID) error { return f.err }
func (f *fakeJobs) Cells() []ident.CellID                     { return []ident.CellID{3, 1, 2} }

func call(t *testing.T, f *fakeJobs, method, path, body string) *httptest.ResponseRecorder {
	e := echo.New()
	New(f).Register(e)
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set(TokenHeader, "token-1")
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

const validBody = `{"class":"batch","groups":[{"count":2,"processors":0.5,"memory_mb":100,"run_time_ms":1500,"command":"x"}]}`

// Guards against fields of a submission that are lost.
func TestSubmit(t *testing.T) {
	f := &fakeJobs{}
	w := call(t, f, http.MethodPost, "/v1/jobs", validBody)
	require.Equal(t, http.StatusCreated, w.Code)
	require.Equal(t, "ran", w.Header().Get(VerdictHeader))
	require.JSONEq(t, `{"job":"1-2-3"}`, w.Body.String())
	require.Equal(t, lifecycle.JobSpec{
		Class: "batch", ClientToken: "token-1",
		Groups: []lifecycle.TaskGroup{{
			Count: 2, Need: resource.Vector{MilliCPU: 500, MemoryMB: 100}, RunTime: 1500 * time.Millisecond, Command: "x",
		}},
	}, f.lastSpec)
}

// Guards against invalid input that is accepted, causes a panic, or is answered without the verdict NotRun.
func TestRejectsBadInput(t *testing.T) {
	for _, bad := range []string{
		"", "null", "[]", validBody + validBody, `{"class":"batch","grups":[]}`, `{"class":"batch","groups":[]}`,
		`{"class":"batch","groups":[{"count":1,"processors":-1}]}`, `{"class":"batch","groups":[{"count":1,"processors":1e300}]}`,
		`{"class":"batch","groups":[{"count":1e9,"processors":1}]}`, `{"class":"batch","groups":[{"count":1,"memory_mb":9e18}]}`,
		`{"class":"` + strings.Repeat("x", maxBodyBytes) + `"}`,
	} {
		w := call(t, &fakeJobs{}, http.MethodPost, "/v1/jobs", bad)
		require.Equal(t, http.StatusBadRequest, w.Code, bad[:min(len(bad), 80)])
		require.Equal(t, "not-run", w.Header().Get(VerdictHeader))
	}
	for _, path := range []string{"/v1/jobs/1-2", "/v1/jobs/1-2-3?limit=x", "/v1/jobs/1-2-3?from=-1", "/v1/jobs?after=z"} {
		require.Equal(t, http.StatusBadRequest, call(t, &fakeJobs{}, http.MethodGet, path, "").Code, path)
	}
}

// Guards against an HTTP status that contradicts the verdict.
func TestStatusAgreesWithVerdict(t *testing.T) {
	for _, tc := range []struct {
		v    verdict.Verdict
		code verdict.Code
		want int
	}{
		{verdict.NotRun, verdict.CodeUnavailable, 503},
		{verdict.NotRun, verdict.CodeLimited, 429},
		{verdict.NotRun, verdict.CodeConflict, 422},
		{verdict.NotRun, verdict.CodeNotFound, 404},
		{verdict.MayHaveRun, verdict.CodeUnavailable, 502},
		{verdict.MayHaveRun, verdict.CodeNotFound, 502},
		{verdict.MayHaveRun, verdict.CodeDeadline, 504},
	} {
		f := &fakeJobs{err: verdict.New(tc.v, tc.code, "no").WithRetryAfter(1500 * time.Millisecond)}
		w := call(t, f, http.MethodDelete, "/v1/jobs/1-2-3", "")
		require.Equal(t, tc.want, w.Code)
		require.Equal(t, tc.v.String(), w.Header().Get(VerdictHeader))
		require.Equal(t, "2", w.Header().Get(echo.HeaderRetryAfter))
	}
	require.Equal(t, http.StatusNoContent, call(t, &fakeJobs{}, http.MethodDelete, "/v1/jobs/1-2-3", "").Code)
}

// Guards against pages that lose or repeat jobs at the boundary between cells, and against a list that fails because
// of one cell.
func TestListPagesOverCells(t *testing.T) {
	w := call(t, &fakeJobs{}, http.MethodGet, "/v1/jobs?limit=4", "")
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Body.String(), `"next":"3-2-1"`)
	require.Contains(t, w.Body.String(), `"unavailable_cells":[2]`)
	w = call(t, &fakeJobs{}, http.MethodGet, "/v1/jobs?limit=4&after=3-2-1", "")
	require.Equal(t, 2, strings.Count(w.Body.String(), `"job":`))
	require.NotContains(t, w.Body.String(), `"next"`)
}

// Guards against an event stream that ends without the final state.
func TestWatchStreamsUntilFinal(t *testing.T) {
	w := call(t, &fakeJobs{jobView: lifecycle.JobView{Job: testJobID, State: lifecycle.Running}}, http.MethodGet, "/v1/jobs/1-2-3/watch", "")
	require.Equal(t, "text/event-stream", w.Header().Get(echo.HeaderContentType))
	require.Equal(t, 2, strings.Count(w.Body.String(), "event: job\n"))
	require.Contains(t, w.Body.String(), `"state":"running"`)
	require.Contains(t, w.Body.String(), `"state":"done"`)
}

// Guards against a submission that causes a panic, is answered without a verdict, or yields a job whose amounts or
// times overflowed.
func FuzzSubmit(f *testing.F) {
	f.Add(validBody)
	f.Add(`{"class":"c","groups":[{"count":1,"processors":1e300,"memory_mb":9223372036854775807,"run_time_ms":-9223372036854775808}]}`)
	f.Add(`{"class":"c","groups":[{"count":-1,"accelerators":1}]}{}`)
	f.Add(`{"class":null,"groups":[null]}`)
	f.Fuzz(func(t *testing.T, body string) {
		service := &fakeJobs{}
		w := call(t, service, http.MethodPost, "/v1/jobs", body)
		if w.Code != http.StatusCreated {
			require.Equal(t, "not-run", w.Header().Get(VerdictHeader))
			require.Empty(t, service.lastSpec.Class)
			return
		}
		require.NoError(t, service.lastSpec.Validate())
		for _, g := range service.lastSpec.Groups {
			require.True(t, g.Need.Scale(int64(g.Count)).NonNegative())
			require.GreaterOrEqual(t, g.RunTime, time.Duration(0))
		}
	})
}
