package peergrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

type handler struct {
	execute   func(ctx context.Context, r request.Request) (request.Answer, error)
	adopted   []ledger.Record
	retention time.Duration
}

func (h *handler) Execute(ctx context.Context, _ ident.CellID, r request.Request) (request.Answer, error) {
	return h.execute(ctx, r)
}

func (h *handler) ExecuteKeyed(ctx context.Context, _ ledger.Key, r request.Request) (request.Answer, error) {
	return h.execute(ctx, r)
}

func (h *handler) AdoptLedger(_ ident.Instance, retention time.Duration, records []ledger.Record) error {
	h.retention = retention
	h.adopted = records
	return nil
}

func start(t *testing.T, h *handler) (*grpc.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(ServerOptions(insecure.NewCredentials())...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return server, listener.Addr().String()
}

func client(t *testing.T) *RequestClient {
	pool := NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	return NewRequestClient(pool)
}

func newRequest() request.Request {
	return request.Request{ID: "1", Class: "write", Method: "POST", Path: "/", Deadline: time.Now().Add(time.Minute)}
}

// Guards against "not run" without proof: a peer that stops after it received the request may have run it.
func TestStoppedPeerMayHaveRun(t *testing.T) {
	received := make(chan struct{})
	h := &handler{execute: func(ctx context.Context, _ request.Request) (request.Answer, error) {
		close(received)
		<-ctx.Done()
		return request.Answer{}, ctx.Err()
	}}
	server, address := start(t, h)
	go func() {
		<-received
		server.Stop()
	}()
	_, err := client(t).Execute(t.Context(), address, 0, newRequest())
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
}

// Guards against a request that never left being reported as possibly run, which would block its repeat.
func TestUnreachablePeerDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = client(t).Execute(t.Context(), address, 0, newRequest())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// Guards against a host that was paused and, on resuming, runs requests whose callers were answered long ago. The caller
// of a later attempt under the same key had been told "not run" by then (scenario host_paused).
func TestStaleRequestIsNotRun(t *testing.T) {
	ran := false
	h := &handler{execute: func(context.Context, request.Request) (request.Answer, error) {
		ran = true
		return request.Answer{Status: 200}, nil
	}}
	_, address := start(t, h)
	key, err := ledger.New(ident.Instance{Host: "a", Incarnation: 1}, ledger.Limits{}).Issue(time.Now(), [16]byte{1})
	require.NoError(t, err)
	r := newRequest()
	r.Deadline = time.Now().Add(-2 * clockAllowance)
	c := client(t)
	_, err = c.Execute(t.Context(), address, 0, r)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	_, err = c.ExecuteKeyed(t.Context(), address, key, r)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.False(t, ran)

	r.Deadline = time.Now().Add(-clockAllowance / 2)
	_, err = c.Execute(t.Context(), address, 0, r)
	require.NoError(t, err, "the clocks may differ by this much")
}

// Guards against verdicts, codes and pauses that change on the way between hosts.
func TestFailureKeepsItsVerdict(t *testing.T) {
	h := &handler{execute: func(context.Context, request.Request) (request.Answer, error) {
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeLimited, "no slot").WithRetryAfter(1500 * time.Millisecond)
	}}
	_, address := start(t, h)
	_, err := client(t).Execute(t.Context(), address, 0, newRequest())
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeLimited, e.Code)
	require.Equal(t, 1500*time.Millisecond, e.RetryAfter)
	require.Equal(t, "no slot", e.Error())
}

// Guards against a request that waits in a full cell of a peer although it was to go on, or the reverse.
func TestImmediateReachesThePeer(t *testing.T) {
	h := &handler{execute: func(_ context.Context, r request.Request) (request.Answer, error) {
		if r.Immediate {
			return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeBusy, "no slot").WithRetryAfter(3 * time.Millisecond)
		}
		return request.Answer{Status: 200}, nil
	}}
	_, address := start(t, h)
	c, r := client(t), newRequest()
	_, err := c.Execute(t.Context(), address, 0, r)
	require.NoError(t, err)
	r.Immediate = true
	_, err = c.Execute(t.Context(), address, 0, r)
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeBusy, e.Code)
	require.Equal(t, 3*time.Millisecond, e.RetryAfter)
}

// Guards against a hand-over that loses records or splits wrongly, and against one without its last message.
func TestTransferLedger(t *testing.T) {
	issuer := ident.Instance{Host: "relay-1", Incarnation: 3}
	var records []ledger.Record
	for i := range 3*ledgerBatch + 1 {
		records = append(records, ledger.Record{Key: "k", Fingerprint: uint64(i), Ran: i%2 == 0, AnswerKept: i%4 == 0, Answer: request.Answer{}})
	}
	for i := range records {
		if records[i].AnswerKept {
			records[i].Answer = request.Answer{Status: 200, Headers: []request.Header{}, Body: []byte{byte(i)}, Target: "t"}
		}
	}
	h := &handler{}
	_, address := start(t, h)
	c := client(t)
	require.NoError(t, c.TransferLedger(t.Context(), address, issuer, time.Hour, records))
	require.Equal(t, records, h.adopted)
	require.Equal(t, time.Hour, h.retention)

	h.adopted = nil
	conn, err := c.conns.Conn(address)
	require.NoError(t, err)
	stream, err := peerv1.NewRequestsClient(conn).TransferLedger(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.Send(&peerv1.TransferLedgerRequest{Host: "relay-1", Records: []*peerv1.LedgerRecord{{Key: "k"}}}))
	_, err = stream.CloseAndRecv()
	require.Error(t, err)
	require.Nil(t, h.adopted)
}
