// Package peergrpc implements the protocol between relay hosts (api/peer/v1) over gRPC, both the clients and the
// servers.
package peergrpc

import (
	"errors"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"

	"github.com/bulrushrelay/bulrushrelay/adapter/internal/grpcsent"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
)

const (
	// MaxMessageBytes bounds a message between relay hosts. The largest message is the largest answer with its
	// headers.
	MaxMessageBytes = 8 << 20

	numPoolShards     = 16
	minConnectTimeout = 2 * time.Second
	// maxReconnectDelay bounds how long a host that has just started still counts as unreachable, because calls fail
	// at once during the backoff between connection attempts.
	maxReconnectDelay = 300 * time.Millisecond
	keepaliveTime     = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second

	// handshakeTimeout bounds the handshake, including the HTTP/2 preface, on an accepted connection.
	handshakeTimeout = 5 * time.Second
	// serverKeepaliveTime is the interval of the server's keepalive pings on an idle connection. At 64 relay hosts the
	// pings cost about 120 bytes/s per host; an interval of 10 s would cost a third of the budget of 2 KB/s per host.
	serverKeepaliveTime = time.Minute
	// maxStreamsPerConn bounds the concurrent calls on one connection. It is the default limit of caller connections
	// of a host. Calls above it wait at the sender.
	maxStreamsPerConn = 4096
	// maxHeaderBytes bounds the gRPC metadata of a call. Headers of callers are part of the messages instead.
	maxHeaderBytes = 16 << 10
)

var errPoolClosed = errors.New("connection pool is closed")

// Pool keeps one client connection per peer address.
type Pool struct {
	options []grpc.DialOption
	conns   *shard.Map[string, *grpc.ClientConn]
	// mu guards closed. Conn holds it shared, so that no connection is created after Close has collected them.
	mu     sync.RWMutex
	closed bool
}

// NewPool returns an empty pool whose connections are secured by creds. Options in extra override the defaults.
func NewPool(creds credentials.TransportCredentials, extra ...grpc.DialOption) *Pool {
	return newPool(creds, append(supportedVersions.dialOptions(), extra...)...)
}

func newPool(creds credentials.TransportCredentials, extra ...grpc.DialOption) *Pool {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(creds),
		grpc.WithStatsHandler(grpcsent.Handler{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  50 * time.Millisecond,
				Multiplier: 1.6,
				Jitter:     0.2,
				MaxDelay:   maxReconnectDelay,
			},
			MinConnectTimeout: minConnectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDefaultCallOptions(
			grpc.ForceCodecV2(newMessageCodec()),
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
	}, extra...)
	return &Pool{options: options, conns: shard.NewStringMap[string, *grpc.ClientConn](numPoolShards)}
}

// Conn returns the connection to address, an IP address with a port. It creates the connection on first use, without
// waiting for it to be established.
func (p *Pool) Conn(address string) (*grpc.ClientConn, error) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if p.closed {
		return nil, errPoolClosed
	}
	var (
		conn *grpc.ClientConn
		err  error
	)
	p.conns.WithShard(address, func(entries map[string]*grpc.ClientConn) {
		conn = entries[address]
		if conn != nil {
			return
		}
		conn, err = grpc.NewClient("passthrough:///"+address, p.options...)
		if err == nil {
			entries[address] = conn
		}
	})
	return conn, err
}

// Close closes every connection. Calls in progress end with an error.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	var conns []*grpc.ClientConn
	p.conns.ForEachShard(func(entries map[string]*grpc.ClientConn) {
		for address, conn := range entries {
			conns = append(conns, conn)
			delete(entries, address)
		}
	})
	for _, conn := range conns {
		_ = conn.Close()
	}
}

// ServerOptions returns the options of a server that peers call: credentials, limits and the check of versions.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return append(baseServerOptions(creds), supportedVersions.serverOptions()...)
}

func baseServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreamsPerConn),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		// The pings close connections to hosts that stopped reading or are gone.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
}
