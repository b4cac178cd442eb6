package clientlimits

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// pieceBytes is the size of the pieces of a client that sends piece by piece.
	pieceBytes = 4 << 10
	// largeChunkBytes and smallChunkBytes are the sizes of the chunks of chunked bodies.
	largeChunkBytes = 64 << 10
	smallChunkBytes = 8
	// completeOneIn is how many clients there are for each one that finishes its request. The others stop short of the
	// end and stay open.
	completeOneIn = 8
	// headBytes is the size of a head with very many lines. 32 KB are allowed.
	headBytes = 31 << 10
	// sendPatience is how long a client tries to send when the process does not read.
	sendPatience = 5 * time.Second
)

// client is one connection with what it sends.
type client struct {
	conn net.Conn
	data []byte
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// send writes data until all of it is sent, or the process has refused to read on. It returns false in that case.
func (c *client) send(data []byte) bool {
	_ = c.conn.SetWriteDeadline(time.Now().Add(sendPatience))
	_, err := c.conn.Write(data)
	return err == nil
}

// sendAtOnce lets all clients send at the same time.
func sendAtOnce(clients []*client) {
	var group sync.WaitGroup
	for _, c := range clients {
		group.Go(func() { c.send(c.data) })
	}
	group.Wait()
}

// sendPiecewise lets all clients send a piece in turn.
func sendPiecewise(clients []*client) {
	for len(clients) > 0 {
		var rest []*client
		for _, c := range clients {
			n := min(pieceBytes, len(c.data))
			sent := c.send(c.data[:n])
			c.data = c.data[n:]
			if sent && len(c.data) > 0 {
				rest = append(rest, c)
			}
		}
		clients = rest
	}
}

func (b bodyTarget) head(i int, framing string) string {
	host := b.host
	if host == "" {
		host = "a"
	}
	path := b.path
	if strings.Contains(path, "%") {
		path = fmt.Sprintf(path, i+1)
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s%s", b.method, path, host, b.header, framing)
}

func (b bodyTarget) body() []byte {
	return append([]byte(b.prefix), bytes.Repeat([]byte{'a'}, b.bytes-len(b.prefix))...)
}

// withLength returns request i with a Content-Length.
func withLength(b bodyTarget, i int) []byte {
	return append([]byte(b.head(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", b.bytes))), b.body()...)
}

// chunked returns a function for requests with a chunked body.
func chunked(chunkBytes int) func(b bodyTarget, i int) []byte {
	return func(b bodyTarget, i int) []byte {
		var out bytes.Buffer
		out.WriteString(b.head(i, "Transfer-Encoding: chunked\r\n\r\n"))
		for body := b.body(); len(body) > 0; {
			n := min(chunkBytes, len(body))
			fmt.Fprintf(&out, "%x\r\n", n)
			out.Write(body[:n])
			out.WriteString("\r\n")
			body = body[n:]
		}
		out.WriteString("0\r\n\r\n")
		return out.Bytes()
	}
}

// manyLines returns a function for requests whose heads consist of very many lines. Every second one lacks the end of its
// head, every other one the only byte of its body.
func manyLines(line func(n int) string) func(b bodyTarget, i int) []byte {
	return func(b bodyTarget, i int) []byte {
		var out strings.Builder
		out.WriteString(b.head(i, "Content-Length: 1\r\n"))
		for n := 0; out.Len() < headBytes; n++ {
			out.WriteString(line(n))
		}
		if i%2 == 0 {
			return []byte(out.String() + "\r\nx")
		}
		return []byte(out.String() + "\r")
	}
}

// endlessBytes is how much the clients send of what has no end.
const endlessBytes = 1 << 20

// endless returns a function for requests that repeat a text without end after the first lines of the head.
func endless(start, repeated string) func(b bodyTarget, i int) []byte {
	return func(b bodyTarget, i int) []byte {
		return []byte(b.head(i, start) + strings.Repeat(repeated, endlessBytes/len(repeated)))
	}
}

// blankLines returns blank lines without end before a request.
func blankLines(b bodyTarget, i int) []byte {
	return []byte(strings.Repeat("\r\n", endlessBytes/2) + b.head(i, "\r\n"))
}

const nameDigits = "abcdefghijklmnopqrstuvwxyz0123456789"

// shortName returns different names of three letters and digits.
func shortName(n int) string {
	return string([]byte{nameDigits[n%26], nameDigits[n/26%36], nameDigits[n/26/36%36]})
}

// shortLine returns the shortest lines, each with a name of its own.
func shortLine(n int) string { return shortName(n) + ":\r\n" }

// oddLine returns names in odd characters and cases, names that repeat, blank values and continued lines.
func oddLine(n int) string {
	switch n % 4 {
	case 0:
		return "x:\r\n"
	case 1:
		return "!" + shortName(n) + "~:\t\r\n"
	case 2:
		return strings.ToUpper(shortName(n)) + "|: ,\r\n \t\r\n"
	default:
		return "'" + shortName(n) + ":\r\n"
	}
}

// openClients connects the clients of one kind to a port.
func openClients(t *testing.T, p port, request func(b bodyTarget, i int) []byte) []*client {
	t.Helper()
	clients := make([]*client, p.connections)
	for i := range clients {
		data := request(p.targets[i%len(p.targets)], i)
		if i%completeOneIn != completeOneIn-1 {
			data = data[:len(data)-1]
		}
		clients[i] = &client{dial(t, p.address), data}
	}
	return clients
}
