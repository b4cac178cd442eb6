// Package workergrpc performs calls to workers over the worker protocol (api/worker/v1).
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
	// A worker that returns is called again within the time after which it would get no new tasks.
	reconnectDelay = 100 * time.Millisecond
	maxReconnect   = time.Second
	// maxMessageBytes holds an inventory of about 10,000 tasks.
	maxMessageBytes = 4 << 20
)

// Client calls workers; it keeps one connection for each address. It is safe for concurrent use.
type Client struct {
	options []grpc.DialOption

	// mu guards conns; connections are made lazily, so that nothing blocks under it.
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

var _ jobs.WorkerPort = (*Client)(nil)

// New returns a client without connections. The options are added to its own.
func New(options ...grpc.DialOption) *Client {
	reconnect := backoff.DefaultConfig
	reconnect.BaseDelay = reconnectDelay
	reconnect.MaxDelay = maxReconnect
	own := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: maxReconnect}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
		grpc.WithStatsHandler(grpcsent.Handler{}),
		// The retries of the library would hide whether an earlier try was sent.
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

func (c *Client) workers(address string) (workerv1.WorkersClient, error) {
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

// invoke performs one call and classifies its outcome.
func invoke[R interface{ GetRefusal() workerv1.Refusal }](
	ctx context.Context, c *Client, m lifecycle.Member,
	call func(context.Context, workerv1.WorkersClient) (R, error),
) (R, lifecycle.Answer) {
	var none R
	workers, err := c.workers(m.Address)
	if err != nil {
		return none, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	}
	ctx, flag := grpcsent.Track(ctx)
	reply, err := call(ctx, workers)
	switch {
	case err == nil:
		return reply, answerIn(reply.GetRefusal())
	case !flag.Sent():
		return none, lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}
	default:
		return none, lifecycle.Answer{}
	}
}

// Claim implements jobs.WorkerPort.
func (c *Client) Claim(ctx context.Context, m lifecycle.Member, cell ident.CellID, epoch ident.Epoch) jobs.ClaimAnswer {
	reply, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.ClaimReply, error) {
		return w.Claim(ctx, &workerv1.ClaimRequest{Cell: uint32(cell), Epoch: uint64(epoch)})
	})
	return claimIn(a, reply.GetReport())
}

// Sync implements jobs.WorkerPort.
func (c *Client) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	req := &workerv1.SyncRequest{
		Epoch: uint64(epoch), Token: r.Token, Renewals: runsOut(r.Renewals), Acks: runsOut(r.Acks),
		WaitMs: wait.Milliseconds(),
	}
	reply, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.SyncReply, error) {
		return w.Sync(ctx, req)
	})
	return claimIn(a, reply.GetReport())
}

// Start implements jobs.WorkerPort.
func (c *Client) Start(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	req := &workerv1.StartRequest{
		Epoch: uint64(epoch), Run: runOut(s.AttemptID), Token: s.Token, Class: string(s.Class), Booked: vectorOut(s.Booked),
		RunTimeMs: s.RunTime.Milliseconds(), Command: s.Command, Checkpoint: s.Checkpoint,
	}
	_, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.StartReply, error) {
		return w.Start(ctx, req)
	})
	return a
}

// Stop implements jobs.WorkerPort.
func (c *Client) Stop(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, runs []lifecycle.AttemptID) jobs.StopAnswer {
	req := &workerv1.StopRequest{Epoch: uint64(epoch), Runs: runsOut(runs)}
	reply, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.StopReply, error) {
		return w.Stop(ctx, req)
	})
	ends, err := endsIn(reply.GetEnds())
	if err != nil {
		return jobs.StopAnswer{}
	}
	return jobs.StopAnswer{Answer: a, Incarnation: reply.GetIncarnation(), Ends: ends}
}

// Checkpoint implements jobs.WorkerPort.
func (c *Client) Checkpoint(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, stop bool) jobs.CheckpointAnswer {
	req := &workerv1.CheckpointRequest{Epoch: uint64(epoch), Run: runOut(r), Stop: stop}
	reply, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.CheckpointReply, error) {
		return w.Checkpoint(ctx, req)
	})
	return jobs.CheckpointAnswer{Answer: a, Checkpoint: reply.GetCheckpoint()}
}

// Throttle implements jobs.WorkerPort.
func (c *Client) Throttle(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.AttemptID, f float64) lifecycle.Answer {
	req := &workerv1.ThrottleRequest{Epoch: uint64(epoch), Run: runOut(r), Fraction: f}
	_, a := invoke(ctx, c, m, func(ctx context.Context, w workerv1.WorkersClient) (*workerv1.ThrottleReply, error) {
		return w.Throttle(ctx, req)
	})
	return a
}
