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

// fakeGossipHandler records the arguments of calls and returns fixed values.
type fakeGossipHandler struct {
	request        membership.Request
	reply          membership.Reply
	report         ownership.Report
	probedInstance ident.Instance
	probedAddress  string
}

func (f *fakeGossipHandler) HandleExchange(r membership.Request) (membership.Reply, ownership.Report) {
	f.request = r
	return f.reply, f.report
}

func (f *fakeGossipHandler) HandleProbe(_ context.Context, target ident.Instance, address string) (ident.Instance, bool) {
	f.probedInstance, f.probedAddress = target, address
	return ident.Instance{Host: "b", Incarnation: 2}, true
}

func (f *fakeGossipHandler) HandleFence(cell ident.CellID, epoch ident.Epoch) cluster.FenceAnswer {
	return cluster.FenceAnswer{From: ident.Instance{Host: "b", Incarnation: ident.Incarnation(epoch)}, Stopped: cell == 7, BusyFor: 1500 * time.Millisecond}
}

type fixedConn struct{ conn *grpc.ClientConn }

func (f fixedConn) Conn(string) (*grpc.ClientConn, error) { return f.conn, nil }

// countingConn counts the bytes of a connection in both directions.
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

// dialGossip serves h on loopback and returns a client with the number of bytes on its connection in both directions.
func dialGossip(t *testing.T, h GossipHandler) (*GossipClient, *atomic.Int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(supportedVersions.serverOptions()...)
	RegisterGossip(server, h)
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	bytes := new(atomic.Int64)
	conn, err := grpc.NewClient("passthrough:///"+listener.Addr().String(), append(supportedVersions.dialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
			return countingConn{c, bytes}, err
		}))...)
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return NewGossipClient(ident.Instance{Host: "a", Incarnation: 1}, fixedConn{conn}), bytes
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

// Guards against fields that are lost or swapped by the encoding.
func TestGossipRoundTrip(t *testing.T) {
	m := sampleMember()
	loads := []membership.LoadChange{{Instance: m.Instance, Version: 6, Loads: m.Loads}}
	h := &fakeGossipHandler{
		reply:  membership.Reply{From: ident.Instance{Host: "b", Incarnation: 2}, Digest: 5, Updates: []membership.Member{m}, Window: []membership.Stamp{m.Stamp()}, Loads: loads},
		report: ownership.Report{From: ident.Instance{Host: "b", Incarnation: 2}, Established: true, Contacts: 4, ContactAge: time.Second, KnownDigest: 6},
	}
	c, _ := dialGossip(t, h)
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
	require.Equal(t, m.Instance, h.probedInstance)
	require.Equal(t, "x:1", h.probedAddress)
	answer, err := c.Fence(ctx, "", 7, 11)
	require.NoError(t, err)
	require.Equal(t, h.HandleFence(7, 11), answer)
}

// Guards against malformed messages that put members without a name into the view or cause a panic.
func TestMalformedGossip(t *testing.T) {
	h := &fakeGossipHandler{}
	c, _ := dialGossip(t, h)
	ctx := context.Background()
	_, _, err := c.Exchange(ctx, "", membership.Request{})
	require.ErrorContains(t, err, "no sender")
	_, _, err = c.Exchange(ctx, "", membership.Request{From: ident.Instance{Host: "a"}, Updates: make([]membership.Member, 2), Have: make([]membership.Stamp, 2)})
	require.ErrorContains(t, err, "reply has no report")
	require.Empty(t, h.request.Updates)
	require.Empty(t, h.request.Have)
}

// maxCallOverheadBytes bounds the bytes that HTTP/2 and gRPC add to the messages of one call, in both directions
// together. TestCallOverhead checks it, and TestGossipTraffic adds it to each call.
const maxCallOverheadBytes = 200

// Guards against a maxCallOverheadBytes that is too low, with which TestGossipTraffic would count too few bytes.
func TestCallOverhead(t *testing.T) {
	h := &fakeGossipHandler{report: ownership.Report{From: ident.Instance{Host: "b", Incarnation: 2}}}
	c, bytes := dialGossip(t, h)
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
	messages := proto.Size(encodeExchangeRequest(request)) + proto.Size(encodeExchangeReply(h.reply, h.report))
	overhead := float64(bytes.Load()-before)/calls - float64(messages)
	t.Logf("overhead of a call: %.0f bytes", overhead)
	require.LessOrEqual(t, overhead, float64(maxCallOverheadBytes))
}

// memoryTransport connects services in memory and counts the bytes that their calls would take on the network.
type memoryTransport struct {
	mu        sync.Mutex
	byAddress map[string]*cluster.Service
	calls     atomic.Int64
	bytes     atomic.Int64
}

func (m *memoryTransport) service(address string) (*cluster.Service, error) {
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	s, ok := m.byAddress[address]
	if !ok {
		return nil, io.EOF
	}
	return s, nil
}

func (m *memoryTransport) count(messages ...proto.Message) {
	m.calls.Add(1)
	m.bytes.Add(maxCallOverheadBytes)
	for _, msg := range messages {
		m.bytes.Add(int64(proto.Size(msg)))
	}
}

func (m *memoryTransport) Exchange(_ context.Context, address string, r membership.Request) (membership.Reply, ownership.Report, error) {
	s, err := m.service(address)
	if err != nil {
		return membership.Reply{}, ownership.Report{}, err
	}
	reply, report := s.HandleExchange(r)
	m.count(encodeExchangeRequest(r), encodeExchangeReply(reply, report))
	return reply, report, nil
}

func (m *memoryTransport) Probe(ctx context.Context, address string, target ident.Instance, targetAddress string) (ident.Instance, bool, error) {
	s, err := m.service(address)
	if err != nil {
		return ident.Instance{}, false, err
	}
	at, reached := s.HandleProbe(ctx, target, targetAddress)
	m.bytes.Add(int64(len(at.Host) + len(target.Host) + 16))
	m.count()
	return at, reached, nil
}

func (m *memoryTransport) Fence(_ context.Context, address string, cell ident.CellID, epoch ident.Epoch) (cluster.FenceAnswer, error) {
	s, err := m.service(address)
	if err != nil {
		return cluster.FenceAnswer{}, err
	}
	m.count()
	return s.HandleFence(cell, epoch), nil
}

// Guards against gossip that takes more than 2 KB/s per member in steady state, an update that does not reach all
// members within the 2 s that the table allows, store calls that grow faster than the number of members, and owners
// that lose their authority in an outage of the store because reports arrive too late. BULRUSH_MEMBERS=300 replaces
// the default sizes with a run of that many members.
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
			synctest.Test(t, func(t *testing.T) { measureTraffic(t, n) })
		})
	}
}

func measureTraffic(t *testing.T, members int) {
	store := kv.New(kv.Config{})
	transport := &memoryTransport{byAddress: map[string]*cluster.Service{}}
	var cells []ownership.Cell
	for i := range min(members, 128) {
		cells = append(cells, ownership.Cell{ID: ident.CellID(i), DataCentre: ident.DataCentre(fmt.Sprint(i % 3))})
	}
	var services []*cluster.Service
	log := logrus.New()
	log.SetOutput(io.Discard)
	for i := range members {
		address := fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250)
		ownershipConfig := ownership.DefaultConfig()
		ownershipConfig.Self = ident.Instance{Host: ident.HostID(fmt.Sprintf("relay-%03d", i)), Incarnation: 1764846927000}
		ownershipConfig.DataCentre, ownershipConfig.Cells = ident.DataCentre(fmt.Sprint(i%3)), cells
		s := cluster.New(cluster.Config{
			Ownership: ownershipConfig, PeerAddress: address, CallerAddress: address, Seeds: []string{"10.0.0.0:7000"}, Seed: uint64(i),
			Store: store.Client(address), Transport: transport, Codec: clusterrecord.Codec{}, Log: log,
		})
		transport.mu.Lock()
		transport.byAddress[address] = s
		transport.mu.Unlock()
		services = append(services, s)
		s.Start()
		defer s.Close()
	}
	// Loads change each second, as in production. Nothing else changes in steady state.
	publishLoads := func(seconds int) {
		for second := range seconds {
			for i, s := range services {
				s.SetLocalState(cluster.LocalState{TableRevision: 1, Loads: []membership.Load{{Cell: ident.CellID(i), Queued: uint32(second), Capacity: 8}}})
			}
			time.Sleep(time.Second)
		}
	}
	publishLoads(60)
	const seconds = 60
	calls, bytes, storeCalls := transport.calls.Load(), transport.bytes.Load(), store.Counts().Total()
	publishLoads(seconds)
	bytesPerMember := float64(transport.bytes.Load()-bytes) / seconds / float64(members)
	t.Logf("members %d: %.1f calls and %.0f bytes a second for each member, %.1f store calls a second in all", members,
		float64(transport.calls.Load()-calls)/seconds/float64(members), bytesPerMember, float64(store.Counts().Total()-storeCalls)/seconds)
	require.LessOrEqual(t, bytesPerMember, 2048.0)
	// Each member renews its lease every 3 s, with one more renewal at the end of the window.
	require.LessOrEqual(t, store.Counts().Total()-storeCalls, int64(members*(seconds/3+1)))

	start := time.Now()
	services[members/2].SetLocalState(cluster.LocalState{TableRevision: 2})
	for !allHaveUpdate(services, members/2) {
		time.Sleep(20 * time.Millisecond)
		require.Less(t, time.Since(start), 2*time.Second)
	}
	t.Logf("members %d: an update reaches all after %s", members, time.Since(start))

	if members > 100 {
		// Without the store all members exchange with each other: 300 members would make 180,000 exchanges a second.
		return
	}
	store.SetFault(kv.Fault{Hang: true})
	publishLoads(30)
	bytes = transport.bytes.Load()
	publishLoads(30)
	t.Logf("members %d: %.0f bytes a second for each member without the store", members, float64(transport.bytes.Load()-bytes)/30/float64(members))
	for _, c := range cells {
		fullOwners := 0
		for _, s := range services {
			if s.Grant(c.ID).Authority == ownership.Full {
				fullOwners++
			}
		}
		require.Equal(t, 1, fullOwners, "full owners of cell %d without the store", c.ID)
	}
}

func allHaveUpdate(services []*cluster.Service, updated int) bool {
	host := ident.HostID(fmt.Sprintf("relay-%03d", updated))
	for _, s := range services {
		for _, m := range s.Members() {
			if m.Instance.Host == host && m.Payload.TableRevision < 2 {
				return false
			}
		}
	}
	return true
}
