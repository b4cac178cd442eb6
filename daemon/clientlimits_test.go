package daemon

import (
	"errors"
	"testing"

	"github.com/stretchr/testify/require"
)

var errNoFile = errors.New("no such file")

// Guards against a process that takes the memory of the whole machine for its own, in the layouts of control groups that
// exist, and against a limit that cannot be read and stops the process.
func TestMemoryOfGroup(t *testing.T) {
	for _, c := range []struct {
		name, groups string
		files        map[string]string
		want         int
	}{
		{"version 2", "0::/a/b\n", map[string]string{"/cg/a/b/memory.max": "193986560\n"}, 185},
		{"version 2 in a container", "0::/a/b\n", map[string]string{"/cg/memory.max": "193986560\n"}, 185},
		{"version 1", "3:cpu:/x\n2:memory:/a\n", map[string]string{"/cg/memory/a/memory.limit_in_bytes": "104857600"}, 100},
		{"no limit", "0::/\n", map[string]string{"/cg/memory.max": "max\n"}, 0},
		{"no limit in version 1", "2:memory:/\n", map[string]string{"/cg/memory/memory.limit_in_bytes": "9223372036854771712"}, 0},
		{"unreadable", "x\n::\n0::/a\n", nil, 0},
	} {
		got := memoryOfGroup(c.groups, "/cg", func(path string) ([]byte, error) {
			text, ok := c.files[path]
			if !ok {
				return nil, errNoFile
			}
			return []byte(text), nil
		})
		require.Equal(t, c.want, got, c.name)
	}
}

// Guards against connections of clients that leave other hosts, workers and the store no descriptors, and against fewer
// connections than are documented where there are enough descriptors.
func TestConnectionLimits(t *testing.T) {
	for _, c := range []struct {
		descriptors, reserved int
		want                  connectionLimits
	}{
		{400, 100, connectionLimits{callers: 226, status: 37, peers: 50}},
		{4100, 1025, connectionLimits{callers: 1024, status: 64, peers: 512}},
		{8192, 2048, connectionLimits{callers: 1024, status: 64, peers: 1024}},
		{1_000_000, 250_000, connectionLimits{callers: 1024, status: 64, peers: 1024}},
	} {
		got := shareDescriptors(c.descriptors, c.reserved, maxJobCallerConnections, maxStatusConnections, DefaultMaxPeerConnections)
		require.Equal(t, c.want, got)
		require.Less(t, got.callers+2*got.status+got.peers, c.descriptors-c.reserved/4)
	}
}

// Guards against defaults below the largest message of another host, or below the documented size of a head.
func TestDefaultClientLimits(t *testing.T) {
	l := ClientLimits{MemoryMB: 40}.withDefaults()
	require.Equal(t, minRequestMemoryMB, l.RequestMemoryMB)
	require.Equal(t, 18, ClientLimits{MemoryMB: 184}.withDefaults().RequestMemoryMB)
	require.Equal(t, defaultHeaderLines, l.MaxHeaderLines)
	require.Equal(t, defaultBodyRate, l.MinBodyRate)
	require.Error(t, ClientLimits{MemoryMB: -1}.Validate())
	require.NoError(t, l.Validate())
}
