package kv

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	kvv1 "github.com/bulrushrelay/bulrushrelay/api/kv/v1"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// Register registers the services of the published protocol for one client. Parts of the protocol that relay hosts do
// not use are refused with the code Unimplemented.
func Register(r grpc.ServiceRegistrar, s *Session) {
	kvv1.RegisterKVServer(r, &kvServer{session: s})
	kvv1.RegisterLeaseServer(r, &leaseServer{session: s})
	kvv1.RegisterWatchServer(r, &watchServer{session: s})
}

// encodeError returns the error of the published protocol for a failed call. A lost answer is reported as a timeout
// within the service.
func encodeError(err error) error {
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		return status.Error(codes.NotFound, "etcdserver: requested lease not found")
	case errors.Is(err, store.ErrRateLimited):
		return status.Error(codes.ResourceExhausted, "etcdserver: too many requests")
	case errors.Is(err, store.ErrTooLarge):
		return status.Error(codes.InvalidArgument, "etcdserver: request is too large")
	case errors.Is(err, store.ErrInvalid):
		return status.Errorf(codes.InvalidArgument, "etcdserver: %v", err)
	case store.OutcomeOf(err) == store.Unknown:
		return status.Error(codes.Unavailable, "etcdserver: request timed out")
	default:
		return status.Error(codes.Unavailable, "etcdserver: no leader")
	}
}

func newHeader(rev store.Revision) *kvv1.ResponseHeader {
	return &kvv1.ResponseHeader{Revision: int64(rev)}
}

func encodeEntry(e store.Entry) *kvv1.KeyValue {
	return &kvv1.KeyValue{
		Key: []byte(e.Key), Value: e.Value, CreateRevision: int64(e.CreateRevision),
		ModRevision: int64(e.ModRevision), Lease: int64(e.Lease),
	}
}

// decodePrefix returns the prefix that a range of keys stands for; false if the range is not that of a prefix. The
// range of all keys, from "\x00" to "\x00", is the empty prefix.
func decodePrefix(key, end []byte) (string, bool) {
	if len(key) == 1 && key[0] == 0 && len(end) == 1 && end[0] == 0 {
		return "", true
	}
	if len(key) == 0 || len(key) != len(end) {
		return "", false
	}
	last := len(key) - 1
	if string(key[:last]) != string(end[:last]) || int(key[last])+1 != int(end[last]) {
		return "", false
	}
	return string(key), true
}

type kvServer struct {
	kvv1.UnimplementedKVServer

	session *Session
}

// Range reads one key or all keys with a prefix.
func (s *kvServer) Range(ctx context.Context, req *kvv1.RangeRequest) (*kvv1.RangeResponse, error) {
	if req.GetRevision() != 0 || req.GetLimit() != 0 {
		return nil, status.Error(codes.Unimplemented, "range with a limit or a revision")
	}
	if len(req.GetRangeEnd()) == 0 {
		entry, rev, ok, err := s.session.GetWithRevision(ctx, string(req.GetKey()))
		if err != nil {
			return nil, encodeError(err)
		}
		resp := &kvv1.RangeResponse{Header: newHeader(rev)}
		if ok {
			resp.Kvs, resp.Count = []*kvv1.KeyValue{encodeEntry(entry)}, 1
		}
		return resp, nil
	}
	prefix, ok := decodePrefix(req.GetKey(), req.GetRangeEnd())
	if !ok {
		return nil, status.Error(codes.Unimplemented, "range that is not a prefix")
	}
	r, err := s.session.Range(ctx, prefix)
	if err != nil {
		return nil, encodeError(err)
	}
	resp := &kvv1.RangeResponse{Header: newHeader(r.Revision), Count: int64(len(r.Entries))}
	for _, e := range r.Entries {
		resp.Kvs = append(resp.Kvs, encodeEntry(e))
	}
	return resp, nil
}

// Txn applies puts and deletes of single keys if all comparisons for equality hold.
func (s *kvServer) Txn(ctx context.Context, req *kvv1.TxnRequest) (*kvv1.TxnResponse, error) {
	compares, err := decodeCompares(req.GetCompare())
	if err != nil {
		return nil, err
	}
	ops, err := decodeOps(req.GetSuccess())
	if err != nil {
		return nil, err
	}
	if len(req.GetFailure()) > 0 {
		return nil, status.Error(codes.Unimplemented, "operations of a failed transaction")
	}
	r, err := s.session.Txn(ctx, compares, ops)
	if err != nil {
		return nil, encodeError(err)
	}
	return &kvv1.TxnResponse{Header: newHeader(r.Revision), Succeeded: r.Outcome == store.Applied}, nil
}

func decodeCompares(messages []*kvv1.Compare) ([]store.Compare, error) {
	var out []store.Compare
	for _, c := range messages {
		cmp := store.Compare{Key: string(c.GetKey())}
		switch {
		case c.GetResult() != kvv1.Compare_EQUAL:
			return nil, status.Error(codes.Unimplemented, "comparison other than equality")
		case c.GetTarget() == kvv1.Compare_CREATE:
			cmp.Revision = store.Revision(c.GetCreateRevision())
		case c.GetTarget() == kvv1.Compare_MOD:
			cmp.Field, cmp.Revision = store.FieldModRevision, store.Revision(c.GetModRevision())
		default:
			return nil, status.Error(codes.Unimplemented, "comparison of a field other than a revision")
		}
		out = append(out, cmp)
	}
	return out, nil
}

func decodeOps(messages []*kvv1.RequestOp) ([]store.Op, error) {
	var out []store.Op
	for _, op := range messages {
		put, del := op.GetRequestPut(), op.GetRequestDeleteRange()
		switch {
		case put != nil:
			out = append(out, store.Op{Key: string(put.GetKey()), Value: put.GetValue(), Lease: store.LeaseID(put.GetLease())})
		case del != nil && len(del.GetRangeEnd()) == 0:
			out = append(out, store.Op{Key: string(del.GetKey()), Delete: true})
		default:
			return nil, status.Error(codes.Unimplemented, "operation other than put and delete of one key")
		}
	}
	return out, nil
}

type leaseServer struct {
	kvv1.UnimplementedLeaseServer

	session *Session
}

// LeaseGrant creates a lease.
func (s *leaseServer) LeaseGrant(ctx context.Context, req *kvv1.LeaseGrantRequest) (*kvv1.LeaseGrantResponse, error) {
	id, err := s.session.Grant(ctx, time.Duration(req.GetTTL())*time.Second)
	if err != nil {
		return nil, encodeError(err)
	}
	return &kvv1.LeaseGrantResponse{Header: newHeader(0), ID: int64(id), TTL: req.GetTTL()}, nil
}

// LeaseRevoke ends a lease.
func (s *leaseServer) LeaseRevoke(ctx context.Context, req *kvv1.LeaseRevokeRequest) (*kvv1.LeaseRevokeResponse, error) {
	if err := s.session.Revoke(ctx, store.LeaseID(req.GetID())); err != nil {
		return nil, encodeError(err)
	}
	return &kvv1.LeaseRevokeResponse{Header: newHeader(0)}, nil
}

// LeaseKeepAlive renews leases. The answer for a lease that does not exist has a time to live of 0.
func (s *leaseServer) LeaseKeepAlive(stream grpc.BidiStreamingServer[kvv1.LeaseKeepAliveRequest, kvv1.LeaseKeepAliveResponse]) error {
	for {
		req, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		ttl, err := s.session.KeepAliveTTL(stream.Context(), store.LeaseID(req.GetID()))
		if err != nil {
			return encodeError(err)
		}
		resp := &kvv1.LeaseKeepAliveResponse{Header: newHeader(0), ID: req.GetID(), TTL: int64(ttl / time.Second)}
		if err := stream.Send(resp); err != nil {
			return err
		}
	}
}

type watchServer struct {
	kvv1.UnimplementedWatchServer

	session *Session
}

// Watch serves a stream, which carries a single watch.
func (s *watchServer) Watch(stream grpc.BidiStreamingServer[kvv1.WatchRequest, kvv1.WatchResponse]) error {
	req, err := stream.Recv()
	if err != nil {
		return err
	}
	create := req.GetCreateRequest()
	if create == nil {
		return status.Error(codes.InvalidArgument, "etcdserver: the first message must create a watch")
	}
	prefix, ok := decodePrefix(create.GetKey(), create.GetRangeEnd())
	if !ok || create.GetStartRevision() <= 0 {
		return status.Error(codes.Unimplemented, "watch of a range that is not a prefix, or without a start revision")
	}
	batches := s.session.Watch(stream.Context(), prefix, store.Revision(create.GetStartRevision()-1))
	if err := stream.Send(&kvv1.WatchResponse{Header: newHeader(0), Created: true}); err != nil {
		return err
	}
	for batch := range batches {
		if batch.Err != nil {
			return s.sendEnd(stream, batch.Err)
		}
		if err := stream.Send(encodeBatch(batch)); err != nil {
			return err
		}
	}
	return stream.Context().Err()
}

// sendEnd ends a stream with the error of its watch. A compacted start revision is reported in a response instead.
func (s *watchServer) sendEnd(stream grpc.BidiStreamingServer[kvv1.WatchRequest, kvv1.WatchResponse], err error) error {
	if errors.Is(err, store.ErrCompacted) {
		return stream.Send(&kvv1.WatchResponse{Header: newHeader(0), Canceled: true, CompactRevision: int64(s.session.engine.Revision())})
	}
	return encodeError(err)
}

func encodeBatch(batch store.WatchBatch) *kvv1.WatchResponse {
	resp := &kvv1.WatchResponse{Header: newHeader(batch.Revision)}
	for _, ev := range batch.Events {
		kind := kvv1.Event_PUT
		if ev.Deleted {
			kind = kvv1.Event_DELETE
		}
		resp.Events = append(resp.Events, &kvv1.Event{Type: kind, Kv: encodeEntry(ev.Entry)})
	}
	return resp
}
