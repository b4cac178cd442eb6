package peergrpc

import (
	"context"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// echo is a handler that records what it was asked and answers with fixed values.
type echo struct {
	request membership.Request
	reply   membership.Reply
	report  ownership.Report
	probed  ident.Instance
	at      string
}

func (e *echo) HandleExchange(r membership.Request) (membership.Reply, ownership.Report) {
	e.request = r
	return e.reply, e.report
}

func (e *echo) HandleProbe(_ context.Context, target ident.Instance, address string) (ident.Instance, bool) {
	e.probed, e.at = target, address
	return ident.Instance{Host: "b", Incarnation: 2}, true
}

func (e *echo) HandleFence(cell ident.CellID, epoch ident.Epoch) cluster.FenceAnswer {
	return cluster.FenceAnswer{From: ident.Instance{Host: "b", Incarnation: ident.Incarnation(epoch)}, Stopped: cell == 7, BusyFor: 1500 * time.Millisecond}
}

type oneConn struct{ conn *grpc.ClientConn }

func (o oneConn) Conn(string) (*grpc.ClientConn, error) { return o.conn, nil }

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// dial serves h on loopback and returns a client with the count of the bytes on its connection, both ways.
func dial(t *testing.T, h GossipHandler) (*GossipClient, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(currentVersions.serverOptions()...)
	RegisterGossip(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	bytes := new(atomic.Int64)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), append(currentVersions.dialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countingConn{c, bytes}, err
		}))...)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return NewGossipClient(ident.Instance{Host: "a", Incarnation: 1}, oneConn{conn}), bytes
}

func sampleMember() membership.Member {
	return membership.Member{
		Instance: ident.Instance{Host: "c", Incarnation: 3}, Version: 9, Refutation: 2, Health: membership.Suspect, Departure: membership.Leaving,
		Payload: membership.Payload{
			PeerAddress: "10.0.0.1:1", CallerAddress: "10.0.0.1:2", DataCentre: "nelson", TableRevision: 12, ContactAge: time.Second,
			Ledgers: []ident.Instance{{Host: "d", Incarnation: 1}},
		},
		LoadVersion: 4,
		Loads:       []membership.Load{{Cell: 1, Queued: 2, LatencyUs: 3, Outstanding: 4, Capacity: 5}},
	}
}

// Guards against fields that are lost or swapped on the wire.
func TestGossipRoundTrip(t *testing.T) {
	m := sampleMember()
	loads := []membership.LoadChange{{Instance: m.Instance, Version: 6, Loads: m.Loads}}
	h := &echo{
		reply:  membership.Reply{From: ident.Instance{Host: "b", Incarnation: 2}, Digest: 5, Updates: []membership.Member{m}, Window: []membership.Stamp{m.Stamp()}, Loads: loads},
		report: ownership.Report{From: ident.Instance{Host: "b", Incarnation: 2}, Established: true, Contacts: 4, ContactAge: time.Second, KnownDigest: 6},
	}
	c, _ := dial(t, h)
	ctx := context.Background()
	request := membership.Request{From: ident.Instance{Host: "a", Incarnation: 1}, Digest: 8, Updates: []membership.Member{m}, Have: []membership.Stamp{m.Stamp()}, Loads: loads}
	reply, report, err := c.Exchange(ctx, "", request)
	require.NoError(t, err)
	require.Equal(t, request, h.request)
	require.Equal(t, h.reply, reply)
	require.Equal(t, h.report, report)
	_, reached, err := c.Probe(ctx, "", m.Instance, "x:1")
	require.NoError(t, err)
	require.True(t, reached)
	require.Equal(t, m.Instance, h.probed)
	require.Equal(t, "x:1", h.at)
	answer, err := c.Fence(ctx, "", 7, 11)
	require.NoError(t, err)
	require.Equal(t, h.HandleFence(7, 11), answer)
}

// Guards against malformed messages that put nameless members into the view or cause a panic.
func TestMalformedGossip(t *testing.T) {
	h := &echo{}
	c, _ := dial(t, h)
	ctx := context.Background()
	_, _, err := c.Exchange(ctx, "", membership.Request{})
	require.ErrorContains(t, err, "no sender")
	_, _, err = c.Exchange(ctx, "", membership.Request{From: ident.Instance{Host: "a"}, Updates: make([]membership.Member, 2), Have: make([]membership.Stamp, 2)})
	require.ErrorContains(t, err, "without a report")
	require.Empty(t, h.request.Updates)
	require.Empty(t, h.request.Have)
}

// callOverhead is the bound in bytes on what HTTP/2 and gRPC add to the messages of one call, both ways together. It
// is checked by TestCallOverhead and used to account for traffic in TestGossipTraffic.
const callOverhead = 200

// Guards against traffic figures that leave out the cost of the transport.
func TestCallOverhead(t *testing.T) {
	h := &echo{report: ownership.Report{From: ident.Instance{Host: "b", Incarnation: 2}}}
	c, bytes := dial(t, h)
	request := membership.Request{From: ident.Instance{Host: "a", Incarnation: 1}}
	call := func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_, _, err := c.Exchange(ctx, "", request)
		require.NoError(t, err)
	}
	call()
	const calls = 500
	before := bytes.Load()
	for range calls {
		call()
	}
	messages := proto.Size(encodeRequest(request)) + proto.Size(encodeReply(h.reply, h.report))
	overhead := float64(bytes.Load()-before)/calls - float64(messages)
	t.Logf("overhead of a call: %.0f bytes", overhead)
	require.LessOrEqual(t, overhead, float64(callOverhead))
}

// mesh connects services in memory and counts the bytes that the calls would have on the wire.
type mesh struct {
	mu    sync.Mutex
	at    map[string]*cluster.Service
	calls atomic.Int64
	bytes atomic.Int64
}

func (m *mesh) get(address string) (*cluster.Service, error) {
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.at[address]
	if !ok {
		return nil, io.EOF
	}
	return s, nil
}

func (m *mesh) count(messages ...proto.Message) {
	m.calls.Add(1)
	m.bytes.Add(callOverhead)
	for _, msg := range messages {
		m.bytes.Add(int64(proto.Size(msg)))
	}
}

func (m *mesh) Exchange(_ context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error) {
	s, err := m.get(address)
	if err != nil {
		return membership.Reply{}, ownership.Report{}, err
	}
	reply, report := s.HandleExchange(r)
	m.count(encodeRequest(r), encodeReply(reply, report))
	return reply, report, nil
}

func (m *mesh) Probe(ctx context.Context, address string, target ident.Instance, targetAddress string) (ident.Instance, bool, error) {
	s, err := m.get(address)
	if err != nil {
		return ident.Instance{}, false, err
	}
	at, reached := s.HandleProbe(ctx, target, targetAddress)
	m.bytes.Add(int64(len(at.Host) + len(target.Host) + 16))
	m.count()
	return at, reached, nil
}

func (m *mesh) Fence(_ context.Context, address string, cell ident.CellID, epoch ident.Epoch) (cluster.FenceAnswer, error) {
	s, err := m.get(address)
	if err != nil {
		return cluster.FenceAnswer{}, err
	}
	m.count()
	return s.HandleFence(cell, epoch), nil
}

// Guards against gossip that takes more than 2 KB a second of each member at rest, an update that does not reach all
// members within the 2 s of the table, store calls that grow faster than the members, and owners that lose their authority
// in an outage of the store because reports come too late. BULRUSH_MEMBERS=300 adds a
// run with that many members.
func TestGossipTraffic(t *testing.T) {
	sizes := []int{9, 30}
	if v := os.Getenv("BULRUSH_MEMBERS"); v != "" {
		var n int
		_, err := fmt.Sscan(v, &n)
		require.NoError(t, err)
		sizes = []int{n}
	}
	for _, n := range sizes {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { measure(t, n) })
		})
	}
}

func measure(t *testing.T, n int) {
	store := kv.New(kv.Config{})
	m := &mesh{at: map[string]*cluster.Service{}}
	var cells []ownership.Cell
	for i := range min(n, 128) {
		cells = append(cells, ownership.Cell{ID: ident.CellID(i), DataCentre: ident.DataCentre(fmt.Sprint(i % 3))})
	}
	var services []*cluster.Service
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range n {
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		oc := ownership.DefaultConfig()
		oc.Self = ident.Instance{Host: ident.HostID(fmt.Sprintf("relay-%03d", i)), Incarnation: 1764846927000}
		oc.DataCentre, oc.Cells = ident.DataCentre(fmt.Sprint(i%3)), cells
		s := cluster.New(cluster.Config{
			Ownership: oc, PeerAddress: address, CallerAddress: address, Seeds: []string{"10.0.0.0:7000"}, Seed: uint64(i),
			Store: store.Client(address), Transport: m, Codec: clusterrecord.Codec{}, Log: log,
		})
		m.mu.Lock()
		m.at[address] = s
		m.mu.Unlock()
		services = append(services, s)
		s.Start()
		defer s.Close()
	}
	// Loads change each second, as they do in service; at rest nothing else changes.
	load := func(seconds int) {
		for second := range seconds {
			for i, s := range services {
				s.SetLocalState(cluster.LocalState{TableRevision: 1, Loads: []membership.Load{{Cell: ident.CellID(i), Queued: uint32(second), Capacity: 8}}})
			}
			time.Sleep(time.Second)
		}
	}
	load(60)
	const seconds = 60
	calls, bytes, storeCalls := m.calls.Load(), m.bytes.Load(), store.Counts().Total()
	load(seconds)
	perNode := float64(m.bytes.Load()-bytes) / seconds / float64(n)
	t.Logf("members %d: %.1f calls and %.0f bytes a second for each member, %.1f store calls a second in all", n,
		float64(m.calls.Load()-calls)/seconds/float64(n), perNode, float64(store.Counts().Total()-storeCalls)/seconds)
	require.LessOrEqual(t, perNode, 2048.0)
	// One renewal each 3 s, and one more at the end of the window.
	require.LessOrEqual(t, store.Counts().Total()-storeCalls, int64(n*(seconds/3+1)))

	start := time.Now()
	services[n/2].SetLocalState(cluster.LocalState{TableRevision: 2})
	for !allKnow(services, n/2) {
		time.Sleep(20 * time.Millisecond)
		require.Less(t, time.Since(start), 2*time.Second)
	}
	t.Logf("members %d: an update reaches all after %s", n, time.Since(start))

	if n > 100 {
		// Exchanges of all with all: 300 members would make 180,000 a second.
		return
	}
	store.SetFault(kv.Fault{Hang: true})
	load(30)
	bytes = m.bytes.Load()
	load(30)
	t.Logf("members %d: %.0f bytes a second for each member without the store", n, float64(m.bytes.Load()-bytes)/30/float64(n))
	for _, c := range cells {
		full := 0
		for _, s := range services {
			if s.Grant(c.ID).Authority == ownership.Full {
				full++
			}
		}
		require.Equal(t, 1, full, "full owners of cell %d without the store", c.ID)
	}
}

func allKnow(services []*cluster.Service, of int) bool {
	host := ident.HostID(fmt.Sprintf("relay-%03d", of))
	for _, s := range services {
		for _, m := range s.Members() {
			if m.Instance.Host == host && m.Payload.TableRevision < 2 {
				return false
			}
		}
	}
	return true
}
