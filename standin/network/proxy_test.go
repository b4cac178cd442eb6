package network

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// silencePeriod is how long a test waits for data that must not arrive.
const silencePeriod = 50 * time.Millisecond

// startEchoProxy starts a proxy in front of an echo server. It returns the proxy and a function that connects to it.
func startEchoProxy(t *testing.T) (*Proxy, func() net.Conn) {
	p, err := StartProxy(echoServer(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	return p, func() net.Conn {
		c, err := net.Dial("tcp", p.Address())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		return c
	}
}

func requireEcho(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("hello"))
	require.NoError(t, err)
	b := make([]byte, 5)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, "hello", string(b))
}

func requireNoData(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(silencePeriod)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, c.SetReadDeadline(time.Time{}))
}

// Guards against a cut that lets data pass, and against a connection that goes on after it has lost data. Connections
// that lost no data must stay open.
func TestProxyResetsConnectionsThatLostData(t *testing.T) {
	for _, state := range []ProxyState{ProxyCutIn, ProxyCutOut, ProxySilent} {
		t.Run(string(state), func(t *testing.T) {
			p, dial := startEchoProxy(t)
			lossy, idle := dial(), dial()
			requireEcho(t, lossy)
			requireEcho(t, idle)
			require.NoError(t, p.Set(state))
			_, err := lossy.Write([]byte("lost"))
			require.NoError(t, err)
			requireNoData(t, lossy)
			require.NoError(t, p.Set(ProxyUp))
			_, err = lossy.Read(make([]byte, 1))
			require.Error(t, err)
			require.False(t, errors.Is(err, io.EOF), "closed instead of reset")
			requireEcho(t, idle)
			requireEcho(t, dial())
		})
	}
}

// Guards against a cut of one direction that affects the other, and against a proxy that keeps connections open whose
// server does not listen.
func TestProxyCutsOneDirection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p, err := StartProxy(l.Addr().String())
	require.NoError(t, err)
	defer func() { _ = p.Close() }()
	c, err := net.Dial("tcp", p.Address())
	require.NoError(t, err)
	server, err := l.Accept()
	require.NoError(t, err)
	require.NoError(t, p.Set(ProxyCutOut))
	_, err = server.Write([]byte("lost"))
	require.NoError(t, err)
	requireNoData(t, c)
	_, err = c.Write([]byte("in"))
	require.NoError(t, err)
	b := make([]byte, 2)
	_, err = io.ReadFull(server, b)
	require.NoError(t, err)
	require.Equal(t, "in", string(b))

	require.NoError(t, p.Set(ProxyUp))
	require.NoError(t, l.Close())
	// The reset may come before Dial has returned.
	c, err = net.Dial("tcp", p.Address())
	if err == nil {
		_, err = c.Read(b)
	}
	require.ErrorIs(t, err, syscall.ECONNRESET)
}

// Guards against a reset that leaves connections open, against ProxySlow without its delay, and against unknown states
// that are accepted.
func TestProxyResetsAndDelaysConnections(t *testing.T) {
	p, dial := startEchoProxy(t)
	c := dial()
	requireEcho(t, c)
	require.NoError(t, p.Set(ProxyReset))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, p.Set(ProxySlow))
	start := time.Now()
	requireEcho(t, dial())
	require.GreaterOrEqual(t, time.Since(start), 2*slowDelay)
	require.Error(t, p.Set("sideways"))
}
