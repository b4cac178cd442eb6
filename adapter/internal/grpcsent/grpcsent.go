// Package grpcsent tracks whether a gRPC call may have left this process. Only a call that never left is known not to
// have taken effect.
package grpcsent

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

type flagKey struct{}

// Flag records whether any part of one call was handed to a connection.
type Flag struct {
	sent atomic.Bool
}

// Sent reports whether the call may have left this process.
func (f *Flag) Sent() bool {
	return f.sent.Load()
}

// Track returns a context for one call and the flag that the call sets. The connection must use Handler.
func Track(ctx context.Context) (context.Context, *Flag) {
	flag := &Flag{}
	return context.WithValue(ctx, flagKey{}, flag), flag
}

// Handler is a stats.Handler that sets the flags of calls. gRPC reports the headers before it writes them: a flag may
// be set for a call that never left the process, but it is always set for one that did.
type Handler struct{}

// TagRPC implements stats.Handler.
func (Handler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	return ctx
}

// HandleRPC implements stats.Handler.
func (Handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	switch s.(type) {
	case *stats.OutHeader, *stats.OutPayload:
		if flag, ok := ctx.Value(flagKey{}).(*Flag); ok {
			flag.sent.Store(true)
		}
	default:
	}
}

// TagConn implements stats.Handler.
func (Handler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (Handler) HandleConn(context.Context, stats.ConnStats) {}
