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

type fakeRequestHandler struct {
	execute   func(ctx context.Context, r request.Request) (request.Answer, error)
	adopted   []ledger.Record
	retention time.Duration
}

func (f *fakeRequestHandler) Execute(ctx context.Context, _ ident.CellID, r request.Request) (request.Answer, error) {
	return f.execute(ctx, r)
}

func (f *fakeRequestHandler) ExecuteKeyed(ctx context.Context, _ ledger.Key, r request.Request) (request.Answer, error) {
	return f.execute(ctx, r)
}

func (f *fakeRequestHandler) AdoptLedger(_ ident.Instance, retention time.Duration, records []ledger.Record) error {
	f.retention = retention
	f.adopted = records
	return nil
}

func startRequestServer(t *testing.T, h *fakeRequestHandler) (*grpc.Server, string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(ServerOptions(insecure.NewCredentials())...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	return server, listener.Addr().String()
}

func newRequestClient(t *testing.T) *RequestClient {
	pool := NewPool(insecure.NewCredentials())
	t.Cleanup(pool.Close)
	return NewRequestClient(pool)
}

func newRequest() request.Request {
	return request.Request{ID: "1", Class: "write", Method: "POST", Path: "/", Deadline: time.Now().Add(time.Minute)}
}

// Guards against a wrong NotRun: a peer that stops after it received the request may have run it.
func TestStoppedPeerMayHaveRun(t *testing.T) {
	received := make(chan struct{})
	h := &fakeRequestHandler{execute: func(ctx context.Context, _ request.Request) (request.Answer, error) {
		close(received)
		<-ctx.Done()
		return request.Answer{}, ctx.Err()
	}}
	server, address := startRequestServer(t, h)
	go func() {
		<-received
		server.Stop()
	}()
	_, err := newRequestClient(t).Execute(t.Context(), address, 0, newRequest())
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
}

// Guards against MayHaveRun for a request that was never sent, which would prevent a retry.
func TestUnreachablePeerDidNotRun(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := listener.Addr().String()
	require.NoError(t, listener.Close())
	_, err = newRequestClient(t).Execute(t.Context(), address, 0, newRequest())
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// Guards against a host that runs requests after a pause although their callers have been answered. By then a later
// attempt under the same key may have been answered with NotRun (scenario host_paused).
func TestStaleRequestIsNotRun(t *testing.T) {
	ran := false
	h := &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		ran = true
		return request.Answer{Status: 200}, nil
	}}
	_, address := startRequestServer(t, h)
	key, err := ledger.New(ident.Instance{Host: "a", Incarnation: 1}, ledger.Limits{}).Issue(time.Now(), [16]byte{1})
	require.NoError(t, err)
	r := newRequest()
	r.Deadline = time.Now().Add(-2 * maxClockSkew)
	c := newRequestClient(t)
	_, err = c.Execute(t.Context(), address, 0, r)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	_, err = c.ExecuteKeyed(t.Context(), address, key, r)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	require.False(t, ran)

	r.Deadline = time.Now().Add(-maxClockSkew / 2)
	_, err = c.Execute(t.Context(), address, 0, r)
	require.NoError(t, err, "within the allowed clock skew")
}

// Guards against verdicts, codes and retry delays that change between hosts.
func TestFailureRoundTrip(t *testing.T) {
	h := &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeLimited, "no slot").WithRetryAfter(1500 * time.Millisecond)
	}}
	_, address := startRequestServer(t, h)
	_, err := newRequestClient(t).Execute(t.Context(), address, 0, newRequest())
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeLimited, e.Code)
	require.Equal(t, 1500*time.Millisecond, e.RetryAfter)
	require.Equal(t, "no slot", e.Error())
}

// Guards against an immediate request that waits in a full cell of a peer, and against another one that does not wait.
func TestImmediateFlagIsForwarded(t *testing.T) {
	h := &fakeRequestHandler{execute: func(_ context.Context, r request.Request) (request.Answer, error) {
		if r.Immediate {
			return request.Answer{}, verdict.New(verdict.NotRun, verdict.CodeBusy, "no slot").WithRetryAfter(3 * time.Millisecond)
		}
		return request.Answer{Status: 200}, nil
	}}
	_, address := startRequestServer(t, h)
	c, r := newRequestClient(t), newRequest()
	_, err := c.Execute(t.Context(), address, 0, r)
	require.NoError(t, err)
	r.Immediate = true
	_, err = c.Execute(t.Context(), address, 0, r)
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeBusy, e.Code)
	require.Equal(t, 3*time.Millisecond, e.RetryAfter)
}

// Guards against a hand-over that loses records when it is split into messages, and against a ledger that is adopted
// although the last message is missing.
func TestTransferLedger(t *testing.T) {
	issuer := ident.Instance{Host: "relay-1", Incarnation: 3}
	var records []ledger.Record
	for i := range 3*maxLedgerBatchRecords + 1 {
		records = append(records, ledger.Record{Key: "k", Fingerprint: uint64(i), Ran: i%2 == 0, AnswerKept: i%4 == 0, Answer: request.Answer{}})
	}
	for i := range records {
		if records[i].AnswerKept {
			records[i].Answer = request.Answer{Status: 200, Headers: []request.Header{}, Body: []byte{byte(i)}, Target: "t"}
		}
	}
	h := &fakeRequestHandler{}
	_, address := startRequestServer(t, h)
	c := newRequestClient(t)
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
