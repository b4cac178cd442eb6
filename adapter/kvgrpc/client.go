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
	// DefaultTimeout bounds a call whose context has no deadline. A healthy service answers in milliseconds.
	DefaultTimeout = 2 * time.Second
	// maxAnswerBytes bounds a reply. A range over the log of a cell returns up to 256 entries of less than 1 MB each.
	maxAnswerBytes = 512 << 20
	// keepaliveTime and keepaliveTimeout bound the time to detect a connection that broke without a reset, on which a
	// watch would receive nothing. The etcd server rejects pings more often than every 5 s.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 3 * time.Second
	// maxReconnectDelay bounds the delay between connection attempts, and with it the time until a service that is
	// reachable again is used.
	maxReconnectDelay = 2 * time.Second
)

// Config configures a Client.
type Config struct {
	// Endpoints are the addresses host:port of the service. The client uses one at a time, and switches to the next
	// when a call fails because of the connection.
	Endpoints []string
	// Credentials secure the connections. Nil means plaintext.
	Credentials credentials.TransportCredentials
	// CallsPerSecond limits the rate of calls, with bursts of up to Burst calls. 0 means no limit. A call above the
	// rate waits. It fails at once with store.ErrRateLimited if the wait would exceed its deadline.
	CallsPerSecond float64
	Burst          int
	// Timeout bounds a call whose context has no deadline. 0 means DefaultTimeout.
	Timeout time.Duration
	// DialOptions are added to the dial options of the client, for tests that replace the TCP dialer.
	DialOptions []grpc.DialOption
}

// Counts holds the numbers of calls of a Client so far.
type Counts struct {
	// Calls counts the calls made. A watch counts as one call.
	Calls int64
	// OverBudget counts the calls that failed because of CallsPerSecond.
	OverBudget int64
	// UnknownOutcomes counts the calls that may have taken effect although they failed.
	UnknownOutcomes int64
	// EndpointSwitches counts the switches to the next endpoint.
	EndpointSwitches int64
}

// Client implements store.Store. It is safe for concurrent use.
type Client struct {
	conns           []*grpc.ClientConn
	currentEndpoint atomic.Uint32
	budget          *rate.Limiter
	timeout         time.Duration

	calls, overBudget, unknownOutcomes, endpointSwitches atomic.Int64
}

var _ store.Store = (*Client)(nil)

// New returns a Client, which connects in the background.
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
		// A retried write could take effect twice, so only the caller may retry.
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

// Close closes the connections. Calls in progress fail.
func (c *Client) Close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}

// Counts returns the numbers of calls so far.
func (c *Client) Counts() Counts {
	return Counts{Calls: c.calls.Load(), OverBudget: c.overBudget.Load(), UnknownOutcomes: c.unknownOutcomes.Load(), EndpointSwitches: c.endpointSwitches.Load()}
}

// call runs f within the rate limit, and returns its error as a store.Error.
func (c *Client) call(ctx context.Context, name string, f func(ctx context.Context, conn *grpc.ClientConn) error) error {
	ctx, cancel := c.withTimeout(ctx)
	defer cancel()
	if err := c.waitForBudget(ctx, name); err != nil {
		return err
	}
	endpoint := c.currentEndpoint.Load()
	ctx, flag := grpcsent.Track(ctx)
	err := f(ctx, c.conns[endpoint])
	if err == nil {
		return nil
	}
	return c.callError(name, endpoint, flag.Sent(), err)
}

// withTimeout adds the default timeout to a context without a deadline.
func (c *Client) withTimeout(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, c.timeout)
}

// waitForBudget waits until the rate limit admits a call and counts it.
func (c *Client) waitForBudget(ctx context.Context, name string) error {
	if err := c.budget.Wait(ctx); err != nil {
		c.overBudget.Add(1)
		return store.NewError(name, store.NotApplied, fmt.Errorf("%w: call budget: %w", store.ErrRateLimited, err))
	}
	c.calls.Add(1)
	return nil
}

// callError returns the error of a failed call as a store.Error, and switches to the next endpoint if the connection
// is at fault.
func (c *Client) callError(name string, endpoint uint32, sent bool, err error) error {
	if code := status.Code(err); code == codes.Unavailable || code == codes.DeadlineExceeded {
		next := (endpoint + 1) % uint32(len(c.conns))
		if c.currentEndpoint.CompareAndSwap(endpoint, next) && next != endpoint {
			c.endpointSwitches.Add(1)
		}
	}
	outcome, cause := classify(sent, err)
	if outcome == store.Unknown {
		c.unknownOutcomes.Add(1)
	}
	return store.NewError(name, outcome, cause)
}

// serverPrefix is the prefix of the error messages of the service itself.
const serverPrefix = "etcdserver: "

// classify returns the outcome of a failed call and its cause. The outcome is NotApplied only for a call that was
// never sent or that the service definitely refused. A timeout inside the service is reported as Unavailable, after
// which the outcome is unknown.
func classify(sent bool, err error) (store.Outcome, error) {
	s, ok := status.FromError(err)
	if !ok {
		if sent {
			return store.Unknown, err
		}
		return store.NotApplied, err
	}
	if cause := refusalCause(s); cause != nil {
		return store.NotApplied, cause
	}
	cause := fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	if sent {
		return store.Unknown, cause
	}
	return store.NotApplied, cause
}

// refusalCause returns the error of a definite refusal by the service, or nil if the status is not one.
func refusalCause(s *status.Status) error {
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

func decodeEntry(kv *kvv1.KeyValue) store.Entry {
	return store.Entry{
		Key:            string(kv.GetKey()),
		Value:          kv.GetValue(),
		CreateRevision: store.Revision(kv.GetCreateRevision()),
		ModRevision:    store.Revision(kv.GetModRevision()),
		Lease:          store.LeaseID(kv.GetLease()),
	}
}

// prefixRange returns the first key and the range end, in the terms of the protocol, of all keys with the prefix.
func prefixRange(prefix string) (key, end []byte) {
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
