// Package clientlimits tests that relay hosts survive clients outside our control: real processes with little memory and
// few descriptors, and a small set of such clients. The tests run one at a time, apart from other load, in a step of their
// own of .ci/run.
package clientlimits

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// attack is a kind of client.
type attack struct {
	name    string
	request func(b bodyTarget, i int) []byte
	send    func([]*client)
}

var attacks = []attack{
	{"length at once", withLength, sendAtOnce},
	{"length piece by piece", withLength, sendPiecewise},
	{"large chunks", chunked(largeChunkBytes), sendAtOnce},
	{"small chunks", chunked(smallChunkBytes), sendAtOnce},
	{"short header lines", manyLines(shortLine), sendAtOnce},
	{"odd header lines", manyLines(oddLine), sendAtOnce},
	{"header line without end", endless("X-A: ", "a"), sendAtOnce},
	{"header lines without end", endless("", "X-A: a\r\n"), sendAtOnce},
	{"blank lines without end", blankLines, sendAtOnce},
	{"chunk extension without end", endless("Transfer-Encoding: chunked\r\n\r\n1;", "a"), sendAtOnce},
	{"trailers without end", endless("Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n", "X-A: a\r\n"), sendAtOnce},
}

// bodyAttacks is the number of attacks, from the first one on, that send bodies.
const bodyAttacks = 4

// runAttacks starts a process for each kind of client and checks that it survives them and answers an ordinary request
// while they stay connected.
func runAttacks(t *testing.T, start func(*testing.T) host, portName string) {
	for _, a := range attacks {
		t.Run(a.name, func(t *testing.T) {
			h := start(t)
			p := h.ports[portName]
			a.send(openClients(t, p, a.request))
			h.awaitSettled(t)
			requireAnswered(t, h.process, p.ordinary)
			h.requireWithinBounds(t)
		})
	}
}

// Guards against unfinished requests at the callers' port that use up the memory of a host.
func TestCallersPort(t *testing.T) { runAttacks(t, startHost, "callers") }

// Guards against clients without a token that use up the memory of a host at the operators' port.
func TestOperatorsPort(t *testing.T) { runAttacks(t, startHost, "operators") }

// Guards against unfinished requests at the platform's front that use up the memory of a host.
func TestPlatformFront(t *testing.T) { runAttacks(t, startPlatformHost, "front") }

// Guards against unfinished requests at the readiness port that use up the memory of a host.
func TestPlatformReadiness(t *testing.T) { runAttacks(t, startPlatformHost, "ready") }

// Guards against unfinished requests at the metrics port that use up the memory of a host.
func TestPlatformMetrics(t *testing.T) { runAttacks(t, startPlatformHost, "metrics") }

// Guards against a host that is not told its memory and assumes more than a small machine has.
func TestMemoryNotStated(t *testing.T) {
	for _, a := range attacks[:bodyAttacks] {
		t.Run(a.name, func(t *testing.T) {
			h := startHostWith(t, ampleDescriptors, "GOMEMLIMIT=off")
			p := h.ports["callers"]
			p.connections, p.targets = manyConnections, p.targets[:1]
			a.send(openClients(t, p, a.request))
			h.awaitSettled(t)
			requireAnswered(t, h.process, p.ordinary)
			h.requireMemoryBelow(t, unstatedMemoryMB)
		})
	}
}

// excessConnections is how many connections clients open where more are tried than the process may have descriptors.
const excessConnections = givenDescriptors + 200

// Guards against connections of clients that leave a host no descriptor for targets, workers, the store and other hosts.
// Each carries an unfinished head.
func TestDescriptorsStayFree(t *testing.T) {
	for name, start := range map[string]func(*testing.T) host{"callers": startHost, "operators": startHost, "front": startPlatformHost} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			p := h.ports[name]
			for range excessConnections {
				c := client{conn: dial(t, p.address)}
				c.send([]byte("GET / HTTP/1.1\r\nHost: a\r\n"))
			}
			h.awaitSettled(t)
			requireAnswered(t, h.process, p.ordinary)
			h.requireWithinBounds(t)
		})
	}
}

// Guards against strangers at the peers' port that send many calls with unfinished messages on few connections.
func TestPeersPort(t *testing.T) {
	for name, start := range map[string]func(*testing.T) host{"relayd": startHost, "platform": startPlatformHost} {
		t.Run(name, func(t *testing.T) {
			h := start(t)
			p := h.ports["peers"]
			for range peerConnections {
				require.NoError(t, sendUnfinishedCalls(t, p.address))
			}
			h.awaitSettled(t)
			requireAnswered(t, h.process, p.ordinary)
			requireAnswered(t, h.process, peerCall(p.address))
			h.requireWithinBounds(t)
		})
	}
	t.Run("connections", func(t *testing.T) {
		h := startHost(t)
		p := h.ports["peers"]
		for i := range excessConnections {
			c := client{conn: dial(t, p.address)}
			c.send(fmt.Appendf(nil, "PRI * HTTP/2.0\r\n%d", i))
		}
		h.awaitSettled(t)
		requireAnswered(t, h.process, p.ordinary)
		h.requireWithinBounds(t)
	})
}
