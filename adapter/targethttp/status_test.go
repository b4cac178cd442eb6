package targethttp

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against an answer with a status below 200, which is not final and on some of which, such as 099, net/http
// panics.
func TestNonFinalStatusIsUnusable(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "199"} {
		target := rawServer(t, func(conn net.Conn, r *http.Request) bool {
			_, _ = conn.Write([]byte("HTTP/1.1 " + status + " Odd\r\nBulrush-Request-Id: " + r.Header.Get(HeaderRequestID) +
				"\r\nContent-Length: 0\r\n\r\n"))
			return false
		})
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		a, pending := New(Options{}).Send(ctx, target, newGetRequest("7"), nil)
		cancel()
		require.False(t, pending)
		require.Error(t, a.Err, status)
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(a.Err).Verdict, status)
	}
}
