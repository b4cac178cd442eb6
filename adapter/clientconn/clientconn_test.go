package clientconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/netutil"

	"github.com/bulrushrelay/bulrushrelay/core/intake"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	testHeaderLines = 20
	testConnections = 8
)

// testServer serves a handler that answers with the length of the body, or with the verdict of the error of reading it.
type testServer struct {
	guard   *Guard
	address string
	mu      sync.Mutex
	refused map[intake.Cause]int
}

func (s *testServer) refusals(c intake.Cause) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused[c]
}

func startServer(t *testing.T, c intake.Config) *testServer {
	t.Helper()
	s := &testServer{refused: make(map[intake.Cause]int)}
	s.guard = NewGuard(intake.New(c), testHeaderLines, func(cause intake.Cause) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused[cause]++
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.address = l.Addr().String()
	server := &http.Server{
		ConnContext: ConnContext, ConnState: Track, ReadHeaderTimeout: time.Minute,
		Handler: s.guard.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body, err := io.ReadAll(r.Body)
			if err != nil {
				e := verdict.FromError(err)
				http.Error(w, e.Verdict.String(), http.StatusServiceUnavailable)
				return
			}
			_, _ = fmt.Fprint(w, len(body))
		})),
	}
	go func() { _ = server.Serve(s.guard.Listener(netutil.LimitListener(l, testConnections), testConnections)) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(time.Minute)))
	return c, bufio.NewReader(c)
}

func requireAnswer(t *testing.T, r *bufio.Reader, status int, body string) {
	t.Helper()
	response, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	got, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, status, response.StatusCode)
	require.Equal(t, body, strings.TrimSpace(string(got)))
}

func head(lines int, rest string) string {
	return "POST / HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", lines-3) + rest + "\r\n\r\n"
}

// Guards against heads with more lines than the limit, and against lines of a body or of an earlier request that count.
func TestHeaderLines(t *testing.T) {
	s := startServer(t, intake.Config{Bytes: 1 << 20})
	c, r := s.dial(t)
	body := strings.Repeat("\n", 3000)
	for range 3 {
		_, err := io.WriteString(c, head(testHeaderLines, "Content-Length: 3000")+body)
		require.NoError(t, err)
		requireAnswer(t, r, http.StatusOK, "3000")
	}
	_, err := io.WriteString(c, head(testHeaderLines+1, "Content-Length: 0"))
	require.NoError(t, err)
	requireAnswer(t, r, http.StatusRequestHeaderFieldsTooLarge, "")
	_, err = r.ReadByte()
	require.ErrorIs(t, err, io.EOF)
	require.Equal(t, 1, s.refusals(CauseHeaderLines))
}

// Guards against a single request inside the limits that is refused, whatever its framing, and against memory that stays
// counted after its request.
func TestSingleLargeRequestIsServed(t *testing.T) {
	s := startServer(t, intake.Config{Bytes: 3 << 20, MinRate: 4096, Grace: time.Second})
	c, r := s.dial(t)
	body := strings.Repeat("a", 1<<20)
	for range 5 {
		_, err := io.WriteString(c, head(3, "Content-Length: 1048576")+body)
		require.NoError(t, err)
		requireAnswer(t, r, http.StatusOK, "1048576")
		_, err = io.WriteString(c, head(3, "Transfer-Encoding: chunked")+strings.Repeat("4\r\naaaa\r\n", 1<<16)+"0\r\n\r\n")
		require.NoError(t, err)
		requireAnswer(t, r, http.StatusOK, "262144")
	}
	_ = c.Close()
	require.Eventually(t, func() bool { return s.guard.Budget().Used() == 0 }, time.Minute, time.Millisecond)
}

// Guards against unfinished bodies above the budget that stay open, and against such a body whose handler cannot tell that
// the request did not run.
func TestBodiesAboveTheBudgetAreRefused(t *testing.T) {
	const limit = 1 << 20
	s := startServer(t, intake.Config{Bytes: limit})
	first, answers := s.dial(t)
	_, err := io.WriteString(first, head(3, "Content-Length: 1000000")+strings.Repeat("a", 800_000))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return s.guard.Budget().Used() > 800_000 }, time.Minute, time.Millisecond)
	second, secondAnswers := s.dial(t)
	_, err = io.WriteString(second, head(3, "Content-Length: 300000")+strings.Repeat("a", 300_000))
	require.NoError(t, err)
	requireAnswer(t, answers, http.StatusServiceUnavailable, "not-run")
	requireAnswer(t, secondAnswers, http.StatusOK, "300000")
	require.Equal(t, 1, s.refusals(intake.CauseMemory))
}

// Guards against unfinished heads that use up the memory.
func TestHeadsCount(t *testing.T) {
	s := startServer(t, intake.Config{Bytes: 100_000})
	line := "POST / HTTP/1.1\r\nHost: a\r\na: " + strings.Repeat("b", 30_000)
	var readers []*bufio.Reader
	for range 4 {
		c, r := s.dial(t)
		_, err := io.WriteString(c, line)
		require.NoError(t, err)
		readers = append(readers, r)
	}
	require.Eventually(t, func() bool { return s.refusals(intake.CauseMemory) > 0 }, time.Minute, time.Millisecond)
	closed := make(chan struct{}, len(readers))
	for _, r := range readers {
		go func() {
			_, _ = r.ReadByte()
			closed <- struct{}{}
		}()
	}
	<-closed
}

// Guards against a body that stays open although nothing of it arrives, and against a state that is logged with each
// refusal.
func TestSlowBodyIsRefused(t *testing.T) {
	s := startServer(t, intake.Config{Bytes: 1 << 20, MinRate: 1 << 20, Grace: time.Millisecond})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	log := &lineCounter{}
	go s.guard.Run(ctx, log.logger())
	for range 3 {
		c, r := s.dial(t)
		_, err := io.WriteString(c, head(3, "Content-Length: 1000")+"a")
		require.NoError(t, err)
		requireAnswer(t, r, http.StatusServiceUnavailable, "not-run")
	}
	require.Equal(t, 3, s.refusals(intake.CauseSlow))
	c, r := s.dial(t)
	_, err := io.WriteString(c, head(3, "Content-Length: 1000")+"a")
	require.NoError(t, err)
	requireAnswer(t, r, http.StatusServiceUnavailable, "not-run")
	require.EqualValues(t, 1, log.lines.Load())
}

// Guards against clients that keep all connections of a port busy with heads and bodies that they do not finish, and
// against idle connections that are closed in their place.
func TestFullPortClosesConnectionsThatWait(t *testing.T) {
	s := startServer(t, intake.Config{Bytes: 1 << 20})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go s.guard.Run(ctx, (&lineCounter{}).logger())
	idle, idleAnswers := s.dial(t)
	_, err := io.WriteString(idle, head(3, "Content-Length: 0"))
	require.NoError(t, err)
	requireAnswer(t, idleAnswers, http.StatusOK, "0")
	for i := range 3 * testConnections {
		c, _ := s.dial(t)
		text := []string{"", "POST / HT", head(3, "Content-Length: 5"), head(3, "Content-Length: 5") + "a"}[i%4]
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	late, answers := s.dial(t)
	_, err = io.WriteString(late, head(3, "Content-Length: 0"))
	require.NoError(t, err)
	requireAnswer(t, answers, http.StatusOK, "0")
	_, err = io.WriteString(idle, head(3, "Content-Length: 0"))
	require.NoError(t, err)
	requireAnswer(t, idleAnswers, http.StatusOK, "0")
	require.Positive(t, s.refusals(intake.CauseConnections))
}
