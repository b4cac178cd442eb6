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

// silence is how long a test waits for data that must not come.
const silence = 50 * time.Millisecond

func proxied(t *testing.T) (*Proxy, func() net.Conn) {
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

func echoed(t *testing.T, c net.Conn) {
	t.Helper()
	_, err := c.Write([]byte("hello"))
	require.NoError(t, err)
	b := make([]byte, 5)
	_, err = io.ReadFull(c, b)
	require.NoError(t, err)
	require.Equal(t, "hello", string(b))
}

func requireSilent(t *testing.T, c net.Conn) {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(silence)))
	_, err := c.Read(make([]byte, 1))
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout())
	require.NoError(t, c.SetReadDeadline(time.Time{}))
}

// Guards against a cut that lets data pass, and against a connection that lost data and goes on with a gap.
func TestProxySwallowsAndResets(t *testing.T) {
	for _, state := range []ProxyState{ProxyCutIn, ProxyCutOut, ProxySilent} {
		t.Run(string(state), func(t *testing.T) {
			p, dial := proxied(t)
			hit, idle := dial(), dial()
			echoed(t, hit)
			echoed(t, idle)
			require.NoError(t, p.Set(state))
			_, err := hit.Write([]byte("lost"))
			require.NoError(t, err)
			requireSilent(t, hit)
			require.NoError(t, p.Set(ProxyUp))
			_, err = hit.Read(make([]byte, 1))
			require.Error(t, err)
			require.False(t, errors.Is(err, io.EOF), "a reset, not a proper close")
			echoed(t, idle)
			echoed(t, dial())
		})
	}
}

// Guards against a one-way cut that cuts both ways, and against a proxy that takes connections for a server that is gone.
func TestProxyCutsOneWay(t *testing.T) {
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
	requireSilent(t, c)
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

// Guards against a reset that spares open connections, and against a delay that is not kept.
func TestProxyResetsAndDelays(t *testing.T) {
	p, dial := proxied(t)
	c := dial()
	echoed(t, c)
	require.NoError(t, p.Set(ProxyReset))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	require.NoError(t, p.Set(ProxySlow))
	began := time.Now()
	echoed(t, dial())
	require.GreaterOrEqual(t, time.Since(began), 2*proxyDelay)
	require.Error(t, p.Set("sideways"))
}
