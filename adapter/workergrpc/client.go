// Package workergrpc implements the client of the worker protocol (api/worker/v1) over gRPC.
package workergrpc

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/grpcsent"
	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	// The delays between connection attempts are short enough that a worker that returns is reached before it would be
	// excluded from new tasks.
	baseReconnectDelay = 100 * time.Millisecond
	maxReconnectDelay  = time.Second
	// maxMessageBytes bounds a message. A report of about 10,000 tasks fits.
	maxMessageBytes = 4 << 20
)

// Client calls workers over one connection per address. It is safe for concurrent use.
type Client struct {
	options []grpc.DialOption

	// mu guards conns. Nothing blocks under it, because connections are established in the background.
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ jobs.WorkerPort = (*Client)(nil)

// New returns a client without connections. The given dial options are applied after its own.
func New(options ...grpc.DialOption) *Client {
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay = baseReconnectDelay
	reconnect.MaxDelay = maxReconnectDelay
	own := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnectDelay}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithStatsHandler(grpcsent.Handler{}),
		// Retries inside gRPC would hide whether an earlier attempt was sent.
		grpc.WithDisableRetry(),
	}
	return &Client{options: append(own, options...), conns: make(map[string]*grpc.ClientConn)}
}

// Close closes all connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		_ = conn.Close()
		delete(c.conns, address)
	}
}

// workersClient returns a client on the connection to address, which it creates on first use.
func (c *Client) workersClient(address string) (workerv1.WorkersClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return workerv1.NewWorkersClient(conn), nil
	}
	conn, err := grpc.NewClient(address, c.options...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return workerv1.NewWorkersClient(conn), nil
}

// invoke performs one call. A call that never left this host is answered with Refused and ReasonUnsent, one whose
// reply is lost with the zero Answer, which stands for an unknown outcome.
func invoke[R interface{ GetRefusal() workerv1.Refusal }](
	ctx context.Context, c *Client, m lifecycle.Member,
	call func(context.Context, workerv1.WorkersClient) (R, error),
) (R, lifecycle.Answer) {
	var zero R
	workers, err := c.workersClient(m.Address)
	if err != nil {
		return zero, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	}
	ctx, flag := grpcsent.Track(ctx)
	reply, err := call(ctx, workers)
	switch {
	case err == nil:
		return reply, decodeAnswer(reply.GetRefusal())
	case !flag.Sent():
		return zero, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	default:
		return zero, lifecycle.Answer{}
	}
}

// Claim implements jobs.WorkerPort.
func (c *Client) Claim(ctx context.Context, m lifecycle.Member, cell ident.CellID, epoch ident.Epoch) jobs.ClaimAnswer {
	reply, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.ClaimReply, error) {
		return w.Claim(ctx, &workerv1.ClaimRequest{Cell: uint32(cell), Epoch: uint64(epoch)})
	})
	return decodeClaimAnswer(answer, reply.GetReport())
}

// Sync implements jobs.WorkerPort.
func (c *Client) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	req := &workerv1.SyncRequest{
		Epoch: uint64(epoch), Token: r.Token, Renewals: encodeAttemptIDs(r.Renewals), Acks: encodeAttemptIDs(r.Acks),
		WaitMs: wait.Milliseconds(),
	}
	reply, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.SyncReply, error) {
		return w.Sync(ctx, req)
	})
	return decodeClaimAnswer(answer, reply.GetReport())
}

// Start implements jobs.WorkerPort.
func (c *Client) Start(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	req := &workerv1.StartRequest{
		Epoch: uint64(epoch), Run: encodeAttemptID(s.AttemptID), Token: s.Token, Class: string(s.Class), Booked: encodeVector(s.Booked),
		RunTimeMs: s.RunTime.Milliseconds(), Command: s.Command, Checkpoint: s.Checkpoint,
	}
	_, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.StartReply, error) {
		return w.Start(ctx, req)
	})
	return answer
}

// Stop implements jobs.WorkerPort.
func (c *Client) Stop(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempts []lifecycle.AttemptID) jobs.StopAnswer {
	req := &workerv1.StopRequest{Epoch: uint64(epoch), Runs: encodeAttemptIDs(attempts)}
	reply, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.StopReply, error) {
		return w.Stop(ctx, req)
	})
	ends, err := decodeEnds(reply.GetEnds())
	if err != nil {
		return jobs.StopAnswer{}
	}
	return jobs.StopAnswer{Answer: answer, Incarnation: reply.GetIncarnation(), Ends: ends}
}

// Checkpoint implements jobs.WorkerPort.
func (c *Client) Checkpoint(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, stop bool) jobs.CheckpointAnswer {
	req := &workerv1.CheckpointRequest{Epoch: uint64(epoch), Run: encodeAttemptID(attempt), Stop: stop}
	reply, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.CheckpointReply, error) {
		return w.Checkpoint(ctx, req)
	})
	return jobs.CheckpointAnswer{Answer: answer, Checkpoint: reply.GetCheckpoint()}
}

// Throttle implements jobs.WorkerPort.
func (c *Client) Throttle(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, attempt lifecycle.AttemptID, fraction float64) lifecycle.Answer {
	req := &workerv1.ThrottleRequest{Epoch: uint64(epoch), Run: encodeAttemptID(attempt), Fraction: fraction}
	_, answer := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.ThrottleReply, error) {
		return w.Throttle(ctx, req)
	})
	return answer
}
