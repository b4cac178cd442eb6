package hostlisthttp

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"
)

// roundTripFunc answers requests without a network.
type roundTripFunc func(r *http.Request) (*http.Response, error)

func (f roundTripFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a list that causes a panic, against hosts without an ID or listed twice, and against an entity tag
// that makes all later reads fail.
func FuzzRead(f *testing.F) {
	const valid = `{"hosts":[{"id":"t1","address":"127.0.0.1:1","kind":"target","data_centre":"nelson","rack":"r1","state":"live"}]}`
	f.Add([]byte(valid), `"1"`, 200)
	f.Add([]byte(valid), "\"1\x01\n", 200)
	f.Add([]byte(`{"hosts":null}`), "", 200)
	f.Add([]byte(`{"hosts":[{},{"id":1}]}`), "", 304)
	f.Add([]byte(`[`), "", 500)
	f.Fuzz(func(t *testing.T, body []byte, tag string, status int) {
		var sent http.Header
		answer := func(r *http.Request) (*http.Response, error) {
			sent = r.Header
			return &http.Response{StatusCode: status, Header: http.Header{"Etag": {tag}}, Body: io.NopCloser(bytes.NewReader(body)), Request: r}, nil
		}
		c := New("http://127.0.0.1:1/hosts", nil)
		c.http.Transport = roundTripFunc(answer)
		hosts, err := c.Read(t.Context())
		if err != nil {
			require.Empty(t, c.etag)
			return
		}
		seen := make(map[string]bool)
		for _, h := range hosts {
			require.NotEmpty(t, h.ID)
			require.False(t, seen[h.ID])
			seen[h.ID] = true
		}
		status = http.StatusOK
		_, err = c.Read(t.Context())
		require.NoError(t, err)
		require.Equal(t, c.etag, sent.Get("If-None-Match"))
		status = http.StatusNotModified
		_, err = c.Read(t.Context())
		require.Equal(t, c.etag != "", errors.Is(err, ErrUnchanged))
	})
}
