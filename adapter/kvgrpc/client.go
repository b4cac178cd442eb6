// Package kvgrpc implements the store port over the published gRPC protocol of the platform's key-value service
// (etcd v3).
package kvgrpc

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/grpcsent"
	kvv1 "github.com/bulrushrelay/bulrushrelay/api/kv/v1"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

const (
	// DefaultTimeout bounds a call whose context has no deadline: the service answers in milliseconds when healthy.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds an answer. A range of a cell's log holds up to 256 entries of under 1 MB.
	maxAnswerBytes = 512 << 20
	// keepaliveTime and keepaliveTimeout detect a connection that was cut without a reset, which would leave a watch
	// silent. The published server refuses pings more often than every 5 s.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// maxReconnectDelay bounds the pause between attempts to connect, so that a returned service is used within it.
	maxReconnectDelay = 2 * time.Second
)

// Config sets up a Client.
type Config struct {
	// Endpoints are the addresses host:port of the service. One is used at a time; a failed connection moves on to
	// the next.
	Endpoints []string
	// Credentials secure the connections; nil means plain text.
	Credentials credentials.TransportCredentials
	// CallsPerSecond is the budget of calls, with Burst calls at once; 0 means no budget. A call beyond it waits until
	// its deadline allows no more, and then fails with ErrRateLimited.
	CallsPerSecond float64
	Burst          int
	// Timeout bounds a call whose context has no deadline; DefaultTimeout if 0.
	Timeout time.Duration
	// DialOptions replaces the TCP dialer, for tests.
	DialOptions []grpc.DialOption
}

// Counts are the calls of a Client so far.
type Counts struct {
	// Calls counts the calls made; a watch counts as one.
	Calls int64
	// OverBudget counts the calls that the budget refused.
	OverBudget int64
	// UnknownOutcomes counts the calls whose answer was lost.
	UnknownOutcomes int64
	// EndpointSwitches counts the changes of endpoint.
	EndpointSwitches int64
}

// Client is a store.Store. It is safe for concurrent use.
type Client struct {
	conns   []*grpc.ClientConn
	current atomic.Uint32
	budget  *rate.Limiter
	timeout time.Duration

	calls, refused, unknown, switches atomic.Int64
}

var _ store.Store = (*Client)(nil)

// New returns a Client. It connects in the background.
func New(c Config) (*Client, error) {
	if len(c.Endpoints) == 0 {
		return nil, errors.New("key-value store: no endpoints")
	}
	if c.Credentials == nil {
		c.Credentials = insecure.NewCredentials()
	}
	if c.Timeout == 0 {
		c.Timeout = DefaultTimeout
	}
	limit := rate.Inf
	if c.CallsPerSecond > 0 {
		limit = rate.Limit(c.CallsPerSecond)
	}
	client := &Client{budget: rate.NewLimiter(limit, max(c.Burst, 1)), timeout: c.Timeout}
	reconnect := backoff.DefaultConfig
	reconnect.MaxDelay = maxReconnectDelay
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(c.Credentials),
		// A repeated write could take effect twice, so that nothing is retried below the caller.
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(grpcsent.Handler{}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: reconnect, MinConnectTimeout: c.Timeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxAnswerBytes)),
	}, c.DialOptions...)
	for _, endpoint := range c.Endpoints {
		conn, err := grpc.NewClient("passthrough:///"+endpoint, options...)
		if err != nil {
			client.Close()
			return nil, fmt.Errorf("key-value store endpoint %q: %w", endpoint, err)
		}
		client.conns = append(client.conns, conn)
	}
	return client, nil
}

// Close ends the connections; calls under way fail.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Counts returns the calls so far.
func (c *Client) Counts() Counts {
	return Counts{Calls: c.calls.Load(), OverBudget: c.refused.Load(), UnknownOutcomes: c.unknown.Load(), EndpointSwitches: c.switches.Load()}
}

// call runs f within the budget and turns its error into a store.Error.
func (c *Client) call(ctx context.Context, name string, f func(ctx context.Context, conn *grpc.ClientConn) error) error {
	ctx, cancel := c.bound(ctx)
	defer cancel()
	if err := c.spend(ctx, name); err != nil {
		return err
	}
	at := c.current.Load()
	ctx, flag := grpcsent.Track(ctx)
	err := f(ctx, c.conns[at])
	if err == nil {
		return nil
	}
	return c.failed(name, at, flag.Sent(), err)
}

func (c *Client) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.timeout)
}

func (c *Client) spend(ctx context.Context, name string) error {
	if err := c.budget.Wait(ctx); err != nil {
		c.refused.Add(1)
		return store.NewError(name, store.NotApplied, fmt.Errorf("%w: call budget: %w", store.ErrRateLimited, err))
	}
	c.calls.Add(1)
	return nil
}

// failed classifies an error and moves on to the next endpoint if the connection is at fault.
func (c *Client) failed(name string, at uint32, sent bool, err error) error {
	if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded {
		next := (at + 1) % uint32(len(c.conns))
		if c.current.CompareAndSwap(at, next) && next != at {
			c.switches.Add(1)
		}
	}
	outcome, cause := classify(sent, err)
	if outcome == store.Unknown {
		c.unknown.Add(1)
	}
	return store.NewError(name, outcome, cause)
}

// serverPrefix starts the messages of errors that the service itself returns.
const serverPrefix = "etcdserver: "

// classify returns what is known about the effect of a failed call. Only a call that never left and a definite refusal
// by the service prove that nothing was written. A timeout inside the service is reported as Unavailable and proves
// nothing.
func classify(sent bool, err error) (store.Outcome, error) {
	s, ok := status.FromError(err)
	if !ok {
		if sent {
			return store.Unknown, err
		}
		return store.NotApplied, err
	}
	if cause := refusal(s); cause != nil {
		return store.NotApplied, cause
	}
	cause := fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	if sent {
		return store.Unknown, cause
	}
	return store.NotApplied, cause
}

// refusal returns the error of a definite refusal by the service, or nil.
func refusal(s *status.Status) error {
	if !strings.HasPrefix(s.Message(), serverPrefix) {
		return nil
	}
	var kind error
	switch s.Code() {
	case codes.NotFound:
		kind = store.ErrLeaseNotFound
	case codes.OutOfRange:
		kind = store.ErrCompacted
	case codes.ResourceExhausted:
		kind = store.ErrRateLimited
	case codes.InvalidArgument:
		kind = store.ErrInvalid
		if strings.Contains(s.Message(), "too large") {
			kind = store.ErrTooLarge
		}
	default:
		return nil
	}
	return fmt.Errorf("%w: %s", kind, s.Message())
}

func entryOf(kv *kvv1.KeyValue) store.Entry {
	return store.Entry{
		Key:            string(kv.GetKey()),
		Value:          kv.GetValue(),
		CreateRevision: store.Revision(kv.GetCreateRevision()),
		ModRevision:    store.Revision(kv.GetModRevision()),
		Lease:          store.LeaseID(kv.GetLease()),
	}
}

// rangeOf returns the key and range end of all keys with the prefix.
func rangeOf(prefix string) (key, end []byte) {
	if prefix == "" {
		return []byte{0}, []byte{0}
	}
	end = []byte(prefix)
	for i := len(end) - 1; i >= 0; i-- {
		if end[i] < 0xff {
			end[i]++
			return []byte(prefix), end[:i+1]
		}
	}
	return []byte(prefix), []byte{0}
}
