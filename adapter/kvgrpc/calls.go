package kvgrpc

import (
	"context"
	"fmt"
	"math"
	"time"

	"google.golang.org/grpc"

	kvv1 "github.com/bulrushrelay/bulrushrelay/api/kv/v1"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// Range returns the entries whose keys start with prefix, in the order of their keys.
func (c *Client) Range(ctx context.Context, prefix string) (store.RangeResult, error) {
	key, rangeEnd := prefixRange(prefix)
	return c.read(ctx, "Range", &kvv1.RangeRequest{Key: key, RangeEnd: rangeEnd})
}

// Get returns the entry of a key, and whether it exists.
func (c *Client) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	r, err := c.read(ctx, "Get", &kvv1.RangeRequest{Key: []byte(key)})
	if err != nil || len(r.Entries) == 0 {
		return store.Entry{}, false, err
	}
	return r.Entries[0], true, nil
}

func (c *Client) read(ctx context.Context, name string, req *kvv1.RangeRequest) (store.RangeResult, error) {
	var resp *kvv1.RangeResponse
	err := c.call(ctx, name, func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = kvv1.NewKVClient(conn).Range(ctx, req)
		return err
	})
	if err != nil {
		return store.RangeResult{}, err
	}
	r := store.RangeResult{Revision: store.Revision(resp.GetHeader().GetRevision())}
	for _, kv := range resp.GetKvs() {
		r.Entries = append(r.Entries, decodeEntry(kv))
	}
	return r, nil
}

// Txn applies ops if every compare holds.
func (c *Client) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	req, err := encodeTxn(compares, ops)
	if err != nil {
		return store.TxnResult{Outcome: store.NotApplied}, store.NewError("Txn", store.NotApplied, err)
	}
	var resp *kvv1.TxnResponse
	err = c.call(ctx, "Txn", func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = kvv1.NewKVClient(conn).Txn(ctx, req)
		return err
	})
	if err != nil {
		return store.TxnResult{Outcome: store.OutcomeOf(err)}, err
	}
	r := store.TxnResult{Outcome: store.NotApplied, Revision: store.Revision(resp.GetHeader().GetRevision())}
	if resp.GetSucceeded() {
		r.Outcome = store.Applied
	}
	return r, nil
}

func encodeTxn(compares []store.Compare, ops []store.Op) (*kvv1.TxnRequest, error) {
	req := &kvv1.TxnRequest{}
	for _, cmp := range compares {
		req.Compare = append(req.Compare, encodeCompare(cmp))
	}
	for _, op := range ops {
		if len(op.Value) > store.MaxValueBytes {
			return nil, fmt.Errorf("%w: key %q: %d bytes, at most %d", store.ErrTooLarge, op.Key, len(op.Value), store.MaxValueBytes)
		}
		req.Success = append(req.Success, encodeOp(op))
	}
	return req, nil
}

func encodeCompare(cmp store.Compare) *kvv1.Compare {
	out := &kvv1.Compare{Result: kvv1.Compare_EQUAL, Key: []byte(cmp.Key)}
	if cmp.Field == store.FieldModRevision {
		out.Target = kvv1.Compare_MOD
		out.TargetUnion = &kvv1.Compare_ModRevision{ModRevision: int64(cmp.Revision)}
		return out
	}
	out.Target = kvv1.Compare_CREATE
	out.TargetUnion = &kvv1.Compare_CreateRevision{CreateRevision: int64(cmp.Revision)}
	return out
}

func encodeOp(op store.Op) *kvv1.RequestOp {
	if op.Delete {
		del := &kvv1.DeleteRangeRequest{Key: []byte(op.Key)}
		return &kvv1.RequestOp{Request: &kvv1.RequestOp_RequestDeleteRange{RequestDeleteRange: del}}
	}
	put := &kvv1.PutRequest{Key: []byte(op.Key), Value: op.Value, Lease: int64(op.Lease)}
	return &kvv1.RequestOp{Request: &kvv1.RequestOp_RequestPut{RequestPut: put}}
}

// Grant creates a lease. The TTL is rounded up to seconds, the unit of the protocol.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	var resp *kvv1.LeaseGrantResponse
	err := c.call(ctx, "Grant", func(ctx context.Context, conn *grpc.ClientConn) (err error) {
		resp, err = kvv1.NewLeaseClient(conn).LeaseGrant(ctx, &kvv1.LeaseGrantRequest{TTL: int64(math.Ceil(ttl.Seconds()))})
		return err
	})
	return store.LeaseID(resp.GetID()), err
}

// KeepAlive renews a lease. ok is false if the lease no longer exists.
func (c *Client) KeepAlive(ctx context.Context, id store.LeaseID) (ok bool, err error) {
	err = c.call(ctx, "KeepAlive", func(ctx context.Context, conn *grpc.ClientConn) error {
		// Cancelling the context closes the stream.
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		stream, err := kvv1.NewLeaseClient(conn).LeaseKeepAlive(ctx)
		if err != nil {
			return err
		}
		if err := stream.Send(&kvv1.LeaseKeepAliveRequest{ID: int64(id)}); err != nil {
			return err
		}
		resp, err := stream.Recv()
		ok = resp.GetTTL() > 0
		return err
	})
	return ok && err == nil, err
}

// Revoke ends a lease and deletes the keys attached to it.
func (c *Client) Revoke(ctx context.Context, id store.LeaseID) error {
	return c.call(ctx, "Revoke", func(ctx context.Context, conn *grpc.ClientConn) error {
		_, err := kvv1.NewLeaseClient(conn).LeaseRevoke(ctx, &kvv1.LeaseRevokeRequest{ID: int64(id)})
		return err
	})
}
