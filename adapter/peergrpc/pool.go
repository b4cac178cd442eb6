// Package peergrpc carries messages between relay hosts over gRPC.
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
	// MaxMessageBytes bounds a message between relay hosts: the largest answer and its headers.
	MaxMessageBytes = 8 << 20

	poolShards        = 16
	minConnectTimeout = 2 * time.Second
	// maxReconnectDelay bounds how long a host that has just started is still taken for unreachable. Calls fail at once
	// while a connection waits to be tried again.
	maxReconnectDelay = 300 * time.Millisecond
	keepaliveTime     = 10 * time.Second
	keepaliveTimeout  = 3 * time.Second

	// handshakeTimeout bounds the time until a new connection has said that it speaks the protocol.
	handshakeTimeout = 5 * time.Second
	// deadPeerInterval is how often a server checks that an idle connection is read. At 64 relay hosts this costs
	// about 120 bytes a second; every 10 s would cost a third of the 2 KB that a node may spend.
	deadPeerInterval = time.Minute
	// maxStreams bounds the calls in progress on one connection: as many as a host has connections of callers by default.
	// Calls above it wait at the sender.
	maxStreams = 4096
	// maxHeaderBytes bounds the headers of a call, which carry no headers of callers.
	maxHeaderBytes = 16 << 10
)

var errPoolClosed = errors.New("connection pool is closed")

// Pool keeps one client connection per peer address.
type Pool struct {
	options []grpc.DialOption
	conns   *shard.Map[string, *grpc.ClientConn]
	// mu guards closed and orders Conn before Close, so that no connection is created after Close collected them.
	mu     sync.RWMutex
	closed bool
}

// NewPool returns an empty pool; creds secures the connections. More dial options replace the defaults.
func NewPool(creds credentials.TransportCredentials, more ...grpc.DialOption) *Pool {
	return newPool(creds, append(currentVersions.dialOptions(), more...)...)
}

func newPool(creds credentials.TransportCredentials, more ...grpc.DialOption) *Pool {
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
	}, more...)
	return &Pool{options: options, conns: shard.NewStringMap[string, *grpc.ClientConn](poolShards)}
}

// Conn returns the connection to address, an IP number and port. It connects on first use and does not block.
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

// ServerOptions returns the options of a server for peers.
func ServerOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return append(limitOptions(creds), currentVersions.serverOptions()...)
}

func limitOptions(creds credentials.TransportCredentials) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.Creds(creds),
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		// Closes the connection of a host that stopped reading or has vanished.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: deadPeerInterval, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{
			MinTime:             keepaliveTime / 2,
			PermitWithoutStream: true,
		}),
	}
}
