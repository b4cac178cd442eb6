package clientconn

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/bulrushrelay/bulrushrelay/core/intake"
)

// Measures what the guard adds to an ordinary small request on a connection that stays open. Most of the time is that of
// the client and the kernel, which both cases share.
func BenchmarkSmallRequest(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.WriteHeader(http.StatusNoContent)
	})
	for _, guarded := range []bool{false, true} {
		name := "plain"
		if guarded {
			name = "guarded"
		}
		b.Run(name, func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &http.Server{Handler: handler}
			address := l.Addr().String()
			if guarded {
				g := NewGuard(intake.New(intake.Config{Bytes: 1 << 24}), 256, func(intake.Cause) {})
				l = g.Listener(l, 1024)
				server.Handler, server.ConnContext, server.ConnState = g.Handler(handler), ConnContext, Track
			}
			go func() { _ = server.Serve(l) }()
			defer func() { _ = server.Close() }()
			c, err := net.Dial("tcp", address)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			request := []byte("POST /v1/run/c/x HTTP/1.1\r\nHost: a\r\nContent-Type: application/json\r\nX-Deadline-Ms: 3000\r\nContent-Length: 600\r\n\r\n" +
				strings.Repeat("a", 600))
			answer := make([]byte, 512)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Write(request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
