package peergrpc

import (
	"context"

	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/bulrushrelay/bulrushrelay/internal/contain"
)

// errHandlerPanicked leaves open whether the call had an effect.
var errHandlerPanicked = status.Error(codes.Internal, "unexpected error in the called host")

// ContainPanics returns the options with which a panic in the handler of a call ends this call only.
func ContainPanics(log logrus.FieldLogger) []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, m any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (reply any, err error) {
			defer contain.Recover(log, info.FullMethod, func() { err = errHandlerPanicked })
			return next(ctx, m)
		}),
		grpc.ChainStreamInterceptor(func(service any, stream grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer contain.Recover(log, info.FullMethod, func() { err = errHandlerPanicked })
			return next(service, stream)
		}),
	}
}
