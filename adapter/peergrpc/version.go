package peergrpc

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

const (
	// ProtocolVersion is the version of the protocol between relay hosts that this program speaks. Each change that
	// another host can notice increases it. Hosts that do not send a version speak version 1.
	ProtocolVersion = 2
	// MinimumVersion is the lowest peer version that this program works with. It is raised one release after the last
	// use of what the older version lacks, so that two neighbouring releases always work together.
	MinimumVersion = 1

	// versionHeader is the metadata key of a call that carries "<version>/<minimum>" of the sender.
	versionHeader = "bulrush-peer-version"
	// refusedTrailer is the trailer key that marks a call as refused before its handler ran.
	refusedTrailer    = "bulrush-refused"
	refusedForVersion = "version"
)

// versionRange holds the protocol version that a host speaks and the lowest peer version that it works with.
type versionRange struct {
	version, minimum uint32
}

var supportedVersions = versionRange{version: ProtocolVersion, minimum: MinimumVersion}

func (v versionRange) String() string {
	return fmt.Sprintf("%d/%d", v.version, v.minimum)
}

// parseVersions parses the version header of a call. Fields after the second number are ignored, for later versions.
func parseVersions(values []string) (versionRange, error) {
	if len(values) == 0 {
		return versionRange{version: 1, minimum: 1}, nil
	}
	parts := strings.Split(values[0], "/")
	if len(values) > 1 || len(parts) < 2 {
		return versionRange{}, fmt.Errorf("%s %.40q: want <version>/<minimum>", versionHeader, values)
	}
	version, errVersion := strconv.ParseUint(parts[0], 10, 32)
	minimum, errMinimum := strconv.ParseUint(parts[1], 10, 32)
	if err := errors.Join(errVersion, errMinimum); err != nil {
		return versionRange{}, fmt.Errorf("%s: %w", versionHeader, err)
	}
	return versionRange{version: uint32(version), minimum: uint32(minimum)}, nil
}

// checkPeer returns an error that names the side to upgrade if the two hosts cannot work together.
func (v versionRange) checkPeer(theirs versionRange) error {
	switch {
	case theirs.version < v.minimum:
		return fmt.Errorf("the sender speaks version %d of the protocol between relay hosts and this host needs at least %d: upgrade the sender", theirs.version, v.minimum)
	case v.version < theirs.minimum:
		return fmt.Errorf("this host speaks version %d of the protocol between relay hosts and the sender needs at least %d: upgrade this host", v.version, theirs.minimum)
	default:
		return nil
	}
}

// checkCall returns an error, and marks the call as refused, if the sender's version is not compatible.
func (v versionRange) checkCall(ctx context.Context) error {
	incoming, _ := metadata.FromIncomingContext(ctx)
	theirs, err := parseVersions(incoming.Get(versionHeader))
	if err == nil {
		err = v.checkPeer(theirs)
	}
	if err == nil {
		return nil
	}
	_ = grpc.SetTrailer(ctx, metadata.Pairs(refusedTrailer, refusedForVersion))
	return status.Error(codes.FailedPrecondition, err.Error())
}

func (v versionRange) serverOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, m any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
			if err := v.checkCall(ctx); err != nil {
				return nil, err
			}
			return next(ctx, m)
		}),
		grpc.ChainStreamInterceptor(func(service any, stream grpc.ServerStream, _ *grpc.StreamServerInfo, next grpc.StreamHandler) error {
			if err := v.checkCall(stream.Context()); err != nil {
				return err
			}
			return next(service, stream)
		}),
	}
}

// refusedError is the error of a call that the other host refused before its handler ran.
type refusedError struct{ error }

// Unwrap returns the status of the call.
func (e refusedError) Unwrap() error { return e.error }

func (v versionRange) dialOptions() []grpc.DialOption {
	header := v.String()
	return []grpc.DialOption{
		grpc.WithChainUnaryInterceptor(func(
			ctx context.Context, method string, m, reply any, conn *grpc.ClientConn, next grpc.UnaryInvoker, opts ...grpc.CallOption,
		) error {
			var trailer metadata.MD
			ctx = metadata.AppendToOutgoingContext(ctx, versionHeader, header)
			err := next(ctx, method, m, reply, conn, append(opts, grpc.Trailer(&trailer))...)
			if err != nil && len(trailer.Get(refusedTrailer)) > 0 {
				return refusedError{err}
			}
			return err
		}),
		grpc.WithChainStreamInterceptor(func(
			ctx context.Context, d *grpc.StreamDesc, conn *grpc.ClientConn, method string, next grpc.Streamer, opts ...grpc.CallOption,
		) (grpc.ClientStream, error) {
			return next(metadata.AppendToOutgoingContext(ctx, versionHeader, header), d, conn, method, opts...)
		}),
	}
}

// isRefusal reports whether the error of a call proves that its handler did not run, because the versions are not
// compatible or the other host does not have the method.
func isRefusal(err error) bool {
	var r refusedError
	return errors.As(err, &r) || status.Code(err) == codes.Unimplemented
}
