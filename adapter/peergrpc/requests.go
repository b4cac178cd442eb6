package peergrpc

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/grpcsent"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// maxLedgerBatchRecords bounds the records in one message of a ledger hand-over.
	maxLedgerBatchRecords = 256
	// maxLedgerBatchBytes is the total size of answer bodies above which a message of a hand-over takes no more
	// records. It is below MaxMessageBytes.
	maxLedgerBatchBytes = 3 << 20
	// defaultLedgerRetention applies to ledgers from older hosts, which do not send their retention and use this
	// value.
	defaultLedgerRetention = 24 * time.Hour
	// maxLedgerRecords bounds the records of a hand-over, and with them the memory that a peer can make this host use.
	maxLedgerRecords = 4_000_000
)

// Conns provides connections to peers by address.
type Conns interface {
	Conn(address string) (*grpc.ClientConn, error)
}

// RequestClient forwards requests of callers to other relay hosts.
type RequestClient struct {
	conns Conns
}

// NewRequestClient returns a client over the given connections.
func NewRequestClient(conns Conns) *RequestClient {
	return &RequestClient{conns: conns}
}

// Execute runs a request in a cell that the host at address owns.
func (c *RequestClient) Execute(ctx context.Context, address string, cell ident.CellID, r request.Request) (request.Answer, error) {
	return c.call(ctx, address, func(ctx context.Context, client peerv1.RequestsClient) (*peerv1.ExecuteReply, error) {
		return client.Execute(ctx, &peerv1.ExecuteRequest{
			Request: requestToMessage(r, time.Now()), Cell: uint32(cell), Immediate: r.Immediate,
		})
	})
}

// ExecuteKeyed runs a request under an idempotency key that the host at address issued.
func (c *RequestClient) ExecuteKeyed(ctx context.Context, address string, key ledger.Key, r request.Request) (request.Answer, error) {
	return c.call(ctx, address, func(ctx context.Context, client peerv1.RequestsClient) (*peerv1.ExecuteReply, error) {
		return client.ExecuteKeyed(ctx, &peerv1.ExecuteKeyedRequest{
			Request: requestToMessage(r, time.Now()),
			Key:     key.String(),
		})
	})
}

type executeCall func(context.Context, peerv1.RequestsClient) (*peerv1.ExecuteReply, error)

func (c *RequestClient) call(ctx context.Context, address string, call executeCall) (request.Answer, error) {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return request.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to peer %s", address)
	}
	ctx, flag := grpcsent.Track(ctx)
	reply, err := call(ctx, peerv1.NewRequestsClient(conn))
	if err == nil {
		return replyFromMessage(reply)
	}
	if !flag.Sent() {
		return request.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "peer %s not reached", address)
	}
	if isRefusal(err) {
		return request.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "peer %s refused the call", address)
	}
	return request.Answer{}, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeIncomplete, "no reply from peer %s", address)
}

// TransferLedger hands a closed ledger over to the host at address. After an error the receiver may or may not have
// adopted it, so the caller must not send it to another host.
func (c *RequestClient) TransferLedger(
	ctx context.Context, address string, issuer ident.Instance, retention time.Duration, records []ledger.Record,
) error {
	conn, err := c.conns.Conn(address)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "connect to peer %s", address)
	}
	stream, err := peerv1.NewRequestsClient(conn).TransferLedger(ctx)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "open the hand-over to peer %s", address)
	}
	for _, batch := range ledgerBatches(records) {
		message := &peerv1.TransferLedgerRequest{Host: string(issuer.Host), Incarnation: uint64(issuer.Incarnation), Records: batch}
		if err := stream.Send(message); err != nil {
			return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "hand-over to peer %s", address)
		}
	}
	last := &peerv1.TransferLedgerRequest{
		Host: string(issuer.Host), Incarnation: uint64(issuer.Incarnation), Last: true, RetentionMs: retention.Milliseconds(),
	}
	if err := stream.Send(last); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "finish the hand-over to peer %s", address)
	}
	reply, err := stream.CloseAndRecv()
	if err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnknown, "hand-over to peer %s not confirmed", address)
	}
	if reply.GetRecords() != uint64(len(records)) {
		return verdict.New(verdict.MayHaveRun, verdict.CodeIncomplete, "peer %s adopted %d of %d ledger records", address, reply.GetRecords(), len(records))
	}
	return nil
}

func ledgerBatches(records []ledger.Record) [][]*peerv1.LedgerRecord {
	var (
		out   [][]*peerv1.LedgerRecord
		batch []*peerv1.LedgerRecord
		size  int
	)
	for _, r := range records {
		if len(batch) == maxLedgerBatchRecords || size > maxLedgerBatchBytes {
			out = append(out, batch)
			batch, size = nil, 0
		}
		batch = append(batch, ledgerRecordToMessage(r))
		size += len(r.Answer.Body)
	}
	if len(batch) > 0 {
		out = append(out, batch)
	}
	return out
}

const (
	ledgerStateDone    = "done"
	ledgerStateUnknown = "unknown"
)

func ledgerRecordToMessage(r ledger.Record) *peerv1.LedgerRecord {
	m := &peerv1.LedgerRecord{Key: r.Key, Fingerprint: r.Fingerprint, State: ledgerStateUnknown}
	if r.Ran {
		m.State = ledgerStateDone
	}
	if r.AnswerKept {
		m.Answer = answerToMessage(r.Answer)
	}
	return m
}

// ledgerRecordFromMessage decodes a record. A record with an unknown state has Ran unset, and an invalid answer is not
// kept.
func ledgerRecordFromMessage(m *peerv1.LedgerRecord) ledger.Record {
	r := ledger.Record{Key: m.GetKey(), Fingerprint: m.GetFingerprint(), Ran: m.GetState() == ledgerStateDone}
	if m.GetAnswer() != nil {
		answer, invalid := answerFromMessage(m.GetAnswer())
		r.Answer, r.AnswerKept = answer, invalid == nil
	}
	return r
}

// RequestHandler runs requests and adopts ledgers that other relay hosts send.
type RequestHandler interface {
	Execute(ctx context.Context, cell ident.CellID, r request.Request) (request.Answer, error)
	ExecuteKeyed(ctx context.Context, key ledger.Key, r request.Request) (request.Answer, error)
	AdoptLedger(issuer ident.Instance, retention time.Duration, records []ledger.Record) error
}

// RequestServer implements the Requests service for peers.
type RequestServer struct {
	peerv1.UnimplementedRequestsServer
	handler RequestHandler
}

// NewRequestServer returns a server that passes requests to handler.
func NewRequestServer(handler RequestHandler) *RequestServer {
	return &RequestServer{handler: handler}
}

// Execute implements peerv1.RequestsServer.
func (s *RequestServer) Execute(ctx context.Context, m *peerv1.ExecuteRequest) (*peerv1.ExecuteReply, error) {
	r, invalid := requestFromMessage(m.GetRequest(), time.Now())
	if invalid != nil {
		return replyToMessage(request.Answer{}, invalid), nil
	}
	r.Immediate = m.GetImmediate()
	answer, err := s.handler.Execute(ctx, ident.CellID(m.GetCell()), r)
	return replyToMessage(answer, err), nil
}

// ExecuteKeyed implements peerv1.RequestsServer.
func (s *RequestServer) ExecuteKeyed(ctx context.Context, m *peerv1.ExecuteKeyedRequest) (*peerv1.ExecuteReply, error) {
	r, invalid := requestFromMessage(m.GetRequest(), time.Now())
	if invalid != nil {
		// An earlier attempt under the key may have run.
		invalid.Verdict = verdict.MayHaveRun
		return replyToMessage(request.Answer{}, invalid), nil
	}
	key, err := ledger.ParseKey(m.GetKey())
	if err != nil {
		return replyToMessage(request.Answer{}, verdict.Wrap(err, verdict.NotRun, verdict.CodeInvalid, "idempotency key from a peer")), nil
	}
	answer, err := s.handler.ExecuteKeyed(ctx, key, r)
	return replyToMessage(answer, err), nil
}

// TransferLedger implements peerv1.RequestsServer. The ledger is adopted only after the message marked as last.
func (s *RequestServer) TransferLedger(stream grpc.ClientStreamingServer[peerv1.TransferLedgerRequest, peerv1.TransferLedgerReply]) error {
	var records []ledger.Record
	for {
		m, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return verdict.New(verdict.NotRun, verdict.CodeIncomplete, "ledger hand-over ended without its last message")
		}
		if err != nil {
			return err
		}
		for _, r := range m.GetRecords() {
			records = append(records, ledgerRecordFromMessage(r))
		}
		if len(records) > maxLedgerRecords {
			return verdict.New(verdict.NotRun, verdict.CodeLimited, "ledger hand-over has more than %d records", maxLedgerRecords)
		}
		if !m.GetLast() {
			continue
		}
		issuer := ident.Instance{Host: ident.HostID(m.GetHost()), Incarnation: ident.Incarnation(m.GetIncarnation())}
		retention := defaultLedgerRetention
		if ms := m.GetRetentionMs(); ms != 0 {
			retention = time.Duration(ms) * time.Millisecond
		}
		if err := s.handler.AdoptLedger(issuer, retention, records); err != nil {
			return err
		}
		return stream.SendAndClose(&peerv1.TransferLedgerReply{Records: uint64(len(records))})
	}
}
