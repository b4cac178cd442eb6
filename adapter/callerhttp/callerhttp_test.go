package callerhttp

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/labstack/echo/v4"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/entry"
)

type stubService struct {
	call  entry.Call
	reply entry.Reply
	err   error
}

func (s *stubService) Do(_ context.Context, call entry.Call) (entry.Reply, error) {
	s.call = call
	return s.reply, s.err
}

func (s *stubService) IssueKeys(n int) ([]string, error) {
	return make([]string, n), nil
}

func serve(s *stubService, r *http.Request) *httptest.ResponseRecorder {
	e := echo.New()
	Register(e, s)
	w := httptest.NewRecorder()
	e.ServeHTTP(w, r)
	return w
}

// Guards against an HTTP status that contradicts the verdict header.
func TestStatusAgreesWithVerdict(t *testing.T) {
	codes := []verdict.Code{
		verdict.CodeInvalid, verdict.CodeConflict, verdict.CodeNotFound, verdict.CodeLimited, verdict.CodeDeadline,
		verdict.CodeUnavailable, verdict.CodeFenced, verdict.CodeIncomplete, verdict.CodeUnknown,
	}
	for _, code := range codes {
		for _, v := range []verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran} {
			w := serve(&stubService{err: verdict.New(v, code, "scripted")}, httptest.NewRequest(http.MethodPost, "/v1/run/write/x", nil))
			require.Equal(t, v.String(), w.Header().Get(HeaderVerdict))
			unknown := w.Code == http.StatusBadGateway || w.Code == http.StatusGatewayTimeout
			require.Equal(t, v == verdict.MayHaveRun, unknown, "%s %s: %d", v, code, w.Code)
			require.Equal(t, v == verdict.Ran, w.Code == http.StatusInternalServerError)
		}
	}
}

// Guards against losing parts of a request or of an answer, and against forwarding connection headers.
func TestRequestAndAnswerAreForwardedInFull(t *testing.T) {
	s := &stubService{reply: entry.Reply{
		Key:    "k",
		Answer: request.Answer{Status: 201, Body: []byte("made"), Target: "t7", Headers: []request.Header{{Name: "X-A", Value: "1"}, {Name: "Connection", Value: "close"}}},
	}}
	r := httptest.NewRequest(http.MethodPut, "/v1/run/write/a/b?c=d&c=e", strings.NewReader("body"))
	r.Header.Set("X-B", "2")
	r.Header.Set("Connection", "keep-alive")
	r.Header.Set(HeaderIdempotencyKey, `"quoted"`)
	r.Header.Set(HeaderTimeout, "250")
	w := serve(s, r)
	require.Equal(t, "/a/b?c=d&c=e", s.call.Path)
	require.Equal(t, "body", string(s.call.Body))
	require.Equal(t, "quoted", s.call.Key)
	require.EqualValues(t, 250e6, s.call.Timeout)
	require.Equal(t, []request.Header{{Name: "X-B", Value: "2"}}, s.call.Headers)
	require.Equal(t, 201, w.Code)
	require.Equal(t, "made", w.Body.String())
	require.Equal(t, "ran", w.Header().Get(HeaderVerdict))
	require.Equal(t, "t7", w.Header().Get(HeaderTarget))
	require.Equal(t, "k", w.Header().Get(HeaderIdempotencyKey))
	require.Equal(t, "1", w.Header().Get("X-A"))
	require.Empty(t, w.Header().Get("Connection"))
}

// Guards against invalid requests that are run, or answered without a verdict.
func TestBadInputIsRefused(t *testing.T) {
	large := httptest.NewRequest(http.MethodPost, "/v1/run/write/x", bytes.NewReader(make([]byte, request.MaxBodyBytes+1)))
	timeout := httptest.NewRequest(http.MethodPost, "/v1/run/write/x", nil)
	timeout.Header.Set(HeaderTimeout, "-1")
	count := httptest.NewRequest(http.MethodPost, "/v1/keys?count=many", nil)
	for _, r := range []*http.Request{large, timeout, count} {
		s := &stubService{}
		w := serve(s, r)
		require.Equal(t, http.StatusBadRequest, w.Code)
		require.Equal(t, "not-run", w.Header().Get(HeaderVerdict))
		require.Empty(t, s.call.Method, "the request must not reach the service")
	}
}

// Guards against requests that cause a panic or an answer without a verdict.
func FuzzRun(f *testing.F) {
	f.Add("POST", "write", "/a?b=c", "k1.a.1.1.00000000000000000000000000000000", "100", []byte("body"))
	f.Add("GET", "..", "//", "\x00", "99999999999999999999", []byte{0xff})
	f.Fuzz(func(t *testing.T, method, class, path, key, timeout string, body []byte) {
		r, err := http.NewRequest(method, "http://127.0.0.1/", bytes.NewReader(body))
		if err != nil {
			return
		}
		r.URL.Path = "/v1/run/" + class + path
		r.Header[HeaderIdempotencyKey] = []string{key}
		r.Header[HeaderTimeout] = []string{timeout}
		w := serve(&stubService{err: verdict.New(verdict.NotRun, verdict.CodeUnavailable, "scripted")}, r)
		if strings.Contains(class, "/") || class == "" || !strings.HasPrefix(path, "/") {
			return
		}
		if w.Code != http.StatusNotFound && w.Code != http.StatusMethodNotAllowed {
			require.NotEmpty(t, w.Header().Get(HeaderVerdict))
		}
	})
}
