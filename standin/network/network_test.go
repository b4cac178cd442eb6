package network

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// Guards against a stand-in that delivers earlier than the delay, which would make tests with delays pass falsely.
func TestDelayIsKept(t *testing.T) {
	n := New()
	address := echoServer(t)
	n.SetZone(address, "b")
	n.SetDelay("a", "b", 20*time.Millisecond)
	c, err := n.Dialer("a")(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	began := time.Now()
	_, err = c.Write([]byte("hello"))
	require.NoError(t, err)
	b := make([]byte, 5)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.GreaterOrEqual(t, time.Since(began), 40*time.Millisecond)
}

// Guards against data crossing a cut link, and against data being lost when the link is restored.
func TestCutHoldsBackData(t *testing.T) {
	n := New()
	address := echoServer(t)
	n.SetZone(address, "b")
	c, err := n.Dialer("a")(t.Context(), address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	n.SetCut("a", "b", true)
	_, err = c.Write([]byte("held"))
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(50*time.Millisecond)))
	_, err = c.Read(make([]byte, 4))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())

	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	_, err = n.Dialer("a")(ctx, address)
	require.Error(t, err, "a new connection must not pass a cut link")

	n.SetCut("a", "b", false)
	require.NoError(t, c.SetReadDeadline(time.Time{}))
	b := make([]byte, 4)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, "held", string(b))
}
