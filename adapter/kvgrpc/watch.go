package kvgrpc

import (
	"context"
	"errors"
	"fmt"

	kvv1 "github.com/bulrushrelay/bulrushrelay/api/kv/v1"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// Watch delivers the changes after revision from of keys that start with prefix. Each watch has its own stream. The
// last batch holds the error that ended the watch, unless ctx ended.
func (c *Client) Watch(ctx context.Context, prefix string, from store.Revision) <-chan store.WatchBatch {
	out := make(chan store.WatchBatch)
	go func() {
		defer close(out)
		err := c.watch(ctx, prefix, from, out)
		if ctx.Err() != nil {
			return
		}
		select {
		case out <- store.WatchBatch{Err: err}:
		case <-ctx.Done():
		}
	}()
	return out
}

func (c *Client) watch(ctx context.Context, prefix string, from store.Revision, out chan<- store.WatchBatch) error {
	wait, cancel := c.withTimeout(ctx)
	err := c.waitForBudget(wait, "Watch")
	cancel()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithCancel(ctx)
	defer cancel()
	endpoint := c.currentEndpoint.Load()
	err = receiveBatches(ctx, kvv1.NewWatchClient(c.conns[endpoint]), prefix, from, out)
	var known *store.Error
	if errors.As(err, &known) {
		return err
	}
	return c.callError("Watch", endpoint, false, err)
}

// receiveBatches delivers batches of one watch until it fails or ctx ends.
func receiveBatches(ctx context.Context, client kvv1.WatchClient, prefix string, from store.Revision, out chan<- store.WatchBatch) error {
	stream, err := client.Watch(ctx)
	if err != nil {
		return err
	}
	key, end := prefixRange(prefix)
	create := &kvv1.WatchCreateRequest{Key: key, RangeEnd: end, StartRevision: int64(from) + 1}
	err = stream.Send(&kvv1.WatchRequest{RequestUnion: &kvv1.WatchRequest_CreateRequest{CreateRequest: create}})
	if err != nil {
		return err
	}
	for {
		resp, err := stream.Recv()
		if err != nil {
			return err
		}
		if resp.GetCanceled() {
			return cancelledError(resp)
		}
		if len(resp.GetEvents()) == 0 {
			continue
		}
		select {
		case out <- decodeBatch(resp):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func cancelledError(resp *kvv1.WatchResponse) error {
	cause := fmt.Errorf("%w: watch cancelled: %s", store.ErrUnavailable, resp.GetCancelReason())
	if resp.GetCompactRevision() > 0 {
		cause = fmt.Errorf("%w: up to revision %d", store.ErrCompacted, resp.GetCompactRevision())
	}
	return store.NewError("Watch", store.NotApplied, cause)
}

func decodeBatch(resp *kvv1.WatchResponse) store.WatchBatch {
	batch := store.WatchBatch{Revision: store.Revision(resp.GetHeader().GetRevision())}
	for _, ev := range resp.GetEvents() {
		batch.Events = append(batch.Events, store.Event{
			Entry:   decodeEntry(ev.GetKv()),
			Deleted: ev.GetType() == kvv1.Event_DELETE,
		})
	}
	return batch
}
